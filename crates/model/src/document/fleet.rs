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

/// Hosts and delays that the operators expect. Used to tell early that work can never run, and
/// by test tools to build a cell of that size.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fleet {
    /// The system's own hosts.
    pub entry_hosts: EntryHosts,
    /// Groups of equal workers.
    pub workers: Vec<WorkerGroup>,
    /// One-way delay between data centres of a region.
    pub delay_data_centre: Millis,
    /// One-way delay between regions.
    pub delay_region: Millis,
    /// One-way delay between callers and entry hosts.
    pub delay_caller: Millis,
}

/// The system's own hosts, dealt over the data centres in turn.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryHosts {
    /// How many there are in the cell.
    pub count: u32,
}

/// A number of equal workers, dealt over the data centres in turn.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerGroup {
    /// How many there are in the cell.
    pub count: u32,
    /// What each of them has.
    pub capacity: Resources,
    /// How many stand in one rack.
    pub per_rack: u32,
}
