//! Decisions and observations of the engine, for logs and metrics.

use kspan_model::{Millis, Name, Resources};

use super::{
    ApprovalUse, EndListing, FailureCause, GangLoss, Hold, LeaseView, ListedEnd, ListingKind,
    LossReason, RunEnd, WaitEnd,
};
use crate::id::{JobId, StepId, TaskId};

/// A decision or observation, to be logged and counted.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A start was ordered.
    StartOrdered {
        /// Task id.
        task: TaskId,
        /// Run number.
        run: u32,
        /// Id of the runner.
        runner: Name,
        /// How long the task had been waiting.
        waited: Millis,
        /// Processor capacity left free on the runner, in thousandths of a core.
        left_milli: u64,
        /// How the start uses an approval of the runner.
        approval: ApprovalUse,
    },
    /// A task or gang began to wait for room in its rack, although it could start in another one.
    RackWaitBegan {
        /// Task id; the first member of a gang.
        task: TaskId,
        /// Name of the rack.
        rack: Name,
        /// Predicted time until the start in the rack.
        predicted: Millis,
        /// Time after which the task gives up the rack.
        limit: Millis,
    },
    /// A task or gang that waited for its rack starts.
    RackWaitEnded {
        /// Task id; the first member of a gang.
        task: TaskId,
        /// Name of the rack.
        rack: Name,
        /// Reason for the end: `local`, `gave up` or `prediction worsened`.
        how: WaitEnd,
        /// Time until the start in the rack that was predicted when the wait began.
        predicted: Millis,
        /// Duration of the wait.
        waited: Millis,
    },
    /// A start was refused, or its outcome is in doubt.
    StartFailed {
        /// Task id.
        task: TaskId,
        /// Run number.
        run: u32,
        /// Id of the runner.
        runner: Name,
        /// Reason.
        why: &'static str,
    },
    /// A run ended.
    RunEnded {
        /// Task id.
        task: TaskId,
        /// Run number.
        run: u32,
        /// Id of the runner.
        runner: Name,
        /// How the owner learned that the run is over, and why.
        how: RunEnd,
        /// Start time of the incarnation that listed the end, or of the one that the owner believes in.
        started_unix_ms: u64,
        /// Inventory that listed the end; `None` if there was none.
        listing: Option<EndListing>,
        /// Time since the task entered its last state, which approximates the run time.
        elapsed: Millis,
    },
    /// An inventory listed ends again, or of runs that had been taken for lost, or was ignored.
    EndsListed {
        /// Why the ends are out of the ordinary.
        kind: ListingKind,
        /// Id of the runner.
        runner: Name,
        /// Start time of the incarnation that the call was meant for.
        meant_unix_ms: u64,
        /// Start time of the incarnation that answered.
        started_unix_ms: u64,
        /// Sequence number of the call.
        sequence: u64,
        /// Highest number that the runner has answered an acknowledgement of.
        acknowledged_number: u64,
        /// The ends.
        ends: Vec<ListedEnd>,
    },
    /// A runner left out ends that the owner has not seen.
    EndsForgotten {
        /// Id of the runner.
        runner: Name,
        /// Start time of the incarnation that answered.
        started_unix_ms: u64,
        /// Sequence number of the call.
        sequence: u64,
        /// Number of the first end that is missing.
        expected: u64,
        /// Lowest number that was listed instead.
        listed: u64,
    },
    /// Runs of a runner are taken for lost together. [`Event::RunEnded`] follows for each.
    RunsLost {
        /// Id of the runner.
        runner: Name,
        /// Start time of the incarnation that the owner believes in.
        started_unix_ms: u64,
        /// Evidence that the runs are over.
        reason: LossReason,
        /// Sequence number of the inventory call whose answer does not list them, if that is the reason.
        sequence: Option<u64>,
        /// Number of the latest end that this incarnation listed.
        last_number: u64,
        /// The runner's lease; `None` if no reading of its clock is known.
        lease: Option<LeaseView>,
        /// The runs, in order.
        runs: Vec<(TaskId, u32)>,
    },
    /// A runner ended without having drained, and took its runs with it.
    RunnerCrashed {
        /// Id of the runner.
        id: Name,
        /// Number of runs that were lost.
        runs: usize,
        /// Time since the latest of them was ordered; `None` if this owner ordered none.
        youngest: Option<Millis>,
    },
    /// The crash of a runner was counted against a task that ran on it.
    CrashCounted {
        /// Task id.
        task: TaskId,
        /// Run number.
        run: u32,
        /// Number of crashes counted against the task.
        count: usize,
        /// Whether no other run on the runner was a likely cause.
        was_alone: bool,
        /// Longest time for which the run can have been alive, if known.
        age: Option<Millis>,
        /// Whether the task is given up, which ends its job.
        is_given_up: bool,
    },
    /// A run that a previous owner ordered was adopted.
    RunAdopted {
        /// Task id.
        task: TaskId,
        /// Run number.
        run: u32,
        /// Id of the runner.
        runner: Name,
        /// Whether the run is a member of a gang's.
        is_of_gang: bool,
    },
    /// All members of a gang were ordered to start.
    GangOrdered {
        /// Step of the gang.
        step: StepId,
        /// Run number that the members share.
        run: u32,
        /// Ids of the members' runners, by index.
        runners: Vec<Name>,
    },
    /// The run of a gang can't become whole, and its members are being stopped.
    GangStopped {
        /// Member that will never be there.
        missing: TaskId,
        /// Number of the run.
        run: u32,
        /// Reason.
        why: GangLoss,
        /// Number of members that are being stopped.
        stopped: usize,
    },
    /// A run that matches no waiting task was found and is being stopped.
    OrphanRunFound {
        /// Task id.
        task: TaskId,
        /// Run number.
        run: u32,
        /// Id of the runner.
        runner: Name,
    },
    /// A run without progress is being stopped.
    RunStalled {
        /// Task id.
        task: TaskId,
        /// Run number.
        run: u32,
        /// Id of the runner.
        runner: Name,
    },
    /// A job ended.
    JobEnded {
        /// Job id.
        job: JobId,
        /// Final phase.
        how: &'static str,
        /// Time since the submission.
        elapsed: Millis,
    },
    /// A job fails, which ends it.
    JobFailed {
        /// Job id.
        job: JobId,
        /// Cause.
        cause: FailureCause,
    },
    /// A job with waiting tasks can no longer meet its objective. Emitted again from time to time while it waits.
    JobLate {
        /// Job id.
        job: JobId,
        /// Queue that the job was submitted to.
        queue: String,
        /// Reason why its tasks wait.
        why: String,
        /// Time since the submission.
        elapsed: Millis,
        /// Whether it is the first report of the job.
        is_first: bool,
    },
    /// A team reached its cap, or has tasks that may start again.
    CapChanged {
        /// Name of the team.
        team: Name,
        /// Whether the cap keeps tasks from starting.
        is_reached: bool,
        /// Resources of the team's runs.
        used: Resources,
        /// Cap of the team.
        cap: Resources,
    },
    /// A runner answers again after calls without an answer.
    RunnerAnswered {
        /// Id of the runner.
        id: Name,
        /// Time since the first of these calls failed.
        silent: Millis,
        /// Number of ends that the answer lists.
        ends: usize,
    },
    /// The speeds of a runner's best-effort runs change, because of the tail latencies beside them.
    ThrottleChanged {
        /// Id of the runner.
        id: Name,
        /// Sum of the speeds at which the runs are to work, in percent of the full speed of one.
        budget: u32,
        /// Highest tail latency of a latency-sensitive run there, in percent of its target.
        tail_percent: u64,
    },
    /// After a takeover, tasks wait no longer for runners that have not answered.
    TakeoverWaitEnded {
        /// Number of those runners.
        silent_runners: usize,
    },
    /// A task waited because a runner might have carried out a start that a previous owner had ordered, and waits no
    /// longer.
    DoubtEnded {
        /// Task id.
        task: TaskId,
        /// Run number.
        run: u32,
        /// Id of the runner.
        runner: Name,
        /// Time since the takeover.
        waited: Millis,
        /// Whether the runner has shown what it has. The alternative is that no order can be carried out any more.
        is_answered: bool,
    },
    /// A wait holds a task that could run. Emitted once for each cause.
    TaskHeld {
        /// The wait.
        hold: Hold,
        /// How long it has lasted.
        waited: Millis,
        /// Time until it ends at the latest; `None` if it lasts until a runner answers.
        left: Option<Millis>,
    },
    /// The status of a runner changed.
    RunnerChanged {
        /// Id of the runner.
        id: Name,
        /// Kind of change.
        what: &'static str,
    },
}
