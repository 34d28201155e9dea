//! Messages exchanged with runners: inventories, and the outcomes of orders.

use kspan_model::{Millis, Name, Resources};
use serde::{Deserialize, Serialize};

use crate::id::TaskId;

/// A runner's entry in the host list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerEntry {
    /// Id of this incarnation of the runner.
    pub id: Name,
    /// Service that the runner belongs to.
    pub service: Name,
    /// Address of the runner's HTTP interface.
    pub addr: Name,
    /// Data centre.
    pub data_centre: Name,
    /// Whether the runner is draining and takes no new work.
    pub draining: bool,
    /// Total resources of the runner.
    pub capacity: Resources,
    /// Labels of the runner, including its rack.
    pub labels: Vec<Name>,
    /// Start time of this incarnation, in milliseconds since the Unix epoch; 0 if unknown.
    pub started_unix_ms: u64,
}

/// Maximum size of a checkpoint, in bytes. A longer one is ignored, and the task resumes from the one before.
pub const MAX_CHECKPOINT_BYTES: usize = 1_024;

/// Returns whether a task can resume from a checkpoint: there is one, and it is not longer than
/// [`MAX_CHECKPOINT_BYTES`].
pub fn is_usable_checkpoint(checkpoint: &str) -> bool {
    (1..=MAX_CHECKPOINT_BYTES).contains(&checkpoint.len())
}

/// A run that a runner lists as running.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunningTask {
    /// Task id.
    pub task: TaskId,
    /// Run number.
    pub run: u32,
    /// Latest checkpoint; empty if there is none.
    pub checkpoint: Name,
    /// Progress in percent. For a long-running task, its current activity instead.
    pub percent: u32,
    /// Load over the last half second: for a latency-sensitive task its tail latency in milliseconds, for
    /// any other the processor time that it uses, in thousandths of a core.
    pub load: u32,
}

/// Reason for the end of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndKind {
    /// The task completed.
    Done,
    /// The run failed, through a fault of the task or of the runner.
    Failed,
    /// The run was stopped by an order.
    Stopped,
    /// The runner's lease expired.
    LeaseExpired,
    /// Another member of the gang ended.
    GangBroken,
    /// The other members of the gang did not start in time.
    GangIncomplete,
}

/// The end of a run, reported by the runner until it is acknowledged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedTask {
    /// Sequence number of the end within this incarnation of the runner.
    pub number: u64,
    /// Task id.
    pub task: TaskId,
    /// Run number.
    pub run: u32,
    /// Reason for the end.
    pub how: EndKind,
    /// Latest checkpoint; empty if there is none.
    pub checkpoint: Name,
}

/// A runner's response to an inventory call.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Inventory {
    /// Reading of the runner's clock.
    pub clock: Millis,
    /// Start time of this incarnation, in milliseconds since the Unix epoch; 0 if not reported.
    pub started_unix_ms: u64,
    /// Runs that the runner has.
    pub running: Vec<RunningTask>,
    /// Ends that have not been acknowledged yet.
    pub ended: Vec<EndedTask>,
    /// Whether the runner may have ends that it did not list: it lists up to a number of them, the oldest
    /// first.
    pub has_more_ends: bool,
    /// Number of rows that name no task of this system and were skipped.
    pub skipped_rows: usize,
}

impl Inventory {
    /// Returns whether the inventory lists a run as running or ended.
    pub fn reports(&self, task: TaskId, run: u32) -> bool {
        let is_running = |row: &RunningTask| (row.task, row.run) == (task, run);
        let is_ended = |end: &EndedTask| (end.task, end.run) == (task, run);
        self.running.iter().any(is_running) || self.ended.iter().any(is_ended)
    }
}

/// Reason why a runner refused a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The runner has seen a higher fencing token, so another owner has taken over.
    Fenced,
    /// A run of the task with the same or a higher number has already ended on the runner.
    StaleRun,
    /// The deadline of the order has passed.
    DeadlinePassed,
    /// The runner lacks free resources for the task.
    NoCapacity,
    /// The approval ticket is not valid.
    InvalidTicket,
    /// The runner is unhealthy and did not execute the order.
    Unhealthy,
    /// The runner could not parse the order.
    Malformed,
}

/// Outcome of a start order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartOutcome {
    /// The task is running; carries a reading of the runner's clock.
    Started(Millis),
    /// The task was not started and will not be.
    Refused(Refusal),
    /// The order was not sent, as the task is no longer to start there.
    Withdrawn,
    /// The runner's address now belongs to another incarnation, so this one has ended.
    OtherIncarnation,
    /// No usable response arrived: the task may be running, or may start later.
    InDoubt,
}

/// Outcome of an order that a runner executes or refuses: to stop a run, or to set its speed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The order was executed.
    Done,
    /// Refused because of a higher fencing token.
    Fenced,
    /// The address now belongs to another incarnation.
    OtherIncarnation,
    /// Refused for another reason.
    Refused,
    /// No usable response arrived: the order may have been executed, or may still be.
    InDoubt,
}

/// Outcome of an inventory call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum InventoryOutcome {
    /// The runner's inventory.
    Inventory(Inventory),
    /// Refused because of a higher fencing token.
    Fenced,
    /// The address now belongs to another incarnation.
    OtherIncarnation,
    /// No usable response arrived.
    NoResponse,
}
