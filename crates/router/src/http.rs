//! The callers' side of HTTP: reading a request, telling its outcome.

use std::{rc::Rc, time::Duration};

use kspan_contract::protocol::runner::REQUEST_ID_HEADER;
use kspan_model::{Millis, Name, Outcome, RequestId, UnixMillis, document::RequestClass};
use kspan_routing::key;
use ntex::{
    http::{StatusCode, header, header::HeaderName},
    util::{Bytes, BytesMut, stream_recv},
    web::{HttpRequest, HttpResponse, types::Payload, types::State},
};
use tokio::time::{Instant, timeout_at};

use crate::{
    app::App,
    dispatch,
    exchange::{Incoming, Key, Outgoing, Reply, header_text, is_passed_on},
    tally::Ended,
};

/// Largest request body, in bytes.
const MAX_BODY_BYTES: usize = 1024 * 1024;

/// Longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// Longest caller name, in bytes.
const MAX_CALLER_BYTES: usize = 128;

/// How long a caller may take to send a body.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

const KEY_HEADER: &str = "idempotency-key";
const CREATED_HEADER: &str = "idempotency-created";
const ATTEMPT_HEADER: &str = "kspan-attempt";
const CALLER_HEADER: &str = "kspan-caller";
const DEADLINE_HEADER: &str = "kspan-deadline-ms";
const REPLAYED_HEADER: &str = "kspan-replayed";

/// Why a request is refused before it is looked at closely.
struct Bad {
    status: StatusCode,
    reason: &'static str,
}

impl Bad {
    const fn new(status: StatusCode, reason: &'static str) -> Self {
        Self { status, reason }
    }
}

/// Handles one request of a caller.
pub(crate) async fn handle(
    req: HttpRequest,
    payload: Payload,
    app: State<Option<Rc<App>>>,
) -> HttpResponse {
    let Some(app) = (*app).clone() else {
        return HttpResponse::ServiceUnavailable().finish();
    };
    app.tally.borrow_mut().begin();
    let id = app.next_id();
    let began = app.now();
    let (service, class) = names(req.path());
    let reply = match read(&app, &req, payload, id).await {
        // The exchange goes on when the caller's connection is gone.
        Ok(incoming) => run_apart(&app, incoming).await,
        Err(bad) => Reply::without_answer(outcome_unread(&req), bad.status, bad.reason),
    };
    if reply.replayed {
        app.tally.borrow_mut().add_replay();
    }
    app.tally.borrow_mut().end(Ended {
        request: id,
        service,
        class,
        outcome: reply.outcome,
        status: reply.status.as_u16(),
        took: app.now().saturating_sub(began),
        reason: reply.reason,
    });
    respond(&app, id, reply)
}

/// Returns the outcome of a request that was not taken: an earlier send of it may have run.
fn outcome_unread(req: &HttpRequest) -> Outcome {
    let first = match req.headers().get(ATTEMPT_HEADER) {
        Some(attempt) => attempt.as_bytes() == b"1",
        None => !req.headers().contains_key(KEY_HEADER),
    };
    if first {
        Outcome::NotRun
    } else {
        Outcome::Unknown
    }
}

async fn run_apart(app: &Rc<App>, incoming: Incoming) -> Reply {
    let task = ntex::rt::spawn(dispatch::serve(Rc::clone(app), incoming));
    task.await.unwrap_or_else(|_| {
        let status = StatusCode::INTERNAL_SERVER_ERROR;
        Reply::without_answer(Outcome::Unknown, status, "the router failed")
    })
}

fn names(path: &str) -> (Name, Name) {
    let mut parts = path.split('/').skip(1);
    match (parts.next(), parts.next(), parts.next()) {
        (Some("s"), Some(service), Some(class)) => (service.into(), class.into()),
        _ => (Name::default(), Name::default()),
    }
}

async fn read(
    app: &App,
    req: &HttpRequest,
    payload: Payload,
    id: RequestId,
) -> Result<Incoming, Bad> {
    let (service, class) = names(req.path());
    let document = app.document.borrow().clone();
    let declared = document
        .service(&service)
        .ok_or(Bad::new(StatusCode::NOT_FOUND, "no such service"))?;
    let class = declared
        .class(&class)
        .ok_or(Bad::new(StatusCode::NOT_FOUND, "no such request class"))?;
    let caller = text(req, CALLER_HEADER, MAX_CALLER_BYTES)?.unwrap_or_default();
    let attempt = parse(req, ATTEMPT_HEADER)?;
    let created = parse(req, CREATED_HEADER)?.map(UnixMillis);
    let budget = deadline(class, parse(req, DEADLINE_HEADER)?);
    let key = text(req, KEY_HEADER, MAX_KEY_BYTES)?;
    let body = read_body(payload).await?;
    let out = Outgoing {
        request: id,
        method: req.method().clone(),
        target: target(req),
        headers: headers(req),
        body,
    };
    let key = key.map(|key| Key {
        id: key::key_id(&service, &class.name, &caller, &key),
        text: Name::new(&key),
        fingerprint: key::fingerprint(out.method.as_str(), &out.target, &out.body),
        created,
    });
    Ok(Incoming {
        out,
        service: service.clone(),
        caller: Name::new(&caller),
        priority: class.priority,
        idempotent: class.idempotent,
        hedge: class.hedge && class.idempotent,
        attempt,
        key,
        deadline: app.now().saturating_add(budget),
        until: Instant::now() + budget.as_duration(),
    })
}

/// Returns the time that a request has: its class's, or less when the caller says so.
fn deadline(class: &RequestClass, asked: Option<u64>) -> Millis {
    asked.map_or(class.deadline, |asked| class.deadline.min(Millis(asked)))
}

fn target(req: &HttpRequest) -> String {
    let uri = req.uri();
    uri.path_and_query().map_or_else(
        || uri.path().to_owned(),
        |target| target.as_str().to_owned(),
    )
}

fn headers(req: &HttpRequest) -> Vec<(HeaderName, header::HeaderValue)> {
    let passed = req.headers().iter().filter(|(name, _)| is_passed_on(name));
    let passed = passed.filter(|(name, _)| name.as_str() != REQUEST_ID_HEADER);
    passed
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

fn text(req: &HttpRequest, name: &str, max_bytes: usize) -> Result<Option<String>, Bad> {
    let bad = Bad::new(StatusCode::BAD_REQUEST, "a header is too long or not text");
    let Some(value) = req.headers().get(name) else {
        return Ok(None);
    };
    let text = header_text(value, max_bytes).ok_or(bad)?;
    Ok(Some(text.to_owned()))
}

fn parse<T: std::str::FromStr>(req: &HttpRequest, name: &str) -> Result<Option<T>, Bad> {
    let bad = || Bad::new(StatusCode::BAD_REQUEST, "a header is not a number");
    let Some(value) = req.headers().get(name) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| bad())?;
    text.parse().map(Some).map_err(|_| bad())
}

async fn read_body(mut payload: Payload) -> Result<Bytes, Bad> {
    let until = Instant::now() + BODY_TIMEOUT;
    let mut buf = BytesMut::new();
    loop {
        let chunk = timeout_at(until, stream_recv(&mut payload)).await;
        let chunk = chunk.map_err(|_| Bad::new(StatusCode::REQUEST_TIMEOUT, "slow body"))?;
        match chunk {
            None => return Ok(buf.freeze()),
            Some(Err(_)) => return Err(Bad::new(StatusCode::BAD_REQUEST, "broken body")),
            Some(Ok(chunk)) if buf.len() + chunk.len() > MAX_BODY_BYTES => {
                return Err(Bad::new(
                    StatusCode::PAYLOAD_TOO_LARGE,
                    "the body is too large",
                ));
            }
            Some(Ok(chunk)) => buf.extend_from_slice(&chunk),
        }
    }
}

fn respond(app: &App, id: RequestId, reply: Reply) -> HttpResponse {
    let mut builder = HttpResponse::build(reply.status);
    builder.set_header(Outcome::HEADER, reply.outcome.to_string());
    builder.set_header(REQUEST_ID_HEADER, id.to_string());
    if let Some(retry_after) = reply.retry_after {
        let secs = retry_after.0.div_ceil(1_000).max(1);
        builder.set_header(header::RETRY_AFTER, secs.to_string());
    }
    if reply.replayed {
        builder.set_header(REPLAYED_HEADER, "true");
    }
    if app.stopping.get() {
        builder.force_close();
    }
    let Some(answer) = reply.answer else {
        log::debug!(
            "router: Request {id} ends {}: {}.",
            reply.outcome,
            reply.reason
        );
        return builder.content_type("text/plain").body(reply.reason);
    };
    for (name, value) in &answer.headers {
        if is_passed_on(name) && !is_ours(name) {
            builder.header(name.clone(), value.clone());
        }
    }
    builder.body(answer.body)
}

fn is_ours(name: &HeaderName) -> bool {
    [Outcome::HEADER, REQUEST_ID_HEADER, REPLAYED_HEADER].contains(&name.as_str())
}
