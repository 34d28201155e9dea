//! The owner's role: executes the engine's decisions and reports the outcomes to it.
//!
//! Each [`Owner`] belongs to one fence, that is, to one claim of the cell. When its ownership ends
//! it stops permanently; a later claim creates a new one.

mod access;
mod calls;
mod commit;
mod end_log;
mod event_log;
mod hand_over;
mod heartbeat;
mod isolation;
mod lag;
mod members;
mod orders;
mod predecessors;
mod recover;
mod runners;
#[cfg(test)]
pub(crate) mod tests;
mod topics;

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use kspan_adapter::{runner::RunnerClient, store::Page};
use kspan_jobs::{
    engine::{Engine, Explanation, RunnerIx, Settings, Totals},
    id::JobId,
    runner::RunnerEntry,
};
use kspan_model::{Millis, Name};
use rustc_hash::FxHashMap;
use tokio::{
    sync::{Mutex, Notify, Semaphore, watch},
    time::Instant,
};

use crate::{
    admission::max_job_bytes, clock::ClockReading, election::Claims, message::Member, node::Node,
    telemetry,
};
use isolation::{MAX_ISOLATED_TIME, Witnesses};
use lag::LagMonitor;
use members::MemberLiveness;

/// Lease of a runner, after which it stops its runs unless the lease is renewed. It is longer than
/// a takeover, so that runs survive the loss of an owner. It is short because the tasks of a lost
/// runner cannot be restarted before the lease has expired.
const RUNNER_LEASE: Millis = Millis(6_000);

/// Margin after a lease's deadline before the lease counts as expired.
const LEASE_MARGIN: Millis = Millis(300);

/// Maximum time for which an owner sends orders without a confirmation of its ownership by the store.
const MAX_UNCONFIRMED_TIME: Millis = Millis(8_000);

/// Age up to which the configuration counts as current, in percent of the time within which a
/// version must be in force. The rest is a margin for unequal clocks.
const MAX_CONFIG_AGE_PERCENT: u64 = 75;

/// Interval at which the engine handles timeouts and due times.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Minimum pause between two scheduling passes.
const MIN_SCHEDULING_PAUSE: Duration = Duration::from_millis(4);

/// Ratio of the pause after a scheduling pass to the pass's duration, which leaves time for other
/// work.
const SCHEDULING_PAUSE_RATIO: u32 = 3;

/// Maximum number of orders in flight to one runner, in addition to the inventory call.
const MAX_ORDERS_PER_RUNNER: usize = 4;

/// Maximum number of connections to a runner.
const MAX_CONNECTIONS_PER_RUNNER: usize = MAX_ORDERS_PER_RUNNER + 3;

/// State of the owner's role for one fence.
pub(crate) struct Owner {
    node: Rc<Node>,
    fence: u64,
    engine: RefCell<Engine>,
    is_active: Cell<bool>,
    /// Whether the state of previous owners has been recovered.
    is_recovered: Cell<bool>,
    /// Signals a change that may let tasks start or has to be written.
    state_changed: Notify,
    /// Signals that a batch waits to be written.
    batch_ready: Notify,
    /// Signals that the store has answered a request that confirms the ownership.
    store_answered: Notify,
    durable_batch: watch::Sender<u64>,
    /// Time at which the write of the batch in flight began.
    writing_since: Cell<Option<Millis>>,
    /// Clock reading at which the latest request was sent whose response confirmed that no newer
    /// owner had claimed.
    confirmed: Cell<ClockReading>,
    /// Clock reading at which the last successful read of the configuration was sent. Versions that
    /// were accepted before have been applied. `None` until the configuration has been read.
    config_read: Cell<Option<ClockReading>>,
    /// Whether the store serves other requests but not reads of the configuration.
    is_config_topic_unavailable: Cell<bool>,
    /// End offset of the topic of claims.
    claims_end: Cell<u64>,
    member_liveness: RefCell<Vec<MemberLiveness>>,
    /// Members that may confirm the ownership while the store doesn't.
    witnesses: RefCell<Witnesses>,
    /// Number of heartbeats to send before the next one that lists the members.
    heartbeats_until_list: Cell<u32>,
    runner_connections: RefCell<FxHashMap<RunnerIx, Rc<RunnerConnection>>>,
}

/// What a process knows of the cell when it becomes its owner.
#[derive(Debug)]
pub(crate) struct Takeover {
    /// Members that may have owned the cell before.
    predecessors: Vec<Member>,
    /// Whether the previous owner ends once neither the store nor a member confirms it.
    ends_when_isolated: bool,
    /// Topic of the jobs as read before the claim, if it was.
    read_ahead: Option<Page>,
}

impl Takeover {
    /// Creates the knowledge from the claims before this one.
    pub(crate) fn new(claims: &Claims, read_ahead: Option<Page>) -> Self {
        let mut predecessors = claims.members.clone();
        let previous = claims.owner.as_ref().map(|owner| &owner.member);
        if let Some(previous) = previous.filter(|previous| !predecessors.contains(previous)) {
            predecessors.push(previous.clone());
        }
        Self {
            predecessors,
            ends_when_isolated: claims.ends_when_isolated,
            read_ahead,
        }
    }
}

/// Connections to a runner.
struct RunnerConnection {
    client: RunnerClient,
    order_slots: Semaphore,
    /// Lets one call at a time find out whether the runner lives.
    proof: Mutex<()>,
    /// Highest fence of a call that the runner has not answered.
    doubted_fence: Cell<u64>,
}

impl RunnerConnection {
    /// Returns the fence for the next call. It is higher than that of each call without an answer, if
    /// `newest` is, so that such a call is refused once the runner has answered a later one.
    fn next_fence(&self, newest: u64) -> u64 {
        let fence = &self.client.fence;
        if self.doubted_fence.get() >= fence.get() {
            fence.set(fence.get().max(newest));
        }
        fence.get()
    }

    /// Records that a call with this fence was not answered, and may be executed later.
    fn record_doubt(&self, fence: u64) {
        self.doubted_fence.set(self.doubted_fence.get().max(fence));
    }

    /// Returns whether a call with this fence may have been refused because of a later call of the same
    /// owner, rather than by a newer one.
    fn is_overtaken(&self, fence: u64) -> bool {
        fence < self.client.fence.get()
    }
}

impl Owner {
    /// Creates the role for a new claim.
    pub(crate) fn new(node: Rc<Node>, fence: u64, claims_end: u64) -> Rc<Self> {
        let cfg = engine_settings(&node);
        let now = node.clock.now();
        let member_liveness = node
            .other_members()
            .into_iter()
            .map(|member| MemberLiveness::new(member, now))
            .collect();
        Rc::new(Self {
            fence,
            engine: RefCell::new(Engine::new(cfg)),
            is_active: Cell::new(true),
            is_recovered: Cell::new(false),
            state_changed: Notify::new(),
            batch_ready: Notify::new(),
            store_answered: Notify::new(),
            durable_batch: watch::Sender::new(0),
            writing_since: Cell::new(None),
            confirmed: Cell::new(node.clock.reading()),
            config_read: Cell::new(None),
            is_config_topic_unavailable: Cell::new(false),
            claims_end: Cell::new(claims_end),
            member_liveness: RefCell::new(member_liveness),
            witnesses: RefCell::default(),
            heartbeats_until_list: Cell::new(0),
            runner_connections: RefCell::default(),
            node,
        })
    }

    /// Returns the role's fence.
    pub(crate) fn fence(&self) -> u64 {
        self.fence
    }

    /// Returns whether the role has not ended yet.
    pub(crate) fn is_active(&self) -> bool {
        self.is_active.get()
    }

    /// Recovers the state of previous owners, then starts the role's tasks.
    pub(crate) async fn start(self: &Rc<Self>, takeover: Takeover) {
        // Heartbeats announce the new owner while it recovers.
        ntex::rt::spawn(Rc::clone(self).send_heartbeats());
        let started = self.now();
        let Some(offsets) = self.recover(takeover.read_ahead).await else {
            return self.step_down("recovery failed");
        };
        let totals = self.engine.borrow().totals();
        self.is_recovered.set(true);
        telemetry::set_owner(Some(self.fence));
        tracing::info!(
            fence = self.fence,
            took_ms = self.now().saturating_sub(started).0,
            jobs = totals.known_jobs,
            active = totals.active_jobs,
            runners = self.runner_connections.borrow().len(),
            config = self.engine.borrow().config_version(),
            "takeover complete"
        );
        ntex::rt::spawn(Rc::clone(self).confirm_and_write_batches());
        ntex::rt::spawn(Rc::clone(self).ask_witnesses());
        ntex::rt::spawn(
            Rc::clone(self).await_predecessors(takeover.predecessors, takeover.ends_when_isolated),
        );
        ntex::rt::spawn(Rc::clone(self).follow_config(offsets.config_end));
        ntex::rt::spawn(Rc::clone(self).follow_runners(offsets.runners_end));
        ntex::rt::spawn(Rc::clone(self).hand_over_to_stronger());
        ntex::rt::spawn(Rc::clone(self).run_scheduler());
        ntex::rt::spawn(Rc::clone(self).run_timer(started));
    }

    /// Ends the role and wakes all waiting tasks. Does nothing if it has already ended.
    pub(crate) fn step_down(&self, why: &str) {
        if !self.is_active.replace(false) {
            return;
        }
        telemetry::set_owner(None);
        tracing::warn!(fence = self.fence, why, "ownership ended");
        self.node.record_release(self.fence);
        self.state_changed.notify_waiters();
        self.batch_ready.notify_waiters();
        // Wakes the waiters without a new value; they check whether the role is still active.
        self.durable_batch.send_modify(|_| {});
    }

    fn now(&self) -> Millis {
        self.node.clock.now()
    }

    /// Records a confirmation, by a request sent at `sent`, that no newer owner has claimed.
    fn confirm(&self, sent: ClockReading) {
        if sent.monotonic() >= self.confirmed.get().monotonic() {
            self.confirmed.set(sent);
        }
        self.engine.borrow_mut().confirm_ownership(sent.monotonic());
        self.store_answered.notify_waiters();
    }

    /// Returns the time since the last confirmation of the ownership, including time for which the
    /// host was suspended.
    pub(crate) fn time_since_confirmed(&self) -> Millis {
        self.node.clock.reading().since(&self.confirmed.get())
    }

    /// Returns whether orders may be sent now.
    fn may_send_orders(&self) -> bool {
        self.is_active.get() && self.has_authority() && !self.was_suspended()
    }

    /// Returns whether the store has confirmed the ownership recently, or a while ago and another member since.
    fn has_authority(&self) -> bool {
        let unconfirmed = self.time_since_confirmed();
        let is_supported = || {
            let now = self.node.clock.reading();
            self.witnesses.borrow().support(&now)
        };
        unconfirmed < MAX_ISOLATED_TIME || unconfirmed < MAX_UNCONFIRMED_TIME && is_supported()
    }

    /// Returns whether the host was suspended since the last confirmation of the ownership.
    fn was_suspended(&self) -> bool {
        let reading = self.node.clock.reading();
        reading.was_suspended_since(&self.confirmed.get())
    }

    /// Runs a scheduling pass after each change. Changes during the pause after a pass share the
    /// next one, because each pass examines all waiting tasks.
    async fn run_scheduler(self: Rc<Self>) {
        while self.is_active.get() {
            self.state_changed.notified().await;
            let started_at = Instant::now();
            self.schedule();
            let pause = started_at.elapsed() * SCHEDULING_PAUSE_RATIO;
            tokio::time::sleep(pause.max(MIN_SCHEDULING_PAUSE)).await;
        }
    }

    fn schedule(self: &Rc<Self>) {
        if self.is_active.get() && self.may_send_orders() {
            self.engine.borrow_mut().schedule(self.now());
        }
        self.dispatch_decisions();
    }

    /// Executes and logs the engine's decisions, and wakes the writer if there is a batch.
    fn dispatch_decisions(self: &Rc<Self>) {
        if !self.is_active.get() {
            return;
        }
        if self.engine.borrow().is_fenced() {
            return self.step_down("a runner has seen a higher fence");
        }
        let (orders, events, has_batch) = {
            let mut engine = self.engine.borrow_mut();
            (
                engine.take_orders(),
                engine.take_events(),
                engine.has_pending_batch(),
            )
        };
        self.log_events(&events);
        for order in orders {
            self.spawn_order(order);
        }
        if has_batch {
            self.batch_ready.notify_one();
        }
    }

    async fn run_timer(self: Rc<Self>, claimed_at: Millis) {
        let mut lag = LagMonitor::new(claimed_at);
        while self.is_active.get() {
            let due = Instant::now() + TICK_INTERVAL;
            tokio::time::sleep_until(due).await;
            let delay = Millis(due.elapsed().as_millis().try_into().unwrap_or(u64::MAX));
            let (now, unix_ms) = (self.now(), self.node.clock.unix_ms());
            self.engine.borrow_mut().tick(now, unix_ms);
            self.state_changed.notify_one();
            if !self.engine.borrow().has_unverified_runs() {
                lag.record_settled(now);
            }
            if lag.record_timer(delay, now) {
                lag.restart(now);
                ntex::rt::spawn(Rc::clone(&self).hand_over_overloaded(delay));
            }
        }
    }

    /// Returns totals over jobs, tasks and runners.
    pub(crate) fn totals(&self) -> Totals {
        self.engine.borrow().totals()
    }

    /// Returns the version of the configuration in force.
    pub(crate) fn config_version(&self) -> u64 {
        self.engine.borrow().config_version()
    }

    /// Returns the time since the configuration was last known to be the newest one.
    pub(crate) fn config_age(&self) -> Option<Millis> {
        let read = self.config_read.get()?;
        Some(self.node.clock.reading().since(&read))
    }

    /// Returns whether every version of the configuration that must be in force by now has been
    /// applied.
    fn is_config_current(&self) -> bool {
        let max_age = Millis(self.node.cfg.config_apply_ms * MAX_CONFIG_AGE_PERCENT / 100);
        self.config_age().is_some_and(|age| age < max_age)
    }

    /// Returns whether jobs may be accepted by the configuration in force. While the store serves
    /// everything but the configuration, refusing all jobs would cost callers more than accepting one
    /// for a queue that has just been removed.
    fn may_accept_jobs(&self) -> bool {
        self.is_config_current() || self.is_config_topic_unavailable.get()
    }

    /// Explains a job's state.
    pub(crate) fn explain(&self, id: JobId) -> Option<Explanation> {
        self.engine.borrow().explain(id, self.now())
    }

    /// Records the totals as metrics. They are computed only when metrics are read.
    pub(crate) fn record_totals(&self) {
        telemetry::set_totals(&self.totals());
        telemetry::set_teams(&self.engine.borrow().team_usage());
        let now = self.now();
        telemetry::set_holds(&self.engine.borrow().holds(now), now);
        if let Some(age) = self.config_age() {
            telemetry::set_config_age(age);
        }
    }

    /// Returns the highest fencing token of the owner's calls. It grows with each heartbeat that is appended
    /// to the topic of claims, and any newer claim has a higher one.
    fn newest_fence(&self) -> u64 {
        self.fence.max(self.claims_end.get())
    }

    /// Returns the highest fencing token of the calls to a runner under its earlier indices, any of which may be
    /// executed late; 0 if there were none.
    fn former_fence(&self, id: &Name) -> u64 {
        let connections = self.runner_connections.borrow();
        let former = connections.values().filter(|known| known.client.id == *id);
        former
            .map(|known| known.client.fence.get())
            .max()
            .unwrap_or(0)
    }

    /// Returns the connections to a runner, creating them if there are none.
    async fn connection(&self, runner_ix: RunnerIx, entry: &RunnerEntry) -> Rc<RunnerConnection> {
        let known = self.runner_connections.borrow().get(&runner_ix).cloned();
        if let Some(connection) = known {
            return connection;
        }
        let connection = Rc::new(RunnerConnection {
            client: RunnerClient {
                client: kspan_adapter::http::client(MAX_CONNECTIONS_PER_RUNNER).await,
                addr: entry.addr.clone(),
                id: entry.id.clone(),
                fence: Cell::new(self.newest_fence()),
            },
            order_slots: Semaphore::new(MAX_ORDERS_PER_RUNNER),
            proof: Mutex::new(()),
            doubted_fence: Cell::new(self.former_fence(&entry.id)),
        });
        self.runner_connections
            .borrow_mut()
            .entry(runner_ix)
            .or_insert(connection)
            .clone()
    }
}

fn engine_settings(node: &Node) -> Settings {
    let cfg = &node.cfg;
    let lease = RUNNER_LEASE.min(Millis(cfg.max_lease_ms));
    Settings {
        lease,
        max_lease: Millis(cfg.max_lease_ms),
        lease_margin: LEASE_MARGIN,
        previous_owner_timeout: Millis((MAX_UNCONFIRMED_TIME.0 + lease.0) * 102 / 100),
        max_record_bytes: cfg.max_record_bytes,
        max_job_bytes: max_job_bytes(cfg.memory_mb()),
        ended_job_retention: Millis::from_secs(cfg.keep_ended_s + cfg.keep_ended_s / 4),
        cross_rack_slowdown: round_to_u32(cfg.spread_factor),
        gang_wait: Millis(cfg.gang_wait_ms),
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the factor is at least 1 and fits into 32 bits"
)]
fn round_to_u32(factor: f64) -> u32 {
    factor.round() as u32
}
