//! The task scheduler.
//!
//! Each scheduler owns a set of shards; a shard is the workers of one data centre. Decisions are
//! made by deterministic state machines without I/O, in [`core`] and [`shard`]. The program around
//! them delivers events and performs exchanges, log appends and message sends. Decisions, worker
//! exchanges, the callers' HTTP API and the node each run on threads of their own.

pub mod commands;
mod commit;
pub mod conversion;
pub mod core;
mod decision_loop;
pub mod distribution;
mod http;
pub mod lease;
pub mod ownership;
mod program;
mod published;
pub mod shard;
pub mod shard_selection;
pub mod specs;
pub mod timing;
pub mod worker;
mod worker_io;

pub use self::program::main;
