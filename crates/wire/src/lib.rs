//! Messages between the system's processes and their transport.
//!
//! Datagrams carry heartbeats; streams carry everything else. Messages are one-way: an answer is
//! a message of its own, matched by request id and incarnation in the layer above.
//!
//! This crate does not decide who is a member; it is told, and counts and drops what comes from
//! anyone else.

pub mod codec;
pub mod message;
pub mod stream;
