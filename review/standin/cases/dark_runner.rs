//! A runner goes dark, gets a wave of starts, and starts again under its id.

use std::{path::Path, thread, time::Duration};

use crate::cluster::{Cluster, PREFIX};

/// Jobs that come at once, just after the runner went dark.
const JOBS: u64 = 5;
const TASKS: u64 = 64;

/// One runner of eight is lost; the users' sheets have a share of up to 0.14.
const RUNNERS: usize = 8;
const LOST: usize = 4;

/// How long it is away; the users' sheets have up to 4.5 s.
const AWAY: Duration = Duration::from_millis(2_000);

pub fn play(has_trouble: bool, folder: &Path) -> Vec<String> {
    let cluster = Cluster::start(3, RUNNERS, 32_000, 131_072, &[("batch", PREFIX)]);
    let runner = cluster.runners[LOST].clone();
    thread::sleep(Duration::from_secs(2));
    if has_trouble {
        runner.kill_dark();
        cluster.record.note(format!("runner {LOST} goes dark"));
    }
    thread::sleep(Duration::from_millis(200));
    let path = |job: u64| format!("{PREFIX}{:016x}", 0xa000 + job);
    let step = format!(
        "{{\"Count\":{TASKS},\"Cpu\":200,\"MemMb\":100,\"EstRuntimeMs\":3000,\"AntiAffinity\":10}}"
    );
    let body = format!("{{\"Spec\":\"ms=3000\",\"Steps\":[{step}]}}");
    thread::scope(|scope| {
        for job in 0..JOBS {
            let (path, body, cluster) = (path(job), &body, &cluster);
            scope.spawn(move || cluster.submit(job as usize, &path, body, Duration::from_secs(4)));
        }
        thread::sleep(AWAY - Duration::from_millis(200));
        if has_trouble {
            runner.restart();
            cluster
                .record
                .note(format!("runner {LOST} starts again under its id"));
        }
    });
    thread::sleep(Duration::from_secs(15));
    for job in 0..JOBS {
        cluster.state(&path(job), Duration::from_secs(1));
    }
    cluster.record.write(&folder.join("record.txt"));
    cluster.record.twice()
}
