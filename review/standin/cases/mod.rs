//! The cases by name.

mod dark_runner;
mod large_job;
mod late_start;
mod many_ends;
mod pending_count;

use std::path::Path;

/// Plays a case, with or without its disruption, and returns the breaks of its rule.
pub type Case = fn(bool, &Path) -> Vec<String>;

pub fn find(name: &str) -> Option<Case> {
    Some(match name {
        "many-ends" => many_ends::play,
        "dark-runner" => dark_runner::play,
        "large-job" => large_job::play,
        "late-start" => late_start::play,
        "pending-count" => pending_count::play,
        _ => return None,
    })
}
