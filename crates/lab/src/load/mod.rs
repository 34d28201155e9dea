//! Load generators for requests and jobs.
//!
//! The load is open-loop: arrival times do not depend on response times, so a slow system does
//! not reduce the load.

pub mod balancer;
pub mod jobs;
pub mod requests;
