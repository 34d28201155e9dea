//! Jobs are cancelled while a runner that was to get their tasks gives no answer.

use std::{path::Path, thread, time::Duration};

use crate::cluster::{Cluster, PREFIX};

const JOBS: u64 = 25;
const TASKS: u64 = 64;

/// One runner of ten gives no answer; the users' sheets have a share of up to 0.1.
const RUNNERS: usize = 10;
const SILENT: usize = 4;

/// How long it gives none; the users' sheets have up to 5.5 s.
const SILENCE: Duration = Duration::from_millis(5_000);

/// `cancel_ms` of the users' sheets.
const CANCEL: Duration = Duration::from_millis(3_000);

pub fn play(has_trouble: bool, folder: &Path) -> Vec<String> {
    let cluster = Cluster::start(3, RUNNERS, 32_000, 131_072, &[("batch", PREFIX)]);
    let runner = cluster.runners[SILENT].clone();
    thread::sleep(Duration::from_secs(2));
    let silent_at = cluster.record.now();
    if has_trouble {
        runner.set_silent(true);
        cluster
            .record
            .note(format!("runner {SILENT} gives no answers"));
    }
    thread::sleep(Duration::from_millis(200));
    let path = |job: u64| format!("{PREFIX}{:016x}", 0xa000 + job);
    let step = format!("{{\"Count\":{TASKS},\"Cpu\":200,\"MemMb\":100,\"EstRuntimeMs\":9000}}");
    let body = format!("{{\"Spec\":\"ms=9000\",\"Steps\":[{step}]}}");
    let cancelled: Vec<(u64, Option<Duration>)> = thread::scope(|scope| {
        let play_job = |job: u64| {
            cluster.submit(job as usize, &path(job), &body, Duration::from_secs(4));
            thread::sleep(Duration::from_millis(500));
            let answer = cluster.call(job as usize % 3, "DELETE", &path(job), "");
            let is_acknowledged = matches!(answer, Some((200..=299 | 410, _)));
            (job, is_acknowledged.then(|| cluster.record.now()))
        };
        let jobs: Vec<_> = (0..JOBS)
            .map(|job| scope.spawn(move || play_job(job)))
            .collect();
        jobs.into_iter().map(|job| job.join().unwrap()).collect()
    });
    thread::sleep((silent_at + SILENCE).saturating_sub(cluster.record.now()));
    runner.set_silent(false);
    cluster.record.note(format!("runner {SILENT} answers"));
    thread::sleep(Duration::from_secs(8));
    let mut breaks = Vec::new();
    for run in cluster.record.runs() {
        let of_task = |(job, _): &&(u64, Option<Duration>)| {
            run.task.starts_with(&format!("{:016x}.", 0xa000 + *job))
        };
        let acknowledged = cancelled.iter().find(of_task).and_then(|(_, at)| *at);
        let Some(acknowledged) = acknowledged else {
            continue;
        };
        if run.began > acknowledged + CANCEL {
            breaks.push(format!(
                "{}: run {} began on runner {} at {:.3} s, and the job's cancelling was acknowledged at {:.3} s",
                run.task, run.run, run.runner, run.began.as_secs_f64(), acknowledged.as_secs_f64()
            ));
        }
    }
    cluster.record.write(&folder.join("record.txt"));
    breaks
}
