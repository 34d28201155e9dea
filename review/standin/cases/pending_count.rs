//! Owners of the cell are killed twice, the first time beside a runner, while jobs wait for room.

use std::{path::Path, thread, time::Duration};

use crate::cluster::{Cluster, DEADLINE, HOST, PREFIX};

/// Jobs that wait for room all the while.
const WAITING: u64 = 20;

const DISTURBED: usize = 3;

pub fn play(has_trouble: bool, folder: &Path) -> Vec<String> {
    let mut cluster = Cluster::start(3, 4, 4_000, 16_384, &[("batch", PREFIX)]);
    let patience = Duration::from_secs(8);
    let step = |count: u64| {
        format!("{{\"Count\":{count},\"Cpu\":4000,\"MemMb\":100,\"EstRuntimeMs\":60000}}")
    };
    let full = format!("{{\"Spec\":\"ms=90000\",\"Steps\":[{}]}}", step(4));
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
        kill_owner(&mut cluster, true);
        thread::sleep(Duration::from_secs(15));
        count_pending(&cluster);
        kill_owner(&mut cluster, false);
    } else {
        thread::sleep(Duration::from_secs(15));
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

/// Kills the process that owns the cell, which starts again after a second, and a runner at the same
/// time, which starts again under its id two seconds later.
fn kill_owner(cluster: &mut Cluster, with_runner: bool) {
    let Some(owner) = cluster.owner() else {
        crate::cluster::unable("no process owns the cell");
    };
    let runner = cluster.runners[DISTURBED].clone();
    if with_runner {
        runner.kill();
        cluster.record.note(format!("runner {DISTURBED} crashes"));
    }
    cluster.nodes[owner].kill();
    cluster.record.note(format!(
        "{}, the owner, is killed",
        cluster.nodes[owner].name
    ));
    thread::sleep(Duration::from_secs(1));
    cluster.nodes[owner].spawn();
    cluster
        .record
        .note(format!("{} starts again", cluster.nodes[owner].name));
    if with_runner {
        thread::sleep(Duration::from_secs(1));
        runner.restart();
        cluster
            .record
            .note(format!("runner {DISTURBED} starts again under its id"));
    }
}
