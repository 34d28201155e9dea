//! Forwards callers' requests to the owner, directly or through other processes.

#[cfg(test)]
mod tests;

use std::{rc::Rc, time::Duration};

use rand::seq::SliceRandom as _;
use tokio::time::Instant;

use crate::{
    attempts::{Attempts, Progress},
    message::{CallResponse, JobCall, Member, PeerReply, PeerRequest},
    peers::{Peers, RequestError, Result},
};

/// Timeout of an attempt.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(1_800);

/// Time without a reply after which a relay is tried beside the attempts in flight, if the owner's
/// heartbeats do not arrive either.
const HEDGE_DELAY: Duration = Duration::from_millis(300);

/// Maximum number of relays that are tried for one call.
const MAX_RELAYS: usize = 2;

/// Sends a call to a process, which executes it if it owns the cell, and otherwise forwards it as
/// often as the call allows.
///
/// # Errors
///
/// Returns an error that says whether the call may have been executed.
pub(crate) async fn forward(peers: &Peers, to: &Member, call: JobCall) -> Result<CallResponse> {
    let reply = peers.request(to, PeerRequest::Call(call), FORWARD_TIMEOUT);
    match reply.await? {
        PeerReply::Call(response) => Ok(response),
        PeerReply::NotOwner => Err(RequestError::NotSent),
        _ => Err(RequestError::InDoubt),
    }
}

/// Sends a call to the owner and, where it can't be reached or `is_silent` says that its heartbeats
/// do not arrive, through relays out of `others` as well. Calls are idempotent, so the first
/// response counts.
///
/// # Errors
///
/// Returns an error that says whether the call may have been executed.
pub(crate) async fn call_owner(
    peers: &Rc<Peers>,
    owner: &Member,
    others: Vec<Member>,
    call: &JobCall,
    is_silent: impl Fn() -> bool,
) -> Result<CallResponse> {
    let mut relays = order_relays(owner, others).into_iter().take(MAX_RELAYS);
    let mut attempts = Attempts::new();
    let mut is_in_doubt = false;
    let mut next = Some(owner.clone());
    loop {
        if let Some(to) = next.take() {
            let (peers, call) = (Rc::clone(peers), call.clone());
            attempts.start(async move { forward(&peers, &to, call).await });
        }
        match attempts.wait(Instant::now() + HEDGE_DELAY).await {
            Progress::Ended(Ok(response)) => {
                is_in_doubt |= attempts.are_in_flight();
                if call.is_settled_by(&response, is_in_doubt) {
                    return Ok(response);
                }
            }
            Progress::Ended(Err(RequestError::InDoubt)) => is_in_doubt = true,
            Progress::Ended(Err(RequestError::NotSent)) => next = relays.next(),
            Progress::Slow if is_silent() => next = relays.next(),
            Progress::Slow => {}
            Progress::NoneInFlight if is_in_doubt => return Err(RequestError::InDoubt),
            Progress::NoneInFlight => return Err(RequestError::NotSent),
        }
    }
}

/// Returns the processes through which the owner may be reached, those of its data centre first,
/// because a cut often leaves the paths within a data centre.
fn order_relays(owner: &Member, mut others: Vec<Member>) -> Vec<Member> {
    others.retain(|member| member.node != owner.node);
    others.shuffle(&mut rand::rng());
    others.sort_by_key(|member| member.data_centre != owner.data_centre);
    others
}
