//! The log thread: follows the log, appends, and reads the host list.
//!
//! An outage of the log stops nothing here: what was read stays in force.

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
    append, found,
    inner::{Inner, Phase},
    retention::Retention,
    ring::Receiver,
    slot::lock,
};

/// Longest that one read waits for a new record. It is well below the guard time, so that a
/// quiet log still gives fresh evidence.
const READ_WAIT: Millis = Millis(500);

/// Records read at once.
const READ_RECORDS: usize = 256;

/// Pause while the link to the log is cut.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Pause after a failed read.
const READ_ERROR_PAUSE: Duration = Duration::from_millis(250);

/// Pause before the foundation is looked for again.
const FOUND_PAUSE: Duration = Duration::from_millis(500);

/// Period of reading the host list.
const HOSTS_PERIOD: Duration = Duration::from_secs(1);

/// Runs the thread until the process ends.
pub(crate) fn run(
    inner: Arc<Inner>,
    requests: Receiver<append::Request>,
    relayed: Receiver<Vec<relay::Entry>>,
) {
    let system = System::new("kspan-log", DefaultRuntime);
    system.block_on(async move {
        let client = LogClient::new(inner.cfg.platform.log).await;
        ntex::rt::spawn(append::run(Arc::clone(&inner), client.clone(), requests));
        ntex::rt::spawn(poll_hosts(Arc::clone(&inner)));
        let mut phase = inner.phase.subscribe();
        let ended = async move { phase.wait_for(|phase| *phase == Phase::Ended).await.is_ok() };
        tokio::select! {
            () = follow(inner, client, relayed) => {}
            _ = ended => {}
        }
    });
}

/// What the follower keeps between two reads.
struct Follower {
    inner: Arc<Inner>,
    client: LogClient,
    state: State,
    retention: Retention,
}

async fn follow(inner: Arc<Inner>, client: LogClient, relayed: Receiver<Vec<relay::Entry>>) {
    let mut follower = Follower {
        inner,
        client,
        state: State::default(),
        retention: Retention::default(),
    };
    follower.found().await;
    loop {
        tokio::select! {
            () = follower.read() => {}
            Some(entries) = relayed.recv() => follower.take_relayed(entries),
        }
    }
}

impl Follower {
    /// Finds the state to fold on from. Goes on trying until there is one.
    async fn found(&mut self) {
        loop {
            if !self.inner.links.is_log_cut() {
                match found::found(&self.client).await {
                    // A state in force never reverts.
                    Ok(state) if state.applied >= self.state.applied => {
                        log::info!("log: folding on from {}", state.applied);
                        return self.load(state);
                    }
                    Ok(_) => {}
                    Err(err) => log::warn!("log: no foundation yet: {err}"),
                }
            }
            sleep(FOUND_PAUSE).await;
        }
    }

    fn load(&mut self, state: State) {
        self.state = state;
        for view in self.state.views().filter(|view| view.number > 0) {
            lock(&self.inner.guard).add_view(Arc::clone(view));
        }
        self.publish(true);
    }

    /// Reads once, or pauses after a failure.
    async fn read(&mut self) {
        if self.inner.links.is_log_cut() {
            return sleep(RETRY_PAUSE).await;
        }
        let asked = self.inner.now();
        let read = self
            .client
            .read(self.state.applied, READ_RECORDS, READ_WAIT);
        match read.await {
            // An answer that arrives after the link was cut counts as lost.
            Ok(_) if self.inner.links.is_log_cut() => {}
            Ok(batch) if batch.first > self.state.applied.max(LOG_START) => {
                log::warn!("log: forgot {} before it was read", self.state.applied);
                metrics::counter!("kspan_log_gaps_total").increment(1);
                self.found().await;
            }
            Ok(batch) => self.take_in(&batch, asked),
            Err(err) => {
                log::debug!("log: read failed: {err}");
                metrics::counter!("kspan_log_read_errors_total").increment(1);
                sleep(READ_ERROR_PAUSE).await;
            }
        }
    }

    fn take_in(&mut self, batch: &Batch, asked: Millis) {
        self.apply(&batch.records);
        let now = self.inner.now();
        self.retention.observe(now, batch, &self.state);
        if self.state.applied.max(LOG_START) >= batch.next {
            self.inner.founded.store(true, Ordering::Release);
            lock(&self.inner.guard).record_tail_read(asked);
            if self.retention.take_turn(&self.inner, &self.state) {
                let inner = Arc::clone(&self.inner);
                self.retention.write(inner, self.state.clone());
            }
        }
        self.inner.flush_notices();
    }

    /// Takes in entries that another member has read, as far as they continue what is applied.
    fn take_relayed(&mut self, entries: Vec<relay::Entry>) {
        let entries: Vec<_> = entries
            .into_iter()
            .skip_while(|entry| entry.offset < self.state.applied)
            .map(|entry| Entry {
                offset: entry.offset,
                time_ms: entry.time_ms,
                data: entry.data,
            })
            .collect();
        let continues = entries
            .first()
            .is_some_and(|entry| entry.offset == self.state.applied);
        let in_order = entries
            .windows(2)
            .all(|pair| pair[0].offset + 1 == pair[1].offset);
        if continues && in_order {
            let count = entries.len() as u64;
            metrics::counter!("kspan_log_entries_relayed_total").increment(count);
            self.apply(&entries);
            self.inner.flush_notices();
        }
    }

    fn apply(&mut self, entries: &[Entry]) {
        if entries.is_empty() {
            return;
        }
        let view_before = self.state.view.number;
        let mut settled = Vec::with_capacity(entries.len());
        for entry in entries {
            let time = UnixMillis(entry.time_ms);
            let applied = self.state.apply(entry.offset, time, &entry.data);
            if self.state.view.number == entry.offset {
                lock(&self.inner.guard).add_view(Arc::clone(&self.state.view));
            }
            match &applied.verdict {
                Verdict::Poisoned => {
                    log::warn!("log: skipped entry {}, which is no record", entry.offset);
                    metrics::counter!("kspan_log_poisoned_total").increment(1);
                }
                Verdict::Refused(reason) => {
                    log::info!("log: refused entry {}: {reason}", entry.offset);
                    metrics::counter!("kspan_log_refused_total").increment(1);
                }
                Verdict::Accepted | Verdict::Known => {}
            }
            self.inner.recent.push(entry);
            settled.push((entry.offset, applied));
        }
        self.publish(self.state.view.number != view_before);
        // Whoever is told that a record is accepted finds it in force.
        for (offset, applied) in settled {
            self.inner.appender.settle(offset, applied);
        }
    }

    fn publish(&self, view_changed: bool) {
        let state = Arc::new(self.state.clone());
        metrics::gauge!("kspan_log_applied_offset").set(state.applied as f64);
        metrics::gauge!("kspan_document_version").set(state.document_version as f64);
        self.inner.fold.send_replace(state);
        self.inner.notices.fold_changed(view_changed);
    }
}

async fn poll_hosts(inner: Arc<Inner>) {
    let client = HostsClient::new(inner.cfg.platform.hosts).await;
    loop {
        match client.read().await {
            // An empty list would make every host look gone.
            Ok(list) if list.hosts.is_empty() => {}
            Ok(list) => {
                let addrs = list.hosts.iter().map(|host| host.address.ip());
                lock(&inner.listed).extend(addrs);
                if *inner.hosts.get() != list {
                    inner.hosts.set(Arc::new(list));
                    inner.notices.hosts_changed();
                    inner.flush_notices();
                }
            }
            Err(err) => log::debug!("hosts: read failed: {err}"),
        }
        sleep(HOSTS_PERIOD).await;
    }
}
