//! Batch and gang workloads.

use serde::{Deserialize, Serialize};

use crate::{Millis, Name, Priority, Resources};

/// The resources of one task, and whether it can be checkpointed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskShape {
    /// Declared size, committed on a worker while the task is assigned to it.
    pub size: Resources,
    /// Whether the task can be checkpointed and resumed.
    pub checkpoint: bool,
}

/// Failure domain over which the tasks of a workload are spread.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Spread {
    /// The tasks are not spread.
    #[default]
    None,
    /// Over racks.
    Rack,
    /// Over data centres, and over racks within each.
    DataCentre,
}

/// A batch workload; each submission runs every task to completion once.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// Name of the workload, unique among workloads.
    pub name: Name,
    /// The team that is charged.
    pub team: Name,
    /// Number of tasks in one submission.
    pub tasks: u32,
    /// Resources that each task needs.
    pub task: TaskShape,
    /// Declared run time of a task.
    pub run_time: Millis,
    /// Number of times that a failed task is retried.
    pub retries: u32,
    /// Priority among pending jobs.
    pub priority: Priority,
    /// Regions in which the tasks may run, in order of preference; empty for all.
    pub regions: Vec<Name>,
}

/// A gang workload, whose tasks must all start together.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Gang {
    /// Name of the workload, unique among workloads.
    pub name: Name,
    /// The team that is charged.
    pub team: Name,
    /// Number of tasks, which all start together.
    pub tasks: u32,
    /// Resources that each task needs.
    pub task: TaskShape,
    /// Declared run time of a task.
    pub run_time: Millis,
    /// Whether the tasks should be placed in as few racks as possible.
    pub rack_near: bool,
    /// Number of times that a failed gang is retried.
    pub retries: u32,
    /// Priority among pending jobs.
    pub priority: Priority,
    /// Regions in which the tasks may run, in order of preference; empty for all.
    pub regions: Vec<Name>,
}
