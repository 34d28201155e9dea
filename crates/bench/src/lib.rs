//! Benchmarks of the placement and routing decisions, with baselines and targets.
//!
//! Each figure is compared with a target that is fixed in the code and is not adjusted to
//! measurements. Simple baselines run next to the real policy, so that a figure is also given
//! as a ratio within one run. Only decisions are measured: no processes are started and no sockets
//! are opened.

mod baseline;
mod chart;
mod cost;
mod figure;
mod fixture;
mod fluid;
mod placement;
mod replay;
pub mod routing;
mod run;
mod trace;

pub use crate::{
    figure::{Comparison, Figure},
    run::{BenchOptions, Error, Report, Result, main_with, run},
};
