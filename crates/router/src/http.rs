//! The callers' HTTP interface: parses requests and writes responses.

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
    exchange::{
        IdempotencyKey, IncomingRequest, OutgoingRequest, RETRY_AFTER, Response, header_text,
        is_forwarded,
    },
    stats::CompletedRequest,
};

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 1024 * 1024;

/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// Maximum length of a caller's name, in bytes.
const MAX_CALLER_BYTES: usize = 128;

/// Timeout of reading a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

const KEY_HEADER: &str = "idempotency-key";
const KEY_CREATED_HEADER: &str = "idempotency-created";
const ATTEMPT_HEADER: &str = "kspan-attempt";
const CALLER_HEADER: &str = "kspan-caller";
const DEADLINE_HEADER: &str = "kspan-deadline-ms";
const REPLAYED_HEADER: &str = "kspan-replayed";

/// The reason for rejecting a request that is invalid or incomplete.
struct Rejection {
    status: StatusCode,
    reason: &'static str,
    retry_after: Option<Millis>,
}

impl Rejection {
    const fn new(status: StatusCode, reason: &'static str) -> Self {
        Self {
            status,
            reason,
            retry_after: None,
        }
    }
}

/// Rejects a request for something that the document in force does not declare. A process without
/// contact with the log or a majority of the members may have missed a newer document.
fn reject_undeclared(app: &App, reason: &'static str) -> Rejection {
    if app.node.guard().may_act() {
        Rejection::new(StatusCode::NOT_FOUND, reason)
    } else {
        Rejection {
            status: StatusCode::SERVICE_UNAVAILABLE,
            reason: "the document on this host may be outdated",
            retry_after: Some(RETRY_AFTER),
        }
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
    app.stats.borrow_mut().record_arrival();
    let id = app.next_request_id();
    let arrived = app.now();
    let (service, class) = service_and_class(req.path());
    let response = match parse_request(&app, &req, payload, id).await {
        // The request is served to its end even if the caller disconnects.
        Ok(incoming) => serve_detached(&app, incoming).await,
        Err(rejection) => {
            let outcome = outcome_of_rejected(&req);
            Response {
                retry_after: rejection.retry_after,
                ..Response::without_answer(outcome, rejection.status, rejection.reason)
            }
        }
    };
    if response.replayed {
        app.stats.borrow_mut().record_replay();
    }
    app.stats.borrow_mut().record_completion(CompletedRequest {
        request: id,
        service,
        class,
        outcome: response.outcome,
        status: response.status.as_u16(),
        took: app.now().saturating_sub(arrived),
        reason: response.reason,
    });
    respond(&app, id, response)
}

/// Returns the outcome of a rejected request. It is `unknown` unless this is the first send,
/// because an earlier send may have run.
fn outcome_of_rejected(req: &HttpRequest) -> Outcome {
    let is_first_send = match req.headers().get(ATTEMPT_HEADER) {
        Some(attempt) => attempt.as_bytes() == b"1",
        None => !req.headers().contains_key(KEY_HEADER),
    };
    if is_first_send {
        Outcome::NotRun
    } else {
        Outcome::Unknown
    }
}

/// Serves a request in a task of its own, which a disconnect of the caller does not cancel.
async fn serve_detached(app: &Rc<App>, incoming: IncomingRequest) -> Response {
    let task = ntex::rt::spawn(dispatch::serve_request(Rc::clone(app), incoming));
    task.await.unwrap_or_else(|_| {
        let status = StatusCode::INTERNAL_SERVER_ERROR;
        Response::without_answer(Outcome::Unknown, status, "internal error of the router")
    })
}

/// Returns the names of the service and the request class in a path `/s/SERVICE/CLASS`. They are
/// empty if the path has another form.
fn service_and_class(path: &str) -> (Name, Name) {
    let mut parts = path.split('/').skip(1);
    match (parts.next(), parts.next(), parts.next()) {
        (Some("s"), Some(service), Some(class)) => (service.into(), class.into()),
        _ => (Name::default(), Name::default()),
    }
}

/// Parses and validates a request.
///
/// # Errors
///
/// Returns the reason for the rejection if a name is not declared, a header is invalid, or the body
/// is incomplete or too large.
async fn parse_request(
    app: &App,
    req: &HttpRequest,
    payload: Payload,
    id: RequestId,
) -> Result<IncomingRequest, Rejection> {
    let (service, class) = service_and_class(req.path());
    let document = app.document.borrow().clone();
    let declared = document
        .service(&service)
        .ok_or_else(|| reject_undeclared(app, "service is not declared"))?;
    let class = declared
        .class(&class)
        .ok_or_else(|| reject_undeclared(app, "request class is not declared"))?;
    let caller = text_header(req, CALLER_HEADER, MAX_CALLER_BYTES)?.unwrap_or_default();
    let attempt = parse_header(req, ATTEMPT_HEADER)?;
    let created = parse_header(req, KEY_CREATED_HEADER)?.map(UnixMillis);
    let timeout = effective_timeout(class, parse_header(req, DEADLINE_HEADER)?);
    let key = text_header(req, KEY_HEADER, MAX_KEY_BYTES)?;
    let body = read_body(payload).await?;
    let outgoing = OutgoingRequest {
        request: id,
        method: req.method().clone(),
        target: path_and_query(req),
        headers: forwarded_headers(req),
        body,
    };
    let key = key.map(|key| IdempotencyKey {
        id: key::key_id(&service, &class.name, &caller, &key),
        text: Name::new(&key),
        fingerprint: key::fingerprint(outgoing.method.as_str(), &outgoing.target, &outgoing.body),
        created,
    });
    Ok(IncomingRequest {
        outgoing,
        service: service.clone(),
        caller: Name::new(&caller),
        priority: class.priority,
        idempotent: class.idempotent,
        hedge: class.hedge && class.idempotent,
        attempt,
        key,
        deadline: app.now().saturating_add(timeout),
        deadline_instant: Instant::now() + timeout.as_duration(),
    })
}

/// Returns the timeout of a request: that of its class, or a shorter one requested by the caller.
fn effective_timeout(class: &RequestClass, requested: Option<u64>) -> Millis {
    requested.map_or(class.deadline, |requested| {
        class.deadline.min(Millis(requested))
    })
}

fn path_and_query(req: &HttpRequest) -> String {
    let uri = req.uri();
    uri.path_and_query().map_or_else(
        || uri.path().to_owned(),
        |target| target.as_str().to_owned(),
    )
}

fn forwarded_headers(req: &HttpRequest) -> Vec<(HeaderName, header::HeaderValue)> {
    let forwarded = req.headers().iter().filter(|(name, _)| is_forwarded(name));
    let forwarded = forwarded.filter(|(name, _)| name.as_str() != REQUEST_ID_HEADER);
    forwarded
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

fn text_header(
    req: &HttpRequest,
    name: &str,
    max_bytes: usize,
) -> Result<Option<String>, Rejection> {
    let invalid = Rejection::new(
        StatusCode::BAD_REQUEST,
        "request header is too long or not UTF-8",
    );
    let Some(value) = req.headers().get(name) else {
        return Ok(None);
    };
    let text = header_text(value, max_bytes).ok_or(invalid)?;
    Ok(Some(text.to_owned()))
}

fn parse_header<T: std::str::FromStr>(
    req: &HttpRequest,
    name: &str,
) -> Result<Option<T>, Rejection> {
    let invalid = || {
        Rejection::new(
            StatusCode::BAD_REQUEST,
            "request header is not a valid number",
        )
    };
    let Some(value) = req.headers().get(name) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| invalid())?;
    text.parse().map(Some).map_err(|_| invalid())
}

async fn read_body(mut payload: Payload) -> Result<Bytes, Rejection> {
    let deadline = Instant::now() + BODY_TIMEOUT;
    let mut buf = BytesMut::new();
    loop {
        let chunk = timeout_at(deadline, stream_recv(&mut payload)).await;
        let chunk = chunk.map_err(|_| {
            Rejection::new(
                StatusCode::REQUEST_TIMEOUT,
                "request body was not received in time",
            )
        })?;
        match chunk {
            None => return Ok(buf.freeze()),
            Some(Err(_)) => {
                return Err(Rejection::new(
                    StatusCode::BAD_REQUEST,
                    "request body is malformed or incomplete",
                ));
            }
            Some(Ok(chunk)) if buf.len() + chunk.len() > MAX_BODY_BYTES => {
                return Err(Rejection::new(
                    StatusCode::PAYLOAD_TOO_LARGE,
                    "request body is too large",
                ));
            }
            Some(Ok(chunk)) => buf.extend_from_slice(&chunk),
        }
    }
}

fn respond(app: &App, id: RequestId, response: Response) -> HttpResponse {
    let mut builder = HttpResponse::build(response.status);
    builder.set_header(Outcome::HEADER, response.outcome.to_string());
    builder.set_header(REQUEST_ID_HEADER, id.to_string());
    if let Some(retry_after) = response.retry_after {
        let secs = retry_after.0.div_ceil(1_000).max(1);
        builder.set_header(header::RETRY_AFTER, secs.to_string());
    }
    if response.replayed {
        builder.set_header(REPLAYED_HEADER, "true");
    }
    if app.stopping.get() {
        builder.force_close();
    }
    let Some(answer) = response.answer else {
        log::debug!(
            "router: request {id} completed with outcome {}: {}",
            response.outcome,
            response.reason
        );
        return builder.content_type("text/plain").body(response.reason);
    };
    for (name, value) in &answer.headers {
        if is_forwarded(name) && !is_router_header(name) {
            builder.header(name.clone(), value.clone());
        }
    }
    builder.body(answer.body)
}

/// Returns whether a response header is set by the router itself.
fn is_router_header(name: &HeaderName) -> bool {
    [Outcome::HEADER, REQUEST_ID_HEADER, REPLAYED_HEADER].contains(&name.as_str())
}
