//! Everything that is in force at one offset of the log.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use kspan_model::{JobEnd, JobId, Name, Submission, UnixMillis, View, document::Document};

use crate::record::{Body, Record};

/// What became of one log entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Applied {
    /// It is in force.
    Accepted,
    /// It changed nothing because it was known already.
    Known,
    /// It was refused, by the same rule on every process.
    Refused(Name),
    /// It is no record at all.
    Poisoned(Name),
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
        if offset < self.applied {
            return Applied::Known;
        }
        self.applied = offset + 1;
        match serde_json::from_str::<Record>(data) {
            Ok(record) => self.apply_body(offset, record.body),
            Err(err) => Applied::Poisoned(err.to_string().into()),
        }
    }

    fn apply_body(&mut self, offset: u64, body: Body) -> Applied {
        if let Body::View { base, members } = body {
            if base != self.view.number {
                return Applied::Refused("the view has changed since".into());
            }
            self.view = Arc::new(View {
                number: offset,
                members,
            });
        }
        Applied::Accepted
    }
}
