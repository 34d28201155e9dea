//! Answers, outcomes and executions.

use std::collections::BTreeMap;

use kspan_model::{Name, Outcome};

use super::{Promise, Violation, violation};
use crate::record::{Answer, Call, Execution, Records, Send};

pub(super) fn check(records: &Records, found: &mut Vec<Violation>) {
    let mut executions: BTreeMap<u64, Vec<&Execution>> = BTreeMap::new();
    for execution in &records.executions {
        executions
            .entry(execution.token)
            .or_default()
            .push(execution);
        check_limits(execution, found);
    }
    for call in &records.calls {
        let own = executions.get(&call.token).map_or(&[][..], Vec::as_slice);
        for send in &call.sends {
            check_answer(call, send, own, found);
        }
        check_not_run(call, own, found);
    }
    check_at_most_once(records, found);
}

fn check_limits(execution: &Execution, found: &mut Vec<Violation>) {
    let over = |what, is, may| {
        let (task, at) = (execution.task, execution.started);
        violation(
            Promise::RunnerLimits,
            format!("runner {task} had {is} {what} of {may} at {at}"),
        )
    };
    if execution.in_use > execution.slots {
        found.push(over("requests", execution.in_use, execution.slots));
    }
    if execution.connections > execution.max_connections {
        found.push(over(
            "connections",
            execution.connections,
            execution.max_connections,
        ));
    }
}

fn check_answer(call: &Call, send: &Send, own: &[&Execution], found: &mut Vec<Violation>) {
    match send.answer {
        Answer::WrongBody => found.push(violation(
            Promise::WholeAnswer,
            format!(
                "{} answered {} with a wrong body",
                send.to,
                describe(call, send)
            ),
        )),
        Answer::NoOutcome { status } => found.push(violation(
            Promise::TrueOutcome,
            format!(
                "{} answered {} with status {status} and no outcome",
                send.to,
                describe(call, send)
            ),
        )),
        Answer::Told(Outcome::Ran) => {
            let ended = |run: &&&Execution| run.ended.is_some_and(|at| at <= send.answered);
            if own.iter().find(ended).is_none() {
                found.push(violation(
                    Promise::TrueOutcome,
                    format!(
                        "{} told that {} ran, but no runner ended it",
                        send.to,
                        describe(call, send)
                    ),
                ));
            }
        }
        Answer::Told(_) | Answer::NotConnected | Answer::Lost => {}
    }
}

/// An execution is covered where some send before it was not answered with "not run".
fn check_not_run(call: &Call, own: &[&Execution], found: &mut Vec<Violation>) {
    let told_not_run = |send: &&Send| send.answer == Answer::Told(Outcome::NotRun);
    for execution in own {
        let early = call.sends.iter().filter(told_not_run);
        for send in early.filter(|send| execution.started <= send.answered) {
            found.push(violation(
                Promise::NotRun,
                format!(
                    "{} told that {} did not run, but {} began it at {}",
                    send.to,
                    describe(call, send),
                    execution.task,
                    execution.started
                ),
            ));
        }
        let covers = |send: &Send| send.sent <= execution.started && !told_not_run(&send);
        let settled = call.outcome == Outcome::NotRun;
        if settled && !call.sends.iter().any(covers) && execution.started > call.settled {
            found.push(violation(
                Promise::NotRun,
                format!(
                    "request {:016x} was settled as not run, but {} began it later, at {}",
                    call.token, execution.task, execution.started
                ),
            ));
        }
    }
}

fn check_at_most_once(records: &Records, found: &mut Vec<Violation>) {
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
    for (key, runs) in by_key.into_iter().filter(|(_, runs)| runs.len() > 1) {
        let runs: Vec<String> = runs
            .iter()
            .map(|run| format!("{} at {}", run.task, run.started))
            .collect();
        found.push(violation(
            Promise::AtMostOnce,
            format!("key {key} ran {} times: {}", runs.len(), runs.join(", ")),
        ));
    }
}

fn describe(call: &Call, send: &Send) -> String {
    format!(
        "{}/{} {:016x} (attempt {}, sent {}, answered {})",
        call.service, call.class, call.token, send.attempt, send.sent, send.answered
    )
}
