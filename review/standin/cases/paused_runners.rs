//! Jobs that can never be done come one after the other; then a task that lasts fails once.

use std::{
    path::Path,
    thread,
    time::{Duration, Instant},
};

use crate::cluster::{Cluster, PREFIX};

/// How often jobs that can never be done come, two at a time. The site's `poison` is one in twenty
/// jobs of a kind for 3 s, which is two or three jobs.
const TIMES: u64 = 4;

pub fn play(has_trouble: bool, folder: &Path) -> Vec<String> {
    let cluster = Cluster::start(3, 3, 32_000, 131_072, &[("batch", PREFIX)]);
    let patience = Duration::from_secs(8);
    let lasting = format!("{:016x}", 0xf000);
    let step = "{\"Count\":1,\"Cpu\":1000,\"MemMb\":100,\"EstRuntimeMs\":100,\"LongRunning\":true}";
    let body = format!("{{\"Spec\":\"lasts=1\",\"Steps\":[{step}]}}");
    if !cluster.submit(0, &format!("{PREFIX}{lasting}"), &body, patience) {
        crate::cluster::unable("the lasting job was not accepted");
    }
    thread::sleep(Duration::from_secs(2));
    let step = "{\"Count\":6,\"Cpu\":2500,\"MemMb\":100,\"EstRuntimeMs\":640}";
    let body = format!("{{\"Spec\":\"ms=100 fail=1\",\"Steps\":[{step}]}}");
    for time in 0..TIMES {
        if !has_trouble {
            continue;
        }
        let paths = [1, 2].map(|job| format!("{PREFIX}{:016x}", 0xf000 + 2 * time + job));
        for path in &paths {
            if !cluster.submit(0, path, &body, patience) {
                crate::cluster::unable("a job was not accepted");
            }
        }
        let is_open = |path: &String| cluster.state(path, patience).as_deref() != Some("failed");
        let until = Instant::now() + Duration::from_secs(15);
        while paths.iter().any(is_open) && Instant::now() < until {
            thread::sleep(Duration::from_millis(100));
        }
    }
    let disturbed_until = last_failure(&cluster, &lasting);
    thread::sleep(Duration::from_millis(300));
    if !cluster
        .runners
        .iter()
        .any(|runner| runner.fail_runs(&lasting))
    {
        crate::cluster::unable("the lasting task isn't running");
    }
    let ended = cluster.record.now();
    cluster
        .record
        .note(format!("the task of job {lasting} fails"));
    thread::sleep(Duration::from_secs(16));
    let runs = cluster.record.runs();
    let next = runs
        .iter()
        .filter(|run| run.task.starts_with(&lasting) && run.began > ended)
        .map(|run| run.began)
        .min();
    let text = format!(
        "the task of job {lasting} has no run from {:.3} s to {}, with three runners that answer and are nearly empty; the last run of another job ended at {:.3} s",
        ended.as_secs_f64(),
        next.map_or("the end".to_owned(), |at| format!(
            "{:.3} s",
            at.as_secs_f64()
        )),
        disturbed_until.as_secs_f64()
    );
    cluster.record.note(text.clone());
    cluster.record.write(&folder.join("record.txt"));
    // For 3 s from 6 s after its last run, these and the 4 s before being calm.
    let counts_from =
        (ended + Duration::from_secs(6)).max(disturbed_until + Duration::from_secs(4));
    let is_lost = next.is_none_or(|at| at > counts_from + Duration::from_secs(3));
    if is_lost { vec![text] } else { Vec::new() }
}

/// Returns the end of the last run of another job.
fn last_failure(cluster: &Cluster, lasting: &str) -> Duration {
    let runs = cluster.record.runs();
    let others = runs.iter().filter(|run| !run.task.starts_with(lasting));
    let ends = others.filter_map(|run| run.ended.map(|(at, _)| at));
    ends.max().unwrap_or_default()
}
