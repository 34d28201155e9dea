//! Membership messages.

use kspan_model::NodeId;
use serde::{Deserialize, Serialize};

/// A membership message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Tells that the sender is alive and asks for an acknowledgement.
    Ping(Ping),
    /// Acknowledges a ping.
    Ack(Ping),
    /// Asks the receiver to ping `target` on the sender's behalf.
    PingRequest {
        /// The process to ping.
        target: NodeId,
        /// The ping to acknowledge.
        ping: Ping,
    },
    /// Asks the receiver to confirm that it knows no higher view.
    ConfirmView {
        /// The sender's view.
        view: u64,
        /// Matches the answer.
        seq: u64,
    },
    /// Answers [`Message::ConfirmView`]: the receiver's own view.
    ViewIs {
        /// The receiver's highest view.
        view: u64,
        /// The question's number.
        seq: u64,
    },
}

/// A numbered ping.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ping {
    /// Number chosen by the sender.
    pub seq: u64,
    /// View of the sender.
    pub view: u64,
    /// Log offset that the sender has applied.
    pub applied: u64,
    /// Document version in force at the sender.
    pub document: u64,
}
