//! Domain types shared by every crate.
//!
//! These types carry no I/O, no clock and no threads, so that decisions built on them can be
//! tested with plain values. Wire messages, log records and HTTP bodies convert to them at the
//! border.
//!
//! This crate does not decide anything: placement, routing and ownership live in their own
//! crates.

pub mod document;
mod fence;
mod id;
mod job;
mod name;
mod outcome;
mod priority;
mod resources;
mod site;
mod time;
mod view;

pub use crate::{
    fence::Fence,
    id::{Incarnation, JobId, NodeId, RequestId, TaskId, parse_hex_u128},
    job::{JobEnd, JobResult, Submission},
    name::Name,
    outcome::Outcome,
    priority::Priority,
    resources::Resources,
    site::Site,
    time::{Millis, UnixMillis},
    view::{Member, Role, View},
};
