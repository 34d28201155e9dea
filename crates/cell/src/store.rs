//! The way to the platform's store: directly, or through another process where the store refuses
//! this host or can't be reached from it.
//!
//! Every request that is sent this way changes nothing when it is repeated.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use kspan_adapter::{
    http::{Answer, CallError, Result},
    store::{self, Request},
};
use kspan_model::Millis;
use ntex::client::Client;

use crate::{
    clock::Clock,
    measure,
    message::{Ask, Member, Reply},
    peers::Peers,
};

/// Time for an answer; a slow store takes a quarter of a second.
const TIMEOUT: Duration = Duration::from_millis(900);

/// Time for an answer through another process.
const RELAY_TIMEOUT: Duration = Duration::from_millis(1_000);

/// How long the direct way is left out after it failed.
const DIRECT_PAUSE: Millis = Millis(1_000);

/// Processes that are tried one after the other.
const RELAYS: usize = 3;

/// Connections that are kept to the store.
const CONNECTIONS: usize = 8;

/// The way to the store.
pub(crate) struct Store {
    client: Client,
    addr: String,
    clock: Clock,
    peers: Rc<Peers>,
    members: RefCell<Vec<Member>>,
    /// Member that relayed last.
    relay: Cell<usize>,
    direct_from: Cell<Millis>,
    reachable: Cell<bool>,
}

impl Store {
    /// Creates the way to the store at `addr`.
    pub(crate) async fn new(addr: &str, clock: Clock, peers: Rc<Peers>) -> Self {
        Self {
            client: kspan_adapter::http::client(CONNECTIONS).await,
            addr: addr.to_owned(),
            clock,
            peers,
            members: RefCell::default(),
            relay: Cell::new(0),
            direct_from: Cell::new(Millis::ZERO),
            reachable: Cell::new(true),
        }
    }

    /// Replaces the other processes.
    pub(crate) fn set_members(&self, members: Vec<Member>) {
        *self.members.borrow_mut() = members;
    }

    /// Sends a request on the way that works. `wait` is added to the time for an answer.
    ///
    /// # Errors
    ///
    /// Returns the last failure where no way works.
    pub(crate) async fn send(&self, req: &Request, wait: Duration) -> Result<Answer> {
        let mut failure = CallError::NotSent("the store was out of reach lately".to_owned());
        if self.clock.now() >= self.direct_from.get() {
            match self.send_direct(req, wait).await {
                Ok(answer) if answer.status != 503 && answer.status != 429 => {
                    measure::store_request("direct");
                    self.note_reached(true);
                    return Ok(answer);
                }
                Ok(answer) => failure = CallError::Garbled(format!("status {}", answer.status)),
                Err(err) => failure = err,
            }
            self.direct_from.set(self.clock.now() + DIRECT_PAUSE);
        }
        let relayed = self.send_relayed(req, wait).await;
        measure::store_request(if relayed.is_some() {
            "relayed"
        } else {
            "failed"
        });
        self.note_reached(relayed.is_some());
        relayed.ok_or(failure)
    }

    /// Sends a request from this host only.
    ///
    /// # Errors
    ///
    /// Returns what the failure proves.
    pub(crate) async fn send_direct(&self, req: &Request, wait: Duration) -> Result<Answer> {
        store::send(&self.client, &self.addr, req, TIMEOUT + wait).await
    }

    async fn send_relayed(&self, req: &Request, wait: Duration) -> Option<Answer> {
        let members = self.members.borrow().clone();
        for attempt in 0..RELAYS.min(members.len()) {
            let at = (self.relay.get() + attempt) % members.len();
            let ask = Ask::Store(req.clone());
            let reply = self
                .peers
                .ask(&members[at], ask, RELAY_TIMEOUT + wait)
                .await;
            if let Ok(Reply::Store(Some((status, body)))) = reply
                && status != 503
                && status != 429
            {
                self.relay.set(at);
                return Some(Answer {
                    status,
                    body: body.into(),
                });
            }
        }
        None
    }

    fn note_reached(&self, reached: bool) {
        if self.reachable.replace(reached) == reached {
            return;
        }
        if reached {
            tracing::info!("store regained");
        } else {
            tracing::warn!("store lost: neither this host nor those asked reach it");
        }
    }
}
