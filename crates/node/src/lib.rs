//! What every process shares: settings, threads, the log follower, membership and admin HTTP.
//!
//! This crate does not know what a router or a scheduler decides; it brings them events and
//! carries out what they ask.

pub mod settings;
