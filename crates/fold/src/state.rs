//! The state in force at one offset of the log.
//!
//! This module holds the queries; [`crate::State::apply`] in `apply.rs` is the only way to
//! change a state.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
};

use kspan_model::{JobEnd, JobId, Name, Submission, UnixMillis, View, document::Document};

use crate::{history::History, parts::PartAssembler, record::RecordId};

/// Outcome of applying one log entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ApplyOutcome {
    /// Id of the record; none when the entry is not a record.
    pub id: Option<RecordId>,
    /// Verdict on the record.
    pub verdict: Verdict,
}

/// Verdict on one record. It depends on the log alone, so it is the same on every process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The record is in force.
    Accepted,
    /// The record changed nothing, such as a duplicate of an earlier one.
    Unchanged,
    /// The record was refused, for the given reason.
    Refused(Name),
    /// The entry can't be parsed as a record.
    Poisoned,
}

/// A recently refused record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Offset of the record.
    pub offset: u64,
    /// Id of the record.
    pub id: RecordId,
    /// Name of the writer.
    pub by: Name,
    /// Why it was refused.
    pub reason: Name,
}

/// Status of a job as recorded in the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobStatus<'a> {
    /// The job was accepted and has not ended.
    Open {
        /// The job's submission.
        submission: &'a Submission,
        /// Whether its cancellation was requested.
        cancelled: bool,
    },
    /// The job has ended.
    Ended(&'a JobEnd),
    /// The job was never accepted, or its end is no longer retained.
    Unknown,
}

/// Position of the newest complete snapshot in the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SnapshotPosition {
    /// Offset up to which the snapshot covers the log, exclusive.
    pub through: u64,
    /// Offset of the part that completed it.
    pub offset: u64,
}

/// State in force at an offset of the log. Cheap to clone: the collections are shared until one
/// of them changes.
///
/// # Examples
///
/// ```
/// use kspan_fold::{State, Verdict};
/// use kspan_model::UnixMillis;
///
/// let mut state = State::default();
/// let applied = state.apply(0, UnixMillis(0), "not a record");
/// assert_eq!(applied.verdict, Verdict::Poisoned);
/// assert_eq!(state.next_offset, 1);
/// ```
#[derive(Clone, Debug, Default)]
pub struct State {
    /// Offset of the next entry to apply.
    pub next_offset: u64,
    /// The membership view in force.
    pub view: Arc<View>,
    /// Earlier views that are retained, oldest first.
    pub past_views: Arc<VecDeque<Arc<View>>>,
    /// The document in force, if any was accepted.
    pub document: Option<Arc<Document>>,
    /// Log offset of the document's record; zero before the first document.
    pub document_version: u64,
    /// YAML text of the document.
    pub document_text: Arc<str>,
    /// Jobs that were accepted and have not ended.
    pub submissions: Arc<BTreeMap<JobId, Submission>>,
    /// Open jobs whose cancellation was requested.
    pub cancels: Arc<BTreeSet<JobId>>,
    /// Retained ends of jobs.
    pub ends: Arc<BTreeMap<JobId, JobEnd>>,
    /// Hosts that are drained.
    pub drains: Arc<BTreeSet<Name>>,
    /// Recently refused records, oldest first.
    pub refusals: Arc<VecDeque<Refusal>>,
    /// Number of entries that could not be parsed as records.
    pub poisoned: u64,
    /// Position of the newest complete snapshot in the log.
    pub snapshot: Option<SnapshotPosition>,
    pub(crate) history: Arc<History>,
    /// Ids of applied records whose second application would not be idempotent.
    pub(crate) applied_ids: Arc<VecDeque<RecordId>>,
    /// Ended jobs in log order, with the time at which the log appended each end.
    pub(crate) ended_jobs: Arc<VecDeque<(UnixMillis, JobId)>>,
    /// Log time of the newest end that was dropped from `ends`.
    pub(crate) newest_dropped_end: Option<UnixMillis>,
    pub(crate) snapshot_parts: Arc<PartAssembler>,
}

impl State {
    /// Returns the status of a job.
    pub fn job(&self, job: &JobId) -> JobStatus<'_> {
        if let Some(end) = self.ends.get(job) {
            return JobStatus::Ended(end);
        }
        match self.submissions.get(job) {
            Some(submission) => JobStatus::Open {
                submission,
                cancelled: self.cancels.contains(job),
            },
            None => JobStatus::Unknown,
        }
    }

    /// Returns the refusal of a record, if it is among the recent ones.
    pub fn refusal(&self, id: RecordId) -> Option<&Refusal> {
        self.refusals.iter().find(|refusal| refusal.id == id)
    }

    /// Returns the retained views, the one in force last.
    pub fn views(&self) -> impl Iterator<Item = &Arc<View>> {
        self.past_views.iter().chain([&self.view])
    }
}
