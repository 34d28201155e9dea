//! Cluster membership without I/O: failure detection, view proposals, ownership and view guards.
//!
//! Time is an argument and actions are return values, so that tests can run any schedule of
//! messages, pauses and losses. Sockets and the log belong to the node.
//!
//! This crate implements no consensus: the log orders views, and workers compare fencing tokens.

pub mod detector;
pub mod guard;
pub mod liveness;
pub mod ownership;
pub mod proposer;

pub use self::{guard::GuardState, liveness::Liveness};
