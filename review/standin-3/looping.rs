//! A job that lasts and whose tasks fail at each start, beside a sound job that lasts.
//!
//! The sound job's tasks fail now and then, and have to be restarted. Only they are judged, by the rule LOST.

use std::{
    collections::BTreeMap,
    thread,
    time::{Duration, Instant},
};

use crate::{HOST, PREFIX, Testbed, http, runner::RunRecord};

/// How long callers wait for an answer.
const DEADLINE: Duration = Duration::from_millis(3_000);

/// The sound job: 12 tasks, which fail for the first time 45 s after their start and later, a second apart.
const SOUND: (&str, &str) = ("00000000d0000001", "stagger 45000 1000");

/// The job whose tasks fail at each start.
const FAILING: (&str, &str) = ("00000000d0000002", "fail 100");

/// Number of the tasks of each job.
const SOUND_TASKS: u32 = 12;
const FAILING_TASKS: u32 = 16;

/// Time from which the second job is there, and end of the case.
const CALM: Duration = Duration::from_secs(8);
const END: Duration = Duration::from_secs(80);

/// By the rule LOST, a task that lasts is missed from 6 s after its last run on, if it has no run for 3 s.
const MISSED_AFTER: Duration = Duration::from_secs(9);

pub fn run(testbed: &Testbed) -> bool {
    let started = Instant::now();
    submit(testbed, SOUND, SOUND_TASKS);
    thread::sleep(CALM.saturating_sub(started.elapsed()));
    if testbed.has_trouble {
        submit(testbed, FAILING, FAILING_TASKS);
    }
    thread::sleep(END.saturating_sub(started.elapsed()));
    let now = Instant::now();
    let runs = testbed.runners.iter().flat_map(|runner| runner.records());
    let (sound, failing): (Vec<RunRecord>, Vec<RunRecord>) =
        runs.partition(|run| run.task.starts_with(SOUND.0));
    testbed
        .record
        .line(&format!("{} starts of the job that fails", failing.len()));
    let mut by_task: BTreeMap<String, Vec<RunRecord>> = BTreeMap::new();
    for run in sound {
        by_task.entry(run.task.clone()).or_default().push(run);
    }
    let mut held = by_task.len() == SOUND_TASKS as usize;
    for (task, mut runs) in by_task {
        runs.sort_by_key(|run| run.began);
        for (at, run) in runs.iter().enumerate() {
            let ended = run.ended.map(|(at, _)| at);
            let next = runs.get(at + 1).map(|next| next.began);
            let gap = ended.map(|ended| next.unwrap_or(now).saturating_duration_since(ended));
            let ms = |time: Instant| (time - started).as_millis();
            testbed.record.line(&format!(
                "run {} of {task} on runner {}: from {} ms to {:?}, then none for {:?}",
                run.run,
                run.runner,
                ms(run.began),
                run.ended.map(|(at, how)| (ms(at), how)),
                gap.map(|gap| gap.as_millis()),
            ));
            if gap.is_some_and(|gap| gap >= MISSED_AFTER) {
                held = false;
                let used = format!("{} of 8 runners' 32 cores", "at most 28");
                testbed.record.line(&format!(
                    "LOST: {task} had no run for 9 s and longer; {used} in use"
                ));
            }
        }
    }
    held
}

fn submit(testbed: &Testbed, (id, text): (&str, &str), tasks: u32) {
    let path = format!("{PREFIX}{id}");
    let body = format!(
        "{{\"Spec\":\"{text}\",\"Steps\":[{{\"Count\":{tasks},\"Cpu\":1000,\"MemMb\":256,\
         \"EstRuntimeMs\":400,\"LongRunning\":true}}]}}"
    );
    let addr = &testbed.machines[0].callers;
    let answer = http::call(addr, "POST", &path, HOST, &body, DEADLINE);
    let status = answer.map(|(status, _)| status);
    testbed
        .record
        .line(&format!("POST {path} {body}: {status:?}"));
}
