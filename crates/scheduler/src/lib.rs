//! The task scheduler.
//!
//! Each scheduler owns some shards: the workers of a data centre. Its decisions are plain state
//! machines without I/O, in [`core`] and [`shard`]; the program around them brings events and
//! carries out exchanges, appends and messages. Each duty has a thread: decisions, exchanges with
//! workers, callers' HTTP, and those of the node.

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
