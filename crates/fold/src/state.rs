//! Everything that is in force at one offset of the log.
//!
//! This module answers questions; [`crate::State::apply`] in `apply.rs` is the only way to
//! change a state.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
};

use kspan_model::{JobEnd, JobId, Name, Submission, UnixMillis, View, document::Document};

use crate::{history::History, record::RecordId};

/// What became of one log entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Applied {
    /// Id of the record; none where the entry is no record.
    pub id: Option<RecordId>,
    /// What became of it.
    pub verdict: Verdict,
}

/// What became of one record, by the same rule on every process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is in force.
    Accepted,
    /// It changed nothing because it was known already.
    Unchanged,
    /// It was refused.
    Refused(Name),
    /// It is no record at all.
    Poisoned,
}

/// A record that was refused lately.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Its offset.
    pub offset: u64,
    /// Its id.
    pub id: RecordId,
    /// Who wrote it.
    pub by: Name,
    /// Why it was refused.
    pub reason: Name,
}

/// What is known of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Job<'a> {
    /// It was accepted and has not ended.
    Open {
        /// Its submission.
        submission: &'a Submission,
        /// Whether it is to be cancelled.
        cancelled: bool,
    },
    /// It has ended.
    Ended(&'a JobEnd),
    /// It was never accepted, or ended too long ago to be remembered.
    Unknown,
}

/// The newest whole snapshot in the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SnapshotSeen {
    /// Offset up to which it covers the log, exclusive.
    pub through: u64,
    /// Offset of its last part.
    pub offset: u64,
}

/// What is in force. Cheap to clone: the parts are shared until one changes.
///
/// # Examples
///
/// ```
/// use kspan_fold::{State, Verdict};
/// use kspan_model::UnixMillis;
///
/// let mut state = State::default();
/// let applied = state.apply(0, UnixMillis(0), "no record");
/// assert_eq!(applied.verdict, Verdict::Poisoned);
/// assert_eq!(state.next_offset, 1);
/// ```
#[derive(Clone, Debug, Default)]
pub struct State {
    /// Offset of the next entry to apply.
    pub next_offset: u64,
    /// The membership view.
    pub view: Arc<View>,
    /// Views before it, oldest first, as far as they are remembered.
    pub past_views: Arc<VecDeque<Arc<View>>>,
    /// The document, if any was accepted.
    pub document: Option<Arc<Document>>,
    /// Log offset of the document's record; zero before any.
    pub document_version: u64,
    /// Text of the document.
    pub document_text: Arc<str>,
    /// Jobs that were accepted and have not ended.
    pub submissions: Arc<BTreeMap<JobId, Submission>>,
    /// Open jobs that are to be cancelled.
    pub cancels: Arc<BTreeSet<JobId>>,
    /// Newest ends of jobs.
    pub ends: Arc<BTreeMap<JobId, JobEnd>>,
    /// Hosts that are drained.
    pub drains: Arc<BTreeSet<Name>>,
    /// Records refused lately, oldest first.
    pub refusals: Arc<VecDeque<Refusal>>,
    /// Entries that were no records.
    pub poisoned: u64,
    /// The newest whole snapshot in the log.
    pub snapshot: Option<SnapshotSeen>,
    pub(crate) history: Arc<History>,
    /// Ids of records that would change something if they were applied twice.
    pub(crate) ids: Arc<VecDeque<RecordId>>,
    /// Ended jobs in the order of their records, with the log's time.
    pub(crate) ended: Arc<VecDeque<(UnixMillis, JobId)>>,
    /// The log's time of the newest end that was forgotten.
    pub(crate) forgotten: Option<UnixMillis>,
    pub(crate) parts: Arc<crate::snapshot::Parts>,
}

impl State {
    /// Returns what is known of a job.
    pub fn job(&self, job: &JobId) -> Job<'_> {
        if let Some(end) = self.ends.get(job) {
            return Job::Ended(end);
        }
        match self.submissions.get(job) {
            Some(submission) => Job::Open {
                submission,
                cancelled: self.cancels.contains(job),
            },
            None => Job::Unknown,
        }
    }

    /// Returns the refusal of a record, if it was refused lately.
    pub fn refusal(&self, id: RecordId) -> Option<&Refusal> {
        self.refusals.iter().find(|refusal| refusal.id == id)
    }

    /// Returns the remembered views, the one in force last.
    pub fn views(&self) -> impl Iterator<Item = &Arc<View>> {
        self.past_views.iter().chain([&self.view])
    }
}
