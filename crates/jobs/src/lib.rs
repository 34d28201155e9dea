//! Jobs made of steps: what is due, where it runs, what is durable, and how an owner recovers it.
//!
//! One owner at a time decides for a cell. Everything here is a plain function of what the owner
//! was told and of the time it was told at, so that tests replay loads and failures without
//! sockets. This crate sends nothing and keeps no clock; see `kspan-cell` for the program.

pub mod config;
pub mod engine;
pub mod id;
pub mod record;
pub mod runner;
pub mod spec;

pub use engine::Engine;
