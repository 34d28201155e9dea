//! Everything that is in force at one offset of the log.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use kspan_model::{JobEnd, JobId, Name, Submission, UnixMillis, View, document::Document};

use crate::record::{Body, Record, RecordId};

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
    Known,
    /// It was refused.
    Refused(Name),
    /// It is no record at all.
    Poisoned,
}

/// What is in force. Cheap to clone: the parts are shared until one changes.
#[derive(Clone, Debug, Default)]
pub struct State {
    /// Offset of the next entry to apply.
    pub applied: u64,
    /// The membership view.
    pub view: Arc<View>,
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
}

impl State {
    /// Applies the entry at `offset`, taken by the log at `time`.
    pub fn apply(&mut self, offset: u64, time: UnixMillis, data: &str) -> Applied {
        let _ = time;
        let record = serde_json::from_str::<Record>(data);
        let id = record.as_ref().ok().map(|record| record.id);
        if offset < self.applied {
            let verdict = Verdict::Known;
            return Applied { id, verdict };
        }
        self.applied = offset + 1;
        let verdict = match record {
            Ok(record) => self.apply_body(offset, record.body),
            Err(_) => Verdict::Poisoned,
        };
        Applied { id, verdict }
    }

    fn apply_body(&mut self, offset: u64, body: Body) -> Verdict {
        if let Body::View { base, members } = body {
            if base != self.view.number {
                return Verdict::Refused("the view has changed since".into());
            }
            self.view = Arc::new(View {
                number: offset,
                members,
            });
        }
        Verdict::Accepted
    }
}
