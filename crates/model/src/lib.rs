//! Domain types shared by every crate.
//!
//! These types use no I/O, clock or threads, so that the decisions built on them can be tested
//! with plain values. Wire messages, log records and HTTP bodies are converted to them where they
//! are decoded.
//!
//! Placement, routing and ownership are decided in crates of their own, not in this one.

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
