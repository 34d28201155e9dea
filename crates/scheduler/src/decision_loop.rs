//! The decision loop: one thread that feeds the core with events and executes its actions.

use std::{collections::HashMap, sync::Arc, time::Duration};

use kspan_model::{Millis, Name};
use kspan_node::{
    Event, Node, SendOutcome,
    ring::{Receiver, Sender},
};
use kspan_wire::message::{
    Message,
    tasks::{StatusQuery, StatusResult, StatusTarget},
};
use tokio::{sync::oneshot, time::Instant};

use crate::{
    core::{Action, Core},
    published::{PublishedState, StateSnapshot},
    shard::{ExchangeRequest, Reply},
    worker_io::ExchangeReply,
};

/// Longest interval between two turns without an event.
const MAX_TURN_INTERVAL: Duration = Duration::from_millis(50);

/// Minimum interval between two turns, so that events that arrive together are handled together.
const MIN_TURN_INTERVAL: Duration = Duration::from_millis(5);

/// Interval at which state is published to other threads.
const PUBLISH_INTERVAL: Millis = Millis(1_000);

/// Timeout of a query to another owner.
const QUERY_TIMEOUT: Millis = Millis(1_000);

/// A caller's query about a job or a shard.
#[derive(Debug)]
pub(crate) struct Query {
    /// The shard whose owner is queried.
    pub shard: Name,
    /// Subject of the query.
    pub target: StatusTarget,
    /// Receives the owner's result.
    pub reply_tx: oneshot::Sender<StatusResult>,
}

/// The decision thread's ends of the rings.
pub(crate) struct Channels {
    /// Requests to the worker I/O thread.
    pub requests: Sender<Box<ExchangeRequest>>,
    /// Replies from the worker I/O thread.
    pub replies: Receiver<ExchangeReply>,
    /// Queries from the HTTP thread.
    pub queries: Receiver<Query>,
}

struct PendingQuery {
    reply_tx: oneshot::Sender<StatusResult>,
    until: Millis,
}

/// Runs the decision loop until a graceful shutdown has released every shard. Calls `on_stop` when
/// the shutdown begins.
pub(crate) async fn run(
    node: Node,
    events: Receiver<Event>,
    channels: Channels,
    published: PublishedState,
    on_stop: impl Fn() + 'static,
) {
    let mut state = DecisionLoop {
        on_stop: Box::new(on_stop),
        core: Core::new(node.id().clone()),
        pending: HashMap::new(),
        next_seq: 0,
        next_publish: Millis::ZERO,
        append_finished: tokio::sync::mpsc::channel(1),
        node,
        channels,
        published,
    };
    state.load_initial_state();
    let mut last_turn = Instant::now();
    while !state.core.is_stopped() {
        tokio::select! {
            event = events.recv() => match event {
                Some(event) => state.handle_event(event),
                None => return,
            },
            Some(exchange_reply) = state.channels.replies.recv() => state.handle_reply(exchange_reply),
            Some(query) = state.channels.queries.recv() => state.handle_query(query),
            Some(()) = state.append_finished.1.recv() => state.core.finish_recording_ends(state.node.now()),
            () = tokio::time::sleep(MAX_TURN_INTERVAL) => {}
        }
        // Handles all events that have arrived since, before the next turn.
        tokio::time::sleep_until(last_turn + MIN_TURN_INTERVAL).await;
        while let Some(event) = events.try_recv() {
            state.handle_event(event);
        }
        while let Some(exchange_reply) = state.channels.replies.try_recv() {
            state.handle_reply(exchange_reply);
        }
        state.run_turn();
        last_turn = Instant::now();
    }
}

struct DecisionLoop {
    on_stop: Box<dyn Fn()>,
    node: Node,
    core: Core,
    channels: Channels,
    published: PublishedState,
    pending: HashMap<u64, PendingQuery>,
    next_seq: u64,
    next_publish: Millis,
    append_finished: (
        tokio::sync::mpsc::Sender<()>,
        tokio::sync::mpsc::Receiver<()>,
    ),
}

impl DecisionLoop {
    fn load_initial_state(&mut self) {
        let (now, unix) = (self.node.now(), self.node.unix_now());
        self.core.set_view(self.node.view());
        self.core.set_log_state(&self.node.state(), now, unix);
        self.core.set_hosts(&self.node.hosts(), now);
        self.node.set_ready(true);
    }

    fn handle_event(&mut self, event: Event) {
        let (now, unix) = (self.node.now(), self.node.unix_now());
        match event {
            Event::ViewChanged(view) => {
                self.core.set_view(view);
                self.refresh_suspicions();
            }
            Event::StateChanged(log_state) => self.core.set_log_state(&log_state, now, unix),
            Event::HostsChanged(hosts) => self.core.set_hosts(&hosts, now),
            Event::Message {
                from,
                message: Message::Tasks(message),
            } => self.core.handle_message(&from, message, now),
            Event::Message { .. } => {}
            Event::LivenessChanged { node, state } => {
                self.core.set_suspected(&node, state.is_silent())
            }
            Event::StopRequested => {
                log::info!("scheduler: graceful shutdown requested, releasing all shards");
                self.node.set_ready(false);
                (self.on_stop)();
                self.core.begin_stop(now);
            }
        }
    }

    /// Refreshes the suspicion of every member; a new view may include processes whose liveness
    /// event arrived before the view.
    fn refresh_suspicions(&mut self) {
        for member in &self.node.view().members {
            let suspected = self.node.liveness(&member.node).is_silent();
            self.core.set_suspected(&member.node, suspected);
        }
    }

    fn handle_reply(&mut self, exchange_reply: ExchangeReply) {
        let (now, unix) = (self.node.now(), self.node.unix_now());
        self.core
            .handle_reply(&exchange_reply.key, exchange_reply.reply, now, unix);
    }

    fn handle_query(&mut self, query: Query) {
        let seq = self.next_seq;
        self.next_seq += 1;
        let status_query = StatusQuery {
            seq,
            target: query.target,
        };
        if self.core.query_owner(&query.shard, status_query) {
            let pending = PendingQuery {
                reply_tx: query.reply_tx,
                until: self.node.now() + QUERY_TIMEOUT,
            };
            self.pending.insert(seq, pending);
        }
    }

    fn run_turn(&mut self) {
        let (now, unix) = (self.node.now(), self.node.unix_now());
        let may_act = self.node.guard().may_act();
        for action in self.core.run_turn(now, unix, may_act) {
            self.execute(action);
        }
        // Dropping the sender of a timed-out query ends the caller's wait without a result.
        self.pending.retain(|_, pending| now < pending.until);
        if now >= self.next_publish {
            self.next_publish = now + PUBLISH_INTERVAL;
            self.published.store(StateSnapshot {
                summaries: self.core.summaries(now),
                dump: Some(self.core.dump()),
            });
        }
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Exchange(request) => self.send_exchange(request),
            Action::Send { to, message } => {
                if self.node.send(&to, Message::Tasks(message)) == SendOutcome::QueueFull {
                    metrics::counter!("kspan_scheduler_messages_dropped_total").increment(1);
                }
            }
            Action::RecordEnds(ends) => self.append_ends(kspan_fold::Body::Ends { ends }),
            Action::DeliverReply { seq, result } => {
                if let Some(pending) = self.pending.remove(&seq) {
                    // The caller may have disconnected.
                    let _ = pending.reply_tx.send(result);
                }
            }
        }
    }

    fn send_exchange(&mut self, request: Box<ExchangeRequest>) {
        metrics::counter!("kspan_scheduler_exchanges_total").increment(1);
        if let Err(full) = self.channels.requests.try_send(request) {
            let reply = Reply::Failed { in_doubt: false };
            let exchange_reply = ExchangeReply {
                key: full.0.key,
                reply,
            };
            self.handle_reply(exchange_reply);
        }
    }

    fn append_ends(&self, body: kspan_fold::Body) {
        let node = self.node.clone();
        let tx = self.append_finished.0.clone();
        tokio::task::spawn_local(async move {
            let outcome = node.append(body).await;
            if !matches!(outcome, kspan_node::AppendOutcome::Accepted { .. }) {
                log::warn!(
                    "scheduler: append of job ends was not confirmed, retrying: {outcome:?}"
                );
            }
            // Only one append is in flight, so the channel has room.
            let _ = tx.send(()).await;
        });
    }
}

/// Queries the owner of a shard; returns [`StatusResult::NotFound`] if no reply arrives in time.
pub(crate) async fn query_owner(
    queries: &Sender<Query>,
    shard: Name,
    target: StatusTarget,
) -> StatusResult {
    let (reply_tx, rx) = oneshot::channel();
    let query = Query {
        shard,
        target,
        reply_tx,
    };
    if queries.try_send(query).is_err() {
        return StatusResult::NotFound;
    }
    // The decision loop drops a timed-out query itself; this timeout covers a stopped loop.
    let longest = QUERY_TIMEOUT + QUERY_TIMEOUT;
    match tokio::time::timeout(longest.as_duration(), rx).await {
        Ok(Ok(result)) => result,
        _ => StatusResult::NotFound,
    }
}

/// Returns the scheduler's state for `/dump`.
pub(crate) fn dump_json(published: &PublishedState) -> serde_json::Value {
    let snapshot: Arc<StateSnapshot> = published.load();
    serde_json::to_value(&snapshot.dump).unwrap_or_default()
}
