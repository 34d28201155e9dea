//! Long-lived services and their request classes.

use serde::{Deserialize, Serialize};

use crate::{
    Millis, Name, Priority,
    document::{Spread, TaskShape},
};

/// A long-lived service whose runners answer callers' requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name of the service, unique among workloads.
    pub name: Name,
    /// The team that is charged.
    pub team: Name,
    /// Desired number of runners in the cell.
    pub runners: u32,
    /// Resources that each runner needs.
    pub task: TaskShape,
    /// Regions in which the runners may run, in order of preference; empty for all.
    pub regions: Vec<Name>,
    /// Failure domain over which the runners are spread.
    pub spread: Spread,
    /// Number of requests that one runner processes concurrently.
    pub slots: u32,
    /// Number of connections that one runner accepts from all routers together.
    pub connections: u32,
    /// Retry budget, as a fraction of the requests that ran.
    pub retry_budget: f64,
    /// Classes of requests.
    pub classes: Vec<RequestClass>,
}

impl Service {
    /// Returns the request class of that name.
    pub fn class(&self, name: &str) -> Option<&RequestClass> {
        self.classes
            .iter()
            .find(|class| class.name.as_str() == name)
    }
}

/// A class of requests that are handled alike.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RequestClass {
    /// Name of the class, unique in its service; a segment of the request's path.
    pub name: Name,
    /// Whether running a request twice is harmless.
    pub idempotent: bool,
    /// Time after its arrival at which a request expires.
    pub deadline: Millis,
    /// Whether a slow request may be hedged, that is, also sent to a second runner. Only allowed
    /// for idempotent classes.
    pub hedge: bool,
    /// Priority among queued requests.
    pub priority: Priority,
}
