//! Requests of other threads to append records.
//!
//! The log thread receives a request through a ring, appends the record (`append`), and passes the
//! verdict back when it applies the record.

use std::{collections::HashMap, sync::Mutex};

use kspan_contract::protocol::log::MAX_RECORD_BYTES;
use kspan_fold::{ApplyOutcome, Body, Record, RecordId, Verdict};
use kspan_model::{Name, UnixMillis};
use tokio::sync::oneshot;

use crate::{
    event::AppendOutcome,
    ring::{Full, Sender},
    sync::lock,
};

/// Request to append a record, sent to the log thread.
pub(crate) struct AppendRequest {
    pub(crate) id: RecordId,
    pub(crate) text: String,
    pub(crate) tx: oneshot::Sender<AppendOutcome>,
}

/// Offset of a record and the verdict on it.
pub(crate) type OffsetVerdict = (u64, Verdict);

/// Hands appends to the log thread and reports the verdicts on their records.
pub(crate) struct Appender {
    requests: Sender<AppendRequest>,
    waiters: Mutex<HashMap<RecordId, oneshot::Sender<OffsetVerdict>>>,
}

impl Appender {
    pub(crate) fn new(requests: Sender<AppendRequest>) -> Self {
        Self {
            requests,
            waiters: Mutex::default(),
        }
    }

    /// Appends a record written by `by` and waits for the outcome.
    pub(crate) async fn append(&self, by: &Name, written: UnixMillis, body: Body) -> AppendOutcome {
        let record = Record {
            id: kspan_model::RequestId(rand::random()),
            by: by.clone(),
            written,
            body,
        };
        let text = match serde_json::to_string(&record) {
            Ok(text) if text.len() <= MAX_RECORD_BYTES => text,
            Ok(text) => return too_large(text.len()),
            Err(err) => {
                let reason = err.to_string().into();
                return AppendOutcome::Refused { reason };
            }
        };
        let (tx, rx) = oneshot::channel();
        let id = record.id;
        if let Err(Full(_)) = self.requests.try_send(AppendRequest { id, text, tx }) {
            return AppendOutcome::Unavailable;
        }
        // The log thread drops a request only when the process ends.
        rx.await.unwrap_or(AppendOutcome::Unresolved)
    }

    /// Passes the verdict on an entry to the append that waits for it, if there is one.
    pub(crate) fn resolve(&self, offset: u64, applied: ApplyOutcome) {
        let Some(id) = applied.id else {
            return;
        };
        if let Some(tx) = lock(&self.waiters).remove(&id) {
            // The append may have timed out; the record is in the log nevertheless.
            let _ = tx.send((offset, applied.verdict));
        }
    }

    pub(crate) fn add_waiter(&self, id: RecordId) -> oneshot::Receiver<OffsetVerdict> {
        let (tx, rx) = oneshot::channel();
        lock(&self.waiters).insert(id, tx);
        rx
    }

    pub(crate) fn remove_waiter(&self, id: RecordId) {
        lock(&self.waiters).remove(&id);
    }
}

pub(crate) fn too_large(bytes: usize) -> AppendOutcome {
    let reason = format!("record too large: {bytes} bytes, maximum is {MAX_RECORD_BYTES}");
    AppendOutcome::Refused {
        reason: reason.into(),
    }
}
