//! Bodies of the platform's HTTP protocols, as published.
//!
//! Only this crate and the stand-ins know them. Another log or worker interface changes nothing
//! else.

pub mod hosts;
pub mod log;
pub mod runner;
pub mod worker;
