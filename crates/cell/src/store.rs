//! Client of the platform's store. It sends requests directly, or relays them through another
//! process if the store refuses this host or cannot be reached from it.
//!
//! All requests must be idempotent, because a request may be sent more than once.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use kspan_adapter::{
    http::{CallError, Response, Result},
    store::{self, Request},
};
use kspan_model::Millis;
use ntex::client::Client;

use crate::{
    clock::Clock,
    log_limit::LogLimit,
    message::{Member, PeerReply, PeerRequest},
    peers::{Peers, RequestError},
    telemetry,
};

/// Timeout of a direct request. A slow store answers in 250 ms.
const DIRECT_TIMEOUT: Duration = Duration::from_millis(900);

/// Timeout of a relayed request.
const RELAY_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time for which direct requests are skipped after one has failed.
const DIRECT_BACKOFF: Millis = Millis(1_000);

/// Maximum number of processes that are tried as relays for one request.
const MAX_RELAYS: usize = 3;

/// Maximum number of connections to the store.
const MAX_CONNECTIONS: usize = 8;

/// Client of the store.
pub(crate) struct StoreClient {
    client: Client,
    addr: String,
    clock: Clock,
    log_limit: Rc<LogLimit>,
    peers: Rc<Peers>,
    members: RefCell<Vec<Member>>,
    /// Index of the member that relayed the last request.
    last_relay: Cell<usize>,
    direct_retry_at: Cell<Millis>,
    is_reachable: Cell<bool>,
}

impl StoreClient {
    /// Creates a client of the store at `addr`.
    pub(crate) async fn new(
        addr: &str,
        clock: Clock,
        log_limit: Rc<LogLimit>,
        peers: Rc<Peers>,
    ) -> Self {
        Self {
            client: kspan_adapter::http::client(MAX_CONNECTIONS).await,
            addr: addr.to_owned(),
            clock,
            log_limit,
            peers,
            members: RefCell::default(),
            last_relay: Cell::new(0),
            direct_retry_at: Cell::new(Millis::ZERO),
            is_reachable: Cell::new(true),
        }
    }

    /// Replaces the list of processes that can relay requests.
    pub(crate) fn set_members(&self, members: Vec<Member>) {
        *self.members.borrow_mut() = members;
    }

    /// Sends a request directly or, if that fails, through a relay. `wait` is added to the
    /// timeouts.
    ///
    /// # Errors
    ///
    /// Returns the failure of the direct request if no relay works either.
    pub(crate) async fn send(&self, req: &Request, wait: Duration) -> Result<Response> {
        let mut failure = CallError::NotSent(
            "direct requests to the store are suspended after a failure".to_owned(),
        );
        if self.clock.now() >= self.direct_retry_at.get() {
            match self.send_direct(req, wait).await {
                Ok(response) if response.status != 503 && response.status != 429 => {
                    telemetry::record_store_request("direct");
                    self.set_reachable(true);
                    return Ok(response);
                }
                Ok(response) => {
                    failure = CallError::Malformed(format!("unexpected status {}", response.status))
                }
                Err(err) => failure = err,
            }
            self.direct_retry_at.set(self.clock.now() + DIRECT_BACKOFF);
            if self.log_limit.allows("store", self.clock.now()) {
                tracing::warn!(err = %failure, "direct request to the store failed");
            }
        }
        let relayed = self.send_relayed(req, wait).await;
        telemetry::record_store_request(if relayed.is_some() {
            "relayed"
        } else {
            "failed"
        });
        self.set_reachable(relayed.is_some());
        relayed.ok_or(failure)
    }

    /// Sends a request directly, without relays.
    ///
    /// # Errors
    ///
    /// Returns an error that says whether the request may have been executed.
    pub(crate) async fn send_direct(&self, req: &Request, wait: Duration) -> Result<Response> {
        store::send(&self.client, &self.addr, req, DIRECT_TIMEOUT + wait).await
    }

    async fn send_relayed(&self, req: &Request, wait: Duration) -> Option<Response> {
        let members = self.members.borrow().clone();
        for attempt in 0..MAX_RELAYS.min(members.len()) {
            let index = (self.last_relay.get() + attempt) % members.len();
            let relay = &members[index];
            let sent_at = self.clock.now();
            let peer_req = PeerRequest::RelayToStore(req.clone());
            let reply = self
                .peers
                .request(relay, peer_req, RELAY_TIMEOUT + wait)
                .await;
            let why = match reply {
                Ok(PeerReply::StoreResponse(Some((status, body))))
                    if status != 503 && status != 429 =>
                {
                    self.last_relay.set(index);
                    return Some(Response {
                        status,
                        body: body.into(),
                    });
                }
                Ok(PeerReply::StoreResponse(Some(_))) => "the store refuses the relay",
                Ok(PeerReply::StoreResponse(None)) => "the store does not answer the relay",
                Ok(_) => "the relay gave an unexpected reply",
                Err(RequestError::NotSent) => "the relay is not reachable",
                Err(RequestError::InDoubt) => "the relay did not reply",
            };
            if self.log_limit.allows("store", self.clock.now()) {
                let took_ms = self.clock.now().saturating_sub(sent_at).0;
                tracing::warn!(relay = %relay.node, why, took_ms, "relayed request to the store failed");
            }
        }
        None
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
