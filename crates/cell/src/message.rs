//! Messages between the processes of a cell.

use std::net::Ipv4Addr;

use kspan_adapter::{advice::Approved, store};
use kspan_jobs::{id::StepId, spec::JobSpec};
use kspan_model::Name;
use serde::{Deserialize, Serialize};

/// A process of the cell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Member {
    /// Name of the host.
    pub(crate) node: Name,
    /// Address of the host.
    pub(crate) address: Ipv4Addr,
    /// Port for messages.
    pub(crate) port: u16,
    /// Life of the process; unlike in every other.
    pub(crate) life: u64,
    /// Data centre.
    pub(crate) data_centre: Name,
    /// Processor time that the host gives, in thousandths of a processor.
    pub(crate) power_milli: u32,
}

/// Sign of life of an owner, sent as a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Beat {
    /// Fence of the owner.
    pub(crate) fence: u64,
    /// The owner.
    pub(crate) owner: Member,
    /// Processes of the cell, in some beats.
    pub(crate) members: Option<Vec<Member>>,
}

/// What a caller wants of a job or queue.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Verb {
    /// Submit a job.
    Submit(JobSpec),
    /// Show a job's state, or how much of a queue waits.
    Show,
    /// Cancel a job.
    Cancel,
}

impl Verb {
    /// Returns a name for logs and metrics.
    pub(crate) fn name(&self) -> &'static str {
        match self {
            Self::Submit(_) => "submit",
            Self::Show => "show",
            Self::Cancel => "cancel",
        }
    }
}

/// A caller's request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct JobCall {
    /// Host that the caller addressed.
    pub(crate) host: String,
    /// Path that the caller addressed.
    pub(crate) path: String,
    /// What is wanted.
    pub(crate) verb: Verb,
    /// How often the call may be handed on.
    pub(crate) hops: u8,
}

/// The answer for a caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct CallAnswer {
    /// HTTP status.
    pub(crate) status: u16,
    /// Body.
    pub(crate) body: Vec<u8>,
    /// When the caller should come back, in seconds.
    pub(crate) retry_after_s: Option<u32>,
}

impl CallAnswer {
    /// Creates an answer without a body.
    pub(crate) fn new(status: u16) -> Self {
        Self {
            status,
            body: Vec::new(),
            retry_after_s: None,
        }
    }

    /// Creates an answer with a body.
    pub(crate) fn with_body(status: u16, body: Vec<u8>) -> Self {
        Self {
            status,
            body,
            retry_after_s: None,
        }
    }

    /// Creates an answer to a request that was not taken.
    pub(crate) fn not_taken(retry_after_s: u32) -> Self {
        Self {
            status: 503,
            body: Vec::new(),
            retry_after_s: Some(retry_after_s),
        }
    }
}

/// Why a caller's request has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Untaken {
    /// Nothing came of it.
    NotTaken,
    /// It may have been carried out.
    InDoubt,
}

/// A question to another process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Ask {
    /// Carry out a caller's request.
    Call(JobCall),
    /// Ask for approvals.
    Advise {
        /// Step.
        step: StepId,
        /// Runners, by id.
        runners: Vec<Name>,
    },
    /// Send a request to the store.
    Store(store::Request),
    /// Take the sender in as a member.
    Hello(Member),
    /// Tell how long the owner has been silent.
    Heard,
    /// Claim the cell, as its owner with this fence stops.
    TakeOver(u64),
}

/// An answer from another process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Reply {
    /// For the caller.
    Call(CallAnswer),
    /// The process does not own the cell, and nothing came of the question.
    NotOwner,
    /// The process lost the cell, or the owner's answer, while it carried the question out.
    InDoubt,
    /// Approvals, or none where the service did not answer.
    Advise(Option<Approved>),
    /// The store's answer, with its status; none where there was no answer.
    Store(Option<(u16, Vec<u8>)>),
    /// Understood.
    Done,
    /// Newest fence that was heard of, and for how long its owner has been silent.
    Heard {
        /// The fence.
        fence: u64,
        /// Milliseconds since its owner was last heard.
        silent_ms: u64,
    },
}

/// A question or an answer on a connection.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Frame<T> {
    /// Number of the question on its connection.
    pub(crate) number: u64,
    /// The question or answer.
    pub(crate) content: T,
}
