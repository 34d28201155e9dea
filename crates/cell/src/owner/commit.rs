//! Writes batches to the store, one after the other.
//!
//! Each append carries the fence and a number, so that it can be sent again until it is answered
//! and takes effect once, and so that no append of this owner takes effect after another claimed.

use std::{rc::Rc, time::Duration};

use kspan_adapter::store::{self as log, Append, Sequence, Topic};
use kspan_jobs::{engine::Batch, record::Record};

use super::Owner;
use crate::measure;

/// Largest append, in bytes of its values.
const MAX_APPEND_BYTES: usize = 512 * 1024;

/// Shortest time between two batches; what comes meanwhile shares one append.
const BATCH_INTERVAL: Duration = Duration::from_millis(20);

/// Time before an append is sent again.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

impl Owner {
    /// Writes batches until the role ends.
    pub(super) async fn write_batches(self: Rc<Self>) {
        let mut number = 0;
        while self.alive.get() {
            let batch = self.engine.borrow_mut().take_batch();
            let Some(batch) = batch else {
                self.to_write.notified().await;
                continue;
            };
            let began = self.now();
            self.writing_since.set(Some(began));
            if !self.write(&batch, &mut number).await {
                return;
            }
            self.writing_since.set(None);
            measure::batch_written(batch.records.len(), self.now().saturating_sub(began));
            self.engine.borrow_mut().mark_durable(batch.number);
            self.durable.send_replace(batch.number);
            self.changed.notify_one();
            tokio::time::sleep(BATCH_INTERVAL).await;
        }
    }

    /// Writes a batch; returns whether it is durable.
    async fn write(&self, batch: &Batch, number: &mut u64) -> bool {
        let mut rest = &batch.records[..];
        while !rest.is_empty() {
            let (part, after) = rest.split_at(leading(rest));
            *number += 1;
            if !self.append(part, *number).await {
                return false;
            }
            rest = after;
        }
        true
    }

    /// Appends records; returns whether they are durable. Goes on until they are or the role
    /// ends.
    async fn append(&self, records: &[Record], number: u64) -> bool {
        let keyed = records
            .iter()
            .map(|record| (record.key.to_string(), record.value.clone()));
        let keyed: Vec<_> = keyed.collect();
        let req = log::append(
            Topic::Jobs,
            &keyed,
            Sequence {
                epoch: self.fence,
                number,
            },
        );
        let mut attempts = 0;
        while self.alive.get() {
            attempts += 1;
            let (asked, moment) = (self.now(), self.node.clock.moment());
            let answer = self.node.store.send(&req, Duration::ZERO).await;
            match answer.and_then(|answer| log::parse_append(&answer)) {
                Ok(Append::Done { .. }) => {
                    self.confirm(asked);
                    self.last_moment.set(moment);
                    return true;
                }
                Ok(Append::Fenced) => {
                    self.step_down("the store knows a newer owner");
                    return false;
                }
                Ok(outcome) => tracing::warn!(?outcome, number, attempts, "append refused"),
                Err(err) => {
                    if self.node.budget.allows("append", self.now()) {
                        tracing::warn!(%err, number, attempts, "append not answered");
                    }
                }
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
        false
    }
}

/// Returns how many records go into one append.
fn leading(records: &[Record]) -> usize {
    let mut bytes = 0;
    let fitting = records.iter().take_while(|record| {
        bytes += record.value.as_ref().map_or(0, Vec::len);
        bytes <= MAX_APPEND_BYTES
    });
    fitting.count().max(1)
}
