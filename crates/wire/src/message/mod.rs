//! Message types, grouped by the component that handles them.

pub mod membership;
pub mod relay;
pub mod routing;
pub mod tasks;

use kspan_model::{Name, NodeId};
use serde::{Deserialize, Serialize};

/// Version of the message format. Messages of any other version are dropped.
pub const PROTOCOL_VERSION: u16 = 1;

/// Maximum size of an encoded message on a stream, in bytes. A relayed answer of a store, which has up to
/// 4 MiB, fits.
pub const MAX_FRAME_BYTES: usize = 5 * 1024 * 1024;

/// Maximum size of an encoded message in a datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;

/// A message with its sender and addressee.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// Protocol version of the sender.
    pub version: u16,
    /// Cell of the sender.
    pub cell: Name,
    /// The sender.
    pub from: NodeId,
    /// The receiver, including its incarnation.
    pub to: NodeId,
    /// The message.
    pub message: Message,
}

/// Any message between two processes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Heartbeats, indirect pings, joins and log relay.
    Membership(membership::Message),
    /// Slot credits and claims on idempotency keys.
    Routing(routing::Message),
    /// Runner tables, shard summaries and status queries.
    Tasks(tasks::Message),
}
