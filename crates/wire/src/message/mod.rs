//! Typed messages.

pub mod membership;
pub mod relay;
pub mod routing;
pub mod tasks;

use kspan_model::{Name, NodeId};
use serde::{Deserialize, Serialize};

/// Version of the messages. A message of another version changes nothing.
pub const PROTOCOL_VERSION: u16 = 1;

/// Largest encoded message on a stream, in bytes.
pub const MAX_FRAME_BYTES: usize = 1024 * 1024;

/// Largest encoded message in a datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;

/// A message with its sender.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// Protocol version of the sender.
    pub version: u16,
    /// Cell of the sender.
    pub cell: Name,
    /// The sender.
    pub from: NodeId,
    /// The life that the message is meant for.
    pub to: NodeId,
    /// The message.
    pub message: Message,
}

/// Any message between processes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Heartbeats, probes and views.
    Membership(membership::Message),
    /// Runner credits and idempotency keys.
    Routing(routing::Message),
    /// Runner tables, submissions and questions about jobs.
    Tasks(tasks::Message),
}
