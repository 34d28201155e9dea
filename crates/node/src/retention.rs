//! Watches what the log forgets, and writes snapshots in time.

use std::{cell::Cell, collections::VecDeque, rc::Rc, sync::Arc};

use kspan_contract::protocol::log::Batch;
use kspan_fold::{
    Body, State,
    snapshot::{LOG_START, LogWindow, is_due},
};
use kspan_membership::ownership::rank_duty;
use kspan_model::{Millis, UnixMillis};

use crate::{
    event::Append,
    inner::{Inner, unix_now},
};

/// Duty whose first live member writes snapshots.
const DUTY: &str = "snapshot";

/// Times of entries that are remembered, to see how old they are when they are forgotten.
const MAX_TIMES: usize = 1_024;

/// Entries between two whose times are remembered.
const TIME_STRIDE: u64 = 8;

/// Shortest time between two snapshots of one process.
const MIN_INTERVAL: Millis = Millis(1_000);

/// What one process saw of the log's window.
#[derive(Default)]
pub(crate) struct Retention {
    first: u64,
    next: u64,
    times: VecDeque<(u64, UnixMillis)>,
    retention: Option<Millis>,
    covered: Option<u64>,
    covered_at: Millis,
    written_at: Option<Millis>,
    /// Whether a snapshot is being written.
    writing: Rc<Cell<bool>>,
}

impl Retention {
    /// Takes in one answer of the log.
    pub(crate) fn observe(&mut self, now: Millis, batch: &Batch, state: &State) {
        for entry in &batch.records {
            let is_due = |(last, _): &(u64, UnixMillis)| entry.offset >= last + TIME_STRIDE;
            if self.times.back().is_none_or(is_due) {
                self.times
                    .push_back((entry.offset, UnixMillis(entry.time_ms)));
            }
        }
        while self.times.len() > MAX_TIMES {
            self.times.pop_front();
        }
        self.next = batch.next;
        if batch.first > self.first {
            self.first = batch.first;
            self.observe_forgotten();
        }
        let covered = state.snapshot.map(|snapshot| snapshot.through);
        if covered != self.covered {
            self.covered = covered;
            self.covered_at = now;
        }
    }

    fn observe_forgotten(&mut self) {
        while let Some(&(offset, time)) = self.times.front() {
            if offset >= self.first {
                return;
            }
            self.times.pop_front();
            self.retention = Some(unix_now().since(time));
        }
    }

    fn window(&self, now: Millis) -> LogWindow {
        LogWindow {
            first: self.first,
            next: self.next,
            covered: self.covered,
            age: now.saturating_sub(self.covered_at),
            retention: self.retention,
        }
    }

    /// Returns whether this process should write a snapshot now, and remembers that it does.
    pub(crate) fn take_turn(&mut self, inner: &Inner, state: &State) -> bool {
        let now = inner.now();
        let recent = |at: Millis| now.saturating_sub(at) < MIN_INTERVAL;
        if self.writing.get() || self.written_at.is_some_and(recent) || !is_due(&self.window(now)) {
            return false;
        }
        // A state of the empty log says nothing.
        if state.applied <= LOG_START || !is_mine(inner, state) {
            return false;
        }
        self.written_at = Some(now);
        true
    }
}

/// Returns whether this process is the first live member in the duty's ranking.
fn is_mine(inner: &Inner, state: &State) -> bool {
    let ranked = rank_duty(&state.view, DUTY);
    let live = |node| node == &inner.me.node || !inner.liveness_of(node).is_silent();
    let first = ranked.into_iter().find(|member| live(&member.node));
    first.is_some_and(|member| member.node == inner.me.node)
}

impl Retention {
    /// Starts to write a snapshot of a state.
    pub(crate) fn write(&self, inner: Arc<Inner>, state: State) {
        let writing = Rc::clone(&self.writing);
        writing.set(true);
        ntex::rt::spawn(async move {
            write(inner, state).await;
            writing.set(false);
        });
    }
}

async fn write(inner: Arc<Inner>, state: State) {
    let parts = state.to_parts();
    let count = parts.len();
    for part in parts {
        let by = &inner.me.node.name;
        let done = inner
            .appender
            .append(by, unix_now(), Body::Snapshot(part))
            .await;
        if !matches!(done, Append::Accepted { .. }) {
            log::warn!(
                "log: a snapshot through {} is not whole: {done:?}",
                state.applied
            );
            return;
        }
    }
    metrics::counter!("kspan_snapshots_written_total").increment(1);
    log::info!(
        "log: wrote a snapshot through {} in {count} parts",
        state.applied
    );
}
