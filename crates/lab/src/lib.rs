//! Stand-ins for the platform, load, faults, checker and reports.
//!
//! The lab starts the real programs against small stand-ins for the platform, puts them under
//! load, injects faults, and checks every promise against the stand-ins' own records. It is a
//! test tool, not a cluster simulator: it has no virtual network and no second scheduler.

mod args;
pub mod cell;
pub mod check;
pub mod clock;
pub mod error;
pub mod experiment;
pub mod fault;
pub mod http;
pub mod load;
pub mod process;
mod program;
pub mod record;
pub mod report;
pub mod sample;
pub mod slopes;
pub mod standin;
pub mod testbed;
pub mod token;

pub use self::program::main;
