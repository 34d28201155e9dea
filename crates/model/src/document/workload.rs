//! Batch and gang workloads.

use serde::{Deserialize, Serialize};

use crate::{Millis, Name, Priority, Resources};

/// What one task needs and how it may be treated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskShape {
    /// Declared size, committed while the task holds a worker.
    pub size: Resources,
    /// Whether the task can be checkpointed and resumed.
    pub checkpoint: bool,
}

/// What the tasks of a workload are spread over.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Spread {
    /// Over nothing in particular.
    #[default]
    None,
    /// Over racks.
    Rack,
    /// Over data centres, and over racks within each.
    DataCentre,
}

/// A batch workload; each submission runs every task to its end once.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// Name of the workload, unique among workloads.
    pub name: Name,
    /// The team that is charged.
    pub team: Name,
    /// Tasks in one submission.
    pub tasks: u32,
    /// What each task needs.
    pub task: TaskShape,
    /// Declared run time of a task.
    pub run_time: Millis,
    /// Attempts after the first that a task may fail.
    pub retries: u32,
    /// Priority among waiting jobs.
    pub priority: Priority,
    /// Regions that may hold the tasks, in order of preference; empty for all.
    pub regions: Vec<Name>,
}

/// A workload whose tasks must all start together.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Gang {
    /// Name of the workload, unique among workloads.
    pub name: Name,
    /// The team that is charged.
    pub team: Name,
    /// Tasks that start together.
    pub tasks: u32,
    /// What each task needs.
    pub task: TaskShape,
    /// Declared run time of a task.
    pub run_time: Millis,
    /// Whether the tasks should stand in as few racks as possible.
    pub rack_near: bool,
    /// Attempts after the first that the gang may fail.
    pub retries: u32,
    /// Priority among waiting jobs.
    pub priority: Priority,
    /// Regions that may hold the tasks, in order of preference; empty for all.
    pub regions: Vec<Name>,
}
