//! Checks of rule LOST for tasks that last, and of rule TWICE.

use crate::runner::{Run, Runs};

/// Time after the acceptance or the last run from which a task that lasts has to run again.
const GRACE_MS: u64 = 6_000;

/// Time for which it may still be missing.
const MISSING_MS: u64 = 3_000;

/// Calm time before that.
const CALM_MS: u64 = 4_000;

/// A task that lasts.
pub struct Lasting {
    pub task: String,
    pub accepted: u64,
}

/// Returns the tasks that had no run for too long, where nothing was disrupted but at `disruptions`, and
/// the runs were watched until `end`.
pub fn missing(tasks: &[Lasting], runs: &Runs, disruptions: &[u64], end: u64) -> Vec<String> {
    let runs = runs.lock().expect("no handler panics");
    let mut broken = Vec::new();
    for lasting in tasks {
        let mut of_task: Vec<&Run> = runs.iter().filter(|run| run.task == lasting.task).collect();
        of_task.sort_by_key(|run| run.began);
        let mut free_since = Some(lasting.accepted);
        for run in of_task.iter().map(|run| Some(*run)).chain([None]) {
            let until = run.map_or(end, |run| run.began);
            if let Some(since) = free_since {
                broken.extend(gap(&lasting.task, since, until, disruptions));
            }
            free_since = run.and_then(|run| run.ended);
        }
    }
    broken
}

fn gap(task: &str, since: u64, until: u64, disruptions: &[u64]) -> Option<String> {
    let mut from = since + GRACE_MS;
    // Each disruption within the window or the calm time before it moves the window.
    for at in disruptions {
        if *at + CALM_MS > from && *at < from + MISSING_MS {
            from = at + CALM_MS;
        }
    }
    (until >= from + MISSING_MS).then(|| {
        format!(
            "LOST: {task} is to last and has no run from {:.3} s to {:.3} s; calm from {:.3} s on",
            since as f64 / 1_000.0,
            until as f64 / 1_000.0,
            (from - CALM_MS) as f64 / 1_000.0
        )
    })
}

/// Returns the tasks that had two runs at the same time, where the runs were watched until `end`.
pub fn twice(runs: &Runs, end: u64) -> Vec<String> {
    let runs = runs.lock().expect("no handler panics");
    let mut broken = Vec::new();
    for (at, one) in runs.iter().enumerate() {
        for other in runs[at + 1..].iter().filter(|other| other.task == one.task) {
            let from = one.began.max(other.began);
            let until = one.ended.unwrap_or(end).min(other.ended.unwrap_or(end));
            if from < until {
                broken.push(format!(
                    "TWICE: {} has run {} on {} and run {} on {} for {} ms at the same time",
                    one.task,
                    one.run,
                    one.runner,
                    other.run,
                    other.runner,
                    until - from
                ));
            }
        }
    }
    broken
}
