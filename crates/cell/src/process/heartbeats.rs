//! Receives the owner's heartbeats, and sends the member's own to it.

use std::{rc::Rc, time::Duration};

use tokio::net::UdpSocket;

use super::Process;
use crate::{
    message::{Heartbeat, PeerRequest},
    node::PEER_TIMEOUT,
    peers, telemetry,
};

/// Interval of a member's heartbeats to the owner.
const MEMBER_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_000);

/// Maximum size of a datagram that is read, in bytes.
const MAX_DATAGRAM_BYTES: usize = 16 * 1024;

/// Delay before the next read after one has failed.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(100);

impl Process {
    /// Receives the owner's heartbeats until the process exits.
    pub(crate) async fn receive_heartbeats(self: Rc<Self>, socket: Rc<UdpSocket>) {
        let mut buf = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let Ok((length, _)) = socket.recv_from(&mut buf).await else {
                tokio::time::sleep(RECEIVE_RETRY_DELAY).await;
                continue;
            };
            let Some(heartbeat) = peers::decode::<Heartbeat>(&buf[..length]) else {
                telemetry::record_malformed("heartbeat");
                let now = self.node.clock.now();
                if self.node.log_limit.allows("heartbeat", now) {
                    tracing::warn!(length, "malformed heartbeat ignored");
                }
                continue;
            };
            self.handle_heartbeat(&heartbeat);
        }
    }

    fn handle_heartbeat(&self, heartbeat: &Heartbeat) {
        if let Some(role) = self.owner_role() {
            if heartbeat.fence > role.fence() {
                role.step_down("heartbeat of a newer owner received");
            } else {
                return;
            }
        }
        let is_new = self.node.election.borrow_mut().record_heartbeat(
            self.node.clock.now(),
            heartbeat.fence,
            &heartbeat.owner,
        );
        if is_new {
            tracing::info!(fence = heartbeat.fence, owner = %heartbeat.owner.node, "new owner known from its heartbeat");
        }
        let newest = self.node.known_owner().map_or(0, |owner| owner.fence);
        let listed = heartbeat
            .members
            .as_ref()
            .filter(|_| heartbeat.fence == newest);
        if let Some(members) = listed.filter(|members| **members != self.node.members()) {
            self.node.set_members(members.clone());
        }
    }

    /// Sends heartbeats to the owner, which keep this process in the list of members.
    pub(crate) async fn send_member_heartbeats(self: Rc<Self>) {
        loop {
            let owner = self
                .node
                .known_owner()
                .filter(|_| self.owner_role().is_none());
            if let Some(owner) = owner {
                let req = PeerRequest::MemberHeartbeat(self.node.local.clone());
                // A failure closes the connection, which the owner's monitor checks.
                let _ = self
                    .node
                    .peers
                    .request(&owner.member, req, PEER_TIMEOUT)
                    .await;
            }
            tokio::time::sleep(MEMBER_HEARTBEAT_INTERVAL).await;
        }
    }
}
