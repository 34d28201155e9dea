//! Clients of the platform: log service, host list, workers and runners.
//!
//! This is the only crate that depends on the platform's protocols. It retries nothing: its
//! callers decide whether an operation may be repeated.

mod call;
pub mod error;
pub mod hosts;
mod http;
pub mod link;
pub mod log;
pub mod protocol;
pub mod runner;
pub mod worker;
