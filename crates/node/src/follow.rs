//! The log thread: follows the log, appends, and reads the host list.
//!
//! An outage of the log stops nothing here: what was read stays in force.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use kspan_fold::State;
use kspan_model::{Millis, UnixMillis};
use kspan_platform::{border::log::Batch, hosts::HostsClient, log::LogClient};
use ntex::rt::{DefaultRuntime, System};
use tokio::time::sleep;

use crate::{
    append,
    inner::{Inner, Phase},
    ring::Receiver,
    slot::lock,
};

/// Longest that one read waits for a new record. It is well below the guard time, so that a
/// quiet log still gives fresh evidence.
const READ_WAIT: Millis = Millis(500);

/// Records read at once.
const READ_RECORDS: usize = 256;

/// Pause after a failed read, and the longest that it grows to.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Period of reading the host list.
const HOSTS_PERIOD: Duration = Duration::from_secs(1);

/// Runs the thread until the process ends.
pub(crate) fn run(inner: Arc<Inner>, requests: Receiver<append::Request>) {
    let system = System::new("kspan-log", DefaultRuntime);
    system.block_on(async move {
        let client = LogClient::new(inner.cfg.platform.log).await;
        ntex::rt::spawn(append::run(Arc::clone(&inner), client.clone(), requests));
        ntex::rt::spawn(poll_hosts(Arc::clone(&inner)));
        let mut phase = inner.phase.subscribe();
        let ended = async move { phase.wait_for(|phase| *phase == Phase::Ended).await.is_ok() };
        tokio::select! {
            () = follow(&inner, &client) => {}
            _ = ended => {}
        }
    });
}

async fn follow(inner: &Inner, client: &LogClient) {
    let mut state = State::default();
    let mut pause = RETRY_PAUSE;
    loop {
        let asked = inner.now();
        if inner.links.is_log_cut() {
            sleep(RETRY_PAUSE).await;
            continue;
        }
        match client.read(state.applied, READ_RECORDS, READ_WAIT).await {
            // An answer that arrives after the link was cut counts as lost.
            Ok(_) if inner.links.is_log_cut() => {}
            Ok(batch) => {
                pause = RETRY_PAUSE;
                take_in(inner, &mut state, &batch, asked);
            }
            Err(err) => {
                log::debug!("log: read failed: {err}");
                metrics::counter!("kspan_log_read_errors_total").increment(1);
                sleep(pause).await;
                pause = (pause * 2).min(MAX_RETRY_PAUSE);
            }
        }
    }
}

fn take_in(inner: &Inner, state: &mut State, batch: &Batch, asked: Millis) {
    let view_before = state.view.number;
    for entry in &batch.records {
        let applied = state.apply(entry.offset, UnixMillis(entry.time_ms), &entry.data);
        if state.view.number == entry.offset {
            lock(&inner.guard).add_view(Arc::clone(&state.view));
        }
        inner.appender.settle(entry.offset, applied);
    }
    if !batch.records.is_empty() {
        inner.fold.send_replace(Arc::new(state.clone()));
        inner.notices.fold_changed(state.view.number != view_before);
    }
    if state.applied >= batch.next {
        inner.founded.store(true, Ordering::Release);
        lock(&inner.guard).tail_was_read(asked);
    }
    inner.flush_notices();
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
