//! What every process shares: settings, threads, the log follower, membership and admin HTTP.
//!
//! This crate does not know what a router or a scheduler decides; it brings them events and
//! carries out what they ask.

mod event;
mod inner;
mod links;
mod node;
pub mod ring;
pub mod settings;
mod slot;

pub use self::{
    event::{Append, Event, Sent},
    links::Links,
    node::{Node, Result, StartError, start},
};
pub use kspan_membership::{GuardState, Liveness};
