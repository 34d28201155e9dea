//! Stand-ins for the platform: log, host list, workers and runners.
//!
//! Each implements the protocol of `kspan_contract::protocol` and records what it observes. None
//! of them makes decisions for the system.

pub mod hosts;
pub mod log;
pub mod runner;
pub mod worker;
