//! Scheduling of jobs that consist of steps: readiness, placement, durable state, and recovery by a
//! new owner.
//!
//! A cell has one owner at a time, which makes all decisions. The engine is a deterministic state
//! machine: its decisions depend only on the inputs and timestamps that its caller passes in. Tests
//! can therefore replay loads and failures without sockets. The crate does no I/O and reads no
//! clock; `kspan-cell` provides both.

pub mod config;
pub mod engine;
pub mod id;
pub mod record;
pub mod runner;
pub mod spec;
pub mod team;

pub use engine::Engine;
