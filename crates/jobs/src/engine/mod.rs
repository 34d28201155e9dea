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
mod doubts;
mod durable;
mod end_log;
mod ends;
mod estimate;
mod event;
mod evidence;
mod explain;
mod failure;
mod gangs;
mod health;
mod holds;
mod host_list;
mod inventory;
mod job;
mod locality;
mod memory;
mod orders;
mod overrun;
mod parts;
mod pauses;
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
mod startable;
mod submit;
mod successor;
mod task;
mod tasks;
mod throttle;
mod urgency;

use std::collections::{BTreeSet, VecDeque};

use kspan_model::{Millis, Name};
use rustc_hash::{FxHashMap, FxHashSet};

use self::{
    admission::Admission,
    approvals::{ApprovalHosts, ApprovalRates},
    crash::{HeldStart, OpenRecords, RunnerCrashes},
    demand::Demand,
    doubts::FormerDoubts,
    durable::Batches,
    estimate::RunTimes,
    holds::ReportedHolds,
    job::Job,
    overrun::Overruns,
    quiet::QuietRunner,
    quota::TeamTable,
    rack_forecast::RackForecast,
    reserve::{Reservation, ServiceRunners},
    runner::{PlacedRun, Runner},
    share::SubmissionRates,
    task::{OrphanRun, Task},
};
use crate::{
    config::CellConfig,
    id::{JobId, StepId, TaskId},
    record::DoubtedRun,
};

pub use self::{
    approvals::ApprovalUse,
    durable::Batch,
    end_log::{Acknowledgement, EndListing, LeaseView, ListedEnd, ListingKind},
    ends::{LossReason, RunEnd},
    event::Event,
    explain::{Explanation, StepExplanation},
    failure::FailureCause,
    gangs::GangLoss,
    holds::{Hold, HoldCause},
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
    /// Runs whose start is recorded to be in doubt, by runner.
    recorded_doubts: FxHashMap<Name, Vec<DoubtedRun>>,
    /// What previous owners recorded of starts without an answer.
    former_doubts: FormerDoubts,
    /// Waits of tasks that have been reported.
    reported_holds: ReportedHolds,
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
    /// Time of the takeover.
    recovered_at: Millis,
    /// Time until which runs of a previous owner may exist on runners that have not answered;
    /// `None` once every known runner has answered.
    unverified_until: Option<Millis>,
    /// Whether that time ends sooner because no previous owner gives orders any more.
    is_wait_shortened: bool,
    /// Time at which no task waits for those runners any more, as of the current scheduling pass.
    verified_at: Option<Millis>,
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
            recorded_doubts: FxHashMap::default(),
            former_doubts: FormerDoubts::default(),
            reported_holds: ReportedHolds::default(),
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
            recovered_at: Millis::ZERO,
            unverified_until: None,
            is_wait_shortened: false,
            verified_at: None,
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
        if self.task_mut(task).and_then(|known| known.orphan) == Some(removed) {
            let other = self.find_late_run(task, removed);
            if let Some(known) = self.task_mut(task) {
                known.orphan = other;
            }
            if other.is_none() {
                self.schedulable.insert(task.step.job);
            }
        }
        let removed = self.runners[runner_ix.0].remove_run(task, run);
        if let Some(charge) = removed.and_then(|placed| placed.charge) {
            self.teams.release(charge);
        }
    }

    /// Returns a run of a task that should not exist, other than the one that is being removed.
    fn find_late_run(&self, task: TaskId, removed: OrphanRun) -> Option<OrphanRun> {
        let job = self.jobs.get(&task.step.job)?;
        let (step, _) = job.step(task.step)?;
        let known = step.tasks.get(task.index as usize)?;
        let wanted = known.state.runner().map(|runner_ix| OrphanRun {
            runner_ix,
            run: known.run,
        });
        let living = (0..).zip(&self.runners).filter(|(_, runner)| !runner.dead);
        let mut late = living.flat_map(|(ix, runner)| {
            let of_task = runner.runs.keys().filter(move |(other, _)| *other == task);
            of_task.map(move |(_, run)| OrphanRun {
                runner_ix: RunnerIx(ix),
                run: *run,
            })
        });
        late.find(|run| *run != removed && Some(*run) != wanted)
    }

    fn next_sequence(&mut self) -> u64 {
        self.last_sequence += 1;
        self.last_sequence
    }
}
