//! State machine of a router: services with their queues, runners with their slots and loans, and
//! idempotency keys.
//!
//! Methods change the state and produce [`Effect`]s, which the program takes with
//! [`Engine::take_effects`] and carries out. One thread owns an engine.
//!
//! The engine does no I/O and does not time out dispatches; the program reports their outcome.

mod admit;
mod borrow;
pub mod effect;
mod keys;
mod lend;
mod query;
mod runner;
mod service;
mod table;

use std::sync::Arc;

use kspan_model::{Fence, Millis, Name, NodeId, Site, TaskId, View};
use kspan_wire::message::routing::Message;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rustc_hash::{FxHashMap, FxHashSet};

use self::{borrow::Borrower, keys::Keys, runner::Runner, service::Service};
use crate::engine::effect::{DispatchId, Effect};

pub use self::{
    admit::Arrival,
    keys::ClaimStatus,
    query::{RunnerDump, ServiceDump},
    table::RunnerHealth,
};

/// Maximum time between two ticks. After a longer gap this router may have missed a view in which
/// it was superseded.
const MAX_TICK_GAP: Millis = Millis(500);

/// Maximum age of the guard's state on which this router acts as a home, so that a process that
/// resumes from a pause refreshes the state first.
const MAX_AUTHORITY_AGE: Millis = Millis(200);

/// Selects the home of a runner in a view.
pub type RunnerHome = Box<dyn Fn(&View, TaskId, &Site) -> Option<NodeId>>;

/// Selects the home of a key in a view.
pub type KeyHome = Box<dyn Fn(&View, &str) -> Option<NodeId>>;

/// Identity of this router and selection of homes.
pub struct Config {
    /// This router.
    pub me: NodeId,
    /// The site of this router.
    pub site: Site,
    /// Selects the home of a runner.
    pub runner_home: RunnerHome,
    /// Selects the home of a key.
    pub key_home: KeyHome,
    /// Seed of the random choices.
    pub seed: u64,
}

/// Whether this router may act as a home.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Authority {
    /// Whether the guard of this router allows it to act.
    pub may_act: bool,
    /// Number of the highest active view.
    pub activated: u64,
}

/// The state machine of a router.
pub struct Engine {
    cfg: Config,
    view: Arc<View>,
    routers: u32,
    authority: Authority,
    activated_at: Millis,
    /// Whether another router may have been home in a view that this router missed.
    may_have_missed_view: bool,
    last_tick: Millis,
    generation: u64,
    services: Vec<Service>,
    service_index: FxHashMap<Name, usize>,
    runners: Vec<Option<Runner>>,
    runner_index: FxHashMap<TaskId, u32>,
    table_versions: FxHashMap<Name, (Fence, u64)>,
    /// Runners that were removed from their table recently, with the time of removal. Loans of
    /// their slots may not have expired.
    dropped_runners: FxHashMap<TaskId, Millis>,
    leaving_hosts: FxHashSet<Name>,
    in_flight: FxHashMap<DispatchId, InFlightDispatch>,
    last_dispatch_id: u64,
    last_loan_id: u64,
    borrower: Borrower,
    keys: Keys,
    effects: Vec<Effect>,
    rng: ChaCha8Rng,
}

/// A dispatch in flight.
#[derive(Clone, Debug)]
struct InFlightDispatch {
    runner: TaskId,
    service: usize,
    source: Source,
}

/// Source of the slot that a dispatch uses.
#[derive(Clone, Debug)]
enum Source {
    /// The ledger of this router as home, in one of its generations.
    Own { generation: u64 },
    /// A loan from the runner's home.
    Loan { from: NodeId, id: u64 },
}

impl Engine {
    /// Creates an engine without view, document or runners.
    pub fn new(cfg: Config) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(cfg.seed),
            cfg,
            view: Arc::default(),
            routers: 1,
            authority: Authority::default(),
            activated_at: Millis::ZERO,
            may_have_missed_view: false,
            last_tick: Millis::ZERO,
            generation: 0,
            services: Vec::new(),
            service_index: FxHashMap::default(),
            runners: Vec::new(),
            runner_index: FxHashMap::default(),
            table_versions: FxHashMap::default(),
            dropped_runners: FxHashMap::default(),
            leaving_hosts: FxHashSet::default(),
            in_flight: FxHashMap::default(),
            last_dispatch_id: 0,
            last_loan_id: 0,
            borrower: Borrower::default(),
            keys: Keys::default(),
            effects: Vec::new(),
        }
    }

    /// Removes and returns the pending effects in order.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Handles a message from another router.
    pub fn receive(
        &mut self,
        from: &NodeId,
        message: Message,
        now: Millis,
        unix: kspan_model::UnixMillis,
    ) {
        match message {
            Message::CreditRequest(request) => self.on_credit_request(from, &request, now),
            Message::CreditLoan(loan) => self.on_credit_loan(from, &loan, now),
            Message::RenewalRequest(request) => self.on_renewal_request(from, request, now),
            Message::Renewal(renewal) => self.on_renewal(from, renewal, now),
            Message::CreditReturn(credit_return) => self.on_credit_return(from, credit_return, now),
            Message::Leaving { runner } => self.on_leaving(from, runner, now),
            Message::Claim(claim) => self.on_claim(from, &claim, now, unix),
            Message::ClaimReply(reply) => self.on_claim_reply(from, reply),
            Message::Settle(settle) => self.on_settle(from, settle, now, unix),
        }
    }

    /// Expires requests, loans and grants, and sends due health checks and loan requests. To be
    /// called about every 10 ms, right after [`Engine::set_authority`].
    pub fn tick(&mut self, now: Millis) {
        self.detect_tick_gap(now);
        self.last_tick = now;
        self.tick_runners(now);
        self.tick_loans(now);
        self.tick_services(now);
        self.tick_keys(now);
    }

    /// Returns whether this router may act as a home at `now`.
    fn may_act(&self, now: Millis) -> bool {
        self.authority.may_act && now.saturating_sub(self.last_tick) <= MAX_AUTHORITY_AGE
    }

    /// Records a gap between ticks in which this router may have missed a view.
    fn detect_tick_gap(&mut self, now: Millis) {
        if now.saturating_sub(self.last_tick) > MAX_TICK_GAP {
            self.may_have_missed_view = true;
        }
    }

    fn send(&mut self, to: &NodeId, message: Message) {
        self.effects.push(Effect::Send {
            to: to.clone(),
            message,
        });
    }

    fn runner_mut(&mut self, task: TaskId) -> Option<(u32, &mut Runner)> {
        let index = *self.runner_index.get(&task)?;
        let runner = self.runners[index as usize].as_mut()?;
        Some((index, runner))
    }
}
