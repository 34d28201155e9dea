//! Accepted submissions.

use std::collections::BTreeMap;

use kspan_contract::protocol::worker::TaskState;
use kspan_model::{JobId, JobResult};

use super::{Limits, Promise, Violation, violation};
use crate::record::{JobCall, Records, TaskRun};

pub(super) fn check(records: &Records, limits: &Limits, found: &mut Vec<Violation>) {
    let mut runs: BTreeMap<JobId, Vec<&TaskRun>> = BTreeMap::new();
    for run in &records.tasks {
        runs.entry(run.task.job).or_default().push(run);
    }
    for call in &records.jobs {
        let Some(job) = call.job else { continue };
        let own = runs.get(&job).map_or(&[][..], Vec::as_slice);
        check_outcome(call, limits, found);
        check_runs(call, own, found);
    }
}

fn check_outcome(call: &JobCall, limits: &Limits, found: &mut Vec<Violation>) {
    let Some(accepted) = call.accepted else {
        return;
    };
    let overdue = limits.until.since(accepted) > limits.job;
    if call.result.is_none() && overdue {
        let evidence = format!(
            "{} was accepted at {accepted} and has no outcome",
            describe(call)
        );
        found.push(violation(Promise::AcceptedWork, evidence));
    }
}

fn check_runs(call: &JobCall, own: &[&TaskRun], found: &mut Vec<Violation>) {
    let mut succeeded: BTreeMap<u32, u32> = BTreeMap::new();
    let well = |run: &&&TaskRun| run.end == Some(TaskState::Succeeded);
    for run in own.iter().filter(well) {
        *succeeded.entry(run.task.index).or_default() += 1;
    }
    for (index, times) in succeeded.iter().filter(|(_, times)| **times > 1) {
        let evidence = format!(
            "task {index} of {} ran to its end {times} times",
            describe(call)
        );
        found.push(violation(Promise::AcceptedWork, evidence));
    }
    let evidence = match call.result {
        Some(JobResult::Succeeded) if succeeded.len() < call.tasks as usize => format!(
            "{} is told as succeeded, but only {} of {} tasks ran to their end",
            describe(call),
            succeeded.len(),
            call.tasks
        ),
        Some(JobResult::CancelledNotRun) if !own.is_empty() => format!(
            "{} is told as cancelled without a run, but {} tasks were started",
            describe(call),
            own.len()
        ),
        _ => return,
    };
    found.push(violation(Promise::AcceptedWork, evidence));
}

fn describe(call: &JobCall) -> String {
    match call.job {
        Some(job) => format!("job {job} ({}, key {})", call.workload, call.key),
        None => format!("submission {} of {}", call.key, call.workload),
    }
}
