//! Messages between the system's processes: their types, encoding and framing.
//!
//! Datagrams carry heartbeats; streams carry everything else. Messages are one-way: a reply is a
//! separate message, which the layer above matches by request id and incarnation.
//!
//! This crate does not check membership; the node drops messages from non-members.

pub mod codec;
pub mod message;
pub mod stream;
