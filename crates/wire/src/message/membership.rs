//! Membership messages.

use kspan_model::{Member, NodeId};
use serde::{Deserialize, Serialize};

use crate::message::relay;

/// A message of the node itself; programs never see one. All but [`Message::Relay`] travel in
/// datagrams and fit in one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Tells that the sender is alive and asks for an acknowledgement.
    Ping(Ping),
    /// Acknowledges a ping, under the number of the ping and with the receiver's own standing.
    Ack(Ping),
    /// Asks the receiver to ping `target` on the sender's behalf.
    PingRequest {
        /// The process to ping.
        target: NodeId,
        /// The sender's standing; its number matches the answer.
        ping: Ping,
    },
    /// Answers [`Message::PingRequest`]: `target` acknowledged the receiver's ping.
    PingRelayed {
        /// The process that was pinged.
        target: NodeId,
        /// The request's number.
        seq: u64,
    },
    /// Asks to be taken into the view. The only message that non-members may send.
    Join {
        /// The process that wants to join.
        member: Member,
        /// The sender's standing.
        ping: Ping,
    },
    /// Tells that the sender is leaving the view for good.
    Leave,
    /// Asks for log entries or carries them, on a stream.
    Relay(relay::Message),
}

/// A numbered heartbeat with the sender's standing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ping {
    /// Number chosen by the sender of the ping.
    pub seq: u64,
    /// Highest view that the sender knows.
    pub view: u64,
    /// Highest view that the sender knows to be active.
    pub activated: u64,
    /// Whether the sender was paused and does not yet know what it missed.
    pub in_doubt: bool,
    /// Log offset that the sender has applied.
    pub applied: u64,
    /// Document version in force at the sender.
    pub document: u64,
}
