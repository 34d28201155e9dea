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
pub(crate) struct Outgoing {
    pub(crate) request: RequestId,
    pub(crate) method: Method,
    /// Path and query.
    pub(crate) target: String,
    pub(crate) headers: Vec<(HeaderName, HeaderValue)>,
    pub(crate) body: Bytes,
}

/// A caller's idempotency key.
#[derive(Clone, Debug)]
pub(crate) struct Key {
    pub(crate) id: KeyId,
    pub(crate) text: Name,
    pub(crate) fingerprint: u128,
    pub(crate) created: Option<UnixMillis>,
}

/// A caller's request.
#[derive(Clone, Debug)]
pub(crate) struct Incoming {
    pub(crate) out: Outgoing,
    pub(crate) service: Name,
    pub(crate) caller: Name,
    pub(crate) priority: Priority,
    pub(crate) idempotent: bool,
    pub(crate) hedge: bool,
    /// Number of the send, where the caller tells it.
    pub(crate) attempt: Option<u32>,
    pub(crate) key: Option<Key>,
    /// When the answer is of no more use, on the process's own clock.
    pub(crate) deadline: Millis,
    /// The same on the runtime's clock.
    pub(crate) until: Instant,
}

impl Incoming {
    /// Returns whether no earlier send of this request can have been dispatched elsewhere, by
    /// the caller's word, or because sends without a key are requests of their own.
    pub(crate) fn is_first_send(&self) -> bool {
        match self.attempt {
            Some(attempt) => attempt == 1,
            None => self.key.is_none(),
        }
    }
}

/// A whole answer of a runner.
#[derive(Clone, Debug)]
pub(crate) struct Whole {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// What the caller is told.
#[derive(Clone, Debug)]
pub(crate) struct Reply {
    pub(crate) outcome: Outcome,
    pub(crate) status: StatusCode,
    /// The answer of a runner, now or recorded.
    pub(crate) answer: Option<Whole>,
    pub(crate) replayed: bool,
    pub(crate) retry_after: Option<Millis>,
    pub(crate) reason: &'static str,
}

impl Reply {
    /// Creates a reply that passes an answer on.
    pub(crate) fn ran(answer: Whole, replayed: bool) -> Self {
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
    pub(crate) fn without_answer(
        outcome: Outcome,
        status: StatusCode,
        reason: &'static str,
    ) -> Self {
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
    pub(crate) fn with_retry_after(mut self, retry_after: Millis) -> Self {
        self.retry_after = Some(retry_after);
        self
    }
}

/// Returns whether a header is passed on between callers and runners.
pub(crate) fn is_passed_on(name: &HeaderName) -> bool {
    !CONNECTION_HEADERS.contains(name) && name.as_str() != "keep-alive"
}

/// Makes an answer ready to be kept for later sends of its key.
pub(crate) fn record(answer: &Whole) -> Answer {
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
pub(crate) fn replay(answer: Answer) -> Option<Whole> {
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
