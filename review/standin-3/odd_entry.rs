//! An entry of another writer under the id of a runner, which lacks fields, while the runner is cut off from the
//! machines and runs on.

use std::{
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{HOST, PREFIX, SERVICE, Testbed, http, runner::RunRecord};

/// How long callers wait for an answer.
const DEADLINE: Duration = Duration::from_millis(3_000);

/// Length of the cut, and time after its begin at which the other writer writes.
const CUT: Duration = Duration::from_millis(5_000);
const WRITTEN_AFTER: Duration = Duration::from_millis(1_000);

/// Text of the job, whose tasks take longer than the case.
const BODY: &str =
    r#"{"Spec":"run 90000","Steps":[{"Count":16,"Cpu":2000,"MemMb":256,"EstRuntimeMs":90000}]}"#;

pub fn run(testbed: &Testbed) -> bool {
    let record = &testbed.record;
    let path = format!("{PREFIX}00000000f0000001");
    let addr = &testbed.machines[0].callers;
    let answer = http::call(addr, "POST", &path, HOST, BODY, DEADLINE);
    record.line(&format!("POST {path} {BODY}: {answer:?}"));
    thread::sleep(Duration::from_secs(8));
    // The runner with the most tasks.
    let at = (0..testbed.runners.len()).max_by_key(|&at| testbed.runners[at].records().len());
    let runner = &testbed.runners[at.unwrap_or(0)];
    let started = Instant::now();
    record.line(&format!(
        "runner {} is cut off from all machines for {} ms",
        runner.id(),
        CUT.as_millis()
    ));
    runner.cut_off(CUT);
    thread::sleep(WRITTEN_AFTER);
    if testbed.has_trouble {
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_millis();
        let entry = format!(
            "{{\"Service\":\"{SERVICE}\",\"Addr\":\"127.0.0.1:1\",\"State\":\"ready\",\"Capacity\":{{\"Cpu\":32000,\
             \"MemMb\":131072}},\"born\":{born}}}"
        );
        record.line(&format!(
            "another writer writes servers/{}: {entry}",
            runner.id()
        ));
        testbed.store.put("keyed.servers", &runner.id(), &entry);
    }
    thread::sleep(Duration::from_secs(20));
    record.line(&format!(
        "runner {} was called {} ms ago for the last time; the cut is over for {} ms",
        runner.id(),
        runner.uncalled().as_millis(),
        started.elapsed().saturating_sub(CUT).as_millis()
    ));
    let now = Instant::now();
    let mut runs: Vec<RunRecord> = testbed
        .runners
        .iter()
        .flat_map(|runner| runner.records())
        .collect();
    runs.sort_by(|one, other| (&one.task, one.began).cmp(&(&other.task, other.began)));
    let mut held = !runs.is_empty();
    for (at, one) in runs.iter().enumerate() {
        let ms = |time: Instant| {
            let after = time
                .checked_duration_since(started)
                .map(|after| after.as_millis());
            after.map_or_else(|| "before".to_owned(), |after| format!("{after} ms"))
        };
        let end = one.ended.map(|(at, how)| format!("{how} at {}", ms(at)));
        record.line(&format!(
            "run {} of {} on runner {}: from {}, {}",
            one.run,
            one.task,
            one.runner,
            ms(one.began),
            end.unwrap_or_default()
        ));
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
