//! The cases by name.

mod dark_runner;
mod large_job;
mod many_ends;
mod paused_runners;
mod pending_count;

use std::path::Path;

/// Plays a case, with or without its disruption, and returns the breaks of its rule.
pub type Case = fn(bool, &Path) -> Vec<String>;

pub fn find(name: &str) -> Option<Case> {
    Some(match name {
        "many-ends" => many_ends::play,
        "dark-runner" => dark_runner::play,
        "large-job" => large_job::play,
        "paused-runners" => paused_runners::play,
        "pending-count" => pending_count::play,
        _ => return None,
    })
}
