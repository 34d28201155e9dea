//! The duty of deciding: one thread that feeds the core and carries out what it answers.

use std::{collections::HashMap, sync::Arc, time::Duration};

use kspan_model::{Millis, Name};
use kspan_node::{
    Event, Node, Sent,
    ring::{Receiver, Sender},
};
use kspan_wire::message::{
    Message,
    tasks::{StatusQuery, StatusResult, StatusTarget},
};
use tokio::{sync::oneshot, time::Instant};

use crate::{
    board::{Board, Shown},
    core::{Action, Core},
    shard::{ExchangeOrder, Reply},
    worker_io::Told,
};

/// Period of turns without any event.
const TICK: Duration = Duration::from_millis(50);

/// Shortest time between two turns, so that events that come together are decided together.
const TURN_GAP: Duration = Duration::from_millis(5);

/// Period of refreshing the board.
const SHOW_PERIOD: Millis = Millis(1_000);

/// Longest wait for another owner's answer.
const QUESTION_TIMEOUT: Millis = Millis(1_000);

/// A question of a caller.
#[derive(Debug)]
pub(crate) struct Query {
    /// The shard whose owner is asked.
    pub shard: Name,
    /// What is asked.
    pub about: StatusTarget,
    /// Told what the owner knows.
    pub done: oneshot::Sender<StatusResult>,
}

/// The rings of the thread.
pub(crate) struct Rings {
    /// To the workers' thread.
    pub orders: Sender<Box<ExchangeOrder>>,
    /// From the workers' thread.
    pub replies: Receiver<Told>,
    /// From the callers' thread.
    pub queries: Receiver<Query>,
}

struct Waiting {
    done: oneshot::Sender<StatusResult>,
    until: Millis,
}

/// Feeds the core until a planned stop has handed everything over.
/// Calls `on_stop` when the stop begins.
pub(crate) async fn run(
    node: Node,
    events: Receiver<Event>,
    rings: Rings,
    board: Board,
    on_stop: impl Fn() + 'static,
) {
    let mut duty = Duty {
        on_stop: Box::new(on_stop),
        core: Core::new(node.id().clone()),
        waiting: HashMap::new(),
        next_seq: 0,
        next_show: Millis::ZERO,
        recorded: tokio::sync::mpsc::channel(1),
        node,
        rings,
        board,
    };
    duty.set_initial();
    let mut last_turn = Instant::now();
    while !duty.core.is_stopped() {
        tokio::select! {
            event = events.recv() => match event {
                Some(event) => duty.event(event),
                None => return,
            },
            Some(told) = duty.rings.replies.recv() => duty.told(told),
            Some(query) = duty.rings.queries.recv() => duty.query(query),
            Some(()) = duty.recorded.1.recv() => duty.core.ends_recorded(duty.node.now()),
            () = tokio::time::sleep(TICK) => {}
        }
        // Whatever else has happened is taken in before anything is decided.
        tokio::time::sleep_until(last_turn + TURN_GAP).await;
        while let Some(event) = events.try_recv() {
            duty.event(event);
        }
        while let Some(told) = duty.rings.replies.try_recv() {
            duty.told(told);
        }
        duty.turn();
        last_turn = Instant::now();
    }
}

struct Duty {
    on_stop: Box<dyn Fn()>,
    node: Node,
    core: Core,
    rings: Rings,
    board: Board,
    waiting: HashMap<u64, Waiting>,
    next_seq: u64,
    next_show: Millis,
    recorded: (
        tokio::sync::mpsc::Sender<()>,
        tokio::sync::mpsc::Receiver<()>,
    ),
}

impl Duty {
    fn set_initial(&mut self) {
        let (now, unix) = (self.node.now(), self.node.unix_now());
        self.core.set_view(self.node.view());
        self.core.set_fold(&self.node.fold(), now, unix);
        self.core.set_hosts(&self.node.hosts(), now);
        self.node.set_ready(true);
    }

    fn event(&mut self, event: Event) {
        let (now, unix) = (self.node.now(), self.node.unix_now());
        match event {
            Event::View(view) => {
                self.core.set_view(view);
                self.recheck_silent();
            }
            Event::Fold(fold) => self.core.set_fold(&fold, now, unix),
            Event::Hosts(hosts) => self.core.set_hosts(&hosts, now),
            Event::Message {
                from,
                message: Message::Tasks(message),
            } => self.core.message(&from, message, now),
            Event::Message { .. } => {}
            Event::Liveness { node, state } => self.core.set_silent(&node, state.is_silent()),
            Event::Stop => {
                log::info!("scheduler: planned stop, handing shards over");
                self.node.set_ready(false);
                (self.on_stop)();
                self.core.stop(now);
            }
        }
    }

    /// Brings the belief about every member up to date; a new view may name processes whose
    /// silence was told before.
    fn recheck_silent(&mut self) {
        for member in &self.node.view().members {
            let silent = self.node.liveness(&member.node).is_silent();
            self.core.set_silent(&member.node, silent);
        }
    }

    fn told(&mut self, told: Told) {
        let (now, unix) = (self.node.now(), self.node.unix_now());
        self.core.answered(&told.ticket, told.reply, now, unix);
    }

    fn query(&mut self, query: Query) {
        let seq = self.next_seq;
        self.next_seq += 1;
        let question = StatusQuery {
            seq,
            target: query.about,
        };
        if self.core.ask(&query.shard, question) {
            let waiting = Waiting {
                done: query.done,
                until: self.node.now() + QUESTION_TIMEOUT,
            };
            self.waiting.insert(seq, waiting);
        }
    }

    fn turn(&mut self) {
        let (now, unix) = (self.node.now(), self.node.unix_now());
        let may_act = self.node.guard().may_act();
        for action in self.core.turn(now, unix, may_act) {
            self.carry_out(action);
        }
        // Dropping the sender tells the caller that nobody answered.
        self.waiting.retain(|_, waiting| now < waiting.until);
        if now >= self.next_show {
            self.next_show = now + SHOW_PERIOD;
            self.board.show(Shown {
                summaries: self.core.summaries(now),
                dump: Some(self.core.dump()),
            });
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Exchange(order) => self.exchange(order),
            Action::Send { to, message } => {
                if self.node.send(&to, Message::Tasks(message)) == Sent::Full {
                    metrics::counter!("kspan_scheduler_messages_dropped_total").increment(1);
                }
            }
            Action::RecordEnds(ends) => self.record(kspan_fold::Body::Ends { ends }),
            Action::Answered { seq, knows } => {
                if let Some(waiting) = self.waiting.remove(&seq) {
                    // The caller may have gone away.
                    let _ = waiting.done.send(knows);
                }
            }
        }
    }

    fn exchange(&mut self, order: Box<ExchangeOrder>) {
        metrics::counter!("kspan_scheduler_exchanges_total").increment(1);
        if let Err(full) = self.rings.orders.try_send(order) {
            let reply = Reply::Failed { ambiguous: false };
            let told = Told {
                ticket: full.0.ticket,
                reply,
            };
            self.told(told);
        }
    }

    fn record(&self, body: kspan_fold::Body) {
        let node = self.node.clone();
        let tx = self.recorded.0.clone();
        tokio::task::spawn_local(async move {
            let outcome = node.append(body).await;
            if !matches!(outcome, kspan_node::Append::Accepted { .. }) {
                log::warn!("scheduler: ends of jobs not recorded yet: {outcome:?}");
            }
            // Only one record is under way, so the channel has room.
            let _ = tx.send(()).await;
        });
    }
}

/// Asks the owner of a shard; nothing where nobody answers in time.
pub(crate) async fn ask(queries: &Sender<Query>, shard: Name, about: StatusTarget) -> StatusResult {
    let (done, rx) = oneshot::channel();
    let query = Query { shard, about, done };
    if queries.try_send(query).is_err() {
        return StatusResult::NotFound;
    }
    // The decisions answer in time unless they have stopped.
    let longest = QUESTION_TIMEOUT + QUESTION_TIMEOUT;
    match tokio::time::timeout(longest.as_duration(), rx).await {
        Ok(Ok(knows)) => knows,
        _ => StatusResult::NotFound,
    }
}

/// Returns what `/dump` shows of the scheduler.
pub(crate) fn dump(board: &Board) -> serde_json::Value {
    let shown: Arc<Shown> = board.look();
    serde_json::to_value(&shown.dump).unwrap_or_default()
}
