//! Group commit: combines many entries into one log record.
//!
//! While one append is in flight, entries are collected for the next. The log accepts a few hundred
//! appends per second in total, so each process keeps a minimum interval between its own.

use std::{future::Future, time::Duration};

use kspan_node::{
    AppendOutcome,
    ring::{Receiver, Sender},
};
use tokio::{sync::oneshot, time::Instant};

/// Minimum interval between two records of one kind from one process.
const MIN_APPEND_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum entries in one record; each takes about 200 bytes of the log's 256 KiB limit.
const MAX_ENTRIES_PER_RECORD: usize = 800;

/// An entry that waits to be appended.
#[derive(Debug)]
pub(crate) struct Entry<T> {
    /// The value to append.
    pub value: T,
    /// Receives the outcome of the append.
    pub outcome_tx: oneshot::Sender<AppendOutcome>,
}

/// Submits an entry and waits for the outcome of its append. An entry that finds the ring full is
/// certainly not appended.
pub(crate) async fn commit<T>(tx: &Sender<Entry<T>>, value: T) -> AppendOutcome {
    let (outcome_tx, rx) = oneshot::channel();
    if tx.try_send(Entry { value, outcome_tx }).is_err() {
        return AppendOutcome::Unavailable;
    }
    rx.await.unwrap_or(AppendOutcome::Unresolved)
}

/// Appends submitted entries in groups until every sender is dropped.
pub(crate) async fn run<T, F>(entries: Receiver<Entry<T>>, append: impl Fn(Vec<T>) -> F)
where
    F: Future<Output = AppendOutcome>,
{
    let mut last: Option<Instant> = None;
    while let Some(first) = entries.recv().await {
        if let Some(last) = last {
            tokio::time::sleep_until(last + MIN_APPEND_INTERVAL).await;
        }
        last = Some(Instant::now());
        let mut group = vec![first];
        while group.len() < MAX_ENTRIES_PER_RECORD
            && let Some(next) = entries.try_recv()
        {
            group.push(next);
        }
        let (values, outcome_senders): (Vec<T>, Vec<_>) = group
            .into_iter()
            .map(|entry| (entry.value, entry.outcome_tx))
            .unzip();
        let outcome = append(values).await;
        for outcome_tx in outcome_senders {
            // The caller may have disconnected; the entry is in the log nonetheless.
            let _ = outcome_tx.send(outcome.clone());
        }
    }
}
