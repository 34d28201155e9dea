//! Client of the platform's store. It sends requests directly, or relays them through other
//! processes if the store refuses this host or cannot be reached from it.
//!
//! An attempt that takes long does not hold up a request: the next one is started beside it, and
//! the first answer counts. All requests must be idempotent, because a request may be sent more
//! than once.

mod probes;
mod relays;
#[cfg(test)]
mod tests;

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use kspan_adapter::{
    http::{CallError, Response, Result},
    store::{self, Request},
};
use kspan_model::{Millis, Name};
use ntex::client::Client;
use tokio::{sync::Notify, time::Instant};

use crate::{
    attempts::{Attempts, Progress},
    clock::Clock,
    log_limit::LogLimit,
    message::{Member, PeerReply, PeerRequest},
    peers::{Peers, RequestError},
    telemetry,
};
use probes::MAX_PROBE_CONNECTIONS;
use relays::Relays;

/// Timeout of a direct attempt. A slow store answers in 250 ms.
const DIRECT_TIMEOUT: Duration = Duration::from_millis(900);

/// Timeout of a relayed attempt.
const RELAY_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Timeout of a request with all its attempts.
const SEND_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Time without an answer after which a relay is tried beside a direct attempt. A slow store must
/// not look like an outage.
const DIRECT_HEDGE_DELAY: Duration = Duration::from_millis(600);

/// Time without an answer after which the next relay is tried beside the ones before.
const RELAY_HEDGE_DELAY: Duration = Duration::from_millis(300);

/// Time after a direct attempt without an answer for which only relays are used.
const DIRECT_BACKOFF: Millis = Millis(1_000);

/// Maximum number of relays that are tried for one request.
const MAX_RELAYS: usize = 6;

/// Maximum number of connections to the store.
const MAX_CONNECTIONS: usize = 8;

/// Client of the store.
pub(crate) struct StoreClient {
    shared: Rc<Shared>,
    is_reachable: Cell<bool>,
}

/// State shared with the attempts in flight.
struct Shared {
    client: Client,
    addr: String,
    clock: Clock,
    log_limit: Rc<LogLimit>,
    peers: Rc<Peers>,
    relays: RefCell<Relays>,
    /// Time at which a direct attempt was last not answered, if none has been answered since.
    direct_failed_at: Cell<Option<Millis>>,
    /// Whether a direct attempt is in flight that finds out whether the store is reachable again.
    is_probing: Cell<bool>,
    /// Client for probes, which are not to wait for the connections of other requests.
    probe_client: Client,
    /// Whether probes are being sent.
    is_sending_probes: Cell<bool>,
    /// Signals that a probe was answered.
    direct_answered: Notify,
}

impl StoreClient {
    /// Creates a client of the store at `addr` for a process in the data centre `data_centre`.
    pub(crate) async fn new(
        addr: &str,
        data_centre: Name,
        clock: Clock,
        log_limit: Rc<LogLimit>,
        peers: Rc<Peers>,
    ) -> Self {
        let shared = Shared {
            client: kspan_adapter::http::client(MAX_CONNECTIONS).await,
            addr: addr.to_owned(),
            clock,
            log_limit,
            peers,
            relays: RefCell::new(Relays::new(data_centre)),
            direct_failed_at: Cell::new(None),
            is_probing: Cell::new(false),
            probe_client: kspan_adapter::http::client(MAX_PROBE_CONNECTIONS).await,
            is_sending_probes: Cell::new(false),
            direct_answered: Notify::new(),
        };
        Self {
            shared: Rc::new(shared),
            is_reachable: Cell::new(true),
        }
    }

    /// Replaces the list of processes that can relay requests.
    pub(crate) fn set_members(&self, members: Vec<Member>) {
        self.shared.relays.borrow_mut().set_members(members);
    }

    /// Sends a request directly or through relays.
    ///
    /// # Errors
    ///
    /// Returns the failure of the last attempt if none has an answer of the store.
    pub(crate) async fn send(&self, req: &Request) -> Result<Response> {
        let outcome = Exchange::new(&self.shared, req).first_answer().await;
        telemetry::record_store_request(match &outcome {
            Ok(answer) => answer.way,
            Err(_) => "failed",
        });
        self.set_reachable(outcome.is_ok());
        outcome.map(|answer| answer.response)
    }

    /// Sends a request of another process directly. Returns `None` without an attempt if one was not
    /// answered a moment ago.
    pub(crate) async fn send_for_peer(&self, req: &Request) -> Option<Response> {
        if self.shared.is_direct_suspended() {
            return None;
        }
        self.shared.send_direct(req).await.ok()
    }

    fn set_reachable(&self, is_reachable: bool) {
        if self.is_reachable.replace(is_reachable) == is_reachable {
            return;
        }
        if is_reachable {
            tracing::info!("store reachable again");
        } else {
            tracing::warn!("store unreachable, directly and through the relays tried");
        }
    }
}

impl Shared {
    fn is_direct_suspended(&self) -> bool {
        let failed_at = self.direct_failed_at.get();
        failed_at.is_some_and(|at| self.clock.now().saturating_sub(at) < DIRECT_BACKOFF)
    }

    async fn send_direct(self: &Rc<Self>, req: &Request) -> Result<Response> {
        let timeout = DIRECT_TIMEOUT + req.wait();
        let response = store::send(&self.client, &self.addr, req, timeout).await;
        // A refusal may concern only one topic, and costs little time.
        if response.is_err() {
            self.record_direct_failure();
        } else {
            self.direct_failed_at.set(None);
        }
        let answer = response.and_then(|response| {
            if is_refusal(response.status) {
                let why = format!("unexpected status {}", response.status);
                return Err(CallError::Malformed(why));
            }
            Ok(response)
        });
        if let Err(err) = &answer
            && self.log_limit.allows("store", self.clock.now())
        {
            tracing::warn!(%err, "direct request to the store failed");
        }
        answer
    }

    async fn send_through(&self, relay: &Member, req: &Request) -> Result<Response> {
        let sent_at = self.clock.now();
        let peer_req = PeerRequest::RelayToStore(req.clone());
        let timeout = RELAY_TIMEOUT + req.wait();
        let why = match self.peers.request(relay, peer_req, timeout).await {
            Ok(PeerReply::StoreResponse(Some((status, body)))) if !is_refusal(status) => {
                self.relays.borrow_mut().record_success(&relay.node);
                let body = body.into();
                return Ok(Response { status, body });
            }
            Ok(PeerReply::StoreResponse(Some(_))) => "the store refuses the relay",
            Ok(PeerReply::StoreResponse(None)) => "the relay does not reach the store",
            Ok(_) => "the relay gave an unexpected reply",
            Err(RequestError::NotSent) => "the relay is not reachable",
            Err(RequestError::InDoubt) => "the relay did not reply",
        };
        let now = self.clock.now();
        self.relays.borrow_mut().record_failure(&relay.node, now);
        if self.log_limit.allows("store", now) {
            let took_ms = now.saturating_sub(sent_at).0;
            tracing::warn!(relay = %relay.node, why, took_ms, "relayed request to the store failed");
        }
        Err(CallError::InDoubt(why.to_owned()))
    }
}

/// Returns whether the store refused a request that another host may send with success.
fn is_refusal(status: u16) -> bool {
    status == 503 || status == 429
}

/// An answer of the store and the way on which it arrived.
struct Answer {
    response: Response,
    way: &'static str,
}

/// A request in progress.
struct Exchange<'a> {
    shared: &'a Rc<Shared>,
    req: &'a Request,
    attempts: Attempts<Result<Answer>>,
    /// Hosts of the relays tried, in the order in which they were tried.
    tried: Vec<Name>,
}

impl<'a> Exchange<'a> {
    fn new(shared: &'a Rc<Shared>, req: &'a Request) -> Self {
        Self {
            shared,
            req,
            attempts: Attempts::new(),
            tried: Vec::new(),
        }
    }

    /// Starts attempts until one has an answer, and returns it.
    async fn first_answer(mut self) -> Result<Answer> {
        let deadline = Instant::now() + SEND_TIMEOUT + self.req.wait();
        let mut failure = CallError::NotSent("no host reaches the store".to_owned());
        self.start_first();
        loop {
            let until = deadline.min(Instant::now() + self.hedge_delay());
            let shared = Rc::clone(self.shared);
            let progress = tokio::select! {
                progress = self.attempts.wait(until) => progress,
                () = shared.direct_answered.notified() => {
                    self.start_direct(false);
                    continue;
                }
            };
            match progress {
                Progress::Ended(Ok(answer)) => return Ok(answer),
                Progress::Ended(Err(err)) => failure = err,
                Progress::Slow if Instant::now() >= deadline => {
                    return Err(CallError::InDoubt("timeout".to_owned()));
                }
                Progress::Slow => self.record_slow_attempt(),
                Progress::NoneInFlight => return Err(failure),
            }
            self.start_relayed();
        }
    }

    /// Starts a direct attempt, unless one was not answered a moment ago. If the last one was not, a
    /// relay is tried at the same time.
    fn start_first(&mut self) {
        let has_failed = self.shared.direct_failed_at.get().is_some();
        let may_send_direct =
            !has_failed || !(self.shared.is_direct_suspended() || self.shared.is_probing.get());
        if may_send_direct {
            self.start_direct(has_failed);
        }
        if has_failed {
            self.start_relayed();
        }
    }

    fn start_direct(&mut self, is_probe: bool) {
        let (shared, req) = (Rc::clone(self.shared), self.req.clone());
        if is_probe {
            shared.is_probing.set(true);
        }
        self.attempts.start(async move {
            let response = shared.send_direct(&req).await;
            if is_probe {
                shared.is_probing.set(false);
            }
            let way = "direct";
            response.map(|response| Answer { response, way })
        });
    }

    /// Starts an attempt through the next relay, if there is one.
    fn start_relayed(&mut self) {
        if self.tried.len() >= MAX_RELAYS {
            return;
        }
        let now = self.shared.clock.now();
        let Some(relay) = self.shared.relays.borrow().next(now, &self.tried) else {
            return;
        };
        self.tried.push(relay.node.clone());
        let (shared, req) = (Rc::clone(self.shared), self.req.clone());
        self.attempts.start(async move {
            let response = shared.send_through(&relay, &req).await;
            let way = "relayed";
            response.map(|response| Answer { response, way })
        });
    }

    /// Returns the time to wait for an answer before the next attempt is started.
    fn hedge_delay(&self) -> Duration {
        let delay = if self.tried.is_empty() {
            DIRECT_HEDGE_DELAY
        } else {
            RELAY_HEDGE_DELAY
        };
        delay + self.req.wait()
    }

    /// Lets other requests avoid the attempt that was started last, which takes long.
    fn record_slow_attempt(&self) {
        let now = self.shared.clock.now();
        match self.tried.last() {
            Some(relay) => self.shared.relays.borrow_mut().record_failure(relay, now),
            None => self.shared.record_direct_failure(),
        }
    }
}
