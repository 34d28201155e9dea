//! Heartbeats, views, ownership and key homes, as decisions without I/O.
//!
//! Time comes in as an argument and what is to be done comes out as a value, so that every
//! schedule of messages, pauses and losses can be tried in a test. Sockets and the log belong to
//! the node.
//!
//! This crate agrees on nothing by itself: the log orders views, workers compare fences.

pub mod detector;
pub mod guard;
pub mod liveness;
pub mod ownership;
pub mod proposer;

pub use self::{guard::GuardState, liveness::Liveness};
