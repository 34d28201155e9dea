//! What the node tells its program, and how it answers.

use std::sync::Arc;

use kspan_contract::protocol::hosts::HostList;
use kspan_fold::State;
use kspan_membership::Liveness;
use kspan_model::{Name, NodeId, View};
use kspan_wire::message::Message;

/// Something that happened. State that is missed because the ring was full is told again;
/// messages are not.
#[derive(Clone, Debug)]
pub enum Event {
    /// A new view is in force.
    View(Arc<View>),
    /// The fold has advanced.
    Fold(Arc<State>),
    /// The platform's host list has changed.
    Hosts(Arc<HostList>),
    /// Another member sent a message.
    Message {
        /// Who sent it.
        from: NodeId,
        /// What it says.
        message: Message,
    },
    /// The belief about another member has changed.
    Liveness {
        /// The member.
        node: NodeId,
        /// The belief.
        state: Liveness,
    },
    /// A planned stop was asked for.
    Stop,
}

/// What became of a message to another member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sent {
    /// It waits to be sent; it may still be lost.
    Queued,
    /// It was dropped because the queue is full.
    Full,
    /// It was dropped because the receiver is not in the view.
    NotMember,
}

/// What became of an append.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Append {
    /// The record is in the log and the fold accepted it.
    Accepted {
        /// Its offset.
        offset: u64,
    },
    /// The log or the fold refused the record.
    Refused {
        /// Why.
        reason: Name,
    },
    /// The record was certainly not appended.
    Unavailable,
    /// The answer was lost and the log could not be read since: the record may come into force.
    Unresolved,
}
