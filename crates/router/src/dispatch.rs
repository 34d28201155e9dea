//! One request from its arrival to its outcome.
//!
//! * An idempotent request is tried again while its deadline and the retry budget allow, and may
//!   be hedged.
//! * A non-idempotent request with a key is dispatched on a grant of the key's home, once.
//! * A non-idempotent request without a key is a request of its own, dispatched once.
//!
//! `not-run` is only said with proof: nothing was dispatched here, and either the key's home
//! granted the key to this send, or no other send can have come before it.

use std::{rc::Rc, time::Duration};

use kspan_model::{Millis, NodeId, Outcome};
use kspan_routing::{
    engine::{
        Arrival, ClaimStatus,
        effect::{Dispatch, DispatchOutcome, RefusalReason},
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
    app::{App, Decision, Ruled},
    exchange::{Incoming, Key, Reply, Whole, record, replay},
    upstream::Answered,
};

/// Most dispatches of one request that came to nothing because no connection could be made.
const MAX_UNSENT: u32 = 4;

/// Most claims of one request: the home may be moving.
const MAX_CLAIMS: u32 = 4;

/// Pause before a claim is sent to a new home.
const CLAIM_PAUSE: Duration = Duration::from_millis(50);

/// What became of the attempts to run a request.
enum Run {
    /// The whole answer.
    Answered(Whole),
    /// Nothing was dispatched.
    NotDispatched {
        reason: &'static str,
        retry_after: Option<Millis>,
        status: StatusCode,
    },
    /// It was dispatched and no whole answer came.
    Lost(&'static str),
}

/// Serves one request.
pub(crate) async fn serve(app: Rc<App>, req: Incoming) -> Reply {
    let req = Rc::new(req);
    match &req.key {
        Some(key) if !req.idempotent => serve_with_key(&app, &req, key).await,
        _ => {
            let run = run(&app, &req).await;
            reply(run, req.is_first_send())
        }
    }
}

async fn serve_with_key(app: &Rc<App>, req: &Rc<Incoming>, key: &Key) -> Reply {
    let home = match claim(app, req, key).await {
        Ok(home) => home,
        Err(reply) => return *reply,
    };
    let run = run(app, req).await;
    let result = match &run {
        Run::Answered(answer) if answer.body.len() <= MAX_KEPT_ANSWER_BYTES => {
            Settlement::Answered(record(answer))
        }
        Run::Answered(_) => Settlement::AnswerNotKept,
        Run::NotDispatched { .. } => Settlement::Withdrawn,
        Run::Lost(_) => Settlement::Unknown,
    };
    let settle = Settle {
        key: key.id,
        text: key.text.clone(),
        request: req.out.request,
        result,
    };
    app.change(|engine, now, unix| engine.settle(&home, settle, now, unix));
    reply(run, true)
}

/// Claims a key. Returns the home that granted it, or what the caller is told instead.
async fn claim(app: &Rc<App>, req: &Incoming, key: &Key) -> Result<NodeId, Box<Reply>> {
    let request = req.out.request;
    for attempt in 0..MAX_CLAIMS {
        if attempt > 0 {
            sleep(CLAIM_PAUSE).await;
        }
        let mut rulings = app.await_rulings(request);
        let left = req.deadline.saturating_sub(app.now());
        if left == Millis::ZERO {
            break;
        }
        let claim = new_claim(req, key, left);
        let claimed = app.change(|engine, now, unix| engine.claim(&claim, now, unix));
        let ruled = match claimed {
            ClaimStatus::Pending => await_ruling(&mut rulings, req.until).await,
            ClaimStatus::NoHome => None,
        };
        app.forget_rulings(request);
        let Some(Ruled { home, ruling }) = ruled else {
            app.change(|engine, now, unix| engine.abandon_claim(request, now, unix));
            break;
        };
        match ruling {
            ClaimDecision::Granted => return Ok(home),
            ClaimDecision::NotHome => {}
            ruling => return Err(Box::new(reply_to_ruling(ruling, req.is_first_send()))),
        }
    }
    let reason = "the key's home gave no answer";
    Err(Box::new(undispatched(reason, req.is_first_send())))
}

fn new_claim(req: &Incoming, key: &Key, left: Millis) -> Claim {
    Claim {
        key: key.id,
        text: key.text.clone(),
        fingerprint: key.fingerprint,
        request: req.out.request,
        created: key.created,
        first: req.attempt == Some(1),
        left,
    }
}

/// Waits for the final verdict: shortly for the first word, to the deadline once the home says
/// that another send is in flight.
async fn await_ruling(rulings: &mut mpsc::Receiver<Ruled>, until: Instant) -> Option<Ruled> {
    let mut patience = until.min(Instant::now() + CLAIM_TIMEOUT.as_duration());
    loop {
        let ruled = timeout_at(patience, rulings.recv()).await.ok().flatten()?;
        if ruled.ruling != ClaimDecision::Waiting {
            return Some(ruled);
        }
        patience = until;
    }
}

fn reply_to_ruling(ruling: ClaimDecision, first: bool) -> Reply {
    let unknown = |status, reason| Reply::without_answer(Outcome::Unknown, status, reason);
    match ruling {
        ClaimDecision::Answered(answer) => match replay(answer) {
            Some(answer) => Reply::ran(answer, true),
            None => unknown(
                StatusCode::CONFLICT,
                "it ran; the recorded answer is damaged",
            ),
        },
        ClaimDecision::AnswerNotKept => {
            unknown(StatusCode::CONFLICT, "it ran; its answer was not kept")
        }
        ClaimDecision::Dispatched => {
            unknown(StatusCode::CONFLICT, "an earlier send was dispatched")
        }
        ClaimDecision::Mismatch => unknown(
            StatusCode::UNPROCESSABLE_ENTITY,
            "the key was used for a different request",
        ),
        ClaimDecision::Full => undispatched("the key's home is full", true),
        _ => undispatched("the key's home can't tell of earlier sends", first),
    }
}

/// Returns the reply to a request that was not dispatched by this router.
fn undispatched(reason: &'static str, proven: bool) -> Reply {
    let outcome = if proven {
        Outcome::NotRun
    } else {
        Outcome::Unknown
    };
    let reply = Reply::without_answer(outcome, StatusCode::SERVICE_UNAVAILABLE, reason);
    reply.with_retry_after(Millis::from_secs(1))
}

fn reply(run: Run, proven: bool) -> Reply {
    match run {
        Run::Answered(answer) => Reply::ran(answer, false),
        Run::Lost(reason) => {
            Reply::without_answer(Outcome::Unknown, StatusCode::BAD_GATEWAY, reason)
        }
        Run::NotDispatched {
            reason,
            retry_after,
            status,
        } => {
            let mut reply = undispatched(reason, proven);
            reply.status = status;
            reply.retry_after = retry_after;
            reply
        }
    }
}

/// Dispatches a request, again where that is harmless.
async fn run(app: &Rc<App>, req: &Rc<Incoming>) -> Run {
    let mut lost = None;
    let mut unsent = 0;
    let mut first = true;
    loop {
        let decision = admit(app, req, std::mem::take(&mut first), unsent > 0).await;
        let start = match (decision, lost) {
            (Some(Decision::Start(start)), _) => start,
            (_, Some(reason)) => return Run::Lost(reason),
            (Some(Decision::Refuse(refusal)), None) => {
                return Run::NotDispatched {
                    reason: reason_text(refusal.reason),
                    retry_after: Some(refusal.retry_after),
                    status: StatusCode::SERVICE_UNAVAILABLE,
                };
            }
            (None, None) => return not_dispatched("no runner could be reached"),
        };
        let answered = if req.hedge {
            exchange_hedged(app, req, start).await
        } else {
            exchange(app, req, start).await
        };
        match answered {
            Answered::Whole(answer) => return Run::Answered(answer),
            Answered::Unsent if unsent + 1 < MAX_UNSENT => unsent += 1,
            Answered::Unsent if lost.is_none() => {
                return not_dispatched("no runner could be reached");
            }
            Answered::Unsent => return Run::Lost("no runner could be reached again"),
            Answered::Broken(reason) if req.idempotent => {
                lost = Some(reason);
                unsent = 0;
            }
            Answered::Broken(reason) => return Run::Lost(reason),
        }
    }
}

const fn not_dispatched(reason: &'static str) -> Run {
    Run::NotDispatched {
        reason,
        retry_after: Some(Millis::from_secs(1)),
        status: StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// Asks for a slot and waits until there is one or the request is refused. None when a retry is
/// not allowed.
async fn admit(app: &Rc<App>, req: &Incoming, first: bool, unsent: bool) -> Option<Decision> {
    let request = req.out.request;
    let arrival = Arrival {
        request,
        service: req.service.clone(),
        caller: req.caller.clone(),
        priority: req.priority,
        deadline: req.deadline,
    };
    let decision = app.await_decision(request);
    let admitted = app.change(|engine, now, _| {
        if first || unsent {
            engine.resubmit(arrival, now);
            return true;
        }
        engine.retry(arrival, now)
    });
    if !admitted {
        return None;
    }
    decision.await.ok()
}

/// Sends a request on one slot and reports how that ended.
async fn exchange(app: &Rc<App>, req: &Incoming, start: Dispatch) -> Answered {
    let began = Instant::now();
    let answered = app.upstreams.send(&start, &req.out, req.until).await;
    let finish = match &answered {
        Answered::Whole(_) => {
            let micros = began.elapsed().as_micros();
            DispatchOutcome::Answered {
                micros: u64::try_from(micros).unwrap_or(u64::MAX),
            }
        }
        Answered::Unsent => DispatchOutcome::Unsent,
        Answered::Broken(reason) => {
            log::warn!(
                "router: Request {} on runner {}: {reason}.",
                req.out.request,
                start.runner
            );
            DispatchOutcome::Abandoned
        }
    };
    if start.remote {
        count_remote(app, req, &answered);
    }
    app.finish(start.id, finish);
    answered
}

/// Sends a request on one slot, and after a while on a second; the first whole answer counts.
/// The other one is left to finish, so that its slot is accounted for.
async fn exchange_hedged(app: &Rc<App>, req: &Rc<Incoming>, start: Dispatch) -> Answered {
    const DISPATCHES: usize = 2;
    let (tx, mut rx) = mpsc::channel(DISPATCHES);
    let hedge_after = start.hedge_after;
    spawn_exchange(app, req, start, tx.clone());
    let mut pending = 1;
    if let Some(after) = hedge_after {
        let patience = req.until.min(Instant::now() + after.as_duration());
        match timeout_at(patience, rx.recv()).await {
            Ok(Some(answered)) => return answered,
            Ok(None) => return Answered::Broken("the exchange failed"),
            Err(_) => {
                let request = req.out.request;
                let hedge = app.change(|engine, now, _| engine.hedge(request, &req.service, now));
                if let Some(start) = hedge {
                    spawn_exchange(app, req, start, tx.clone());
                    pending += 1;
                }
            }
        }
    }
    drop(tx);
    let mut last = Answered::Broken("the exchange failed");
    for _ in 0..pending {
        match rx.recv().await {
            Some(Answered::Whole(answer)) => return Answered::Whole(answer),
            Some(Answered::Unsent) if pending > 1 => {}
            Some(answered) => last = answered,
            None => break,
        }
    }
    last
}

fn spawn_exchange(app: &Rc<App>, req: &Rc<Incoming>, start: Dispatch, tx: mpsc::Sender<Answered>) {
    let (app, req) = (Rc::clone(app), Rc::clone(req));
    ntex::rt::spawn(async move {
        let answered = exchange(&app, &req, start).await;
        // Nobody waits any more when the other dispatch was faster.
        let _ = tx.send(answered).await;
    });
}

fn count_remote(app: &App, req: &Incoming, answered: &Answered) {
    let answer = match answered {
        Answered::Whole(answer) => answer.body.len(),
        _ => 0,
    };
    let bytes = (req.out.body.len() + answer) as u64;
    app.tally.borrow_mut().add_remote_bytes(bytes);
}

const fn reason_text(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::NoService => "no such service",
        RefusalReason::NoRunner => "no runner takes work",
        RefusalReason::QueueFull => "too many requests wait",
        RefusalReason::DeadlineUnreachable => "the deadline can't be met",
        RefusalReason::Expired => "the deadline passed while the request waited",
    }
}
