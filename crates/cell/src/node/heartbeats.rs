//! Heartbeats of the owner, which all processes receive, and of members to the owner.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use tokio::net::UdpSocket;

use super::{Node, PEER_TIMEOUT};
use crate::{
    message::{Heartbeat, PeerRequest},
    peers, telemetry,
};

/// Interval of a member's heartbeats to the owner.
const MEMBER_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_000);

/// Maximum size of a datagram that is read, in bytes.
const MAX_DATAGRAM_BYTES: usize = 16 * 1024;

/// Delay before the next read after one has failed.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(100);

impl Node {
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
                if self.log_limit.allows("heartbeat", self.clock.now()) {
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
        let is_new = self.election.borrow_mut().record_heartbeat(
            self.clock.now(),
            heartbeat.fence,
            &heartbeat.owner,
        );
        if is_new {
            tracing::info!(fence = heartbeat.fence, owner = %heartbeat.owner.node, "new owner known from its heartbeat");
        }
        let newest = self.known_owner().map_or(0, |owner| owner.fence);
        let listed = heartbeat
            .members
            .as_ref()
            .filter(|_| heartbeat.fence == newest);
        if let Some(members) = listed.filter(|members| **members != *self.members.borrow()) {
            self.set_members(members.clone());
        }
    }

    /// Sends heartbeats to the owner, which keep this process in the list of members.
    pub(crate) async fn send_member_heartbeats(self: Rc<Self>) {
        loop {
            let owner = self.known_owner().filter(|_| self.owner_role().is_none());
            if let Some(owner) = owner {
                let req = PeerRequest::MemberHeartbeat(self.local.clone());
                // A failure closes the connection, which the owner's monitor checks.
                let _ = self.peers.request(&owner.member, req, PEER_TIMEOUT).await;
            }
            tokio::time::sleep(MEMBER_HEARTBEAT_INTERVAL).await;
        }
    }

    /// Sends the owner's heartbeat to all other processes.
    pub(crate) async fn send_heartbeat(&self, socket: &UdpSocket, heartbeat: &Heartbeat) {
        let datagram = peers::encode(heartbeat);
        for member in self.other_members() {
            let to = SocketAddr::from((member.address, member.port));
            // A heartbeat that cannot be sent is equivalent to a lost datagram.
            let _ = socket.send_to(&datagram, to).await;
        }
    }
}
