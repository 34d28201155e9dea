//! Snapshots of everything in force, in parts that fit into records.
//!
//! The log forgets. Some process therefore writes everything in force again, well before the
//! oldest record that still matters is forgotten; a process that starts loads the newest whole
//! snapshot and folds what follows. A snapshot is made at an offset, so loading one and folding
//! from there gives the same state as folding everything.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
};

use kspan_model::{JobEnd, JobId, Millis, Name, Submission, UnixMillis, View, document};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_128;

use crate::{
    history::History,
    record::{RecordId, SnapshotPart},
    state::State,
};

/// Result of loading a snapshot.
pub type Result<T> = std::result::Result<T, SnapshotError>;

quick_error! {
    /// Why a snapshot could not be loaded.
    #[derive(Debug)]
    pub enum SnapshotError {
        /// The text is no snapshot.
        Malformed(err: serde_json::Error) {
            display("malformed snapshot: {err}")
            source(err)
            from()
        }
        /// Its document is not valid.
        Document(faults: String) {
            display("the snapshot's document is not valid: {faults}")
        }
    }
}

/// Largest piece of a snapshot's text in one record, in bytes. Escapes at most double it, which
/// still leaves room in the largest record.
pub const PART_BYTES: usize = 100 * 1024;

/// Most parts of one snapshot.
const MAX_PARTS: u32 = 256;

/// Snapshots that are put together at once.
const MAX_SETS: usize = 4;

/// Everything in force, as a snapshot has it.
#[derive(Serialize, Deserialize)]
struct Whole {
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
    /// Panics never: plain values always serialise.
    pub fn to_parts(&self) -> Vec<SnapshotPart> {
        let whole = Whole {
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
            ended: Arc::clone(&self.ended),
            forgotten: self.forgotten,
            drains: Arc::clone(&self.drains),
            ids: Arc::clone(&self.ids),
        };
        let text = serde_json::to_string(&whole).expect("plain values serialise");
        split(&text, self.next_offset)
    }

    /// Loads the text of a whole snapshot.
    ///
    /// # Errors
    ///
    /// Returns an error when the text is no snapshot.
    pub fn from_snapshot(text: &str) -> Result<Self> {
        let whole: Whole = serde_json::from_str(text)?;
        let mut views = whole.views;
        let view = views.pop().unwrap_or_default();
        let document = match &*whole.document_text {
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
            next_offset: whole.applied,
            view,
            past_views: Arc::new(views.into()),
            document,
            document_version: whole.document_version,
            document_text: whole.document_text,
            submissions: Arc::new(whole.submissions.into_iter().map(by_job).collect()),
            cancels: whole.cancels,
            ends: Arc::new(whole.ends.into_iter().map(|end| (end.job, end)).collect()),
            drains: whole.drains,
            history: whole.history,
            ids: whole.ids,
            ended: whole.ended,
            forgotten: whole.forgotten,
            ..Self::default()
        })
    }
}

fn split(text: &str, through: u64) -> Vec<SnapshotPart> {
    let digest = kspan_model::RequestId(xxh3_128(text.as_bytes()));
    let mut pieces = Vec::new();
    let mut rest = text;
    while !rest.is_empty() {
        let end = rest.floor_char_boundary(PART_BYTES.min(rest.len()));
        let (piece, after) = rest.split_at(end);
        pieces.push(piece);
        rest = after;
    }
    let parts = u32::try_from(pieces.len()).unwrap_or(u32::MAX);
    let part = |(i, piece): (u32, &str)| SnapshotPart {
        through,
        part: i,
        parts,
        digest,
        text: piece.to_owned(),
    };
    (0..parts).zip(pieces).map(part).collect()
}

/// Parts of snapshots that are not whole yet.
#[derive(Clone, Debug, Default)]
pub struct Parts {
    /// The pieces by offset and digest of their snapshot, which the writer's repeats share.
    sets: BTreeMap<(u64, RecordId), BTreeMap<u32, String>>,
}

impl Parts {
    /// Takes in a part. Returns the snapshot's text when it is whole and undamaged.
    pub fn add(&mut self, part: SnapshotPart) -> Option<String> {
        if part.part >= part.parts || part.parts > MAX_PARTS || part.text.len() > PART_BYTES {
            return None;
        }
        let key = (part.through, part.digest);
        let pieces = self.sets.entry(key).or_default();
        pieces.insert(part.part, part.text);
        if pieces.len() < part.parts as usize {
            while self.sets.len() > MAX_SETS {
                self.sets.pop_first();
            }
            return None;
        }
        let text: String = self.sets.remove(&key)?.into_values().collect();
        let whole = xxh3_128(text.as_bytes()) == part.digest.0;
        whole.then_some(text)
    }
}

/// Longest time between two snapshots.
pub const SNAPSHOT_PERIOD: Millis = Millis(5 * 60 * 1_000);

/// Records after which a new snapshot spares starting processes the reading.
pub const SNAPSHOT_RECORDS: u64 = 4_000;

/// Snapshots that are written within one retention of the log, so that some may be lost.
const SNAPSHOTS_PER_RETENTION: u64 = 4;

/// Lowest offset at which a log may start that has forgotten nothing.
pub const LOG_START: u64 = 1;

/// What is known about the log when the next snapshot is considered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogWindow {
    /// Lowest offset that the log keeps.
    pub first: u64,
    /// Offset of the next record.
    pub next: u64,
    /// Offset up to which the newest whole snapshot covers the log; none where there is none.
    pub covered: Option<u64>,
    /// Age of that snapshot.
    pub age: Millis,
    /// How old records were when the log forgot them, where that was seen.
    pub retention: Option<Millis>,
}

/// Returns whether a snapshot should be written now.
pub fn is_due(log: &LogWindow) -> bool {
    let Some(covered) = log.covered else {
        return log.next > LOG_START;
    };
    let middle = log.first + log.next.saturating_sub(log.first) / 2;
    let is_half_forgotten = log.first > LOG_START && covered < middle;
    let period = log.retention.map_or(SNAPSHOT_PERIOD, |retention| {
        Millis(retention.0 / SNAPSHOTS_PER_RETENTION).min(SNAPSHOT_PERIOD)
    });
    let records = log.next.saturating_sub(covered);
    is_half_forgotten || records >= SNAPSHOT_RECORDS || log.age >= period
}
