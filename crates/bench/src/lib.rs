//! Benchmarks of the decisions, with baselines and targets.
//!
//! Each figure is held against a target that stands in the code and never follows a measurement;
//! small baselines run beside the real policy, so that a figure is also a ratio within one run.
//! Only decisions are measured here, without processes or sockets.

mod baseline;
mod chart;
mod cost;
mod figure;
mod filled;
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
