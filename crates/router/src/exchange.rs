//! A caller's request and the response to it, independent of the HTTP server and client.

use kspan_model::{Millis, Name, Outcome, Priority, RequestId, UnixMillis};
use kspan_wire::message::routing::{Answer, Header, KeyId};
use ntex::{
    http::{
        HeaderMap, Method, StatusCode,
        header::{self, HeaderName, HeaderValue},
    },
    util::Bytes,
};
use tokio::time::Instant;

/// Headers that apply to a single connection and are never forwarded.
const CONNECTION_HEADERS: [HeaderName; 9] = [
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::HOST,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Delay after which a caller may retry a request that this router can't dispatch at present.
pub const RETRY_AFTER: Millis = Millis::from_secs(1);

/// A request as it is forwarded to runners.
#[derive(Clone, Debug)]
pub struct OutgoingRequest {
    /// Id of the request.
    pub request: RequestId,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// Headers of the caller that are forwarded.
    pub headers: Vec<(HeaderName, HeaderValue)>,
    /// Complete body.
    pub body: Bytes,
}

/// A caller's idempotency key.
#[derive(Clone, Debug)]
pub struct IdempotencyKey {
    /// Id of the key within its service, request class and caller.
    pub id: KeyId,
    /// The key as the caller sent it.
    pub text: Name,
    /// Hash of the request's content.
    pub fingerprint: u128,
    /// Time at which the caller created the key, if the caller sent it.
    pub created: Option<UnixMillis>,
}

/// A validated request of a caller.
#[derive(Clone, Debug)]
pub struct IncomingRequest {
    /// The request as it is forwarded to runners.
    pub outgoing: OutgoingRequest,
    /// Service that is called.
    pub service: Name,
    /// Name of the caller; empty if the caller sent none.
    pub caller: Name,
    /// Priority of the request class.
    pub priority: Priority,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether the request may be hedged: sent to a second runner while the first one runs it.
    pub hedge: bool,
    /// Number of this send, starting at 1, if the caller sent it.
    pub attempt: Option<u32>,
    /// Idempotency key, if the caller sent one.
    pub key: Option<IdempotencyKey>,
    /// Deadline on the clock of the node.
    pub deadline: Millis,
    /// Deadline on the clock of the tokio runtime.
    pub deadline_instant: Instant,
}

impl IncomingRequest {
    /// Returns whether no earlier send of this request can have been dispatched. This holds if the
    /// caller numbers the send as the first, or if the request has neither a number nor a key: a
    /// send without a key is a request of its own.
    pub fn is_first_send(&self) -> bool {
        match self.attempt {
            Some(attempt) => attempt == 1,
            None => self.key.is_none(),
        }
    }
}

/// A complete answer of a runner.
#[derive(Clone, Debug)]
pub struct CompleteAnswer {
    /// HTTP status.
    pub status: StatusCode,
    /// HTTP headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

/// The response to a caller.
#[derive(Clone, Debug)]
pub struct Response {
    /// Outcome of the request.
    pub outcome: Outcome,
    /// HTTP status.
    pub status: StatusCode,
    /// Answer of a runner, received for this send or recorded for an earlier one.
    pub answer: Option<CompleteAnswer>,
    /// Whether the answer is a recorded one of an earlier send.
    pub replayed: bool,
    /// Delay after which the caller may retry.
    pub retry_after: Option<Millis>,
    /// Reason why there is no answer; empty if there is one.
    pub reason: &'static str,
}

impl Response {
    /// Creates a response that forwards a runner's answer.
    pub fn from_answer(answer: CompleteAnswer, replayed: bool) -> Self {
        Self {
            outcome: Outcome::Ran,
            status: answer.status,
            answer: Some(answer),
            replayed,
            retry_after: None,
            reason: "",
        }
    }

    /// Creates a response of the router itself.
    pub fn without_answer(outcome: Outcome, status: StatusCode, reason: &'static str) -> Self {
        Self {
            outcome,
            status,
            answer: None,
            replayed: false,
            retry_after: None,
            reason,
        }
    }

    /// Sets the delay after which the caller may retry.
    pub fn with_retry_after(mut self, retry_after: Millis) -> Self {
        self.retry_after = Some(retry_after);
        self
    }
}

/// Returns whether a header is forwarded between callers and runners.
pub fn is_forwarded(name: &HeaderName) -> bool {
    !CONNECTION_HEADERS.contains(name) && name.as_str() != "keep-alive"
}

/// Returns the text of a header, or `None` if it is longer than `max_bytes` or not UTF-8. Names of
/// regions and callers are UTF-8, which header values may contain although many libraries only
/// accept ASCII.
pub fn header_text(value: &HeaderValue, max_bytes: usize) -> Option<&str> {
    let text = std::str::from_utf8(value.as_bytes()).ok()?;
    (text.len() <= max_bytes).then_some(text)
}

/// Converts an answer to the form in which it is recorded for later sends with the same key.
pub fn record_answer(answer: &CompleteAnswer) -> Answer {
    let headers = answer.headers.iter().filter(|(name, _)| is_forwarded(name));
    let headers = headers.map(|(name, value)| Header {
        name: name.as_str().into(),
        value: value.as_bytes().to_vec(),
    });
    Answer {
        status: answer.status.as_u16(),
        headers: headers.collect(),
        body: answer.body.to_vec(),
    }
}

/// Restores a recorded answer. Returns `None` if it is malformed.
pub fn replay_answer(answer: Answer) -> Option<CompleteAnswer> {
    let mut headers = HeaderMap::new();
    for Header { name, value } in answer.headers {
        let name = HeaderName::try_from(name.as_str()).ok()?;
        headers.append(name, HeaderValue::from_bytes(&value).ok()?);
    }
    Some(CompleteAnswer {
        status: StatusCode::from_u16(answer.status).ok()?,
        headers,
        body: Bytes::from(answer.body),
    })
}
