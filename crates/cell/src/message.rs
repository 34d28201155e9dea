//! Messages between the processes of a cell.

#[cfg(test)]
mod tests;

use std::net::Ipv4Addr;

use derive_more::Debug;
use kspan_adapter::{approvals::Approved, store};
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
    /// Port for messages between processes.
    pub(crate) port: u16,
    /// Random number that identifies the incarnation of the process.
    pub(crate) life: u64,
    /// Data centre.
    pub(crate) data_centre: Name,
    /// Processor time that the host offers, in thousandths of a processor.
    pub(crate) power_milli: u32,
}

/// Heartbeat of the owner, sent as a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Heartbeat {
    /// Fence of the owner.
    pub(crate) fence: u64,
    /// The owner.
    pub(crate) owner: Member,
    /// Processes of the cell; only some heartbeats list them.
    pub(crate) members: Option<Vec<Member>>,
}

/// Operation that a caller requests on a job or queue.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Verb {
    /// Submit a job.
    Submit(JobSpec),
    /// Show a job's state, or the number of pending jobs of a queue.
    Show,
    /// Cancel a job.
    Cancel,
}

impl Verb {
    /// Returns the operation's name in logs and metrics.
    pub(crate) fn name(&self) -> &'static str {
        match self {
            Self::Submit(_) => "submit",
            Self::Show => "show",
            Self::Cancel => "cancel",
        }
    }
}

/// A caller's API key. Its debug format does not show it, so that it reaches no log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[debug("ApiKey(..)")]
pub(crate) struct ApiKey(pub(crate) String);

/// A caller's request about a job or queue.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct JobCall {
    /// Host name that the caller addressed.
    pub(crate) host: String,
    /// Path that the caller addressed.
    pub(crate) path: String,
    /// Key that the caller sent.
    pub(crate) key: Option<ApiKey>,
    /// Requested operation.
    pub(crate) verb: Verb,
    /// Number of times that the call may still be forwarded.
    pub(crate) hops_left: u8,
}

impl JobCall {
    /// Returns whether the call may change a job.
    pub(crate) fn changes_state(&self) -> bool {
        !matches!(self.verb, Verb::Show)
    }

    /// Returns whether the caller may receive the response. While another attempt at the call may
    /// still be executed, the caller must not be told that its call was not executed.
    pub(crate) fn is_settled_by(&self, response: &CallResponse, is_in_doubt: bool) -> bool {
        !(is_in_doubt && self.is_refused_by(response))
    }

    /// Returns whether the response says that the call would change a job and was not executed.
    fn is_refused_by(&self, response: &CallResponse) -> bool {
        match self.verb {
            Verb::Submit(_) => !matches!(response.status, 200 | 504),
            // No attempt at a cancellation makes a job unknown, which 410 says.
            Verb::Cancel => !matches!(response.status, 200 | 410 | 504),
            Verb::Show => false,
        }
    }
}

/// HTTP response to a caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct CallResponse {
    /// HTTP status.
    pub(crate) status: u16,
    /// Body.
    pub(crate) body: Vec<u8>,
    /// Time after which the caller should retry, in seconds.
    pub(crate) retry_after_s: Option<u32>,
}

impl CallResponse {
    /// Creates a response without a body.
    pub(crate) fn new(status: u16) -> Self {
        Self {
            status,
            body: Vec::new(),
            retry_after_s: None,
        }
    }

    /// Creates a response with a body.
    pub(crate) fn with_body(status: u16, body: Vec<u8>) -> Self {
        Self {
            status,
            body,
            retry_after_s: None,
        }
    }

    /// Creates the response to a request that was not executed and may be retried.
    pub(crate) fn unavailable(retry_after_s: u32) -> Self {
        Self {
            status: 503,
            body: Vec::new(),
            retry_after_s: Some(retry_after_s),
        }
    }
}

/// Reason why a caller's request has no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallFailure {
    /// The request was not executed.
    NotExecuted,
    /// The request may have been executed.
    InDoubt,
}

/// A request to another process of the cell.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum PeerRequest {
    /// Execute a caller's request.
    Call(JobCall),
    /// Request approvals for a step from the approval service.
    RequestApprovals {
        /// The step.
        step: StepId,
        /// Ids of the runners.
        runners: Vec<Name>,
    },
    /// Relay a request to the store.
    RelayToStore(store::Request),
    /// Heartbeat of a member, by which the owner adds or keeps it in the list of members.
    MemberHeartbeat(Member),
    /// Report the known owner and the time since its last heartbeat.
    OwnerStatus,
    /// Claim the cell from its owner with this fence, which requests the handover.
    TakeOver(u64),
    /// Confirm that no owner with another fence is known.
    ConfirmOwner {
        /// Fence of the owner.
        fence: u64,
        /// Incarnation of the process that is asked. Another one may have forgotten a newer owner.
        life: u64,
    },
}

/// A reply from another process of the cell.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum PeerReply {
    /// The response to the caller.
    Call(CallResponse),
    /// The process does not own the cell; the request was not executed.
    NotOwner,
    /// The process lost the ownership or the owner's reply during the request, which may have been
    /// executed.
    InDoubt,
    /// The approvals, or `None` if the service gave no valid response.
    Approvals(Option<Approved>),
    /// Status and body of the store's response, or `None` if there was none.
    StoreResponse(Option<(u16, Vec<u8>)>),
    /// The request was accepted.
    Accepted,
    /// The newest known owner.
    OwnerStatus {
        /// Fence of the owner, or 0 if none is known.
        fence: u64,
        /// Time since the owner's last heartbeat, in milliseconds.
        silent_ms: u64,
    },
}

/// A request or a reply on a connection.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Frame<T> {
    /// Number of the request on its connection; the reply carries the same number.
    pub(crate) number: u64,
    /// The request or reply.
    pub(crate) content: T,
}
