//! Checks leaving upstreams and graceful shutdowns.

use kspan_contract::protocol::worker::TaskState;
use kspan_model::TaskId;

use super::{Limits, Promise, Violation, violation};
use crate::{
    clock::Micros,
    record::{Answer, EventKind, Records},
};

pub(super) fn check(records: &Records, limits: &Limits, violations: &mut Vec<Violation>) {
    for event in &records.events {
        match &event.kind {
            EventKind::Leaving { task } => {
                check_leaving(records, *task, event.at, limits, violations)
            }
            EventKind::PlannedStop { process } => {
                check_planned_stop(records, process, event.at, violations);
            }
            _ => {}
        }
    }
    check_stopped_runners(records, violations);
}

fn check_leaving(
    records: &Records,
    task: TaskId,
    since: Micros,
    limits: &Limits,
    violations: &mut Vec<Violation>,
) {
    let latest_start = Micros(since.0 + limits.leaving.0);
    let late_executions = records
        .executions
        .iter()
        .filter(|run| run.task == task && run.started > latest_start);
    let late_executions: Vec<_> = late_executions.collect();
    if let Some(first) = late_executions.first() {
        let evidence = format!(
            "runner {task} was leaving since {since} and received {} new requests more than {} later, \
             the first at {}",
            late_executions.len(),
            limits.leaving,
            first.started
        );
        violations.push(violation(Promise::Leaving, evidence));
    }
}

fn check_planned_stop(
    records: &Records,
    process: &str,
    since: Micros,
    violations: &mut Vec<Violation>,
) {
    let exited = records.events.iter().find(|event| {
        event.at >= since
            && matches!(&event.kind, EventKind::Exited { process: name } if name.as_str() == process)
    });
    let until = exited.map_or(Micros(u64::MAX), |event| event.at);
    let sends = records.calls.iter().flat_map(|call| &call.sends);
    let aborted = sends.filter(|send| {
        send.to.as_str() == process
            && send.answer == Answer::Lost
            && send.sent <= until
            && send.answered >= since
    });
    let aborted: Vec<_> = aborted.collect();
    if let Some(first) = aborted.first() {
        let evidence = format!(
            "the shutdown of {process} was requested at {since} and aborted {} requests, \
             the first sent at {}",
            aborted.len(),
            first.sent
        );
        violations.push(violation(Promise::PlannedStop, evidence));
    }
}

/// Checks that gracefully stopped runners completed every answer.
fn check_stopped_runners(records: &Records, violations: &mut Vec<Violation>) {
    let stopped = |run: &&crate::record::TaskRun| run.end == Some(TaskState::Stopped);
    for run in records.tasks.iter().filter(stopped) {
        let aborted = records
            .executions
            .iter()
            .filter(|execution| execution.task == run.task && execution.ended.is_none())
            .count();
        if aborted > 0 {
            let evidence = format!(
                "runner {} was stopped with {aborted} requests in flight",
                run.task
            );
            violations.push(violation(Promise::PlannedStop, evidence));
        }
    }
}
