//! The owner's heartbeats: datagrams to all processes, and conditional appends to the topic of
//! claims, which succeed only while no other process has claimed the cell.

use std::{rc::Rc, time::Duration};

use kspan_adapter::store::{self, AppendOutcome, Topic};
use tokio::net::UdpSocket;

use super::Owner;
use crate::node::{ClaimRecord, HEARTBEAT_KEY};

/// Interval of heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

impl Owner {
    /// Sends and appends heartbeats until the role ends.
    pub(super) async fn send_heartbeats(self: Rc<Self>) {
        let socket = match UdpSocket::bind((self.node.cfg.address, 0)).await {
            Ok(socket) => socket,
            Err(err) => {
                tracing::error!(%err, "heartbeat socket could not be bound; ownership ends");
                return self.step_down("heartbeat socket could not be bound");
            }
        };
        ntex::rt::spawn(Rc::clone(&self).append_heartbeats());
        while self.is_active.get() {
            self.update_members();
            self.node
                .send_heartbeat(&socket, &self.next_heartbeat())
                .await;
            tokio::time::sleep(HEARTBEAT_INTERVAL).await;
        }
    }

    /// Appends heartbeats to the topic of claims until the role ends. A refused append shows that
    /// another process may have claimed the cell.
    async fn append_heartbeats(self: Rc<Self>) {
        while self.is_active.get() {
            tokio::time::sleep(HEARTBEAT_INTERVAL).await;
            if self.is_active.get() {
                self.append_heartbeat().await;
            }
        }
    }

    async fn append_heartbeat(self: &Rc<Self>) {
        let others = self.node.other_members();
        let record = ClaimRecord {
            owner: self.node.local.clone(),
            members: self.node.members(),
        };
        let end = self.claims_end.get();
        let value = record.encode();
        let req = store::conditional_append_request(Topic::Claims, end, HEARTBEAT_KEY, &value);
        let sent = self.node.clock.reading();
        self.witnesses.borrow_mut().record_sent(&others);
        let response = self.node.store.send(&req).await;
        match response.and_then(|response| store::parse_append(&response)) {
            Ok(AppendOutcome::Done { offset }) => {
                self.claims_end.set(offset.saturating_add(1));
                self.witnesses.borrow_mut().record_stored(others);
                self.confirm(sent);
            }
            Ok(AppendOutcome::Moved) => self.check_for_newer_claim().await,
            Ok(outcome) => tracing::warn!(?outcome, "heartbeat refused by the store"),
            Err(err) => {
                if self.node.log_limit.allows("alive", self.now()) {
                    tracing::warn!(%err, "heartbeat to the store not answered");
                }
            }
        }
    }

    /// Reads the topic of claims after its end has changed, and ends the role if another owner has
    /// claimed. The change may also be an append of this owner whose response was lost.
    async fn check_for_newer_claim(&self) {
        let sent = self.node.clock.reading();
        let Ok(claims) = self.node.read_claims().await else {
            return;
        };
        let newest = claims.owner.map_or(0, |owner| owner.fence);
        if newest > self.fence {
            return self.step_down("a newer owner has claimed the cell");
        }
        self.claims_end.set(claims.end);
        self.confirm(sent);
    }
}
