//! Sends the owner's heartbeat to all other processes.

use std::net::SocketAddr;

use tokio::net::UdpSocket;

use super::Node;
use crate::{message::Heartbeat, peers};

impl Node {
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
