//! The owner's role: carries out what the engine decides and tells it what became of it.
//!
//! One role object lives for one fence. When the fence is lost the object stops for good; nothing
//! of it is used again.

mod alive;
mod calls;
mod commit;
mod hand_over;
mod hosts;
mod members;
mod notes;
mod orders;
mod recover;
mod runners;

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use kspan_adapter::runner::Peer;
use kspan_jobs::{
    engine::{Engine, Explanation, RunnerIx, Settings, Totals},
    id::JobId,
    runner::RunnerEntry,
};
use kspan_model::Millis;
use rustc_hash::FxHashMap;
use tokio::{
    sync::{Notify, Semaphore, watch},
    time::Instant,
};

use crate::{clock::Moment, measure, node::Node};
use members::Greeting;

/// How long a runner goes on without an order. Longer than a takeover takes, so that work
/// outlives its owner; short, because a lost runner's tasks wait for it.
const LEASE: Millis = Millis(6_000);

/// Time added before a lease counts as lapsed.
const LAPSE_MARGIN: Millis = Millis(300);

/// How long an owner goes on giving orders without a sign that it still is the owner.
const UNCONFIRMED_LIMIT: Millis = Millis(8_000);

/// Time between two looks at what is due with time alone.
const TICK: Duration = Duration::from_millis(100);

/// Shortest time between two decisions about what starts.
const SHORTEST_PAUSE: Duration = Duration::from_millis(4);

/// Time that is left to other work for each part that a decision took.
const PAUSE_PER_DECISION: u32 = 3;

/// Orders under way to one runner at a time, beside the inventory call.
const ORDERS_PER_RUNNER: usize = 4;

/// Connections that are kept to a runner.
const CONNECTIONS_PER_RUNNER: usize = ORDERS_PER_RUNNER + 3;

/// The owner's role.
pub(crate) struct Owner {
    node: Rc<Node>,
    fence: u64,
    engine: RefCell<Engine>,
    alive: Cell<bool>,
    /// Whether what earlier owners left has been taken over.
    recovered: Cell<bool>,
    /// Something changed that may let work start or has to be written.
    changed: Notify,
    /// Something waits to be written.
    to_write: Notify,
    durable: watch::Sender<u64>,
    /// Since when the batch that is being written has been.
    writing_since: Cell<Option<Millis>>,
    /// When it was last proved that no newer owner has claimed.
    confirmed: Cell<Millis>,
    last_moment: Cell<Moment>,
    /// End of the topic of claims.
    claims_end: Cell<u64>,
    greetings: RefCell<Vec<Greeting>>,
    /// Beats until the next that lists the members.
    beats_to_list: Cell<u32>,
    contacts: RefCell<FxHashMap<RunnerIx, Rc<Contact>>>,
}

/// The way to a runner.
struct Contact {
    peer: Peer,
    orders: Semaphore,
}

impl Owner {
    /// Creates the role for a claim that was just made.
    pub(crate) fn new(node: Rc<Node>, fence: u64, claims_end: u64) -> Rc<Self> {
        let cfg = engine_settings(&node);
        let now = node.clock.now();
        let greetings = node
            .others()
            .into_iter()
            .map(|member| Greeting::new(member, now))
            .collect();
        Rc::new(Self {
            fence,
            engine: RefCell::new(Engine::new(cfg)),
            alive: Cell::new(true),
            recovered: Cell::new(false),
            changed: Notify::new(),
            to_write: Notify::new(),
            durable: watch::Sender::new(0),
            writing_since: Cell::new(None),
            confirmed: Cell::new(now),
            last_moment: Cell::new(node.clock.moment()),
            claims_end: Cell::new(claims_end),
            greetings: RefCell::new(greetings),
            beats_to_list: Cell::new(0),
            contacts: RefCell::default(),
            node,
        })
    }

    /// Returns the fence.
    pub(crate) fn fence(&self) -> u64 {
        self.fence
    }

    /// Returns whether the role has not ended.
    pub(crate) fn is_alive(&self) -> bool {
        self.alive.get()
    }

    /// Takes over and starts to work.
    pub(crate) async fn start(self: &Rc<Self>) {
        // Others hear of the new owner while it recovers.
        ntex::rt::spawn(Rc::clone(self).stay_alive());
        let started = self.now();
        let Some(places) = self.recover().await else {
            return self.step_down("the takeover failed");
        };
        let totals = self.engine.borrow().totals();
        self.recovered.set(true);
        measure::owner(Some(self.fence));
        tracing::info!(
            fence = self.fence,
            took_ms = self.now().saturating_sub(started).0,
            jobs = totals.known_jobs,
            active = totals.active_jobs,
            runners = self.contacts.borrow().len(),
            config = self.engine.borrow().config_version(),
            "took over"
        );
        ntex::rt::spawn(Rc::clone(self).write_batches());
        ntex::rt::spawn(Rc::clone(self).follow_config(places.config_end));
        ntex::rt::spawn(Rc::clone(self).follow_runners(places.runners_end));
        ntex::rt::spawn(Rc::clone(self).prefer_stronger());
        ntex::rt::spawn(Rc::clone(self).decide());
        ntex::rt::spawn(Rc::clone(self).tick());
    }

    /// Ends the role.
    pub(crate) fn step_down(&self, why: &str) {
        if !self.alive.replace(false) {
            return;
        }
        measure::owner(None);
        tracing::warn!(fence = self.fence, why, "stepped down");
        self.node.gave_up(self.fence);
        self.changed.notify_waiters();
        self.to_write.notify_waiters();
        // Waiters see the role's end by its flag.
        self.durable.send_modify(|_| {});
    }

    fn now(&self) -> Millis {
        self.node.clock.now()
    }

    /// Notes a proof, asked for at `asked`, that no newer owner had claimed.
    fn confirm(&self, asked: Millis) {
        self.confirmed.set(self.confirmed.get().max(asked));
        self.engine.borrow_mut().confirm_ownership(asked);
    }

    /// Returns how long ago the ownership was last proved.
    pub(crate) fn unconfirmed_for(&self) -> Millis {
        self.now().saturating_sub(self.confirmed.get())
    }

    /// Returns whether orders may be given now.
    fn may_order(&self) -> bool {
        self.alive.get() && self.unconfirmed_for() < UNCONFIRMED_LIMIT && !self.was_paused()
    }

    /// Returns whether the host stood still since the last proof of ownership.
    fn was_paused(&self) -> bool {
        let moment = self.node.clock.moment();
        moment.shows_pause_since(&self.last_moment.get())
    }

    /// Decides whenever something has changed. What changes during a pause shares a decision, as
    /// each looks at all work that waits.
    async fn decide(self: Rc<Self>) {
        while self.alive.get() {
            self.changed.notified().await;
            let began = Instant::now();
            self.schedule();
            let pause = began.elapsed() * PAUSE_PER_DECISION;
            tokio::time::sleep(pause.max(SHORTEST_PAUSE)).await;
        }
    }

    fn schedule(self: &Rc<Self>) {
        if self.alive.get() && self.may_order() {
            self.engine.borrow_mut().schedule(self.now());
        }
        self.pass_on();
    }

    /// Carries out, logs and hands to the writer what the engine has decided so far.
    fn pass_on(self: &Rc<Self>) {
        if !self.alive.get() {
            return;
        }
        if self.engine.borrow().is_fenced() {
            return self.step_down("a runner knows a newer owner");
        }
        let (orders, notes, has_batch) = {
            let mut engine = self.engine.borrow_mut();
            (
                engine.take_orders(),
                engine.take_events(),
                engine.has_pending_batch(),
            )
        };
        self.log_notes(&notes);
        for order in orders {
            self.carry_out(order);
        }
        if has_batch {
            self.to_write.notify_one();
        }
    }

    async fn tick(self: Rc<Self>) {
        while self.alive.get() {
            tokio::time::sleep(TICK).await;
            let (now, unix_ms) = (self.now(), self.node.clock.unix_ms());
            self.engine.borrow_mut().tick(now, unix_ms);
            self.changed.notify_one();
        }
    }

    /// Returns sums over everything.
    pub(crate) fn totals(&self) -> Totals {
        self.engine.borrow().totals()
    }

    /// Returns the version of the configuration in force.
    pub(crate) fn config_version(&self) -> u64 {
        self.engine.borrow().config_version()
    }

    /// Explains where a job stands.
    pub(crate) fn explain(&self, id: JobId) -> Option<Explanation> {
        self.engine.borrow().explain(id, self.now())
    }

    /// Records what is summed up only when metrics are read.
    pub(crate) fn record_totals(&self) {
        measure::totals(&self.totals());
    }

    /// Returns the way to a runner, opening one where there is none.
    async fn contact(&self, on: RunnerIx, entry: &RunnerEntry) -> Rc<Contact> {
        let known = self.contacts.borrow().get(&on).cloned();
        if let Some(contact) = known {
            return contact;
        }
        let contact = Rc::new(Contact {
            peer: Peer {
                client: kspan_adapter::http::client(CONNECTIONS_PER_RUNNER).await,
                addr: entry.addr.clone(),
                id: entry.id.clone(),
                fence: self.fence,
            },
            orders: Semaphore::new(ORDERS_PER_RUNNER),
        });
        self.contacts
            .borrow_mut()
            .entry(on)
            .or_insert(contact)
            .clone()
    }
}

fn engine_settings(node: &Node) -> Settings {
    let cfg = &node.cfg;
    let lease = LEASE.min(Millis(cfg.max_lease_ms));
    Settings {
        lease,
        lease_margin: LAPSE_MARGIN,
        previous_owner_timeout: Millis((UNCONFIRMED_LIMIT.0 + lease.0) * 102 / 100),
        ended_job_retention: Millis::from_secs(cfg.keep_ended_s + cfg.keep_ended_s / 4),
        cross_rack_slowdown: whole_factor(cfg.spread_factor),
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the factor is at least one and small"
)]
fn whole_factor(factor: f64) -> u32 {
    factor.round() as u32
}
