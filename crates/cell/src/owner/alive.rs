//! The owner's signs of life: beats to all processes, and appends to the topic of claims, which
//! hold only as long as nobody else has claimed.

use std::{rc::Rc, time::Duration};

use kspan_adapter::store::{self as log, Append, Topic};
use tokio::net::UdpSocket;

use super::Owner;
use crate::{
    node::{ALIVE_KEY, ClaimRecord},
    peers,
};

/// Time between two signs of life.
const INTERVAL: Duration = Duration::from_millis(250);

impl Owner {
    /// Shows that the owner lives until its role ends.
    pub(super) async fn stay_alive(self: Rc<Self>) {
        let socket = match UdpSocket::bind((self.node.cfg.address, 0)).await {
            Ok(socket) => socket,
            Err(err) => {
                tracing::error!(%err, "no socket for beats");
                return self.step_down("no socket for beats");
            }
        };
        ntex::rt::spawn(Rc::clone(&self).mark_claims());
        while self.alive.get() {
            self.review_members();
            self.node.beat(&socket, &self.next_beat()).await;
            tokio::time::sleep(INTERVAL).await;
        }
    }

    /// Moves the topic of claims, and learns from it whether another has claimed.
    async fn mark_claims(self: Rc<Self>) {
        while self.alive.get() {
            tokio::time::sleep(INTERVAL).await;
            if self.alive.get() {
                self.mark_claims_once().await;
            }
        }
    }

    async fn mark_claims_once(self: &Rc<Self>) {
        let record = ClaimRecord {
            owner: self.node.me.clone(),
            members: self.node.members(),
        };
        let end = self.claims_end.get();
        let value = peers::encode(&record);
        let req = log::append_at(Topic::Claims, end, ALIVE_KEY, &value);
        let (asked, moment) = (self.now(), self.node.clock.moment());
        let answer = self.node.store.send(&req, Duration::ZERO).await;
        match answer.and_then(|answer| log::parse_append(&answer)) {
            Ok(Append::Done { offset }) => {
                self.claims_end.set(offset + 1);
                self.confirm(asked);
                self.last_moment.set(moment);
            }
            Ok(Append::Moved) => self.look_at_claims().await,
            Ok(outcome) => tracing::warn!(?outcome, "sign of life refused"),
            Err(err) => {
                if self.node.budget.allows("alive", self.now()) {
                    tracing::warn!(%err, "sign of life not answered");
                }
            }
        }
    }

    /// Finds out who moved the topic: another owner, or an append of our own whose answer was
    /// lost.
    async fn look_at_claims(&self) {
        let (asked, moment) = (self.now(), self.node.clock.moment());
        let Ok(claims) = self.node.read_claims().await else {
            return;
        };
        let newest = claims.owner.map_or(0, |owner| owner.fence);
        if newest > self.fence {
            return self.step_down("another owner has claimed");
        }
        self.claims_end.set(claims.end);
        self.confirm(asked);
        self.last_moment.set(moment);
    }
}
