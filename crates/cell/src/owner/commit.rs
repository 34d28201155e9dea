//! Writes batches of records to the store, one after the other.
//!
//! Each append carries the owner's fence and a sequence number. The number makes retries
//! idempotent; the fence makes the store refuse appends of this owner once a newer owner has
//! fenced it off.

use std::{rc::Rc, time::Duration};

use kspan_adapter::store::{self, AppendOutcome, Sequence, Topic};
use kspan_jobs::{engine::Batch, record::Record};

use super::Owner;
use crate::telemetry;

/// Maximum size of the values in one append, in bytes; a single larger record is appended alone.
const MAX_APPEND_BYTES: usize = 512 * 1024;

/// Minimum pause between two batches. Records that arrive during the pause share a batch.
const MIN_BATCH_INTERVAL: Duration = Duration::from_millis(20);

/// Delay before an append is retried.
const RETRY_DELAY: Duration = Duration::from_millis(100);

impl Owner {
    /// Writes batches until the role ends.
    pub(super) async fn write_batches(self: Rc<Self>) {
        let mut number = 0;
        while self.is_active.get() {
            let batch = self.engine.borrow_mut().take_batch();
            let Some(batch) = batch else {
                self.batch_ready.notified().await;
                continue;
            };
            let started_at = self.now();
            self.writing_since.set(Some(started_at));
            if !self.write(&batch, &mut number).await {
                return;
            }
            self.writing_since.set(None);
            telemetry::record_batch(batch.records.len(), self.now().saturating_sub(started_at));
            self.engine.borrow_mut().mark_durable(batch.number);
            self.durable_batch.send_replace(batch.number);
            self.state_changed.notify_one();
            tokio::time::sleep(MIN_BATCH_INTERVAL).await;
        }
    }

    /// Writes a batch in one or more appends. Returns `false` if the role ended before it was
    /// durable.
    async fn write(&self, batch: &Batch, number: &mut u64) -> bool {
        let mut rest = &batch.records[..];
        while !rest.is_empty() {
            let (part, remaining) = rest.split_at(count_fitting(rest));
            *number += 1;
            if !self.append(part, *number).await {
                return false;
            }
            rest = remaining;
        }
        true
    }

    /// Appends records, retrying until they are durable or the role ends. Returns whether they are
    /// durable.
    async fn append(&self, records: &[Record], number: u64) -> bool {
        let keyed = records
            .iter()
            .map(|record| (record.key.to_string(), record.value.clone()));
        let keyed: Vec<_> = keyed.collect();
        let req = store::append_request(
            Topic::Jobs,
            &keyed,
            Sequence {
                epoch: self.fence,
                number,
            },
        );
        let mut attempts = 0;
        while self.is_active.get() {
            attempts += 1;
            let sent = self.node.clock.reading();
            let response = self.node.store.send(&req).await;
            match response.and_then(|response| store::parse_append(&response)) {
                Ok(AppendOutcome::Done { .. }) => {
                    self.confirm(sent);
                    return true;
                }
                Ok(AppendOutcome::Fenced) => {
                    self.step_down("the store has seen a higher fence");
                    return false;
                }
                Ok(outcome) => tracing::warn!(
                    ?outcome,
                    number,
                    attempts,
                    "append refused by the store; retrying"
                ),
                Err(err) => {
                    if self.node.log_limit.allows("append", self.now()) {
                        tracing::warn!(%err, number, attempts, "append not answered by the store; retrying");
                    }
                }
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
        false
    }
}

/// Returns the number of records that fit into one append, at least one.
fn count_fitting(records: &[Record]) -> usize {
    let mut bytes = 0;
    let fitting_records = records.iter().take_while(|record| {
        bytes += record.value.as_ref().map_or(0, Vec::len);
        bytes <= MAX_APPEND_BYTES
    });
    fitting_records.count().max(1)
}
