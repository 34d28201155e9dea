//! Load: callers and submitters.
//!
//! The load is open: when a request is sent does not depend on how long others take, so a slow
//! system can't slow down what is asked of it.

pub mod balancer;
pub mod jobs;
pub mod requests;
