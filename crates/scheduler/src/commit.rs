//! Group commit: many entries in one record of the log.
//!
//! While one append is under way, entries gather for the next. The log takes a few hundred
//! appends a second from everyone, so each process keeps a period between its own.

use std::{future::Future, time::Duration};

use kspan_node::{
    AppendOutcome,
    ring::{Receiver, Sender},
};
use tokio::{sync::oneshot, time::Instant};

/// Shortest time between two records of one kind from one process.
const PERIOD: Duration = Duration::from_millis(500);

/// Most entries in one record; each takes about 200 bytes of the log's 256 KiB.
const MAX_ENTRIES: usize = 800;

/// An entry that waits for its record.
#[derive(Debug)]
pub(crate) struct Entry<T> {
    /// The entry.
    pub value: T,
    /// Told what became of the record.
    pub done: oneshot::Sender<AppendOutcome>,
}

/// Hands an entry over and waits until it is known what became of it. A full ring is certainly
/// not appended.
pub(crate) async fn commit<T>(tx: &Sender<Entry<T>>, value: T) -> AppendOutcome {
    let (done, rx) = oneshot::channel();
    if tx.try_send(Entry { value, done }).is_err() {
        return AppendOutcome::Unavailable;
    }
    rx.await.unwrap_or(AppendOutcome::Unresolved)
}

/// Appends what is handed over, until every sender is gone.
pub(crate) async fn run<T, F>(entries: Receiver<Entry<T>>, append: impl Fn(Vec<T>) -> F)
where
    F: Future<Output = AppendOutcome>,
{
    let mut last: Option<Instant> = None;
    while let Some(first) = entries.recv().await {
        if let Some(last) = last {
            tokio::time::sleep_until(last + PERIOD).await;
        }
        last = Some(Instant::now());
        let mut group = vec![first];
        while group.len() < MAX_ENTRIES
            && let Some(next) = entries.try_recv()
        {
            group.push(next);
        }
        let (values, waiting): (Vec<T>, Vec<_>) = group
            .into_iter()
            .map(|entry| (entry.value, entry.done))
            .unzip();
        let outcome = append(values).await;
        for done in waiting {
            // The caller may have gone away; the log has its entry all the same.
            let _ = done.send(outcome.clone());
        }
    }
}
