//! Snapshots of the state in force, in parts that fit into records.
//!
//! The log discards old records. One of the processes therefore writes a snapshot well before the
//! log discards a record that is still in force. A starting process loads the newest complete
//! snapshot and applies the records that follow. A snapshot belongs to an offset: loading it and
//! applying the records from there gives the same state as applying the whole log.

use std::{
    collections::{BTreeSet, VecDeque},
    sync::Arc,
};

use kspan_model::{JobEnd, JobId, Millis, Name, Submission, UnixMillis, View, document};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};

pub use crate::parts::{MAX_PART_BYTES, PartAssembler};
use crate::{
    history::History,
    parts::split,
    record::{RecordId, SnapshotPart},
    state::State,
};

/// Result of loading a snapshot.
pub type Result<T> = std::result::Result<T, SnapshotError>;

quick_error! {
    /// Why a snapshot could not be loaded.
    #[derive(Debug)]
    pub enum SnapshotError {
        /// The text is not a snapshot.
        Malformed(err: serde_json::Error) {
            display("malformed snapshot: {err}")
            source(err)
            from()
        }
        /// The snapshot's document is not valid.
        Document(faults: String) {
            display("the snapshot's document is not valid: {faults}")
        }
    }
}

/// Serialised form of a state.
#[derive(Serialize, Deserialize)]
struct SnapshotData {
    applied: u64,
    views: Vec<Arc<View>>,
    document_version: u64,
    document_text: Arc<str>,
    history: Arc<History>,
    submissions: Vec<Submission>,
    cancels: Arc<BTreeSet<JobId>>,
    ends: Vec<JobEnd>,
    ended: Arc<VecDeque<(UnixMillis, JobId)>>,
    forgotten: Option<UnixMillis>,
    drains: Arc<BTreeSet<Name>>,
    ids: Arc<VecDeque<RecordId>>,
}

impl State {
    /// Returns the state as the parts of a snapshot.
    ///
    /// # Panics
    ///
    /// Never panics in practice: every field can be serialised as JSON.
    pub fn to_parts(&self) -> Vec<SnapshotPart> {
        let data = SnapshotData {
            applied: self.next_offset,
            views: self
                .views()
                .filter(|view| view.number > 0)
                .cloned()
                .collect(),
            document_version: self.document_version,
            document_text: Arc::clone(&self.document_text),
            history: Arc::clone(&self.history),
            submissions: self.submissions.values().cloned().collect(),
            cancels: Arc::clone(&self.cancels),
            ends: self.ends.values().cloned().collect(),
            ended: Arc::clone(&self.ended_jobs),
            forgotten: self.newest_dropped_end,
            drains: Arc::clone(&self.drains),
            ids: Arc::clone(&self.applied_ids),
        };
        let text = serde_json::to_string(&data).expect("a snapshot can be serialised as JSON");
        split(&text, self.next_offset)
    }

    /// Loads a state from the text of a complete snapshot.
    ///
    /// # Errors
    ///
    /// Returns an error when the text is not a snapshot or its document is not valid.
    pub fn from_snapshot(text: &str) -> Result<Self> {
        let data: SnapshotData = serde_json::from_str(text)?;
        let mut views = data.views;
        let view = views.pop().unwrap_or_default();
        let document = match &*data.document_text {
            "" => None,
            text => {
                let document = document::parse(text);
                let document =
                    document.map_err(|faults| SnapshotError::Document(faults.to_string()))?;
                Some(Arc::new(document))
            }
        };
        let by_job = |s: Submission| (s.job, s);
        Ok(Self {
            next_offset: data.applied,
            view,
            past_views: Arc::new(views.into()),
            document,
            document_version: data.document_version,
            document_text: data.document_text,
            submissions: Arc::new(data.submissions.into_iter().map(by_job).collect()),
            cancels: data.cancels,
            ends: Arc::new(data.ends.into_iter().map(|end| (end.job, end)).collect()),
            drains: data.drains,
            history: data.history,
            applied_ids: data.ids,
            ended_jobs: data.ended,
            newest_dropped_end: data.forgotten,
            ..Self::default()
        })
    }
}

/// Maximum time between two snapshots.
pub const MAX_SNAPSHOT_INTERVAL: Millis = Millis(5 * 60 * 1_000);

/// Number of records after which a new snapshot is due, so that a starting process has few
/// records to apply.
pub const MAX_RECORDS_SINCE_SNAPSHOT: u64 = 4_000;

/// Snapshots written per retention time of the log. More than one, because some may be lost.
const SNAPSHOTS_PER_RETENTION: u64 = 4;

/// Highest first offset of a log that has discarded nothing: logs start at zero or one.
pub const LOG_START: u64 = 1;

/// Range and age of the log, from which it is decided whether a snapshot is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogWindow {
    /// Lowest offset that the log retains.
    pub first: u64,
    /// Offset of the next record.
    pub next: u64,
    /// Offset up to which the newest complete snapshot covers the log; none without a snapshot.
    pub covered: Option<u64>,
    /// Time since that snapshot was found in the log.
    pub age: Millis,
    /// Age at which the log discards records, if that was observed.
    pub retention: Option<Millis>,
}

/// Returns whether a snapshot is due.
pub fn is_snapshot_due(log: &LogWindow) -> bool {
    let Some(covered) = log.covered else {
        return log.next > LOG_START;
    };
    let middle = log.first + log.next.saturating_sub(log.first) / 2;
    let is_in_older_half = log.first > LOG_START && covered < middle;
    let period = log.retention.map_or(MAX_SNAPSHOT_INTERVAL, |retention| {
        Millis(retention.0 / SNAPSHOTS_PER_RETENTION).min(MAX_SNAPSHOT_INTERVAL)
    });
    let records = log.next.saturating_sub(covered);
    is_in_older_half || records >= MAX_RECORDS_SINCE_SNAPSHOT || log.age >= period
}
