//! The router's state: services with their queues, runners with their accounts and loans, and
//! the memory of idempotency keys.
//!
//! Commands change the state and leave [`Effect`]s, which the program takes with
//! [`Engine::take_effects`] and carries out. One thread owns an engine.
//!
//! The engine does not talk to anybody, and does not time out dispatches: the program reports
//! their end.

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

/// Longest time between two ticks after which this router may have been superseded unnoticed.
const MAX_TICK_GAP: Millis = Millis(500);

/// Oldest word of the guard that is acted on. A process that wakes from a pause asks again before
/// it acts as a home.
const MAX_AUTHORITY_AGE: Millis = Millis(200);

/// Ranks the home of a runner in a view.
pub type RunnerHome = Box<dyn Fn(&View, TaskId, &Site) -> Option<NodeId>>;

/// Ranks the home of a key in a view.
pub type KeyHome = Box<dyn Fn(&View, &str) -> Option<NodeId>>;

/// Who this router is and how homes are ranked.
pub struct Config {
    /// This router.
    pub me: NodeId,
    /// Where it stands.
    pub site: Site,
    /// Ranks the home of a runner.
    pub runner_home: RunnerHome,
    /// Ranks the home of a key.
    pub key_home: KeyHome,
    /// Seed of the random choices.
    pub seed: u64,
}

/// Whether this router may act as a home.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Authority {
    /// Whether its guard holds.
    pub may_act: bool,
    /// The highest view that it may act on for homes that moved.
    pub activated: u64,
}

/// The router's state.
pub struct Engine {
    cfg: Config,
    view: Arc<View>,
    routers: u32,
    authority: Authority,
    activated_at: Millis,
    /// Whether another router may have acted as home in a view that was never seen here.
    lapsed: bool,
    last_tick: Millis,
    generation: u64,
    services: Vec<Service>,
    service_index: FxHashMap<Name, usize>,
    runners: Vec<Option<Runner>>,
    runner_index: FxHashMap<TaskId, u32>,
    shards: FxHashMap<Name, (Fence, u64)>,
    /// Runners that left their table lately. Loans on them may be out.
    dropped: FxHashMap<TaskId, Millis>,
    leaving_hosts: FxHashSet<Name>,
    in_flight: FxHashMap<DispatchId, InFlight>,
    tickets: u64,
    loans: u64,
    borrower: Borrower,
    keys: Keys,
    effects: Vec<Effect>,
    rng: ChaCha8Rng,
}

/// One dispatch.
#[derive(Clone, Debug)]
struct InFlight {
    runner: TaskId,
    service: usize,
    source: Source,
}

/// What the slot of a dispatch came from.
#[derive(Clone, Debug)]
enum Source {
    /// The home's own account, in one of its lives.
    Own { generation: u64 },
    /// A loan.
    Loan { from: NodeId, id: u64 },
}

impl Engine {
    /// Creates an engine that knows nothing yet.
    pub fn new(cfg: Config) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(cfg.seed),
            cfg,
            view: Arc::default(),
            routers: 1,
            authority: Authority::default(),
            activated_at: Millis::ZERO,
            lapsed: false,
            last_tick: Millis::ZERO,
            generation: 0,
            services: Vec::new(),
            service_index: FxHashMap::default(),
            runners: Vec::new(),
            runner_index: FxHashMap::default(),
            shards: FxHashMap::default(),
            dropped: FxHashMap::default(),
            leaving_hosts: FxHashSet::default(),
            in_flight: FxHashMap::default(),
            tickets: 0,
            loans: 0,
            borrower: Borrower::default(),
            keys: Keys::default(),
            effects: Vec::new(),
        }
    }

    /// Takes what is to be done, in order.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Handles a message of another router.
    pub fn receive(
        &mut self,
        from: &NodeId,
        message: Message,
        now: Millis,
        unix: kspan_model::UnixMillis,
    ) {
        match message {
            Message::CreditRequest(ask) => self.on_ask(from, &ask, now),
            Message::CreditLoan(lend) => self.on_lend(from, &lend, now),
            Message::RenewalRequest(keep) => self.on_keep(from, keep, now),
            Message::Renewal(kept) => self.on_kept(from, kept, now),
            Message::CreditReturn(back) => self.on_return(from, back, now),
            Message::Leaving { runner } => self.on_leaving(from, runner, now),
            Message::Claim(claim) => self.on_claim(from, &claim, now, unix),
            Message::ClaimReply(verdict) => self.on_verdict(from, verdict),
            Message::Settle(settle) => self.on_settle(from, settle, now, unix),
        }
    }

    /// Does what is due: expires waits, loans and grants, and asks for what is needed. To be
    /// called every 10 ms or so, right after [`Engine::set_authority`].
    pub fn tick(&mut self, now: Millis) {
        self.observe(now);
        self.last_tick = now;
        self.tick_runners(now);
        self.tick_loans(now);
        self.tick_services(now);
        self.tick_keys(now);
    }

    /// Returns whether this router may act as a home now.
    fn may_act(&self, now: Millis) -> bool {
        self.authority.may_act && now.saturating_sub(self.last_tick) <= MAX_AUTHORITY_AGE
    }

    /// Notes a gap in this router's own attention.
    fn observe(&mut self, now: Millis) {
        if now.saturating_sub(self.last_tick) > MAX_TICK_GAP {
            self.lapsed = true;
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
