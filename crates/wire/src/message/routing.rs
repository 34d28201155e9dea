//! Messages between routers: slot credits of runners and claims on idempotency keys.
//!
//! Any message may be lost, duplicated or reordered. Credits therefore expire and are returned as
//! running totals instead of increments, and claims are matched by request id.

use derive_more::Display;
use kspan_model::{Millis, Name, RequestId, TaskId, UnixMillis};
use serde::{Deserialize, Serialize};

/// A message between routers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Requests slot credits from a router that is home to runners of a service.
    CreditRequest(CreditRequest),
    /// Lends slot credits on one runner.
    CreditLoan(CreditLoan),
    /// Requests the renewal of a loan that is in use.
    RenewalRequest(RenewalRequest),
    /// Answers [`Message::RenewalRequest`].
    Renewal(Renewal),
    /// Returns slot credits to their lender.
    CreditReturn(CreditReturn),
    /// Notifies borrowers that a runner is draining and accepts no new requests.
    Leaving {
        /// The runner.
        runner: TaskId,
    },
    /// Claims from a key's home the right to dispatch a request.
    Claim(Claim),
    /// Answers [`Message::Claim`].
    ClaimReply(ClaimReply),
    /// Reports the outcome of a granted request to the key's home.
    Settle(Settle),
}

/// A request for slot credits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CreditRequest {
    /// Sequence number of the sender's requests.
    pub seq: u64,
    /// The service whose runners the slots are for.
    pub service: Name,
    /// Number of slots requested.
    pub wanted: u32,
}

/// A loan of slots on one runner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CreditLoan {
    /// Sequence number of the request that it answers.
    pub seq: u64,
    /// Loan id, unique per lender.
    pub loan: u64,
    /// The runner.
    pub runner: TaskId,
    /// Number of slots lent.
    pub slots: u32,
    /// Validity of the loan, counted from the time at which the request was sent.
    pub valid: Millis,
}

/// A request to extend a loan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewalRequest {
    /// The loan.
    pub loan: u64,
    /// Sequence number of the sender's requests.
    pub seq: u64,
}

/// The extension of a loan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renewal {
    /// The loan.
    pub loan: u64,
    /// Sequence number of the request that it answers.
    pub seq: u64,
    /// New validity of the loan, counted from the time at which the request was sent.
    pub valid: Millis,
    /// Whether new requests may be dispatched on the loan. If not, those in flight may still
    /// finish.
    pub spend: bool,
}

/// A return of lent slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CreditReturn {
    /// The loan.
    pub loan: u64,
    /// Total number of slots returned since the loan was made.
    pub returned: u32,
    /// How many of the returned slots may still be occupied at the runner, because the router
    /// stopped waiting for the answer.
    pub abandoned: u32,
}

/// Hash that identifies an idempotency key within its service, request class and caller.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{_0:032x}")]
pub struct KeyId(pub u128);

/// A claim on the right to dispatch a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The key.
    pub key: KeyId,
    /// The key as the caller sent it; determines the home.
    pub text: Name,
    /// Hash of the request's content, which detects a key that is reused for another request.
    pub fingerprint: u128,
    /// Id of this send of the request.
    pub request: RequestId,
    /// When the caller created the key.
    pub created: Option<UnixMillis>,
    /// Whether the caller declares this to be the first send with this key.
    pub first: bool,
    /// Time until the request's deadline.
    pub left: Millis,
}

/// The reply to a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimReply {
    /// The key.
    pub key: KeyId,
    /// Id of the send that made the claim.
    pub request: RequestId,
    /// The decision on the claim.
    pub decision: ClaimDecision,
}

/// Decision on a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimDecision {
    /// The claimant may dispatch the request once.
    Granted,
    /// Another send with the key is in flight; a final decision follows.
    Waiting,
    /// The request has run; carries the recorded answer.
    Answered(Answer),
    /// The request was dispatched, and its outcome is unknown.
    Dispatched,
    /// The request has run, but its answer was too large to record.
    AnswerNotKept,
    /// The key was used before for a request with another fingerprint.
    Mismatch,
    /// The receiver is not the key's home or has no authority to act as home at present; it
    /// granted nothing.
    NotHome,
    /// The home can't determine whether the request was dispatched before its takeover.
    Indeterminate,
    /// The home's key table is full.
    Full,
}

/// A recorded answer of a runner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// HTTP headers.
    pub headers: Vec<Header>,
    /// Complete body.
    pub body: Vec<u8>,
}

/// An HTTP header.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Name in lower case.
    pub name: Name,
    /// Value, which need not be UTF-8.
    pub value: Vec<u8>,
}

/// The report of a granted request's outcome.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settle {
    /// The key.
    pub key: KeyId,
    /// The key as the caller sent it; determines the home.
    pub text: Name,
    /// Id of the send whose claim was granted.
    pub request: RequestId,
    /// The outcome.
    pub result: Settlement,
}

/// Outcome of a granted request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Settlement {
    /// The request ran; carries its answer.
    Answered(Answer),
    /// The request ran, and its answer is too large to record.
    AnswerNotKept,
    /// The request was dispatched and may or may not have run.
    Unknown,
    /// The request was not dispatched and never will be, so the key is free again.
    Withdrawn,
}
