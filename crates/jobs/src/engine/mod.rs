//! The owner's decisions.
//!
//! Commands tell the engine what happened and when; orders and notes come out as values, to be
//! carried out and logged by the program. Queries change nothing.

mod advice;
mod ask;
mod durable;
mod ends;
mod estimate;
mod explain;
mod health;
mod inventory;
mod job;
mod orders;
mod place;
mod queries;
mod reserve;
mod runner;
mod runners;
mod stall;
mod submit;
mod urgency;

use std::collections::VecDeque;

use kspan_model::{Millis, Name};
use rustc_hash::{FxHashMap, FxHashSet};

use self::{
    advice::{Advisors, ApprovalRates},
    durable::Batches,
    estimate::RunTimes,
    job::Job,
    runner::Runner,
};
use crate::{
    config::CellConfig,
    id::{JobId, StepId, TaskId},
    runner::EndKind,
};

pub use self::{
    durable::Batch,
    explain::{Explanation, StepExplanation},
    inventory::InventoryCall,
    queries::{JobState, Totals},
    runner::RunnerIx,
    submit::{CancelOutcome, Submission, SubmitError, Submitted},
};

/// Bounds that the owner works with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// How long an order lets a runner go on without another.
    pub lease: Millis,
    /// Time added before a lease counts as lapsed.
    pub lease_margin: Millis,
    /// How long after a takeover an earlier owner's orders may still reach a runner that the
    /// new owner can't reach, and what they started may live.
    pub previous_owner_timeout: Millis,
    /// How long the state of an ended job is kept.
    pub ended_job_retention: Millis,
    /// How many times as long tasks take away from their rack.
    pub cross_rack_slowdown: u32,
}

/// What the program is asked to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    /// Start a task.
    Start(StartOrder),
    /// Stop a task; also bars a start of that run that has not arrived yet.
    Stop(StopOrder),
    /// Ask for approvals.
    RequestApprovals(ApprovalRequest),
}

/// A start to be sent to a runner.
#[derive(Clone, Debug, PartialEq)]
pub struct StartOrder {
    /// Runner.
    pub runner_ix: RunnerIx,
    /// Task.
    pub task: TaskId,
    /// Number of the start.
    pub run: u32,
    /// Text of the job.
    pub text: Name,
    /// Time on the runner's clock after which the order is void.
    pub deadline: Millis,
    /// Checkpoint to resume from.
    pub checkpoint: Option<Name>,
    /// Approval.
    pub ticket: Option<Name>,
}

/// A stop to be sent to a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopOrder {
    /// Runner.
    pub runner_ix: RunnerIx,
    /// Task.
    pub task: TaskId,
    /// Number of the start.
    pub run: u32,
}

/// A call for approvals.
#[derive(Clone, Debug, PartialEq)]
pub struct ApprovalRequest {
    /// Step.
    pub step: StepId,
    /// Runners asked about.
    pub runners: Vec<RunnerIx>,
    /// Host that asks.
    pub host: Name,
    /// Time until the answer is expected.
    pub expected_wait: Millis,
}

/// Something that was decided or learned, for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A start was ordered.
    StartOrdered {
        /// Task.
        task: TaskId,
        /// Number of the start.
        run: u32,
        /// Runner.
        runner: Name,
        /// How long the task had waited.
        waited: Millis,
        /// Room left on the runner, in thousandths of a core.
        left_milli: u64,
    },
    /// A start was refused or its outcome is not known.
    StartFailed {
        /// Task.
        task: TaskId,
        /// Number of the start.
        run: u32,
        /// Runner.
        runner: Name,
        /// Why.
        why: &'static str,
    },
    /// A run is over.
    RunEnded {
        /// Task.
        task: TaskId,
        /// Number of the start.
        run: u32,
        /// Runner.
        runner: Name,
        /// How it ended; `None` where no end was listed.
        how: Option<EndKind>,
        /// How long it ran or was believed to.
        elapsed: Millis,
    },
    /// A run of an earlier owner goes on.
    RunAdopted {
        /// Task.
        task: TaskId,
        /// Number of the start.
        run: u32,
        /// Runner.
        runner: Name,
    },
    /// A run that nothing asks for was found and is stopped.
    OrphanRunFound {
        /// Task.
        task: TaskId,
        /// Number of the start.
        run: u32,
        /// Runner.
        runner: Name,
    },
    /// A run that stood still is stopped.
    RunStalled {
        /// Task.
        task: TaskId,
        /// Number of the start.
        run: u32,
        /// Runner.
        runner: Name,
    },
    /// A job ended.
    JobEnded {
        /// Job.
        job: JobId,
        /// How.
        how: &'static str,
        /// Time since it was submitted.
        elapsed: Millis,
    },
    /// A runner came, changed or went.
    RunnerChanged {
        /// Runner.
        id: Name,
        /// What happened.
        what: &'static str,
    },
}

/// The owner's decisions about one cell.
pub struct Engine {
    cfg: Settings,
    config: CellConfig,
    jobs: FxHashMap<JobId, Job>,
    /// Jobs that have work left.
    active: FxHashSet<JobId>,
    /// Active jobs that may have tasks waiting in steps that are ready.
    open: FxHashSet<JobId>,
    runners: Vec<Runner>,
    by_id: FxHashMap<Name, RunnerIx>,
    advisors: Advisors,
    approval_rates: ApprovalRates,
    run_times: RunTimes,
    /// Runners that the decision under way keeps free for tasks that went before.
    reserved: Vec<RunnerIx>,
    batches: Batches,
    /// Number of the newest event.
    events: u64,
    /// Time until which runs of an earlier owner may be out of reach; `None` once all runners
    /// that it knew have answered.
    unaccounted_until: Option<Millis>,
    orders: VecDeque<Order>,
    notes: Vec<Event>,
    /// When it was last proved that no newer owner has taken over.
    confirmed: Millis,
    /// When a runner last left an inventory call unanswered.
    answer_lost: Option<Millis>,
    /// When the engine was last told the time.
    ticked: Option<Millis>,
    /// End of the last gap in which this owner may have stood still.
    woke: Millis,
    /// Whether a runner has refused the fence.
    fenced: bool,
}

impl Engine {
    /// Creates an engine of a cell that has no jobs yet; see [`Engine::recover`].
    pub fn new(cfg: Settings) -> Self {
        Self {
            cfg,
            config: CellConfig::default(),
            jobs: FxHashMap::default(),
            active: FxHashSet::default(),
            open: FxHashSet::default(),
            runners: Vec::new(),
            by_id: FxHashMap::default(),
            advisors: Advisors::default(),
            approval_rates: ApprovalRates::default(),
            run_times: RunTimes::default(),
            reserved: Vec::new(),
            batches: Batches::default(),
            events: 0,
            unaccounted_until: None,
            orders: VecDeque::new(),
            notes: Vec::new(),
            confirmed: Millis::ZERO,
            answer_lost: None,
            ticked: None,
            woke: Millis::ZERO,
            fenced: false,
        }
    }

    /// Puts a configuration in force, unless a newer one is. Returns whether it did.
    pub fn configure(&mut self, config: CellConfig) -> bool {
        if config.version < self.config.version {
            return false;
        }
        self.config = config;
        true
    }

    /// Notes a proof, asked for at `asked`, that no newer owner has taken over.
    pub fn confirm_ownership(&mut self, asked: Millis) {
        self.confirmed = self.confirmed.max(asked);
    }

    /// Replaces the hosts that can ask for approvals.
    pub fn set_approval_hosts(&mut self, hosts: &[Name]) {
        self.advisors.set(hosts);
    }

    /// Takes the orders that were decided since the last call.
    pub fn take_orders(&mut self) -> Vec<Order> {
        self.orders.drain(..).collect()
    }

    /// Takes the notes that were made since the last call.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.notes)
    }

    fn next_event(&mut self) -> u64 {
        self.events += 1;
        self.events
    }
}
