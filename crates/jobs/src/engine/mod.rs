//! Scheduling engine of a cell's owner.
//!
//! Commands pass inputs and their times to the engine. It returns orders and events as values, for
//! the caller to execute and log. Queries change nothing.

mod admission;
mod approval_requests;
mod approvals;
mod attempts;
mod candidate;
mod contention;
mod crash;
mod demand;
mod durable;
mod end_log;
mod ends;
mod estimate;
mod evidence;
mod explain;
mod failure;
mod gangs;
mod health;
mod host_list;
mod inventory;
mod job;
mod locality;
mod memory;
mod orders;
mod overrun;
mod parts;
mod place;
mod prefetch;
mod progress;
mod queries;
mod quiet;
mod quota;
mod rack_choice;
mod rack_forecast;
mod rack_places;
mod reserve;
mod runner;
mod schedule;
mod servable;
mod share;
mod silence;
mod stall;
mod submit;
mod successor;
mod tasks;
mod throttle;
mod urgency;

use std::collections::{BTreeSet, VecDeque};

use kspan_model::{Millis, Name, Resources};
use rustc_hash::{FxHashMap, FxHashSet};

use self::{
    admission::Admission,
    approvals::{ApprovalHosts, ApprovalRates},
    crash::{HeldStart, OpenRecords, RunnerCrashes},
    demand::Demand,
    durable::Batches,
    estimate::RunTimes,
    job::{Job, OrphanRun, Task},
    overrun::Overruns,
    quiet::QuietRunner,
    quota::TeamTable,
    rack_forecast::RackForecast,
    reserve::{Reservation, ServiceRunners},
    runner::{PlacedRun, Runner},
    share::SubmissionRates,
};
use crate::{
    config::CellConfig,
    id::{JobId, StepId, TaskId},
};

pub use self::{
    durable::Batch,
    end_log::{Acknowledgement, EndListing, LeaseView, ListedEnd, ListingKind},
    ends::{LossReason, RunEnd},
    explain::{Explanation, StepExplanation},
    failure::FailureCause,
    gangs::GangLoss,
    inventory::InventoryCall,
    locality::{LocalityRule, WaitEnd},
    queries::{JobState, Totals},
    runner::RunnerIx,
    share::TeamUsage,
    submit::{CancelOutcome, Submission, SubmitError, Submitted},
    successor::CallElsewhere,
    throttle::ThrottleOrder,
};

/// Timing and placement parameters of the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Lease that each order grants a runner.
    pub lease: Millis,
    /// Longest lease that a runner grants, whatever deadline an order names.
    pub max_lease: Millis,
    /// Margin after the end of a lease before it counts as expired.
    pub lease_margin: Millis,
    /// Time after a takeover during which orders of the previous owner may still reach a runner
    /// that the new owner cannot reach, including the lifetime of the tasks that they start.
    pub previous_owner_timeout: Millis,
    /// Maximum size of a record of the store, key included, in bytes.
    pub max_record_bytes: usize,
    /// Maximum memory of all accepted jobs that have not ended, in bytes, as estimated for all their tasks.
    pub max_job_bytes: u64,
    /// How long the state of an ended job is retained.
    pub ended_job_retention: Millis,
    /// Factor by which tasks run longer outside their preferred rack.
    pub cross_rack_slowdown: u32,
    /// How long runners let a member of a gang wait for the others.
    pub gang_wait: Millis,
}

/// An order for the engine's caller to execute.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    /// Start a task.
    Start(StartOrder),
    /// Stop a run. The runner then also refuses a start of that run that arrives later.
    Stop(StopOrder),
    /// Set the speed of a best-effort run.
    Throttle(ThrottleOrder),
    /// Request approvals of runners for a step.
    RequestApprovals(ApprovalRequest),
}

/// A start order for a runner.
#[derive(Clone, Debug, PartialEq)]
pub struct StartOrder {
    /// Target runner.
    pub runner_ix: RunnerIx,
    /// Task id.
    pub task: TaskId,
    /// Run number.
    pub run: u32,
    /// Text of the job specification.
    pub text: Name,
    /// Deadline on the runner's clock, after which the order is void.
    pub deadline: Millis,
    /// Checkpoint to resume from.
    pub checkpoint: Option<Name>,
    /// Approval ticket, where the queue requires one.
    pub ticket: Option<Name>,
    /// Time from the order on for which it may be sent: until its lease or its ticket ends, or the other members
    /// of its gang have waited for too long.
    pub valid_for: Millis,
    /// Whether attempts go on for that time. The alternative is to stop a whole gang.
    pub is_persistent: bool,
}

/// A stop order for a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopOrder {
    /// Target runner.
    pub runner_ix: RunnerIx,
    /// Task id.
    pub task: TaskId,
    /// Run number.
    pub run: u32,
}

/// A request for approvals.
#[derive(Clone, Debug, PartialEq)]
pub struct ApprovalRequest {
    /// Step id.
    pub step: StepId,
    /// Runners to be approved.
    pub runners: Vec<RunnerIx>,
    /// Host through which the request is sent.
    pub host: Name,
    /// Expected time until the response.
    pub expected_wait: Millis,
}

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
    /// A job with waiting tasks can no longer meet its objective. Emitted once for each job.
    JobLate {
        /// Job id.
        job: JobId,
        /// Queue that the job was submitted to.
        queue: String,
        /// Reason why its tasks wait.
        why: String,
        /// Time since the submission.
        elapsed: Millis,
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
    /// The status of a runner changed.
    RunnerChanged {
        /// Id of the runner.
        id: Name,
        /// Kind of change.
        what: &'static str,
    },
}

/// Scheduling engine of one cell.
pub struct Engine {
    cfg: Settings,
    config: CellConfig,
    jobs: FxHashMap<JobId, Job>,
    /// Memory that they may take, in bytes.
    job_bytes: u64,
    /// Active jobs.
    active: FxHashSet<JobId>,
    /// Active jobs that may have waiting tasks in steps that are ready.
    schedulable: FxHashSet<JobId>,
    /// Gangs that may have a run.
    live_gangs: BTreeSet<StepId>,
    runners: Vec<Runner>,
    by_id: FxHashMap<Name, RunnerIx>,
    /// Runners with a durable record of their restart.
    recorded_restarts: FxHashSet<Name>,
    /// Services that a configuration or a job has named, and listed runners of others.
    admission: Admission,
    approval_hosts: ApprovalHosts,
    approval_rates: ApprovalRates,
    run_times: RunTimes,
    overruns: Overruns,
    demand: Demand,
    /// Runners of each service.
    services: FxHashMap<Name, ServiceRunners>,
    /// Teams and what their runs use.
    teams: TeamTable,
    submission_rates: SubmissionRates,
    /// Runners that had room for one of the waiting tasks when the current scheduling pass began.
    open_runners: Vec<RunnerIx>,
    /// Runners reserved during the current scheduling pass.
    reserved: FxHashMap<RunnerIx, Reservation>,
    /// How tasks wait for their rack.
    locality_rule: LocalityRule,
    /// Forecast of the current scheduling pass.
    forecast: RackForecast,
    batches: Batches,
    /// Runs that may have crashed their runner.
    open_records: OpenRecords,
    runner_crashes: RunnerCrashes,
    /// Runners that are kept free of new starts.
    quiet_runners: Vec<QuietRunner>,
    /// Start orders that wait for their record.
    held_starts: Vec<HeldStart>,
    /// Tasks that were given up, whose jobs end with the next tick.
    given_up: Vec<TaskId>,
    /// Latest sequence number, which orders calls and outcomes.
    last_sequence: u64,
    /// Time until which runs of a previous owner may exist on runners that have not answered;
    /// `None` once every known runner has answered.
    unverified_until: Option<Millis>,
    /// Whether that time ends sooner because no previous owner gives orders any more.
    is_wait_shortened: bool,
    orders: VecDeque<Order>,
    events: Vec<Event>,
    /// Time of the latest proof that no newer owner has taken over.
    confirmed_at: Millis,
    /// Time at which the latest inventory call failed without a response.
    last_lost_response: Option<Millis>,
    /// Time of the latest tick.
    last_tick: Option<Millis>,
    /// End of the latest gap between ticks, during which the process may have been suspended.
    last_gap_end: Millis,
    /// Whether a runner has refused the owner's fencing token.
    fenced: bool,
}

impl Engine {
    /// Creates an engine for a cell without jobs; see [`Engine::recover`].
    pub fn new(cfg: Settings) -> Self {
        Self {
            cfg,
            config: CellConfig::default(),
            jobs: FxHashMap::default(),
            job_bytes: 0,
            active: FxHashSet::default(),
            schedulable: FxHashSet::default(),
            live_gangs: BTreeSet::new(),
            runners: Vec::new(),
            by_id: FxHashMap::default(),
            recorded_restarts: FxHashSet::default(),
            admission: Admission::default(),
            approval_hosts: ApprovalHosts::default(),
            approval_rates: ApprovalRates::default(),
            run_times: RunTimes::default(),
            overruns: Overruns::default(),
            demand: Demand::default(),
            services: FxHashMap::default(),
            teams: TeamTable::default(),
            submission_rates: SubmissionRates::default(),
            open_runners: Vec::new(),
            reserved: FxHashMap::default(),
            locality_rule: LocalityRule::default(),
            forecast: RackForecast::default(),
            batches: Batches::default(),
            open_records: OpenRecords::default(),
            runner_crashes: RunnerCrashes::default(),
            quiet_runners: Vec::new(),
            held_starts: Vec::new(),
            given_up: Vec::new(),
            last_sequence: 0,
            unverified_until: None,
            is_wait_shortened: false,
            orders: VecDeque::new(),
            events: Vec::new(),
            confirmed_at: Millis::ZERO,
            last_lost_response: None,
            last_tick: None,
            last_gap_end: Millis::ZERO,
            fenced: false,
        }
    }

    /// Applies a configuration unless a newer one is in force. Returns whether it was applied.
    pub fn configure(&mut self, config: CellConfig) -> bool {
        if config.version < self.config.version {
            return false;
        }
        self.teams.declare(&config);
        self.admission.name_services(&config);
        self.config = config;
        true
    }

    /// Records a proof, requested at `requested_at`, that no newer owner has taken over.
    pub fn confirm_ownership(&mut self, requested_at: Millis) {
        self.confirmed_at = self.confirmed_at.max(requested_at);
    }

    /// Replaces the set of hosts that can request approvals.
    pub fn set_approval_hosts(&mut self, hosts: &[Name]) {
        self.approval_hosts.replace(hosts);
    }

    /// Removes and returns the orders issued since the last call.
    pub fn take_orders(&mut self) -> Vec<Order> {
        self.orders.drain(..).collect()
    }

    /// Removes and returns the events emitted since the last call.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// Adds a run to a runner and charges it to its team.
    fn add_run(&mut self, runner_ix: RunnerIx, task: TaskId, run: u32, placed: PlacedRun) {
        let is_new = self.runners[runner_ix.0].add_run(task, run, placed);
        if let Some(charge) = placed.charge.filter(|_| is_new) {
            self.teams.charge(charge);
        }
    }

    fn task_mut(&mut self, task: TaskId) -> Option<&mut Task> {
        let job = self.jobs.get_mut(&task.step.job)?;
        let (step, _) = job.step_mut(task.step)?;
        step.tasks.get_mut(task.index as usize)
    }

    /// Removes a run from a runner and releases what it was charged. A task that waited for the end of the
    /// run may start.
    fn remove_run(&mut self, runner_ix: RunnerIx, task: TaskId, run: u32) {
        let removed = OrphanRun { runner_ix, run };
        if let Some(known) = self.task_mut(task)
            && known.orphan == Some(removed)
        {
            known.orphan = None;
            self.schedulable.insert(task.step.job);
        }
        let removed = self.runners[runner_ix.0].remove_run(task, run);
        if let Some(charge) = removed.and_then(|placed| placed.charge) {
            self.teams.release(charge);
        }
    }

    fn next_sequence(&mut self) -> u64 {
        self.last_sequence += 1;
        self.last_sequence
    }
}
