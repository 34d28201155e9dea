//! Input and result types of [`Cell`](crate::Cell).

use derive_more::Display;
use kspan_model::{
    JobId, JobResult, Millis, Name, Priority, Resources, Site, TaskId,
    document::{Spread, TaskShape},
};

use crate::TaskState;

/// A worker as described by the host list and by its own report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerSpec {
    /// Unique name.
    pub name: Name,
    /// Rack of the worker.
    pub rack: Name,
    /// Region and data centre of the worker.
    pub site: Site,
    /// Total capacity.
    pub capacity: Resources,
}

/// Availability of a worker for new tasks.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Hash)]
pub enum WorkerState {
    /// Accepts new tasks.
    #[default]
    #[display("available")]
    Available,
    /// Accepts no new tasks; its tasks are moved to other workers.
    #[display("draining")]
    Draining,
    /// Has sent no heartbeat for a while: accepts no new tasks, and the capacity of its tasks stays
    /// committed.
    #[display("silent")]
    Silent,
    /// Has left the shard; removed once nothing is committed on it.
    #[display("gone")]
    Gone,
}

/// How the tasks of a job run in relation to each other.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum JobKind {
    /// Long-lived runners; each is replaced when it ends.
    #[display("service")]
    Service,
    /// Independent tasks, each of which runs to completion once.
    #[display("batch")]
    Batch,
    /// Tasks that start all together or not at all.
    #[display("gang")]
    Gang {
        /// Whether the tasks should be placed on as few racks as possible.
        rack_near: bool,
    },
}

/// A job: one instance of a workload in this shard.
#[derive(Clone, Debug, PartialEq)]
pub struct JobSpec {
    /// Identifier, unique across all shards.
    pub id: JobId,
    /// The workload that declares the job; estimates are kept per workload.
    pub workload: Name,
    /// The team whose quota is charged.
    pub team: Name,
    /// Priority among queued jobs.
    pub priority: Priority,
    /// How the tasks run in relation to each other.
    pub kind: JobKind,
    /// Number of tasks.
    pub tasks: u32,
    /// Resources of each task.
    pub shape: TaskShape,
    /// Declared run time of a task; zero if it is unbounded.
    pub run_time: Millis,
    /// Number of failures that are retried, per task or for a gang as a whole.
    pub retries: u32,
    /// Failure domain over which the tasks are spread.
    pub spread: Spread,
    /// When the job was accepted, on the clock of the `now` arguments.
    pub submitted: Millis,
}

/// Reason why a job can never run.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum ImpossibleReason {
    /// The job has no tasks.
    #[display("the job has no tasks")]
    NoTasks,
    /// The team is not declared.
    #[display("team {_0} is not declared")]
    UnknownTeam(Name),
    /// No worker is large enough for one task.
    #[display("a task needs {needed}; the largest worker has {largest}")]
    NoWorkerLargeEnough {
        /// Resources of one task.
        needed: Resources,
        /// The worker capacity closest to it.
        largest: Resources,
    },
    /// No worker has as many accelerators as one task needs.
    #[display("a task needs {needed} accelerators; no worker has more than {max}")]
    NotEnoughAccelerators {
        /// Accelerators that one task needs.
        needed: u64,
        /// Largest number of accelerators on any worker.
        max: u64,
    },
    /// All workers together, when empty, hold fewer tasks than must start together.
    #[display("{tasks} tasks must start together; all workers together, when empty, hold {room}")]
    GangTooLarge {
        /// Tasks that must start together.
        tasks: u32,
        /// Number of tasks that all workers hold when empty.
        room: u64,
    },
    /// The team may not borrow and its quota is too small.
    #[display(
        "the job needs {needed} at once; team {team} has a quota of {quota} and may not borrow"
    )]
    OverQuota {
        /// The team.
        team: Name,
        /// Resources that must be committed at the same time.
        needed: Resources,
        /// The team's quota in this shard.
        quota: Resources,
    },
}

/// Result of [`Cell::submit`](crate::Cell::submit).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// The job is queued.
    Queued,
    /// The job is already known; nothing has changed.
    AlreadyKnown,
    /// The job can never run and was not recorded.
    Impossible(ImpossibleReason),
}

/// A task and the worker it is placed on.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PlacedTask {
    /// The task.
    pub task: TaskId,
    /// The worker.
    pub worker: Name,
}

/// Result of [`Cell::cancel`](crate::Cell::cancel).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CancelOutcome {
    /// The job is unknown or has ended.
    Unknown,
    /// No start of the job was ever decided; the job is removed.
    NotRun,
    /// At least one start was decided. The caller must stop the listed tasks; if none is listed the
    /// job is already removed, otherwise [`Effect::done`] reports when the last task has ended.
    Running(Vec<PlacedTask>),
}

/// Result of [`Cell::resize`](crate::Cell::resize).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResizeOutcome {
    /// No service has this identifier.
    Unknown,
    /// The new number is in effect; the caller must stop the listed runners.
    Changed(Vec<PlacedTask>),
}

/// An action for the caller, already applied to the cell when it is returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Start a task; its size is already committed.
    Start(Start),
    /// Take a task off its worker; it is queued again afterwards.
    Preempt {
        /// The task.
        task: TaskId,
        /// The worker it runs on.
        worker: Name,
        /// Whether to checkpoint the task rather than stop it.
        checkpoint: bool,
    },
    /// A queued job can no longer run and is removed.
    Impossible {
        /// The job.
        job: JobId,
        /// The reason.
        reason: ImpossibleReason,
    },
}

/// A task to start.
#[derive(Clone, Debug, PartialEq)]
pub struct Start {
    /// The task.
    pub task: TaskId,
    /// The worker to start it on.
    pub worker: Name,
    /// The workload that declares it.
    pub workload: Name,
    /// Resources committed to it.
    pub size: Resources,
}

/// How a task ended.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum End {
    /// Completed successfully.
    #[display("succeeded")]
    Succeeded,
    /// Ended with a failure.
    #[display("failed")]
    Failed,
    /// Stopped on request.
    #[display("stopped")]
    Stopped,
    /// Wrote a checkpoint and ended on request.
    #[display("checkpointed")]
    Checkpointed,
    /// Stopped by its worker because its lease expired.
    #[display("lease lapsed")]
    LeaseLapsed,
    /// Its worker is gone, or no longer lists it, and its lease has expired.
    #[display("lost")]
    Lost,
}

/// Reason why a worker refused a start.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum StartRefusal {
    /// The worker lacks capacity.
    #[display("no capacity")]
    NoCapacity,
    /// The start arrived after its not-after time.
    #[display("too late")]
    TooLate,
    /// The worker is leaving the shard.
    #[display("leaving")]
    Leaving,
}

/// A job that has ended and is removed from the cell.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobDone {
    /// The job.
    pub job: JobId,
    /// How it ended.
    pub result: JobResult,
    /// Reason in one sentence; empty on success.
    pub reason: Name,
}

/// Consequences of an event for the caller.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Effect {
    /// Whether the event changed anything; a late or duplicate event changes nothing.
    pub applied: bool,
    /// The new attempt queued as a retry.
    pub retry: Option<TaskId>,
    /// Other tasks that the caller must stop.
    pub stop: Vec<PlacedTask>,
    /// The job that ended with this event.
    pub done: Option<JobDone>,
}

/// Result of [`Cell::adopt`](crate::Cell::adopt).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdoptOutcome {
    /// The task is its job's current attempt, and its capacity is committed on the worker.
    Adopted,
    /// The task was already recorded on this worker; its state is updated.
    AlreadyKnown,
    /// The job is not known. The capacity stays committed until the task ends, or until the job is
    /// submitted and takes the task over.
    Orphaned,
    /// Another attempt of the same index is current, or the job does not run the index any more
    /// because it was resized, is ending or is restarting. The capacity stays committed until the
    /// task ends; the caller should stop the task.
    Superseded,
    /// The worker is not known; nothing is committed.
    UnknownWorker,
}

/// One task in a worker's inventory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InventoryEntry {
    /// The task.
    pub task: TaskId,
    /// Resources that the worker has committed to it.
    pub size: Resources,
    /// Its state, which must be one that holds a worker.
    pub state: TaskState,
    /// When it started, on the clock of the `now` arguments.
    pub started: Millis,
}

/// Reason why a job waits.
#[derive(Clone, Debug, Display, PartialEq)]
pub enum WaitReason {
    /// Every task has a worker.
    #[display("no task is waiting")]
    NotWaiting,
    /// Queued behind other jobs; not reached by the last plan.
    #[display("queued behind other jobs")]
    Turn,
    /// No worker has free capacity for the next start.
    #[display("no worker has {_0} free")]
    Capacity(Resources),
    /// The team's quota is used up and the team may not borrow.
    #[display("team {team} uses {held} of its quota {quota} and may not borrow")]
    Quota {
        /// The team.
        team: Name,
        /// Resources committed to the team.
        held: Resources,
        /// Its quota in this shard.
        quota: Resources,
    },
    /// A failed attempt is retried after a backoff.
    #[display("retry in backoff until {_0}")]
    Backoff(Millis),
    /// A reservation gathers capacity for the job.
    #[display("capacity is reserved for it until {until}")]
    Reserved {
        /// When the reservation expires.
        until: Millis,
    },
}
