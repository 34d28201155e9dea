//! Leaving upstreams and planned stops.

use kspan_contract::protocol::worker::TaskState;
use kspan_model::TaskId;

use super::{Limits, Promise, Violation, violation};
use crate::{
    clock::Micros,
    record::{Answer, EventKind, Records},
};

pub(super) fn check(records: &Records, limits: &Limits, found: &mut Vec<Violation>) {
    for event in &records.events {
        match &event.kind {
            EventKind::Leaving { task } => check_leaving(records, *task, event.at, limits, found),
            EventKind::PlannedStop { process } => {
                check_planned_stop(records, process, event.at, found);
            }
            _ => {}
        }
    }
    check_stopped_runners(records, found);
}

fn check_leaving(
    records: &Records,
    task: TaskId,
    since: Micros,
    limits: &Limits,
    found: &mut Vec<Violation>,
) {
    let last = Micros(since.0 + limits.leaving.0);
    let late = records
        .executions
        .iter()
        .filter(|run| run.task == task && run.started > last);
    let late: Vec<_> = late.collect();
    if let Some(first) = late.first() {
        let evidence = format!(
            "runner {task} was leaving since {since} and got {} new requests later than {}, \
             the first at {}",
            late.len(),
            limits.leaving,
            first.started
        );
        found.push(violation(Promise::Leaving, evidence));
    }
}

fn check_planned_stop(records: &Records, process: &str, since: Micros, found: &mut Vec<Violation>) {
    let exited = records.events.iter().find(|event| {
        event.at >= since
            && matches!(&event.kind, EventKind::Exited { process: name } if name.as_str() == process)
    });
    let until = exited.map_or(Micros(u64::MAX), |event| event.at);
    let sends = records.calls.iter().flat_map(|call| &call.sends);
    let cut = sends.filter(|send| {
        send.to.as_str() == process
            && send.answer == Answer::Lost
            && send.sent <= until
            && send.answered >= since
    });
    let cut: Vec<_> = cut.collect();
    if let Some(first) = cut.first() {
        let evidence = format!(
            "{process} was told to stop at {since} and cut {} requests, the first sent at {}",
            cut.len(),
            first.sent
        );
        found.push(violation(Promise::PlannedStop, evidence));
    }
}

/// A runner that was stopped in order must have handed over every answer.
fn check_stopped_runners(records: &Records, found: &mut Vec<Violation>) {
    let stopped = |run: &&crate::record::TaskRun| run.end == Some(TaskState::Stopped);
    for run in records.tasks.iter().filter(stopped) {
        let cut = records
            .executions
            .iter()
            .filter(|execution| execution.task == run.task && execution.ended.is_none())
            .count();
        if cut > 0 {
            let evidence = format!(
                "runner {} was stopped with {cut} requests in work",
                run.task
            );
            found.push(violation(Promise::PlannedStop, evidence));
        }
    }
}
