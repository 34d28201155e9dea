//! Observes how soon the log discards records, and writes snapshots before it does.

use std::{cell::Cell, collections::VecDeque, rc::Rc, sync::Arc};

use kspan_contract::protocol::log::Batch;
use kspan_fold::{
    Body, State,
    snapshot::{LOG_START, LogWindow, is_snapshot_due},
};
use kspan_membership::ownership::rank_duty;
use kspan_model::{Millis, UnixMillis};

use crate::{
    event::AppendOutcome,
    inner::{Inner, unix_now},
};

/// Duty whose highest-ranked live member writes the snapshots.
const SNAPSHOT_DUTY: &str = "snapshot";

/// Maximum number of retained append times, from which the age of discarded records is measured.
const MAX_APPEND_TIMES: usize = 1_024;

/// Distance in offsets between two entries whose append times are retained.
const APPEND_TIME_STRIDE: u64 = 8;

/// Minimum time between two snapshots written by one process.
const MIN_SNAPSHOT_INTERVAL: Millis = Millis(1_000);

/// Range of the log as seen by this process, and the snapshots that it writes.
#[derive(Default)]
pub(crate) struct SnapshotWriter {
    first_offset: u64,
    next_offset: u64,
    append_times: VecDeque<(u64, UnixMillis)>,
    retention: Option<Millis>,
    covered: Option<u64>,
    covered_since: Millis,
    last_started: Option<Millis>,
    /// Whether a snapshot is being written.
    in_progress: Rc<Cell<bool>>,
}

impl SnapshotWriter {
    /// Records the range and the append times of one batch of the log.
    pub(crate) fn record_batch(&mut self, now: Millis, batch: &Batch, state: &State) {
        for entry in &batch.records {
            let is_far_enough =
                |(last, _): &(u64, UnixMillis)| entry.offset >= last + APPEND_TIME_STRIDE;
            if self.append_times.back().is_none_or(is_far_enough) {
                self.append_times
                    .push_back((entry.offset, UnixMillis(entry.time_ms)));
            }
        }
        while self.append_times.len() > MAX_APPEND_TIMES {
            self.append_times.pop_front();
        }
        self.next_offset = batch.next;
        if batch.first > self.first_offset {
            self.first_offset = batch.first;
            self.measure_retention();
        }
        let covered = state.snapshot.map(|snapshot| snapshot.through);
        if covered != self.covered {
            self.covered = covered;
            self.covered_since = now;
        }
    }

    /// Sets the retention from the age of the newest record that was discarded.
    fn measure_retention(&mut self) {
        while let Some(&(offset, time)) = self.append_times.front() {
            if offset >= self.first_offset {
                return;
            }
            self.append_times.pop_front();
            self.retention = Some(unix_now().since(time));
        }
    }

    fn log_window(&self, now: Millis) -> LogWindow {
        LogWindow {
            first: self.first_offset,
            next: self.next_offset,
            covered: self.covered,
            age: now.saturating_sub(self.covered_since),
            retention: self.retention,
        }
    }

    /// Returns whether this process must write a snapshot now, and records the time if so.
    pub(crate) fn try_begin(&mut self, inner: &Inner, state: &State) -> bool {
        let now = inner.now();
        let is_recent = |at: Millis| now.saturating_sub(at) < MIN_SNAPSHOT_INTERVAL;
        if self.in_progress.get()
            || self.last_started.is_some_and(is_recent)
            || !is_snapshot_due(&self.log_window(now))
        {
            return false;
        }
        // A snapshot of an empty log is useless.
        if state.next_offset <= LOG_START || !is_designated_writer(inner, state) {
            return false;
        }
        self.last_started = Some(now);
        true
    }
}

/// Returns whether this process is the highest-ranked live member of the duty.
fn is_designated_writer(inner: &Inner, state: &State) -> bool {
    let ranked = rank_duty(&state.view, SNAPSHOT_DUTY);
    let is_live = |node| node == &inner.me.node || !inner.liveness_of(node).is_silent();
    let first = ranked.into_iter().find(|member| is_live(&member.node));
    first.is_some_and(|member| member.node == inner.me.node)
}

impl SnapshotWriter {
    /// Spawns a task that writes a snapshot of a state.
    pub(crate) fn spawn_write(&self, inner: Arc<Inner>, state: State) {
        let in_progress = Rc::clone(&self.in_progress);
        in_progress.set(true);
        ntex::rt::spawn(async move {
            write_snapshot(inner, state).await;
            in_progress.set(false);
        });
    }
}

async fn write_snapshot(inner: Arc<Inner>, state: State) {
    let parts = state.to_parts();
    let count = parts.len();
    for part in parts {
        let by = &inner.me.node.name;
        let outcome = inner
            .appender
            .append(by, unix_now(), Body::Snapshot(part))
            .await;
        if !matches!(outcome, AppendOutcome::Accepted { .. }) {
            log::warn!(
                "log: snapshot through offset {} is incomplete, part not appended: {outcome:?}",
                state.next_offset
            );
            return;
        }
    }
    metrics::counter!("kspan_snapshots_written_total").increment(1);
    log::info!(
        "log: wrote a snapshot through offset {} in {count} parts",
        state.next_offset
    );
}
