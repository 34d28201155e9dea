//! The hosts that a cell is expected to have.

use serde::{Deserialize, Serialize};

use crate::{Millis, Name, Resources};

/// A region and its data centres.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Region {
    /// Name of the region.
    pub name: Name,
    /// Names of its data centres, unique in the cell.
    pub data_centres: Vec<Name>,
}

/// Hosts and network delays that the operators expect.
///
/// The checks of a document use them to warn about work that can never run, and test tools use
/// them to build a cell of that size.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fleet {
    /// The system's own hosts.
    pub entry_hosts: EntryHosts,
    /// Groups of identical workers.
    pub workers: Vec<WorkerGroup>,
    /// One-way delay between data centres of a region.
    pub delay_data_centre: Millis,
    /// One-way delay between regions.
    pub delay_region: Millis,
    /// One-way delay between callers and entry hosts.
    pub delay_caller: Millis,
}

/// The system's own hosts, distributed over the data centres round-robin.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryHosts {
    /// Number of them in the cell.
    pub count: u32,
}

/// A group of identical workers, distributed over the data centres round-robin.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerGroup {
    /// Number of them in the cell.
    pub count: u32,
    /// Capacity of each worker.
    pub capacity: Resources,
    /// Number of workers in one rack.
    pub per_rack: u32,
}
