//! Checks answers, outcomes and executions of requests.

use std::collections::BTreeMap;

use kspan_model::{Name, Outcome};

use super::{Promise, Violation, violation};
use crate::record::{Answer, Call, Execution, Records, SendRecord};

pub(super) fn check(records: &Records, violations: &mut Vec<Violation>) {
    let mut executions: BTreeMap<u64, Vec<&Execution>> = BTreeMap::new();
    for execution in &records.executions {
        executions
            .entry(execution.token)
            .or_default()
            .push(execution);
        check_limits(execution, violations);
    }
    for call in &records.calls {
        let call_executions = executions.get(&call.token).map_or(&[][..], Vec::as_slice);
        for send in &call.sends {
            check_answer(call, send, call_executions, violations);
        }
        check_not_run(call, call_executions, violations);
    }
    check_at_most_once(records, violations);
}

fn check_limits(execution: &Execution, violations: &mut Vec<Violation>) {
    let limit_violation = |what, actual, limit| {
        let (task, at) = (execution.task, execution.started);
        violation(
            Promise::RunnerLimits,
            format!("runner {task} had {actual} {what}, with a limit of {limit}, at {at}"),
        )
    };
    if execution.in_use > execution.slots {
        violations.push(limit_violation(
            "requests",
            execution.in_use,
            execution.slots,
        ));
    }
    if execution.connections > execution.max_connections {
        violations.push(limit_violation(
            "connections",
            execution.connections,
            execution.max_connections,
        ));
    }
}

fn check_answer(
    call: &Call,
    send: &SendRecord,
    call_executions: &[&Execution],
    violations: &mut Vec<Violation>,
) {
    match send.answer {
        Answer::WrongBody => violations.push(violation(
            Promise::WholeAnswer,
            format!(
                "{} answered {} with a truncated or wrong body",
                send.to,
                describe(call, send)
            ),
        )),
        Answer::NoOutcome { status } => violations.push(violation(
            Promise::TrueOutcome,
            format!(
                "{} answered {} with status {status} and no outcome",
                send.to,
                describe(call, send)
            ),
        )),
        Answer::Told(Outcome::Ran) => {
            let ended = |run: &&&Execution| run.ended.is_some_and(|at| at <= send.answered);
            if call_executions.iter().find(ended).is_none() {
                violations.push(violation(
                    Promise::TrueOutcome,
                    format!(
                        "{} reported that {} ran, but no runner completed it",
                        send.to,
                        describe(call, send)
                    ),
                ));
            }
        }
        Answer::Told(_) | Answer::NotConnected | Answer::Lost => {}
    }
}

/// Checks that requests reported as not run did not run.
///
/// An execution is legitimate if an earlier send was not answered with "not run".
fn check_not_run(call: &Call, call_executions: &[&Execution], violations: &mut Vec<Violation>) {
    let answered_not_run = |send: &&SendRecord| send.answer == Answer::Told(Outcome::NotRun);
    for execution in call_executions {
        let answered_sends = call.sends.iter().filter(answered_not_run);
        for send in answered_sends.filter(|send| execution.started <= send.answered) {
            violations.push(violation(
                Promise::NotRun,
                format!(
                    "{} reported that {} did not run, but {} started it at {}",
                    send.to,
                    describe(call, send),
                    execution.task,
                    execution.started
                ),
            ));
        }
        let covers = |send: &SendRecord| send.sent <= execution.started && !answered_not_run(&send);
        let settled = call.outcome == Outcome::NotRun;
        if settled && !call.sends.iter().any(covers) && execution.started > call.settled {
            violations.push(violation(
                Promise::NotRun,
                format!(
                    "request {:016x} settled as not run, but {} started it later, at {}",
                    call.token, execution.task, execution.started
                ),
            ));
        }
    }
}

fn check_at_most_once(records: &Records, violations: &mut Vec<Violation>) {
    let mut by_key: BTreeMap<&Name, Vec<&Execution>> = BTreeMap::new();
    let calls = records.calls.iter().filter(|call| !call.idempotent);
    let tokens: BTreeMap<u64, &Call> = calls.map(|call| (call.token, call)).collect();
    for execution in &records.executions {
        let Some(call) = tokens.get(&execution.token) else {
            continue;
        };
        if let Some(key) = call.key.as_ref() {
            by_key.entry(key).or_default().push(execution);
        }
    }
    for (key, executions_of_key) in by_key
        .into_iter()
        .filter(|(_, executions_of_key)| executions_of_key.len() > 1)
    {
        let executions_of_key: Vec<String> = executions_of_key
            .iter()
            .map(|run| format!("{} at {}", run.task, run.started))
            .collect();
        violations.push(violation(
            Promise::AtMostOnce,
            format!(
                "key {key} ran {} times: {}",
                executions_of_key.len(),
                executions_of_key.join(", ")
            ),
        ));
    }
}

fn describe(call: &Call, send: &SendRecord) -> String {
    format!(
        "{}/{} {:016x} (attempt {}, sent {}, answered {})",
        call.service, call.class, call.token, send.attempt, send.sent, send.answered
    )
}
