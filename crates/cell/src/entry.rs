//! HTTP interface for callers: decodes requests, forwards them to the owner and responds.

use std::{io, net::SocketAddr, rc::Rc, time::Duration};

use kspan_adapter::entry;
use kspan_model::Millis;
use ntex::http::{Method, Request, Response, StatusCode};
use tokio::time::Instant;

use crate::{
    admission::{Admission, Interface},
    forward,
    http::{self, BodyError, RequestContext},
    message::{ApiKey, CallFailure, CallResponse, JobCall, Verb},
    peers::RequestError,
    process::Process,
    telemetry,
};

/// Maximum time for which a call is retried until an owner executes it.
const OWNER_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Delay between two attempts to reach the owner.
const RETRY_DELAY: Duration = Duration::from_millis(60);

/// Time without the owner's heartbeats after which calls are sent through other processes as well.
const MIN_SILENCE: Millis = Millis(600);

/// Time after which a caller that was not served should retry, in seconds.
const RETRY_AFTER_S: u32 = 1;

/// Size of a decoded job and its copies that are sent to the owner, in sizes of its body.
const DECODED_FACTOR: usize = 4;

/// Time without the owner's heartbeats from which a process is not ready.
const MAX_READY_SILENCE_MS: u64 = 3_000;

/// Serves callers on `addr` until the process exits.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub(crate) async fn serve(
    process: Rc<Process>,
    addr: SocketAddr,
    interface: Interface,
    admission: Rc<Admission>,
) -> io::Result<()> {
    http::serve(addr, interface, admission, move |req, cx| {
        let process = Rc::clone(&process);
        async move { handle(&process, req, &cx).await }
    })
    .await
}

async fn handle(process: &Rc<Process>, mut req: Request, cx: &RequestContext) -> Response {
    if req.path() == entry::READY_PATH {
        if http::has_body(&mut req) {
            return cx.refuse(&BodyError::TooLarge);
        }
        return respond(process, &readiness(process));
    }
    let _in_flight = process.node.in_flight.enter();
    let body = match cx.read_body(&mut req).await {
        Ok(body) => body,
        Err(err) => return cx.refuse(&err),
    };
    if let Err(err) = body.reserve_decoded(DECODED_FACTOR) {
        return cx.refuse(&err);
    }
    let verb = match *req.method() {
        Method::POST => match entry::decode_job(body.bytes()) {
            Ok(spec) => Verb::Submit(spec),
            Err(err) => {
                telemetry::record_malformed("job");
                let response = CallResponse::with_body(400, err.to_string().into_bytes());
                return respond(process, &response);
            }
        },
        Method::GET => Verb::Show,
        Method::DELETE => Verb::Cancel,
        _ => return respond(process, &CallResponse::new(405)),
    };
    let _reservation = body.into_reservation();
    let host = req
        .headers()
        .get("host")
        .and_then(|host| host.to_str().ok());
    let host = host
        .unwrap_or_default()
        .split(':')
        .next()
        .unwrap_or_default();
    let key = req
        .headers()
        .get(entry::KEY_HEADER)
        .and_then(|value| value.to_str().ok())
        .and_then(entry::parse_key)
        .map(|key| ApiKey(key.to_owned()));
    let call = JobCall {
        key,
        host: host.to_owned(),
        path: req.path().to_owned(),
        verb,
        hops_left: 1,
    };
    let (verb, began) = (call.verb.name(), process.node.clock.now());
    let response = execute(process, call).await;
    telemetry::record_call(
        verb,
        response.status,
        process.node.clock.now().saturating_sub(began),
    );
    respond(process, &response)
}

/// Answers the readiness check. A process is ready if it owns the cell or receives the owner's
/// heartbeats, and is not stopping.
fn readiness(process: &Process) -> CallResponse {
    let has_owner =
        process.node.known_owner().is_some() && process.owner_silence().0 < MAX_READY_SILENCE_MS;
    CallResponse::new(if has_owner && !process.node.stopping.get() {
        200
    } else {
        503
    })
}

/// Executes a call at the owner. Retries until the timeout, so that a takeover does not fail the
/// call.
pub(crate) async fn execute(process: &Rc<Process>, call: JobCall) -> CallResponse {
    let started = Instant::now();
    let mut in_doubt = false;
    while started.elapsed() < OWNER_TIMEOUT {
        match call_owner(process, &call).await {
            Ok(response) if call.is_settled_by(&response, in_doubt) => return response,
            // The earlier attempt may still be executed.
            Ok(_) => {}
            Err(RequestError::NotSent) => {}
            Err(RequestError::InDoubt) => in_doubt = true,
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
    if process
        .node
        .log_limit
        .allows("entry", process.node.clock.now())
    {
        let job = call.path.rsplit('/').next().unwrap_or_default();
        let owner = process.node.known_owner().map_or(0, |owner| owner.fence);
        let silent_ms = process.owner_silence().0;
        tracing::warn!(
            job,
            in_doubt,
            owner,
            silent_ms,
            "no owner executed the call before the timeout"
        );
    }
    if in_doubt && call.changes_state() {
        CallResponse::new(504)
    } else {
        CallResponse::unavailable(RETRY_AFTER_S)
    }
}

async fn call_owner(process: &Rc<Process>, call: &JobCall) -> Result<CallResponse, RequestError> {
    if let Some(owner) = process.owner_role() {
        return owner.call(call.clone()).await.map_err(|err| match err {
            CallFailure::NotExecuted => RequestError::NotSent,
            CallFailure::InDoubt => RequestError::InDoubt,
        });
    }
    let known = process
        .node
        .known_owner()
        .filter(|owner| owner.member.node != process.node.local.node);
    let Some(owner) = known else {
        return Err(RequestError::NotSent);
    };
    let is_silent = || process.owner_silence() >= MIN_SILENCE;
    forward::call_owner(
        &process.node.peers,
        &owner.member,
        process.node.other_members(),
        call,
        is_silent,
    )
    .await
}

fn respond(process: &Process, response: &CallResponse) -> Response {
    let status = StatusCode::from_u16(response.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut builder = Response::build(status);
    if let Some(seconds) = response.retry_after_s {
        builder.header("Retry-After", seconds.to_string());
    }
    if process.node.stopping.get() {
        builder.force_close();
    }
    builder.content_type("application/json");
    builder.body(response.body.clone())
}
