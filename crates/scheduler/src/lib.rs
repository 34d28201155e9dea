//! The task scheduler.
//!
//! Each scheduler owns some shards: the workers of a data centre. Its decisions are plain state
//! machines without I/O, in [`core`] and [`shard`]; the program around them brings events and
//! carries out exchanges, appends and messages. Each duty has a thread: decisions, exchanges with
//! workers, callers' HTTP, and those of the node.

mod board;
pub mod border;
pub mod choice;
pub mod commands;
mod commit;
pub mod core;
pub mod deal;
mod decisions;
mod http;
pub mod lease;
pub mod ownership;
mod program;
pub mod shard;
pub mod specs;
pub mod times;
pub mod worker;
mod worker_io;

pub use self::program::main;
