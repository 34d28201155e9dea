//! Checks accepted job submissions.

use std::collections::BTreeMap;

use kspan_contract::protocol::worker::TaskState;
use kspan_model::{JobId, JobResult};

use super::{Limits, Promise, Violation, violation};
use crate::record::{JobCall, Records, TaskRun};

pub(super) fn check(records: &Records, limits: &Limits, violations: &mut Vec<Violation>) {
    let mut runs: BTreeMap<JobId, Vec<&TaskRun>> = BTreeMap::new();
    for run in &records.tasks {
        runs.entry(run.task.job).or_default().push(run);
    }
    for call in &records.jobs {
        let Some(job) = call.job else { continue };
        let job_runs = runs.get(&job).map_or(&[][..], Vec::as_slice);
        check_outcome(call, limits, violations);
        check_runs(call, job_runs, violations);
    }
}

fn check_outcome(call: &JobCall, limits: &Limits, violations: &mut Vec<Violation>) {
    let Some(accepted) = call.accepted else {
        return;
    };
    let overdue = limits.until.since(accepted) > limits.job;
    if call.result.is_none() && overdue {
        let evidence = format!(
            "{} was accepted at {accepted} and has no result",
            describe(call)
        );
        violations.push(violation(Promise::AcceptedWork, evidence));
    }
}

fn check_runs(call: &JobCall, job_runs: &[&TaskRun], violations: &mut Vec<Violation>) {
    let mut succeeded: BTreeMap<u32, u32> = BTreeMap::new();
    let has_succeeded = |run: &&&TaskRun| run.end == Some(TaskState::Succeeded);
    for run in job_runs.iter().filter(has_succeeded) {
        *succeeded.entry(run.task.index).or_default() += 1;
    }
    for (index, times) in succeeded.iter().filter(|(_, times)| **times > 1) {
        let evidence = format!("task {index} of {} succeeded {times} times", describe(call));
        violations.push(violation(Promise::AcceptedWork, evidence));
    }
    let evidence = match call.result {
        Some(JobResult::Succeeded) if succeeded.len() < call.tasks as usize => format!(
            "{} was reported as succeeded, but only {} of {} tasks succeeded",
            describe(call),
            succeeded.len(),
            call.tasks
        ),
        Some(JobResult::CancelledNotRun) if !job_runs.is_empty() => format!(
            "{} was reported as cancelled without a run, but {} tasks were started",
            describe(call),
            job_runs.len()
        ),
        _ => return,
    };
    violations.push(violation(Promise::AcceptedWork, evidence));
}

fn describe(call: &JobCall) -> String {
    match call.job {
        Some(job) => format!("job {job} ({}, key {})", call.workload, call.key),
        None => format!("submission {} of {}", call.key, call.workload),
    }
}
