//! Messages among routers: slot credits of runners and claims on idempotency keys.
//!
//! Every message may be lost, doubled or reordered. Credits therefore carry expiry and running
//! totals in place of differences, and claims are matched by request id.

use derive_more::Display;
use kspan_model::{Millis, Name, RequestId, TaskId, UnixMillis};
use serde::{Deserialize, Serialize};

/// A message among routers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks a runner's home for slot credits.
    CreditRequest(CreditRequest),
    /// Lends slot credits.
    CreditLoan(CreditLoan),
    /// Asks to extend credits that are in use.
    RenewalRequest(RenewalRequest),
    /// Answers [`Message::RenewalRequest`].
    Renewal(Renewal),
    /// Gives credits back.
    CreditReturn(CreditReturn),
    /// Tells borrowers that a runner takes no new work.
    Leaving {
        /// The runner.
        runner: TaskId,
    },
    /// Asks a key's home for the right to dispatch a request.
    Claim(Claim),
    /// Answers [`Message::Claim`].
    ClaimReply(ClaimReply),
    /// Tells a key's home what became of a granted request.
    Settle(Settle),
}

/// Asks for credits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CreditRequest {
    /// Counts the sender's questions.
    pub seq: u64,
    /// The service whose runners are wanted.
    pub service: Name,
    /// Slots wanted.
    pub wanted: u32,
}

/// Lends credits on one runner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CreditLoan {
    /// The question that it answers.
    pub seq: u64,
    /// Unique among the lender's loans.
    pub loan: u64,
    /// The runner.
    pub runner: TaskId,
    /// Slots lent.
    pub slots: u32,
    /// How long they may be used, counted from when the question was sent.
    pub valid: Millis,
}

/// Asks for more time on a loan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewalRequest {
    /// The loan.
    pub loan: u64,
    /// Counts the sender's questions.
    pub seq: u64,
}

/// Extends a loan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renewal {
    /// The loan.
    pub loan: u64,
    /// The question that it answers.
    pub seq: u64,
    /// How long the loan lasts, counted from when the question was sent.
    pub valid: Millis,
    /// Whether new requests may be sent on it; else only those in flight may finish.
    pub spend: bool,
}

/// Gives credits back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CreditReturn {
    /// The loan.
    pub loan: u64,
    /// Slots returned since the loan was made, in all.
    pub returned: u32,
    /// How many of them may still be in use at the runner, because their answer was abandoned.
    pub abandoned: u32,
}

/// Identifies a caller's idempotency key within its service, class and caller.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{_0:032x}")]
pub struct KeyId(pub u128);

/// Asks for the right to dispatch a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The key.
    pub key: KeyId,
    /// The caller's key text, from which the home is ranked.
    pub text: Name,
    /// Hash of what is asked, so that a key used for two different requests is noticed.
    pub fingerprint: u128,
    /// This send of the request.
    pub request: RequestId,
    /// When the caller created the key.
    pub created: Option<UnixMillis>,
    /// Whether the caller says that this is the first send of the key.
    pub first: bool,
    /// Time that the request still has.
    pub left: Millis,
}

/// Answers a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimReply {
    /// The key.
    pub key: KeyId,
    /// The send that claimed.
    pub request: RequestId,
    /// The decision.
    pub ruling: ClaimDecision,
}

/// Decision on a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimDecision {
    /// The request may be dispatched, once, by the claimant.
    Granted,
    /// Another send of the key is in flight: a further verdict follows.
    Waiting,
    /// The key has run: the recorded answer.
    Answered(Answer),
    /// The key was dispatched; whether it ran is not known.
    Dispatched,
    /// The key has run, but its answer was too large to keep.
    AnswerNotKept,
    /// The key was used for a different request.
    Mismatch,
    /// The receiver is not the key's home, or may not act as home now: nothing was granted here.
    NotHome,
    /// The home cannot tell whether the key was dispatched before it took over.
    Indeterminate,
    /// The home has no room to remember another key.
    Full,
}

/// A whole recorded answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Status code.
    pub status: u16,
    /// Headers.
    pub headers: Vec<Header>,
    /// The whole body.
    pub body: Vec<u8>,
}

/// One header.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Name in lower case.
    pub name: Name,
    /// Value.
    pub value: Vec<u8>,
}

/// Tells what became of a granted request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settle {
    /// The key.
    pub key: KeyId,
    /// The caller's key text, from which the home is ranked.
    pub text: Name,
    /// The send that was granted.
    pub request: RequestId,
    /// What became of it.
    pub result: Settlement,
}

/// What became of a granted request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Settlement {
    /// It ran, with this answer.
    Answered(Answer),
    /// It ran; the answer is too large to keep.
    AnswerNotKept,
    /// It was dispatched and may or may not have run.
    Unknown,
    /// It was certainly not dispatched and never will be.
    Withdrawn,
}
