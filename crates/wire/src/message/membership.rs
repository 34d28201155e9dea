//! Membership messages: heartbeats, indirect pings, joining and leaving.

use kspan_model::{Member, NodeId};
use serde::{Deserialize, Serialize};

use crate::message::relay;

/// A message between node runtimes, which is never delivered to the program on top. All but
/// [`Message::Relay`] are sent as datagrams and fit into one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Heartbeat that requests an acknowledgement.
    Ping(Ping),
    /// Acknowledges a ping: carries the sequence number of the ping and the state of the process
    /// that answers.
    Ack(Ping),
    /// Requests an indirect ping: the receiver pings `target` on the sender's behalf.
    PingRequest {
        /// The process to ping.
        target: NodeId,
        /// The sender's state; its sequence number identifies the reply.
        ping: Ping,
    },
    /// Answers [`Message::PingRequest`]: `target` acknowledged the indirect ping.
    PingRelayed {
        /// The process that was pinged.
        target: NodeId,
        /// Sequence number of the request.
        seq: u64,
    },
    /// Requests admission to the view. The only message that is accepted from non-members.
    Join {
        /// The joining process.
        member: Member,
        /// The sender's state.
        ping: Ping,
    },
    /// Announces that the sender leaves the view permanently.
    Leave,
    /// Requests or carries log entries, on a stream.
    Relay(relay::Message),
}

/// A numbered heartbeat with the sender's state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ping {
    /// Sequence number, chosen by the sender of the ping.
    pub seq: u64,
    /// Highest view number that the sender has seen.
    pub view: u64,
    /// Highest view number that the sender has seen activated.
    pub activated: u64,
    /// Whether the sender's process was paused and has not yet caught up with what it missed.
    pub in_doubt: bool,
    /// Log offset up to which the sender has applied entries.
    pub applied: u64,
    /// Document version in force at the sender.
    pub document: u64,
}
