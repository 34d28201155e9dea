//! A caller's request and the answer to it, apart from sockets.

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

/// Headers that concern one connection and are never passed on.
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

/// A request as it is sent to runners.
#[derive(Clone, Debug)]
pub struct Outgoing {
    /// The request.
    pub request: RequestId,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// Headers of the caller that are passed on.
    pub headers: Vec<(HeaderName, HeaderValue)>,
    /// The whole body.
    pub body: Bytes,
}

/// A caller's idempotency key.
#[derive(Clone, Debug)]
pub struct Key {
    /// Identifies it within its service, class and caller.
    pub id: KeyId,
    /// As the caller sent it.
    pub text: Name,
    /// Hash of what is asked.
    pub fingerprint: u128,
    /// When the caller created it, where it tells.
    pub created: Option<UnixMillis>,
}

/// A caller's request.
#[derive(Clone, Debug)]
pub struct Incoming {
    /// What runners are sent.
    pub out: Outgoing,
    /// The service.
    pub service: Name,
    /// Who asks; empty where it is not told.
    pub caller: Name,
    /// Priority of its class.
    pub priority: Priority,
    /// Whether running it twice is harmless.
    pub idempotent: bool,
    /// Whether it may be sent to a second runner while the first works on it.
    pub hedge: bool,
    /// Number of the send, where the caller tells it.
    pub attempt: Option<u32>,
    /// Its idempotency key.
    pub key: Option<Key>,
    /// When the answer is of no more use, on the process's own clock.
    pub deadline: Millis,
    /// The same on the runtime's clock.
    pub until: Instant,
}

impl Incoming {
    /// Returns whether no earlier send of this request can have been dispatched elsewhere, by
    /// the caller's word, or because sends without a key are requests of their own.
    pub fn is_first_send(&self) -> bool {
        match self.attempt {
            Some(attempt) => attempt == 1,
            None => self.key.is_none(),
        }
    }
}

/// A whole answer of a runner.
#[derive(Clone, Debug)]
pub struct Whole {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

/// What the caller is told.
#[derive(Clone, Debug)]
pub struct Reply {
    /// What became of the request.
    pub outcome: Outcome,
    /// Status.
    pub status: StatusCode,
    /// The answer of a runner, now or recorded.
    pub answer: Option<Whole>,
    /// Whether the answer is a recorded one.
    pub replayed: bool,
    /// When the caller may try again.
    pub retry_after: Option<Millis>,
    /// Why there is no answer; empty where there is one.
    pub reason: &'static str,
}

impl Reply {
    /// Creates a reply that passes an answer on.
    pub fn ran(answer: Whole, replayed: bool) -> Self {
        Self {
            outcome: Outcome::Ran,
            status: answer.status,
            answer: Some(answer),
            replayed,
            retry_after: None,
            reason: "",
        }
    }

    /// Creates a reply of the router's own.
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

    /// Tells the caller when it may try again.
    pub fn with_retry_after(mut self, retry_after: Millis) -> Self {
        self.retry_after = Some(retry_after);
        self
    }
}

/// Returns whether a header is passed on between callers and runners.
pub fn is_passed_on(name: &HeaderName) -> bool {
    !CONNECTION_HEADERS.contains(name) && name.as_str() != "keep-alive"
}

/// Returns a header's text, or none where it is longer than `max_bytes` or not text. Names of
/// regions and callers are UTF-8, which header values may carry though few libraries expect it.
pub fn header_text(value: &HeaderValue, max_bytes: usize) -> Option<&str> {
    let text = std::str::from_utf8(value.as_bytes()).ok()?;
    (text.len() <= max_bytes).then_some(text)
}

/// Makes an answer ready to be kept for later sends of its key.
pub fn record(answer: &Whole) -> Answer {
    let headers = answer.headers.iter().filter(|(name, _)| is_passed_on(name));
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

/// Turns a recorded answer back, or none where it is malformed.
pub fn replay(answer: Answer) -> Option<Whole> {
    let mut headers = HeaderMap::new();
    for Header { name, value } in answer.headers {
        let name = HeaderName::try_from(name.as_str()).ok()?;
        headers.append(name, HeaderValue::from_bytes(&value).ok()?);
    }
    Some(Whole {
        status: StatusCode::from_u16(answer.status).ok()?,
        headers,
        body: Bytes::from(answer.body),
    })
}
