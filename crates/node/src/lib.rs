//! What every process shares: settings, threads, the log follower, membership and admin HTTP.
//!
//! This crate does not know what a router or a scheduler decides; it brings them events and
//! carries out what they ask.

mod admin;
mod append;
mod event;
mod follow;
mod found;
mod heartbeat;
mod inner;
mod links;
pub mod logging;
mod node;
mod notices;
mod recent;
mod retention;
pub mod ring;
pub mod settings;
mod signals;
mod slot;
mod start;
mod wire;

pub use self::{
    append::APPEND_DEADLINE,
    event::{AppendOutcome, Event, SendOutcome},
    links::LinkFaults,
    node::Node,
    start::{Result, StartError, start},
};
pub use kspan_membership::{GuardState, Liveness};
