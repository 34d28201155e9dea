//! The callers' side of every process: reads requests, has the owner carry them out, answers.

use std::{io, net::SocketAddr, rc::Rc, time::Duration};

use kspan_adapter::entry;
use ntex::http::{Method, Request, Response, StatusCode};
use tokio::time::Instant;

use crate::{
    http, measure,
    message::{Ask, CallAnswer, JobCall, Reply, Untaken, Verb},
    node::Node,
    peers::AskError,
};

/// Time for the owner's answer.
pub(crate) const HOP_TIMEOUT: Duration = Duration::from_millis(1_800);

/// Longest time that a request waits for an owner that takes it.
const OWNER_PATIENCE: Duration = Duration::from_millis(1_200);

/// Time between two tries to reach the owner.
const RETRY_INTERVAL: Duration = Duration::from_millis(60);

/// When a caller comes back that was not served, in seconds.
const RETRY_AFTER_S: u32 = 1;

/// Silence of the owner from which a process is not ready.
const READY_SILENCE_MS: u64 = 3_000;

/// Serves callers on `addr` until the process ends.
///
/// # Errors
///
/// Returns an error where the address can't be listened on.
pub(crate) async fn serve(node: Rc<Node>, addr: SocketAddr) -> io::Result<()> {
    http::serve(addr, move |req| {
        let node = Rc::clone(&node);
        async move { handle(&node, req).await }
    })
    .await
}

async fn handle(node: &Rc<Node>, mut req: Request) -> Response {
    if req.path() == entry::READY_PATH {
        return respond(node, &ready(node));
    }
    let _in_flight = node.in_flight.enter();
    let body = match http::read_body(&mut req).await {
        Ok(body) => body,
        Err(_) => return respond(node, &CallAnswer::new(400)),
    };
    let verb = match *req.method() {
        Method::POST => match entry::decode_job(&body) {
            Ok(spec) => Verb::Submit(spec),
            Err(err) => {
                let answer = CallAnswer::with_body(400, err.to_string().into_bytes());
                return respond(node, &answer);
            }
        },
        Method::GET => Verb::Show,
        Method::DELETE => Verb::Cancel,
        _ => return respond(node, &CallAnswer::new(405)),
    };
    let host = req
        .headers()
        .get("host")
        .and_then(|host| host.to_str().ok());
    let host = host
        .unwrap_or_default()
        .split(':')
        .next()
        .unwrap_or_default();
    let call = JobCall {
        host: host.to_owned(),
        path: req.path().to_owned(),
        verb,
        hops: 1,
    };
    let (verb, began) = (call.verb.name(), node.clock.now());
    let answer = carry_out(node, call).await;
    measure::call(verb, answer.status, node.clock.now().saturating_sub(began));
    respond(node, &answer)
}

/// Returns whether the process can serve: it or another that it hears owns the cell.
fn ready(node: &Node) -> CallAnswer {
    let serves = node.known_owner().is_some() && node.owner_silence().0 < READY_SILENCE_MS;
    CallAnswer::new(if serves && !node.stopping.get() {
        200
    } else {
        503
    })
}

/// Has the owner carry out a call, going on with a new owner where there is one soon.
async fn carry_out(node: &Rc<Node>, call: JobCall) -> CallAnswer {
    let started = Instant::now();
    let mut in_doubt = false;
    while started.elapsed() < OWNER_PATIENCE {
        match try_once(node, &call).await {
            Ok(answer) => return answer,
            Err(AskError::NotSent) => {}
            Err(AskError::Lost) => in_doubt = true,
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
    let submits = matches!(call.verb, Verb::Submit(_));
    if node.budget.allows("entry", node.clock.now()) {
        let job = call.path.rsplit('/').next().unwrap_or_default();
        let owner = node.known_owner().map_or(0, |owner| owner.fence);
        let silent_ms = node.owner_silence().0;
        tracing::warn!(job, in_doubt, owner, silent_ms, "no owner took the call");
    }
    if in_doubt && submits {
        CallAnswer::new(504)
    } else {
        CallAnswer::not_taken(RETRY_AFTER_S)
    }
}

async fn try_once(node: &Rc<Node>, call: &JobCall) -> Result<CallAnswer, AskError> {
    if let Some(owner) = node.own_role() {
        return owner.call(call.clone()).await.map_err(|err| match err {
            Untaken::NotTaken => AskError::NotSent,
            Untaken::InDoubt => AskError::Lost,
        });
    }
    let known = node
        .known_owner()
        .filter(|owner| owner.member.node != node.me.node);
    let Some(owner) = known else {
        return Err(AskError::NotSent);
    };
    let asked = node
        .peers
        .ask(&owner.member, Ask::Call(call.clone()), HOP_TIMEOUT)
        .await;
    match asked {
        Ok(Reply::Call(answer)) => Ok(answer),
        Ok(Reply::NotOwner) => Err(AskError::NotSent),
        Ok(_) => Err(AskError::Lost),
        Err(AskError::NotSent) => relay(node, call, &owner.member.node).await,
        Err(AskError::Lost) => Err(AskError::Lost),
    }
}

/// Hands a call to another process, as the owner can't be reached from here.
async fn relay(
    node: &Rc<Node>,
    call: &JobCall,
    owner: &kspan_model::Name,
) -> Result<CallAnswer, AskError> {
    let others = node.others();
    let other = others
        .iter()
        .find(|member| member.node != *owner && node.peers.is_linked(member));
    let other = other.or_else(|| others.iter().find(|member| member.node != *owner));
    let Some(other) = other else {
        return Err(AskError::NotSent);
    };
    match node
        .peers
        .ask(other, Ask::Call(call.clone()), HOP_TIMEOUT)
        .await
    {
        Ok(Reply::Call(answer)) => Ok(answer),
        Ok(Reply::NotOwner) | Err(AskError::NotSent) => Err(AskError::NotSent),
        Ok(_) | Err(AskError::Lost) => Err(AskError::Lost),
    }
}

fn respond(node: &Node, answer: &CallAnswer) -> Response {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = Response::build(status);
    if let Some(seconds) = answer.retry_after_s {
        response.header("Retry-After", seconds.to_string());
    }
    if node.stopping.get() {
        response.force_close();
    }
    response.content_type("application/json");
    response.body(answer.body.clone())
}
