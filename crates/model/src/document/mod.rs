//! The document in which operators declare the whole configuration of a cell.
//!
//! The YAML text is validated against the JSON schema, decoded into types generated from that
//! schema, and converted to the domain types of this module. [`parse()`] returns a [`Document`] only
//! if no check reports an error.

mod border;
mod convert;
mod diagnostic;
mod fleet;
mod locate;
pub mod parse;
mod path;
mod policy;
pub mod quantity;
mod repair;
mod schema;
mod semantics;
mod service;
mod team;
mod workload;

pub use self::{
    diagnostic::{Diagnostic, Diagnostics, Severity},
    fleet::{EntryHosts, Fleet, Region, WorkerGroup},
    parse::{CheckResult, MAX_DOCUMENT_BYTES, check, parse},
    path::{PathStep, path_steps},
    policy::{Policy, Preset, Weights},
    quantity::{QuantityError, format_cpu, format_memory, parse_cpu, parse_duration, parse_memory},
    schema::SCHEMA,
    service::{RequestClass, Service},
    team::Team,
    workload::{Batch, Gang, Spread, TaskShape},
};

use serde::{Deserialize, Serialize};

use crate::Name;

/// A valid declaration of a whole cell.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Document {
    /// Name of the cell.
    pub cell: Name,
    /// Regions and their data centres.
    pub regions: Vec<Region>,
    /// Hosts that the cell is expected to have.
    pub fleet: Fleet,
    /// Teams with quotas.
    pub teams: Vec<Team>,
    /// Placement policy.
    pub policy: Policy,
    /// Long-lived services.
    pub services: Vec<Service>,
    /// Batch workloads.
    pub batch: Vec<Batch>,
    /// Workloads whose tasks start together.
    pub gangs: Vec<Gang>,
}

impl Document {
    /// Returns the service of that name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services
            .iter()
            .find(|service| service.name.as_str() == name)
    }

    /// Returns the batch workload of that name.
    pub fn batch(&self, name: &str) -> Option<&Batch> {
        self.batch.iter().find(|batch| batch.name.as_str() == name)
    }

    /// Returns the gang workload of that name.
    pub fn gang(&self, name: &str) -> Option<&Gang> {
        self.gangs.iter().find(|gang| gang.name.as_str() == name)
    }

    /// Returns the team of that name.
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.teams.iter().find(|team| team.name.as_str() == name)
    }

    /// Returns every data centre with its region, in document order.
    pub fn data_centres(&self) -> impl Iterator<Item = (&Name, &Name)> {
        self.regions
            .iter()
            .flat_map(|region| region.data_centres.iter().map(move |dc| (&region.name, dc)))
    }
}
