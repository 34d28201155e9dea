//! Writes batches of records to the store, one after the other.
//!
//! Each append carries the owner's fence and a sequence number. The number makes retries
//! idempotent; the fence makes the store refuse appends of this owner once a newer owner has
//! fenced it off.

#[cfg(test)]
mod tests;

use std::{collections::VecDeque, rc::Rc, time::Duration};

use kspan_adapter::store::{self, AppendOutcome, Sequence, Topic};
use kspan_jobs::record::Record;

use super::Owner;
use crate::telemetry;

/// Maximum size of the records in one append, in bytes; a single larger record is appended alone.
const MAX_APPEND_BYTES: usize = 512 * 1024;

/// Size of what precedes the key of a record: its length and that of the key, in bytes.
const RECORD_HEAD_BYTES: usize = 5;

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
            let (batch, records) = (batch.number, batch.records);
            let count = records.len();
            if !self.write(records, &mut number).await {
                return;
            }
            self.writing_since.set(None);
            telemetry::record_batch(count, self.now().saturating_sub(started_at));
            self.engine.borrow_mut().mark_durable(batch);
            self.durable_batch.send_replace(batch);
            self.state_changed.notify_one();
            tokio::time::sleep(MIN_BATCH_INTERVAL).await;
        }
    }

    /// Writes the records of a batch in one or more appends. Returns `false` if the role ended before it was
    /// durable.
    async fn write(&self, records: Vec<Record>, number: &mut u64) -> bool {
        let mut queue = VecDeque::from(records);
        let mut max_records = usize::MAX;
        while !queue.is_empty() {
            let records = queue.make_contiguous();
            let count = count_fitting(records).min(max_records);
            match self.append(&records[..count], *number + 1).await {
                Appended::Durable => {
                    *number += 1;
                    queue.drain(..count);
                    max_records = usize::MAX;
                }
                // Half as many records at a time leave the refused one by itself.
                Appended::Refused if count > 1 => max_records = count / 2,
                Appended::Refused => {
                    max_records = usize::MAX;
                    let Some(refused) = queue.pop_front() else {
                        continue;
                    };
                    let replacement = self.replace_refused(&refused);
                    if let Some(job) = refused.key.progress_of() {
                        // The rest of the progress is that of a job that has not failed.
                        queue.retain(|record| record.key.progress_of() != Some(job));
                    }
                    replacement
                        .into_iter()
                        .for_each(|record| queue.push_front(record));
                }
                Appended::RoleEnded => return false,
            }
        }
        true
    }

    /// Gives up a record that the store will never accept, so that all others can be written. Returns the
    /// record to be written in its place.
    fn replace_refused(&self, record: &Record) -> Option<Record> {
        telemetry::record_malformed("refused record");
        let (key, bytes) = (&record.key, record.value.as_ref().map_or(0, Vec::len));
        tracing::error!(%key, bytes, "record refused by the store for good; given up");
        let (now, unix_ms) = (self.now(), self.node.clock.unix_ms());
        self.engine
            .borrow_mut()
            .give_up_record(&record.key, now, unix_ms)
    }

    /// Appends records, retrying until they are durable, they are refused for good or the role ends.
    async fn append(&self, records: &[Record], number: u64) -> Appended {
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
                    return Appended::Durable;
                }
                Ok(AppendOutcome::Fenced) => {
                    self.step_down("the store has seen a higher fence");
                    return Appended::RoleEnded;
                }
                Ok(AppendOutcome::OutOfSequence) => {
                    // No retry can follow the sequence; a new owner begins one of its own.
                    self.step_down("the store expects another sequence number");
                    return Appended::RoleEnded;
                }
                Ok(AppendOutcome::Refused(status)) if is_final(status) => {
                    let records = records.len();
                    tracing::warn!(
                        status,
                        records,
                        number,
                        "append refused by the store for good"
                    );
                    return Appended::Refused;
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
        Appended::RoleEnded
    }
}

/// Result of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Appended {
    /// The records are durable.
    Durable,
    /// The store will never accept them.
    Refused,
    /// The role ended before.
    RoleEnded,
}

/// Returns whether a refusal is one of the request itself, which stays the same however often it is sent. A
/// store that is overloaded, full or cut off accepts it later.
fn is_final(status: u16) -> bool {
    matches!(status, 400 | 413)
}

/// Returns the number of records that fit into one append, at least one.
fn count_fitting(records: &[Record]) -> usize {
    let mut bytes = 0;
    let fitting_records = records.iter().take_while(|record| {
        bytes += record.key.to_string().len() + RECORD_HEAD_BYTES;
        bytes += record.value.as_ref().map_or(0, Vec::len);
        bytes <= MAX_APPEND_BYTES
    });
    fitting_records.count().max(1)
}
