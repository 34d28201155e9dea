//! The log thread: follows the log, performs appends, and polls the host list.
//!
//! During an outage of the log, the state applied before the outage stays in force.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use kspan_contract::{
    hosts::HostsClient,
    log::LogClient,
    protocol::log::{Batch, Entry},
};
use kspan_fold::{State, Verdict, snapshot::LOG_START};
use kspan_model::{Millis, UnixMillis};
use kspan_wire::message::relay;
use ntex::rt::{DefaultRuntime, System};
use tokio::time::sleep;

use crate::{
    append,
    appender::AppendRequest,
    bootstrap,
    inner::{Inner, Phase},
    ring::Receiver,
    snapshot_writer::SnapshotWriter,
    sync::lock,
};

/// Maximum time that one read waits for a new record. It is well below the guard time, so that
/// reads of an idle log still prove contact in time.
const MAX_READ_WAIT: Millis = Millis(500);

/// Maximum number of records per read.
const MAX_RECORDS_PER_READ: usize = 256;

/// Delay before the next check of whether the link to the log is still cut.
const CUT_LINK_DELAY: Duration = Duration::from_millis(100);

/// Delay before the next read after a failed one.
const READ_ERROR_DELAY: Duration = Duration::from_millis(250);

/// Delay before the next attempt to load the initial state.
const BOOTSTRAP_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Interval between reads of the host list.
const HOSTS_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Runs the thread until the process ends.
pub(crate) fn run(
    inner: Arc<Inner>,
    requests: Receiver<AppendRequest>,
    relayed: Receiver<Vec<relay::Entry>>,
) {
    let system = System::new("kspan-log", DefaultRuntime);
    system.block_on(async move {
        let client = LogClient::new(inner.cfg.platform.log).await;
        ntex::rt::spawn(append::run(Arc::clone(&inner), client.clone(), requests));
        ntex::rt::spawn(poll_hosts(Arc::clone(&inner)));
        let mut phase = inner.phase.subscribe();
        let stopped = async move {
            phase
                .wait_for(|phase| *phase == Phase::Stopped)
                .await
                .is_ok()
        };
        tokio::select! {
            () = follow(inner, client, relayed) => {}
            _ = stopped => {}
        }
    });
}

/// State of the follower between two reads.
struct Follower {
    inner: Arc<Inner>,
    client: LogClient,
    state: State,
    snapshot_writer: SnapshotWriter,
}

async fn follow(inner: Arc<Inner>, client: LogClient, relayed: Receiver<Vec<relay::Entry>>) {
    let mut follower = Follower {
        inner,
        client,
        state: State::default(),
        snapshot_writer: SnapshotWriter::default(),
    };
    follower.bootstrap().await;
    loop {
        tokio::select! {
            () = follower.read_batch() => {}
            Some(entries) = relayed.recv() => follower.apply_relayed(entries),
        }
    }
}

impl Follower {
    /// Loads the state from which the log is applied. Retries until it succeeds.
    async fn bootstrap(&mut self) {
        loop {
            if !self.inner.link_faults.is_log_cut() {
                match bootstrap::load_initial_state(&self.client).await {
                    // The state in force must never go back to an earlier offset.
                    Ok(state) if state.next_offset >= self.state.next_offset => {
                        log::info!("log: applying records from offset {}", state.next_offset);
                        return self.install_state(state);
                    }
                    Ok(_) => {}
                    Err(err) => log::warn!("log: can't load the initial state, retrying: {err}"),
                }
            }
            sleep(BOOTSTRAP_RETRY_DELAY).await;
        }
    }

    fn install_state(&mut self, state: State) {
        self.state = state;
        for view in self.state.views().filter(|view| view.number > 0) {
            lock(&self.inner.guard).add_view(Arc::clone(view));
        }
        self.publish_state(true);
    }

    /// Reads and applies one batch. Waits for a delay after a failure.
    async fn read_batch(&mut self) {
        if self.inner.link_faults.is_log_cut() {
            return sleep(CUT_LINK_DELAY).await;
        }
        let sent_at = self.inner.now();
        let read = self
            .client
            .read(self.state.next_offset, MAX_RECORDS_PER_READ, MAX_READ_WAIT);
        match read.await {
            // A response that arrives after the link was cut is ignored, as if it were lost.
            Ok(_) if self.inner.link_faults.is_log_cut() => {}
            Ok(batch) if batch.first > self.state.next_offset.max(LOG_START) => {
                log::warn!(
                    "log: offset {} was discarded before it was read, loading a snapshot",
                    self.state.next_offset
                );
                metrics::counter!("kspan_log_gaps_total").increment(1);
                self.bootstrap().await;
            }
            Ok(batch) => self.apply_batch(&batch, sent_at),
            Err(err) => {
                log::debug!("log: read failed: {err}");
                metrics::counter!("kspan_log_read_errors_total").increment(1);
                sleep(READ_ERROR_DELAY).await;
            }
        }
    }

    fn apply_batch(&mut self, batch: &Batch, sent_at: Millis) {
        self.apply_entries(&batch.records);
        let now = self.inner.now();
        self.snapshot_writer.record_batch(now, batch, &self.state);
        if self.state.next_offset.max(LOG_START) >= batch.next {
            self.inner.caught_up.store(true, Ordering::Release);
            lock(&self.inner.guard).record_tail_read(sent_at);
            if self.snapshot_writer.try_begin(&self.inner, &self.state) {
                let inner = Arc::clone(&self.inner);
                self.snapshot_writer.spawn_write(inner, self.state.clone());
            }
        }
        self.inner.flush_events();
    }

    /// Applies entries received from another member if they continue the applied entries without
    /// a gap.
    fn apply_relayed(&mut self, entries: Vec<relay::Entry>) {
        let entries: Vec<_> = entries
            .into_iter()
            .skip_while(|entry| entry.offset < self.state.next_offset)
            .map(|entry| Entry {
                offset: entry.offset,
                time_ms: entry.time_ms,
                data: entry.data,
            })
            .collect();
        let is_next = entries
            .first()
            .is_some_and(|entry| entry.offset == self.state.next_offset);
        let is_gapless = entries
            .windows(2)
            .all(|pair| pair[0].offset + 1 == pair[1].offset);
        if is_next && is_gapless {
            let count = entries.len() as u64;
            metrics::counter!("kspan_log_entries_relayed_total").increment(count);
            self.apply_entries(&entries);
            self.inner.flush_events();
        }
    }

    fn apply_entries(&mut self, entries: &[Entry]) {
        if entries.is_empty() {
            return;
        }
        let view_before = self.state.view.number;
        let mut outcomes = Vec::with_capacity(entries.len());
        for entry in entries {
            let time = UnixMillis(entry.time_ms);
            let applied = self.state.apply(entry.offset, time, &entry.data);
            if self.state.view.number == entry.offset {
                lock(&self.inner.guard).add_view(Arc::clone(&self.state.view));
            }
            match &applied.verdict {
                Verdict::Poisoned => {
                    log::warn!("log: skipped entry {}: not a record", entry.offset);
                    metrics::counter!("kspan_log_poisoned_total").increment(1);
                }
                Verdict::Refused(reason) => {
                    log::info!("log: refused entry {}: {reason}", entry.offset);
                    metrics::counter!("kspan_log_refused_total").increment(1);
                }
                Verdict::Accepted | Verdict::Unchanged => {}
            }
            self.inner.recent_entries.push(entry);
            outcomes.push((entry.offset, applied));
        }
        self.publish_state(self.state.view.number != view_before);
        // The state is published first, so that an append that returns `Accepted` finds its record
        // in force.
        for (offset, applied) in outcomes {
            self.inner.appender.resolve(offset, applied);
        }
    }

    fn publish_state(&self, view_changed: bool) {
        let state = Arc::new(self.state.clone());
        metrics::gauge!("kspan_log_applied_offset").set(state.next_offset as f64);
        metrics::gauge!("kspan_document_version").set(state.document_version as f64);
        self.inner.log_state.send_replace(state);
        self.inner.events.mark_state_changed(view_changed);
    }
}

async fn poll_hosts(inner: Arc<Inner>) {
    let client = HostsClient::new(inner.cfg.platform.hosts).await;
    loop {
        match client.read().await {
            // Ignored, because with an empty list every host would count as removed.
            Ok(list) if list.hosts.is_empty() => {}
            Ok(list) => {
                let addrs = list.hosts.iter().map(|host| host.address.ip());
                lock(&inner.ever_listed).extend(addrs);
                if *inner.hosts.get() != list {
                    inner.hosts.set(Arc::new(list));
                    inner.events.mark_hosts_changed();
                    inner.flush_events();
                }
            }
            Err(err) => log::debug!("hosts: read failed: {err}"),
        }
        sleep(HOSTS_POLL_INTERVAL).await;
    }
}
