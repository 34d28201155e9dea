//! Code shared by all processes: settings, threads, the log follower, membership and admin HTTP.
//!
//! The crate is independent of what a router or a scheduler decides. It delivers events to the
//! program, and sends messages and appends records on its behalf.

mod admin;
mod append;
mod appender;
mod bootstrap;
mod event;
mod event_sender;
mod follow;
mod inner;
mod link_faults;
pub mod logging;
mod membership;
mod node;
mod recent_entries;
pub mod ring;
pub mod settings;
mod signals;
mod snapshot_writer;
mod start;
mod sync;
mod wire;

pub use self::{
    append::APPEND_TIMEOUT,
    event::{AppendOutcome, Event, SendOutcome},
    link_faults::LinkFaults,
    node::Node,
    start::{Result, StartError, start},
};
pub use kspan_membership::{GuardState, Liveness};
