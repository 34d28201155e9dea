//! What runners say, and what they are told.

use kspan_model::{Millis, Name, Resources};
use serde::{Deserialize, Serialize};

use crate::id::TaskId;

/// A runner as the host list shows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerEntry {
    /// Id of this life of the runner.
    pub id: Name,
    /// Service that the runner belongs to.
    pub service: Name,
    /// Address of its interface.
    pub addr: Name,
    /// Data centre.
    pub data_centre: Name,
    /// Whether it takes no new work.
    pub draining: bool,
    /// Room of the runner.
    pub capacity: Resources,
    /// Labels of the runner, its rack among them.
    pub labels: Vec<Name>,
    /// Start of this life, in milliseconds since 1970.
    pub started_unix_ms: u64,
}

/// A task that a runner has.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunningTask {
    /// The task.
    pub task: TaskId,
    /// Number of its start.
    pub run: u32,
    /// Newest checkpoint; empty where there is none.
    pub checkpoint: Name,
    /// Share of the work that is done, or of a long-running task that is at work.
    pub percent: u32,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndKind {
    /// The work is done.
    Done,
    /// It failed, through its own fault or the runner's.
    Failed,
    /// It was stopped on an order.
    Stopped,
    /// The runner's lease lapsed.
    LeaseExpired,
    /// Another member of its gang ended.
    GangBroken,
    /// The other members of its gang did not come.
    GangIncomplete,
}

/// An end that a runner reports until it is acknowledged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedTask {
    /// Number of the end in this life of the runner.
    pub number: u64,
    /// The task.
    pub task: TaskId,
    /// Number of its start.
    pub run: u32,
    /// How it ended.
    pub how: EndKind,
    /// Newest checkpoint; empty where there is none.
    pub checkpoint: Name,
}

/// A runner's answer to an inventory call.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Inventory {
    /// The runner's own clock.
    pub clock: Millis,
    /// Start of this life, in milliseconds since 1970; 0 where it is not told.
    pub started_unix_ms: u64,
    /// What it has.
    pub running: Vec<RunningTask>,
    /// Ends that are not acknowledged yet.
    pub ended: Vec<EndedTask>,
}

/// Why a runner refused a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// A higher fence was seen: another owner has taken over.
    Fenced,
    /// A run as high has ended there.
    StaleRun,
    /// The deadline has passed.
    DeadlinePassed,
    /// It does not fit.
    NoCapacity,
    /// The approval is not valid.
    InvalidTicket,
    /// The runner is unhealthy and did nothing.
    Unhealthy,
    /// The runner did not understand.
    Malformed,
}

/// What became of a start order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartOutcome {
    /// The task is there.
    Started(Millis),
    /// It will not run.
    Refused(Refusal),
    /// The runner's address belongs to another life now: this one has ended.
    OtherIncarnation,
    /// It may run, now or later.
    Unknown,
}

/// What became of an order other than a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// Carried out.
    Done,
    /// Refused for a higher fence.
    Fenced,
    /// The address belongs to another life now.
    OtherIncarnation,
    /// Refused for another reason.
    Refused,
    /// Not known.
    Unknown,
}

/// What became of an inventory call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum InventoryOutcome {
    /// The lists.
    Inventory(Inventory),
    /// Refused for a higher fence.
    Fenced,
    /// The address belongs to another life now.
    OtherIncarnation,
    /// No usable answer.
    NoAnswer,
}
