//! A client whose few jobs have many tasks, beside an ordinary one.
//!
//! A process that exceeds its memory is killed, and started again. By the rule Fault no two machines may
//! see that three times. What becomes of the ordinary client's jobs is judged by the rule LOST.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{HOST, PREFIX, Testbed, http};

/// How long callers wait for an answer, and how often they try.
const DEADLINE: Duration = Duration::from_millis(3_000);
const ATTEMPTS: usize = 5;

/// Duration of the traffic, and of its part before the other client comes.
const LENGTH: Duration = Duration::from_secs(45);
const CALM: Duration = Duration::from_secs(8);

/// Time between two jobs of either client.
const INTERVAL: Duration = Duration::from_millis(250);

/// Time after the end of the traffic at which jobs are asked for (`finish_s`).
const FINISH: Duration = Duration::from_secs(14);

/// Number of ends of a process that the rule Fault allows less than, on two machines.
const MAX_ENDS: u64 = 3;

/// Number of the other client's jobs, and of its connections.
const JOBS: u64 = 160;
const SENDERS: u64 = 4;

/// Returns the body of such a job: nine steps of 10,000 tasks, which wait for the only task of the first step.
fn body_of_many() -> String {
    let first = r#"{"Count":1,"Cpu":1000,"MemMb":256,"EstRuntimeMs":600000,"Constraints":"a"}"#;
    let other = r#"{"Count":10000,"Cpu":1000,"MemMb":256,"EstRuntimeMs":1000,"DependsOn":[0]}"#;
    let steps = [&[first][..], &[other; 9][..]].concat().join(",");
    format!(r#"{{"Spec":"run 600000","Steps":[{steps}]}}"#)
}

const ORDINARY: &str =
    r#"{"Spec":"run 300","Steps":[{"Count":1,"Cpu":1000,"MemMb":256,"EstRuntimeMs":300}]}"#;

/// Returns whether the rule held.
pub fn run(testbed: &Testbed) -> bool {
    let record = &testbed.record;
    let callers: Vec<String> = testbed
        .machines
        .iter()
        .map(|machine| machine.callers.clone())
        .collect();
    let started = Instant::now();
    let accepted = Arc::new(Mutex::new(Vec::new()));
    let is_over = Arc::new(AtomicBool::new(false));
    let ordinary = {
        let (callers, record) = (callers.clone(), Arc::clone(record));
        let (accepted, is_over) = (Arc::clone(&accepted), Arc::clone(&is_over));
        thread::spawn(move || {
            for number in 0_u64.. {
                if is_over.load(Ordering::Relaxed) {
                    return number;
                }
                let id = format!("{:016x}", 0xa000_0000 + number);
                let addr = &callers[number as usize % callers.len()];
                let sent = Instant::now();
                let answer = http::call(
                    addr,
                    "POST",
                    &format!("{PREFIX}{id}"),
                    HOST,
                    ORDINARY,
                    DEADLINE,
                );
                let status = answer.map(|(status, _)| status);
                let ms = sent.elapsed().as_millis();
                record.line(&format!(
                    "ordinary job {id} at {addr}: {status:?} after {ms} ms"
                ));
                if status == Some(200) {
                    accepted.lock().unwrap().push(id);
                }
                thread::sleep(INTERVAL);
            }
            0
        })
    };
    thread::sleep(CALM);
    if testbed.has_trouble {
        let body = body_of_many();
        record.line(&format!(
            "the other client's job, of {} bytes: {body}",
            body.len()
        ));
        let senders = (0..SENDERS).map(|sender| {
            let (callers, record, body) = (callers.clone(), Arc::clone(record), body.clone());
            let numbers = (sender..JOBS).step_by(SENDERS as usize);
            thread::spawn(move || {
                for number in numbers {
                    let path = format!("{PREFIX}{:016x}", 0xb000_0000_u64 + number);
                    // A job that was not answered, or with a 504, is sent again at another machine.
                    for attempt in 0..2 {
                        let addr = &callers[(number + attempt) as usize % callers.len()];
                        let answer = http::call(addr, "POST", &path, HOST, &body, DEADLINE);
                        let status = answer.map(|(status, _)| status);
                        record.line(&format!("{path} of the other client at {addr}: {status:?}"));
                        thread::sleep(INTERVAL);
                        if !matches!(status, None | Some(504)) || started.elapsed() >= LENGTH {
                            break;
                        }
                    }
                    if started.elapsed() >= LENGTH {
                        return;
                    }
                }
            })
        });
        let senders: Vec<_> = senders.collect();
        senders.into_iter().for_each(|sender| drop(sender.join()));
    }
    thread::sleep(LENGTH.saturating_sub(started.elapsed()));
    is_over.store(true, Ordering::Relaxed);
    let sent = ordinary.join().unwrap_or(0);
    thread::sleep(FINISH);
    let accepted = accepted.lock().unwrap().clone();
    record.line(&format!(
        "ordinary jobs: {sent} sent, {} accepted; {} s after the traffic:",
        accepted.len(),
        FINISH.as_secs()
    ));
    let asked: Vec<_> = accepted
        .iter()
        .cloned()
        .map(|id| {
            let callers = callers.clone();
            thread::spawn(move || ask(&callers, &id))
        })
        .collect();
    let states: Vec<String> = asked
        .into_iter()
        .map(|asked| asked.join().unwrap_or_default())
        .collect();
    let (mut unanswered, mut unfinished) = (0, 0);
    for (id, state) in accepted.iter().zip(&states) {
        unanswered += u32::from(!state.starts_with("200"));
        unfinished += u32::from(state.starts_with("200") && !state.contains("completed"));
        if !state.contains("completed") {
            record.line(&format!("LOST: accepted job {id}: {state}"));
        }
    }
    record.line(&format!("accepted jobs without an answer or not known: {unanswered}; known and not completed, with room for them: {unfinished}"));
    let mut failing_machines = 0;
    for machine in &testbed.machines {
        let (over_memory, own) = machine.ends();
        failing_machines += u32::from(over_memory + own >= MAX_ENDS);
        record.line(&format!(
            "{}: process over its memory {over_memory} times, other ends {own}, peak {} MB",
            machine.name,
            machine.peak_mb()
        ));
    }
    if failing_machines >= 2 {
        record.line(&format!(
            "Fault: on {failing_machines} machines the process ended by itself {MAX_ENDS} times or more"
        ));
    }
    unanswered + unfinished == 0 && failing_machines < 2
}

/// Asks for a job at one machine after the other, and returns the last answer.
fn ask(callers: &[String], id: &str) -> String {
    let mut last = "no answer".to_owned();
    for attempt in 0..ATTEMPTS {
        let addr = &callers[attempt % callers.len()];
        match http::call(addr, "GET", &format!("{PREFIX}{id}"), HOST, "", DEADLINE) {
            Some((200, body)) => return format!("200 {body}"),
            Some((status, _)) => last = status.to_string(),
            None => {}
        }
        thread::sleep(INTERVAL);
    }
    last
}
