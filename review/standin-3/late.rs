//! A start that is not answered and is carried out seconds later. Meanwhile its runner is cut off, crashes behind
//! the cut, and is back under its id.

use std::{
    sync::{Arc, atomic::AtomicBool},
    thread,
    time::{Duration, Instant},
};

use crate::{HOST, PREFIX, Testbed, http, runner::RunRecord};

/// How long callers wait for an answer.
const DEADLINE: Duration = Duration::from_millis(3_000);

/// Text of the job, whose task takes longer than the case.
const TEXT: &str = "run 90000";

/// Number of jobs, one after the other.
const JOBS: u64 = 3;

/// For how long the runner is cut off before it crashes, and for how long it is down then.
const CUT: Duration = Duration::from_millis(5_400);
const DOWN: Duration = Duration::from_millis(4_500);

/// Time for each job.
const STEP: Duration = Duration::from_secs(14);

pub fn run(testbed: &Testbed) -> bool {
    let record = &testbed.record;
    for number in 0..JOBS {
        if testbed.has_trouble {
            // Whichever runner gets the next task is cut off and crashes; one at a time.
            let armed = Arc::new(AtomicBool::new(true));
            testbed
                .runners
                .iter()
                .for_each(|runner| runner.crash_at(TEXT, CUT, DOWN, &armed));
        }
        let path = format!("{PREFIX}{:016x}", 0xc000_0000_u64 + number);
        let body = format!(
            "{{\"Spec\":\"{TEXT}\",\"Steps\":[{{\"Count\":1,\"Cpu\":4000,\"MemMb\":1024,\"EstRuntimeMs\":90000}}]}}"
        );
        let addr = &testbed.machines[0].callers;
        let status =
            http::call(addr, "POST", &path, HOST, &body, DEADLINE).map(|(status, _)| status);
        record.line(&format!("POST {path} {body}: {status:?}"));
        thread::sleep(STEP);
    }
    let runs: Vec<RunRecord> = testbed
        .runners
        .iter()
        .flat_map(|runner| runner.records())
        .collect();
    let mut runs = runs;
    runs.sort_by_key(|run| run.began);
    let start = runs.first().map_or_else(Instant::now, |run| run.began);
    for run in &runs {
        let end = run
            .ended
            .map(|(at, how)| format!("{how} at {} ms", (at - start).as_millis()));
        record.line(&format!(
            "run {} of {} on runner {}: began at {} ms, {}",
            run.run,
            run.task,
            run.runner,
            (run.began - start).as_millis(),
            end.as_deref().unwrap_or("still running")
        ));
    }
    let mut held = true;
    let now = Instant::now();
    for (at, one) in runs.iter().enumerate() {
        for other in runs[at + 1..].iter().filter(|other| other.task == one.task) {
            let end = |run: &RunRecord| run.ended.map_or(now, |(at, _)| at);
            let both = end(one)
                .min(end(other))
                .saturating_duration_since(one.began.max(other.began));
            if !both.is_zero() {
                held = false;
                record.line(&format!(
                    "TWICE: {} ran on runners {} and {} at the same time for {} ms",
                    one.task,
                    one.runner,
                    other.runner,
                    both.as_millis()
                ));
            }
        }
    }
    held
}
