//! Request and response bodies of the platform's HTTP protocols, as published.
//!
//! Only this crate and the lab's simulated platform services depend on their format, so a change
//! of the log or worker interface is confined to them.

pub mod hosts;
pub mod log;
pub mod runner;
pub mod worker;
