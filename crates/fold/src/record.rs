//! Records that the system keeps in the platform's log, as JSON text.
//!
//! JSON rather than a binary form, because operators read the log with the platform's own tools.

use kspan_model::{JobEnd, JobId, Member, Name, Submission, UnixMillis};
use serde::{Deserialize, Serialize};

/// One record. The fold applies an `id` once, so a doubled append is harmless.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Unique id, chosen by the writer; see [`kspan_model::parse_hex_u128`].
    pub id: RecordId,
    /// Who wrote it: a process or an operator.
    pub by: Name,
    /// When it was written.
    pub written: UnixMillis,
    /// What it says.
    pub body: Body,
}

/// Unique id of a record, 32 hexadecimal digits.
pub type RecordId = kspan_model::RequestId;

/// What a record says.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum Body {
    /// A new membership view. Accepted when `base` is the view in force; its number is the
    /// record's offset.
    View {
        /// Number of the view that it changes.
        base: u64,
        /// All members of the new view.
        members: Vec<Member>,
    },
    /// A new version of the document. Accepted when nothing that it changes was changed since
    /// `base`; its version is the record's offset.
    Document {
        /// Version that it was edited from; zero for the first.
        base: u64,
        /// The whole YAML text.
        text: String,
    },
    /// Accepted submissions. A job that is known already is skipped.
    Submissions {
        /// The submissions.
        submissions: Vec<Submission>,
    },
    /// Requests to cancel jobs.
    Cancels {
        /// The jobs.
        jobs: Vec<JobId>,
    },
    /// Jobs that have ended.
    Ends {
        /// The ends. The first one of a job counts.
        ends: Vec<JobEnd>,
    },
    /// Hosts that operators drain, or take back into use.
    Drain {
        /// Name of the worker or entry host.
        host: Name,
        /// Whether it is to be drained.
        drained: bool,
    },
    /// A part of a snapshot of everything still in force.
    Snapshot(SnapshotPart),
}

/// One part of a snapshot.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SnapshotPart {
    /// Offset up to which the snapshot covers the log, exclusive.
    pub through: u64,
    /// Position of this part, from zero.
    pub part: u32,
    /// How many parts there are.
    pub parts: u32,
    /// Hash over the whole text, so that parts of unlike snapshots never mix.
    pub digest: RecordId,
    /// This part's piece of the snapshot's JSON text.
    pub text: String,
}
