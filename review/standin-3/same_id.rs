//! Two clients of two queues, whose services have runners of their own, choose the same ids.

use std::{thread, time::Duration};

use crate::{HOST, OTHER_PREFIX, PREFIX, Testbed, http};

/// How long callers wait for an answer.
const DEADLINE: Duration = Duration::from_millis(3_000);

/// Number of jobs of each client. Both number them from 1.
const JOBS: u64 = 5;

/// Time after the last job at which the second client asks for its jobs (`finish_s`).
const FINISH: Duration = Duration::from_secs(14);

const BODY: &str =
    r#"{"Spec":"run 300","Steps":[{"Count":2,"Cpu":1000,"MemMb":256,"EstRuntimeMs":300}]}"#;

pub fn run(testbed: &Testbed) -> bool {
    let call = |method: &str, prefix: &str, number: u64, body: &str| {
        let addr = &testbed.machines[number as usize % testbed.machines.len()].callers;
        let path = format!("{prefix}{number:016x}");
        let answer = http::call(addr, method, &path, HOST, body, DEADLINE);
        testbed
            .record
            .line(&format!("{method} {path} {body}: {answer:?}"));
        answer
    };
    // Without the trouble the second client numbers its jobs from another number on.
    let first = if testbed.has_trouble { 1 } else { 1_000 };
    for number in 1..=JOBS {
        call("POST", PREFIX, number, BODY);
        thread::sleep(Duration::from_millis(500));
    }
    thread::sleep(Duration::from_secs(3));
    let mut accepted = Vec::new();
    for number in first..first + JOBS {
        let answer = call("POST", OTHER_PREFIX, number, BODY);
        if answer.is_some_and(|(status, _)| status == 200) {
            accepted.push(number);
        }
        thread::sleep(Duration::from_millis(500));
    }
    thread::sleep(FINISH);
    let runs = testbed
        .other_runners
        .iter()
        .flat_map(|runner| runner.records());
    let done: Vec<String> = runs
        .filter(|run| run.ended.is_some_and(|(_, how)| how == "done"))
        .map(|run| run.task)
        .collect();
    testbed.record.line(&format!(
        "runs on the runners of the second queue: {done:?}"
    ));
    let mut held = true;
    for number in accepted {
        let state = call("GET", OTHER_PREFIX, number, "")
            .map(|(_, body)| body)
            .unwrap_or_default();
        let id = format!("{number:016x}");
        let ended = done.iter().filter(|task| task.starts_with(&id)).count();
        if ended < 2 {
            held = false;
            let rule = if state.contains("completed") {
                "MIXED"
            } else {
                "LOST"
            };
            testbed.record.line(&format!("{rule}: {OTHER_PREFIX}{id} was accepted, is shown as {state}, and {ended} of its 2 tasks have run"));
        }
    }
    held
}
