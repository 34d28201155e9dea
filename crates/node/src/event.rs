//! Events that the node delivers to the program, and outcomes of the program's requests.

use std::sync::Arc;

use kspan_contract::protocol::hosts::HostList;
use kspan_fold::State;
use kspan_membership::Liveness;
use kspan_model::{Name, NodeId, View};
use kspan_wire::message::Message;

/// Event delivered to the program. An event about changed state that did not fit into the ring is
/// delivered later; a message that did not fit is dropped.
#[derive(Clone, Debug)]
pub enum Event {
    /// A new view is in force.
    ViewChanged(Arc<View>),
    /// The state has advanced to a later offset of the log.
    StateChanged(Arc<State>),
    /// The platform's host list has changed.
    HostsChanged(Arc<HostList>),
    /// A message from another member.
    Message {
        /// The sender.
        from: NodeId,
        /// The message.
        message: Message,
    },
    /// The liveness of another member has changed.
    LivenessChanged {
        /// The member.
        node: NodeId,
        /// Its liveness according to this process.
        state: Liveness,
    },
    /// A graceful shutdown was requested.
    StopRequested,
}

/// Outcome of sending a message to another member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    /// The message is queued. It may still be lost.
    Queued,
    /// The message was dropped because the queue is full.
    QueueFull,
    /// The message was dropped because the receiver is not in the view.
    NotMember,
}

/// Outcome of an append.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The record is in the log and in force.
    Accepted {
        /// Offset of the record.
        offset: u64,
    },
    /// The record was refused, by the log or when it was applied.
    Refused {
        /// Reason of the refusal.
        reason: Name,
    },
    /// The record was definitely not appended.
    Unavailable,
    /// In doubt: the record is not known to be refused or in force when the append times out,
    /// because the answer was lost or the log could not be read. It may still come into force.
    Unresolved,
}
