//! Group commit: many entries in one record of the log.
//!
//! While one append is under way, entries gather for the next. The log takes a few hundred
//! appends a second from everyone, so each process keeps a period between its own.

use std::{future::Future, time::Duration};

use kspan_node::{
    Append,
    ring::{Receiver, Sender},
};
use tokio::{sync::oneshot, time::Instant};

/// Shortest time between two records of one kind from one process.
const MIN_APPEND_INTERVAL: Duration = Duration::from_millis(500);

/// Most entries in one record; each takes about 200 bytes of the log's 256 KiB.
const MAX_ENTRIES_PER_RECORD: usize = 800;

/// An entry that waits for its record.
#[derive(Debug)]
pub(crate) struct Entry<T> {
    /// The entry.
    pub value: T,
    /// Told what became of the record.
    pub outcome_tx: oneshot::Sender<Append>,
}

/// Hands an entry over and waits until it is known what became of it. A full ring is certainly
/// not appended.
pub(crate) async fn commit<T>(tx: &Sender<Entry<T>>, value: T) -> Append {
    let (outcome_tx, rx) = oneshot::channel();
    if tx.try_send(Entry { value, outcome_tx }).is_err() {
        return Append::Unavailable;
    }
    rx.await.unwrap_or(Append::Unresolved)
}

/// Appends what is handed over, until every sender is gone.
pub(crate) async fn run<T, F>(entries: Receiver<Entry<T>>, append: impl Fn(Vec<T>) -> F)
where
    F: Future<Output = Append>,
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
            // The caller may have gone away; the log has its entry all the same.
            let _ = outcome_tx.send(outcome.clone());
        }
    }
}
