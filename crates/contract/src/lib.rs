//! Clients of the platform: log service, host list, workers and runners.
//!
//! This is the only crate that knows the platform's protocols. It retries nothing: whether an
//! operation may be repeated is decided by its callers.

mod call;
pub mod error;
pub mod hosts;
mod http;
pub mod link;
pub mod log;
pub mod protocol;
pub mod runner;
pub mod worker;
