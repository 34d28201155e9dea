//! The lifecycle of a request from arrival to outcome.
//!
//! * An idempotent request is retried while its deadline and the retry budget allow, and may be
//!   hedged.
//! * A non-idempotent request with a key is dispatched at most once, after the key's home has
//!   granted its claim.
//! * A non-idempotent request without a key is independent of any other and dispatched at most
//!   once.
//!
//! The outcome `not-run` is reported only if it is proven: this router dispatched nothing, and
//! either the key's home granted the key to this send, or there was no earlier send.

use std::{rc::Rc, time::Duration};

use kspan_model::{Millis, NodeId, Outcome};
use kspan_routing::{
    engine::{
        Arrival, ClaimStatus,
        effect::{Dispatch, DispatchOutcome},
    },
    key::{CLAIM_TIMEOUT, MAX_KEPT_ANSWER_BYTES},
};
use kspan_wire::message::routing::{Claim, ClaimDecision, Settle, Settlement};
use ntex::http::StatusCode;
use tokio::{
    sync::mpsc,
    time::{Instant, sleep, timeout_at},
};

use crate::{
    app::{Admission, App, DecidedClaim},
    exchange::{
        CompleteAnswer, IdempotencyKey, IncomingRequest, RETRY_AFTER, Response, record_answer,
        replay_answer,
    },
    upstream::ExchangeResult,
};

/// Maximum number of dispatches of a request that fail in a row because no connection to the
/// runner can be established.
const MAX_UNSENT_DISPATCHES: u32 = 4;

/// Maximum number of claims of a request. A claim is repeated because a view change can move the
/// key's home.
const MAX_CLAIMS: u32 = 4;

/// Delay before a claim is repeated.
const CLAIM_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Result of all attempts to run a request.
enum RunResult {
    /// A runner sent a complete answer.
    Answered(CompleteAnswer),
    /// Nothing was sent to a runner.
    NotDispatched {
        reason: &'static str,
        retry_after: Option<Millis>,
        status: StatusCode,
    },
    /// The request was sent, and no complete answer was received.
    Lost(&'static str),
}

/// Serves one request of a caller.
pub(crate) async fn serve_request(app: Rc<App>, req: IncomingRequest) -> Response {
    let req = Rc::new(req);
    match &req.key {
        Some(key) if !req.idempotent => serve_with_key(&app, &req, key).await,
        _ => {
            let result = run_request(&app, &req).await;
            response_for_result(result, req.is_first_send())
        }
    }
}

async fn serve_with_key(
    app: &Rc<App>,
    req: &Rc<IncomingRequest>,
    key: &IdempotencyKey,
) -> Response {
    let home = match claim_key(app, req, key).await {
        Ok(home) => home,
        Err(response) => return *response,
    };
    let result = run_request(app, req).await;
    let settlement = match &result {
        RunResult::Answered(answer) if answer.body.len() <= MAX_KEPT_ANSWER_BYTES => {
            Settlement::Answered(record_answer(answer))
        }
        RunResult::Answered(_) => Settlement::AnswerNotKept,
        RunResult::NotDispatched { .. } => Settlement::Withdrawn,
        RunResult::Lost(_) => Settlement::Unknown,
    };
    let settle = Settle {
        key: key.id,
        text: key.text.clone(),
        request: req.outgoing.request,
        result: settlement,
    };
    app.update_engine(|engine, now, unix| engine.settle(&home, settle, now, unix));
    response_for_result(result, true)
}

/// Claims a key. Returns the home that granted the claim.
///
/// # Errors
///
/// Returns the response to the caller if the claim is not granted.
async fn claim_key(
    app: &Rc<App>,
    req: &IncomingRequest,
    key: &IdempotencyKey,
) -> Result<NodeId, Box<Response>> {
    let request = req.outgoing.request;
    for attempt in 0..MAX_CLAIMS {
        if attempt > 0 {
            sleep(CLAIM_RETRY_DELAY).await;
        }
        let mut decisions = app.register_claim(request);
        let left = req.deadline.saturating_sub(app.now());
        if left == Millis::ZERO {
            break;
        }
        let claim = new_claim(req, key, left);
        let status = app.update_engine(|engine, now, unix| engine.claim(&claim, now, unix));
        let decided = match status {
            ClaimStatus::Pending => {
                await_final_decision(&mut decisions, req.deadline_instant).await
            }
            ClaimStatus::NoHome => None,
        };
        app.unregister_claim(request);
        let Some(DecidedClaim { home, decision }) = decided else {
            app.update_engine(|engine, now, unix| engine.abandon_claim(request, now, unix));
            break;
        };
        match decision {
            ClaimDecision::Granted => return Ok(home),
            ClaimDecision::NotHome => {}
            decision => {
                return Err(Box::new(response_for_decision(
                    decision,
                    req.is_first_send(),
                )));
            }
        }
    }
    let reason = "claim on the idempotency key was not decided by its home";
    Err(Box::new(not_dispatched_response(
        reason,
        req.is_first_send(),
    )))
}

fn new_claim(req: &IncomingRequest, key: &IdempotencyKey, left: Millis) -> Claim {
    Claim {
        key: key.id,
        text: key.text.clone(),
        fingerprint: key.fingerprint,
        request: req.outgoing.request,
        created: key.created,
        first: req.attempt == Some(1),
        left,
    }
}

/// Waits for the final decision on a claim: up to [`CLAIM_TIMEOUT`] for the first decision, and
/// up to `deadline` once the home has reported that another send is in flight.
async fn await_final_decision(
    decisions: &mut mpsc::Receiver<DecidedClaim>,
    deadline: Instant,
) -> Option<DecidedClaim> {
    let mut wait_until = deadline.min(Instant::now() + CLAIM_TIMEOUT.as_duration());
    loop {
        let decided = timeout_at(wait_until, decisions.recv())
            .await
            .ok()
            .flatten()?;
        if decided.decision != ClaimDecision::Waiting {
            return Some(decided);
        }
        wait_until = deadline;
    }
}

fn response_for_decision(decision: ClaimDecision, is_first_send: bool) -> Response {
    let unknown = |status, reason| Response::without_answer(Outcome::Unknown, status, reason);
    match decision {
        ClaimDecision::Answered(answer) => match replay_answer(answer) {
            Some(answer) => Response::from_answer(answer, true),
            None => unknown(
                StatusCode::CONFLICT,
                "request has run, but its recorded answer is malformed",
            ),
        },
        ClaimDecision::AnswerNotKept => unknown(
            StatusCode::CONFLICT,
            "request has run, but its answer was too large to record",
        ),
        ClaimDecision::Dispatched => unknown(
            StatusCode::CONFLICT,
            "earlier send of the request was dispatched and its outcome is unknown",
        ),
        ClaimDecision::Mismatch => unknown(
            StatusCode::UNPROCESSABLE_ENTITY,
            "idempotency key was used before for a different request",
        ),
        ClaimDecision::Full => {
            not_dispatched_response("key table of the idempotency key's home is full", true)
        }
        _ => not_dispatched_response(
            "home of the idempotency key can't rule out that an earlier send was dispatched",
            is_first_send,
        ),
    }
}

/// Returns the response to a request that this router did not dispatch. The outcome is `not-run` if
/// it is proven that no earlier send was dispatched either.
fn not_dispatched_response(reason: &'static str, proven: bool) -> Response {
    let outcome = if proven {
        Outcome::NotRun
    } else {
        Outcome::Unknown
    };
    let response = Response::without_answer(outcome, StatusCode::SERVICE_UNAVAILABLE, reason);
    response.with_retry_after(RETRY_AFTER)
}

fn response_for_result(result: RunResult, proven: bool) -> Response {
    match result {
        RunResult::Answered(answer) => Response::from_answer(answer, false),
        RunResult::Lost(reason) => {
            Response::without_answer(Outcome::Unknown, StatusCode::BAD_GATEWAY, reason)
        }
        RunResult::NotDispatched {
            reason,
            retry_after,
            status,
        } => {
            let mut response = not_dispatched_response(reason, proven);
            response.status = status;
            response.retry_after = retry_after;
            response
        }
    }
}

/// Dispatches a request. Retries it if nothing was sent to a runner, or if it is idempotent.
async fn run_request(app: &Rc<App>, req: &Rc<IncomingRequest>) -> RunResult {
    let mut lost = None;
    let mut unsent = 0;
    let mut first = true;
    loop {
        let admission = request_slot(app, req, std::mem::take(&mut first), unsent > 0).await;
        let dispatch = match (admission, lost) {
            (Some(Admission::Dispatch(dispatch)), _) => dispatch,
            (_, Some(reason)) => return RunResult::Lost(reason),
            (Some(Admission::Refuse(refusal)), None) => {
                return RunResult::NotDispatched {
                    reason: refusal.reason.text(),
                    retry_after: Some(refusal.retry_after),
                    status: StatusCode::SERVICE_UNAVAILABLE,
                };
            }
            (None, None) => {
                return not_dispatched("no connection to a runner could be established");
            }
        };
        let result = if req.hedge {
            exchange_hedged(app, req, dispatch).await
        } else {
            exchange(app, req, dispatch).await
        };
        match result {
            ExchangeResult::Complete(answer) => return RunResult::Answered(answer),
            ExchangeResult::NotSent if unsent + 1 < MAX_UNSENT_DISPATCHES => unsent += 1,
            ExchangeResult::NotSent if lost.is_none() => {
                return not_dispatched("no connection to a runner could be established");
            }
            ExchangeResult::NotSent => {
                return RunResult::Lost(
                    "no connection to a runner could be established for a retry",
                );
            }
            ExchangeResult::Incomplete(reason) if req.idempotent => {
                lost = Some(reason);
                unsent = 0;
            }
            ExchangeResult::Incomplete(reason) => return RunResult::Lost(reason),
        }
    }
}

const fn not_dispatched(reason: &'static str) -> RunResult {
    RunResult::NotDispatched {
        reason,
        retry_after: Some(RETRY_AFTER),
        status: StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// Requests a slot and waits until one is assigned or the request is refused. Returns `None` if a
/// retry is not allowed.
async fn request_slot(
    app: &Rc<App>,
    req: &IncomingRequest,
    first: bool,
    unsent: bool,
) -> Option<Admission> {
    let request = req.outgoing.request;
    let arrival = Arrival {
        request,
        service: req.service.clone(),
        caller: req.caller.clone(),
        priority: req.priority,
        deadline: req.deadline,
    };
    let admission = app.register_admission(request);
    let submitted = app.update_engine(|engine, now, _| {
        if first || unsent {
            engine.resubmit(arrival, now);
            return true;
        }
        engine.retry(arrival, now)
    });
    if !submitted {
        return None;
    }
    admission.await.ok()
}

/// Sends a request to the runner of a dispatch and reports the outcome to the engine.
async fn exchange(app: &Rc<App>, req: &IncomingRequest, dispatch: Dispatch) -> ExchangeResult {
    let started = Instant::now();
    let result = app
        .upstreams
        .send(&dispatch, &req.outgoing, req.deadline_instant)
        .await;
    let outcome = match &result {
        ExchangeResult::Complete(_) => {
            let micros = started.elapsed().as_micros();
            DispatchOutcome::Answered {
                micros: u64::try_from(micros).unwrap_or(u64::MAX),
            }
        }
        ExchangeResult::NotSent => DispatchOutcome::Unsent,
        ExchangeResult::Incomplete(reason) => {
            log::warn!(
                "router: request {} on runner {} got no complete answer: {reason}",
                req.outgoing.request,
                dispatch.runner
            );
            DispatchOutcome::Abandoned
        }
    };
    if dispatch.remote {
        record_remote_bytes(app, req, &result);
    }
    app.finish_dispatch(dispatch.id, outcome);
    result
}

/// Sends a request on one slot, and after the hedging delay on a second one; the first complete
/// answer is returned. The other exchange continues to its end, so that its slot is accounted for.
async fn exchange_hedged(
    app: &Rc<App>,
    req: &Rc<IncomingRequest>,
    dispatch: Dispatch,
) -> ExchangeResult {
    const MAX_DISPATCHES: usize = 2;
    let (tx, mut rx) = mpsc::channel(MAX_DISPATCHES);
    let hedge_after = dispatch.hedge_after;
    spawn_exchange(app, req, dispatch, tx.clone());
    let mut pending = 1;
    if let Some(after) = hedge_after {
        let hedge_at = req
            .deadline_instant
            .min(Instant::now() + after.as_duration());
        match timeout_at(hedge_at, rx.recv()).await {
            Ok(Some(result)) => return result,
            Ok(None) => return ExchangeResult::Incomplete("exchange ended without a result"),
            Err(_) => {
                let request = req.outgoing.request;
                let hedge =
                    app.update_engine(|engine, now, _| engine.hedge(request, &req.service, now));
                if let Some(dispatch) = hedge {
                    spawn_exchange(app, req, dispatch, tx.clone());
                    pending += 1;
                }
            }
        }
    }
    drop(tx);
    let mut last = ExchangeResult::Incomplete("exchange ended without a result");
    for _ in 0..pending {
        match rx.recv().await {
            Some(ExchangeResult::Complete(answer)) => return ExchangeResult::Complete(answer),
            Some(ExchangeResult::NotSent) if pending > 1 => {}
            Some(result) => last = result,
            None => break,
        }
    }
    last
}

fn spawn_exchange(
    app: &Rc<App>,
    req: &Rc<IncomingRequest>,
    dispatch: Dispatch,
    tx: mpsc::Sender<ExchangeResult>,
) {
    let (app, req) = (Rc::clone(app), Rc::clone(req));
    ntex::rt::spawn(async move {
        let result = exchange(&app, &req, dispatch).await;
        // The receiver is gone if the other dispatch was answered first.
        let _ = tx.send(result).await;
    });
}

fn record_remote_bytes(app: &App, req: &IncomingRequest, result: &ExchangeResult) {
    let answer_len = match result {
        ExchangeResult::Complete(answer) => answer.body.len(),
        _ => 0,
    };
    let bytes = (req.outgoing.body.len() + answer_len) as u64;
    app.stats.borrow_mut().add_remote_bytes(bytes);
}
