//! The owner of the cell is stopped and started twice, the first time while a runner is away, and jobs
//! wait for room meanwhile.

use std::{
    path::Path,
    thread,
    time::{Duration, Instant},
};

use crate::cluster::{Cluster, DEADLINE, HOST, PREFIX, SIGTERM};

/// Jobs that wait for room all the while.
const WAITING: u64 = 20;

/// One runner of eight crashes; the users' sheets have a share of up to 0.14.
const RUNNERS: usize = 8;
const DISTURBED: usize = 3;

/// How long the runner is away; the users' sheets have up to 4.5 s.
const AWAY: Duration = Duration::from_millis(4_000);

/// Time from the runner's return to the second stop.
const GAP: Duration = Duration::from_millis(4_000);

/// `GraceS` of the users' sheets.
const GRACE: Duration = Duration::from_secs(6);

pub fn play(has_trouble: bool, folder: &Path) -> Vec<String> {
    let mut cluster = Cluster::start(3, RUNNERS, 4_000, 16_384, &[("batch", PREFIX)]);
    let patience = Duration::from_secs(8);
    let step = |count: u64| {
        format!("{{\"Count\":{count},\"Cpu\":4000,\"MemMb\":100,\"EstRuntimeMs\":60000}}")
    };
    let full = format!(
        "{{\"Spec\":\"ms=90000\",\"Steps\":[{}]}}",
        step(RUNNERS as u64)
    );
    if !cluster.submit(0, &format!("{PREFIX}{:016x}", 0xe000), &full, patience) {
        crate::cluster::unable("the first job was not accepted");
    }
    thread::sleep(Duration::from_secs(2));
    let one = format!("{{\"Spec\":\"ms=60000\",\"Steps\":[{}]}}", step(1));
    for job in 1..=WAITING {
        let path = format!("{PREFIX}{:016x}", 0xe000 + job);
        if !cluster.submit(0, &path, &one, patience) {
            crate::cluster::unable("a job was not accepted");
        }
    }
    thread::sleep(Duration::from_secs(2));
    if has_trouble {
        let runner = cluster.runners[DISTURBED].clone();
        runner.kill_dark();
        cluster.record.note(format!("runner {DISTURBED} goes dark"));
        let back_at = Instant::now() + AWAY;
        thread::sleep(Duration::from_millis(500));
        thread::spawn(move || {
            thread::sleep(back_at.saturating_duration_since(Instant::now()));
            runner.restart();
        });
        restart_owner(&mut cluster);
        thread::sleep(back_at.saturating_duration_since(Instant::now()) + GAP);
        count_pending(&cluster);
        restart_owner(&mut cluster);
    }
    // Calm for longer than `ContactMs`, `visible_ms` and 2 s.
    thread::sleep(Duration::from_secs(10));
    let runs = cluster.record.runs();
    let has_begun = |job: u64| {
        let prefix = format!("{:016x}.", 0xe000 + job);
        runs.iter().any(|run| run.task.starts_with(&prefix))
    };
    let waiting = (1..=WAITING).filter(|job| !has_begun(*job)).count() as u64;
    cluster
        .record
        .note(format!("{waiting} jobs have not begun"));
    let mut breaks = Vec::new();
    for (node, pending) in count_pending(&cluster).into_iter().enumerate() {
        if pending.is_some_and(|pending| pending * 2 < waiting) {
            breaks.push(format!(
                "{} gives {} as the number of pending jobs, of {waiting} that have not begun",
                cluster.nodes[node].name,
                pending.unwrap_or(0)
            ));
        }
    }
    let path = format!("{PREFIX}{:016x}", 0xe000 + WAITING);
    cluster.state(&path, Duration::from_secs(3));
    cluster.record.write(&folder.join("record.txt"));
    breaks
}

/// Asks each process for the number of pending jobs.
fn count_pending(cluster: &Cluster) -> Vec<Option<u64>> {
    let ask = |node: &crate::cluster::Node| {
        let answer = crate::http::call(node.callers, "GET", HOST, PREFIX, "", DEADLINE);
        cluster
            .record
            .note(format!("GET {PREFIX} at {}: {answer:?}", node.name));
        let (_, body) = answer.filter(|(status, _)| *status == 200)?;
        crate::json::parse(body.as_bytes())?.u64("Pending")
    };
    cluster.nodes.iter().map(ask).collect()
}

/// Stops the process that owns the cell with SIGTERM, and starts it again when it has exited.
fn restart_owner(cluster: &mut Cluster) {
    let Some(owner) = cluster.owner() else {
        crate::cluster::unable("no process owns the cell");
    };
    let node = &mut cluster.nodes[owner];
    node.signal(SIGTERM);
    cluster
        .record
        .note(format!("{}, the owner, gets SIGTERM", node.name));
    let until = Instant::now() + GRACE;
    while !node.has_exited() {
        if Instant::now() > until {
            crate::cluster::unable("a process doesn't exit after SIGTERM");
        }
        thread::sleep(Duration::from_millis(20));
    }
    node.spawn();
    cluster.record.note(format!("{} starts again", node.name));
}
