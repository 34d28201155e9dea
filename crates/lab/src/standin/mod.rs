//! Stand-ins for the platform: log, host list, workers and runners.
//!
//! Each speaks the protocol of `kspan_contract::protocol` and keeps its own record. None of them
//! decides anything for the system.

pub mod hosts;
pub mod log;
pub mod runner;
pub mod worker;
