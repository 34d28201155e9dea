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
    /// How many runners are wanted in the cell.
    pub runners: u32,
    /// What each runner needs.
    pub task: TaskShape,
    /// Regions that may hold runners, in order of preference; empty for all.
    pub regions: Vec<Name>,
    /// What the runners are spread over.
    pub spread: Spread,
    /// Requests that one runner works on at once.
    pub slots: u32,
    /// Connections that one runner accepts from all routers together.
    pub connections: u32,
    /// Retries allowed, as a fraction of requests that ran.
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

/// A class of requests with one treatment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RequestClass {
    /// Name of the class, unique in its service; a segment of the request's path.
    pub name: Name,
    /// Whether running a request twice is harmless.
    pub idempotent: bool,
    /// How long after its arrival a request is still of use.
    pub deadline: Millis,
    /// Whether a slow request may be sent to a second runner. Only for idempotent classes.
    pub hedge: bool,
    /// Priority among waiting requests.
    pub priority: Priority,
}
