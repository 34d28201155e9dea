//! What the program tells the cell and what the cell answers.

use derive_more::Display;
use kspan_model::{
    JobId, JobResult, Millis, Name, Priority, Resources, Site, TaskId,
    document::{Spread, TaskShape},
};

use crate::TaskState;

/// A worker as the host list and its own report describe it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerSpec {
    /// Unique name.
    pub name: Name,
    /// The rack that it stands in.
    pub rack: Name,
    /// Where it stands.
    pub site: Site,
    /// What it has.
    pub capacity: Resources,
}

/// Whether a worker may take new tasks.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Hash)]
pub enum WorkerState {
    /// Takes new tasks.
    #[default]
    #[display("available")]
    Available,
    /// Is leaving: takes no new tasks and its tasks are moved away.
    #[display("draining")]
    Draining,
    /// Has not answered for a while: takes no new tasks, and what it holds stays committed.
    #[display("silent")]
    Silent,
    /// Has left: forgotten once nothing is committed to it.
    #[display("gone")]
    Gone,
}

/// How the tasks of a job relate to each other.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum JobKind {
    /// Long-lived runners; each is replaced when it ends.
    #[display("service")]
    Service,
    /// Independent tasks that each run to their end once.
    #[display("batch")]
    Batch,
    /// Tasks that start all together or not at all.
    #[display("gang")]
    Gang {
        /// Whether the tasks should stand in as few racks as possible.
        rack_near: bool,
    },
}

/// A job: one instance of a workload in this shard.
#[derive(Clone, Debug, PartialEq)]
pub struct JobSpec {
    /// Identifier, unique in the cell.
    pub id: JobId,
    /// The workload that declares it; estimates are learned per workload.
    pub workload: Name,
    /// The team that is charged.
    pub team: Name,
    /// Priority among waiting jobs.
    pub priority: Priority,
    /// How its tasks relate.
    pub kind: JobKind,
    /// Number of tasks.
    pub tasks: u32,
    /// What each task needs.
    pub shape: TaskShape,
    /// Declared run time of a task; zero where it has no end.
    pub run_time: Millis,
    /// Failures allowed after the first: of one task, or of a gang as a whole.
    pub retries: u32,
    /// What the tasks are spread over.
    pub spread: Spread,
    /// When the job was accepted, on the clock of the `now` arguments.
    pub submitted: Millis,
}

/// Why a job can never run.
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
        /// What one task needs.
        needed: Resources,
        /// The worker that comes nearest.
        largest: Resources,
    },
    /// No worker has the accelerators that one task needs.
    #[display("a task needs {needed} accelerators; no worker has more than {most}")]
    NotEnoughAccelerators {
        /// Accelerators that one task needs.
        needed: u64,
        /// Most accelerators of any worker.
        most: u64,
    },
    /// All workers together, empty, hold fewer tasks than must start together.
    #[display("{tasks} tasks must start together; all workers, empty, hold {room}")]
    GangTooLarge {
        /// Tasks that must start together.
        tasks: u32,
        /// Tasks that all workers hold when empty.
        room: u64,
    },
    /// The team may not borrow and its quota is too small.
    #[display("the job needs {needed} at once; team {team} may hold {quota} and not borrow")]
    OverQuota {
        /// The team.
        team: Name,
        /// What must be held at once.
        needed: Resources,
        /// The team's quota in this shard.
        quota: Resources,
    },
}

/// Answer to a submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// The job waits for workers.
    Queued,
    /// The job is known already; nothing has changed.
    AlreadyKnown,
    /// The job can never run and was not kept.
    Impossible(ImpossibleReason),
}

/// A task and the worker that holds it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PlacedTask {
    /// The task.
    pub task: TaskId,
    /// The worker.
    pub worker: Name,
}

/// Answer to a cancellation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CancelOutcome {
    /// No such job, or it has ended.
    Unknown,
    /// No start was ever decided; the job is forgotten.
    NotRun,
    /// Some start was decided. The tasks listed are to be stopped; where none is listed the job
    /// is forgotten already, otherwise [`Effect::done`] tells when the last one has ended.
    Running(Vec<PlacedTask>),
}

/// Answer to a change of a service's number of runners.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResizeOutcome {
    /// No such service.
    Unknown,
    /// The number is in force; the runners listed are to be stopped.
    Changed(Vec<PlacedTask>),
}

/// What is to be done. Each decision is in force in the cell when it is returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// A task is to be started; its size is committed.
    Start(Start),
    /// A task is to be taken off its worker; it starts again elsewhere.
    Preempt {
        /// The task.
        task: TaskId,
        /// The worker that holds it.
        worker: Name,
        /// Whether to checkpoint it rather than stop it.
        checkpoint: bool,
    },
    /// A queued job can no longer ever run; it is forgotten.
    Impossible {
        /// The job.
        job: JobId,
        /// Why.
        reason: ImpossibleReason,
    },
}

/// A task to start.
#[derive(Clone, Debug, PartialEq)]
pub struct Start {
    /// The task.
    pub task: TaskId,
    /// The worker that is to run it.
    pub worker: Name,
    /// The workload that declares it.
    pub workload: Name,
    /// What it is committed.
    pub size: Resources,
}

/// How a task ended.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum End {
    /// Ended well.
    #[display("succeeded")]
    Succeeded,
    /// Ended with a failure.
    #[display("failed")]
    Failed,
    /// Stopped on command.
    #[display("stopped")]
    Stopped,
    /// Wrote a checkpoint and ended on command.
    #[display("checkpointed")]
    Checkpointed,
    /// Stopped by its worker because its lease lapsed.
    #[display("lease lapsed")]
    LeaseLapsed,
    /// Its worker is gone, or has forgotten it, and its lease has provably lapsed.
    #[display("lost")]
    Lost,
}

/// Why a worker refused a start.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum StartRefusal {
    /// The worker lacks capacity.
    #[display("no capacity")]
    NoCapacity,
    /// The start came after its not-after time.
    #[display("too late")]
    TooLate,
    /// The worker is leaving.
    #[display("leaving")]
    Leaving,
}

/// A job that has ended and is forgotten.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobDone {
    /// The job.
    pub job: JobId,
    /// How it ended.
    pub result: JobResult,
    /// Why, in one sentence; empty on success.
    pub reason: Name,
}

/// What the program should know after an event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Effect {
    /// Whether the event changed anything; a late or doubled event changes nothing.
    pub applied: bool,
    /// The next attempt that was queued.
    pub retry: Option<TaskId>,
    /// Other tasks that are to be stopped now.
    pub stop: Vec<PlacedTask>,
    /// The job that ended with this event.
    pub done: Option<JobDone>,
}

/// Answer to the adoption of a task found on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdoptOutcome {
    /// The task is its job's current attempt and holds its worker.
    Adopted,
    /// The task was known on this worker already; its state is brought up to date.
    AlreadyKnown,
    /// The job is not known here yet. The capacity is committed until the task ends, and a
    /// submission of the job takes the task over.
    Orphaned,
    /// Another attempt of the same index is current, or the job no longer wants the index. The
    /// capacity is committed until the task ends; the program should stop the task.
    Superseded,
    /// The worker is not known; nothing was committed.
    UnknownWorker,
}

/// A row of a worker's inventory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InventoryEntry {
    /// The task.
    pub task: TaskId,
    /// What the worker has committed to it.
    pub size: Resources,
    /// Its state; one that holds a worker.
    pub state: TaskState,
    /// When it started, on the clock of the `now` arguments.
    pub started: Millis,
}

/// Why a job waits.
#[derive(Clone, Debug, Display, PartialEq)]
pub enum WaitReason {
    /// Every task has a worker.
    #[display("nothing waits")]
    NotWaiting,
    /// Its turn has not come in the last plan.
    #[display("waits for its turn")]
    Turn,
    /// No worker has room for a task now.
    #[display("no worker has room for {_0} now")]
    Capacity(Resources),
    /// The team holds its quota and may not borrow.
    #[display("team {team} holds {held} of its quota {quota}")]
    Quota {
        /// The team.
        team: Name,
        /// What it holds.
        held: Resources,
        /// Its quota in this shard.
        quota: Resources,
    },
    /// A failed attempt is repeated later.
    #[display("retries at {_0}")]
    Backoff(Millis),
    /// Capacity is being gathered for it.
    #[display("capacity is held for it until {until}")]
    Reserved {
        /// When the reservation expires.
        until: Millis,
    },
}
