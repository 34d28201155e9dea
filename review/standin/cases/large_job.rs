//! One job of many tasks that save their progress comes beside small ones; then all processes are
//! killed and start again.

use std::{
    collections::HashSet,
    path::Path,
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::{Duration, Instant},
};

use crate::{
    cluster::{Cluster, DEADLINE, HOST, PREFIX},
    http,
};

/// `AckMs` and `RecoveryS` of the users' sheets.
const ACK: Duration = Duration::from_millis(4_000);
const RECOVERY: Duration = Duration::from_secs(12);

/// How long the processes are away; the users' site file has up to 0.89 s for `kill_all`.
const AWAY: Duration = Duration::from_millis(800);

/// Time between two small jobs, and for which they are counted after the recovery.
const INTERVAL: Duration = Duration::from_millis(500);
const COUNTED: Duration = Duration::from_secs(14);

/// How long the job may take; its tasks need 15 s on the runners.
const MAX_TIME: Duration = Duration::from_secs(45);

/// How long the script goes on waiting after the store has refused a record.
const AFTER_REFUSAL: Duration = Duration::from_secs(5);

/// A small job: when it was sent, and whether it was accepted.
type Sent = (Duration, bool);

pub fn play(has_trouble: bool, folder: &Path) -> Vec<String> {
    let mut cluster = Cluster::start(3, 6, 32_000, 131_072, &[("batch", PREFIX)]);
    let entries: Vec<_> = cluster.nodes.iter().map(|node| node.callers).collect();
    let record = std::sync::Arc::clone(&cluster.record);
    let has_ended = AtomicBool::new(false);
    let (small, killed_at, back_at, mut breaks) = thread::scope(|scope| {
        let client = scope.spawn(|| {
            let mut sent = Vec::new();
            let mut calls = Vec::new();
            while !has_ended.load(Ordering::Relaxed) {
                let (number, entries, record) = (calls.len(), &entries, &record);
                calls.push(scope.spawn(move || submit_small(number, entries, record)));
                thread::sleep(INTERVAL);
            }
            for call in calls {
                sent.push(call.join().unwrap());
            }
            sent
        });
        thread::sleep(Duration::from_secs(3));
        let breaks = play_large_job(&cluster, has_trouble);
        let killed_at = record.now();
        for node in &mut cluster.nodes {
            node.kill();
        }
        record.note("all processes are killed".to_owned());
        thread::sleep(AWAY);
        for node in &mut cluster.nodes {
            node.spawn();
        }
        let back_at = record.now();
        record.note("all processes start again".to_owned());
        thread::sleep(RECOVERY + COUNTED);
        has_ended.store(true, Ordering::Relaxed);
        (client.join().unwrap(), killed_at, back_at, breaks)
    });
    let large = format!("{PREFIX}{:016x}", 0xc001);
    let state = cluster.state(&large, Duration::from_secs(3));
    record.note(format!("the large job is shown as {state:?}"));
    let oversized = cluster.store.oversized();
    record.note(format!(
        "appends refused by the store for a record over RecordBytes: {oversized}"
    ));
    let count = |from: Duration, until: Duration| {
        let sent = small.iter().filter(|(at, _)| (from..until).contains(at));
        let served = sent.clone().filter(|(_, is_accepted)| *is_accepted);
        (served.count(), sent.count())
    };
    let (before, of_before) = count(Duration::ZERO, killed_at);
    let (after, of_after) = count(back_at + RECOVERY, Duration::MAX);
    let text = format!(
        "{after} of {of_after} requests served that were sent later than {RECOVERY:?} after the processes were back, {before} of {of_before} before"
    );
    record.note(text.clone());
    if after * 4 < of_after && before * 4 >= of_before {
        breaks.push(text);
    }
    record.write(&folder.join("record.txt"));
    breaks
}

/// Hands the large job in and waits for its tasks. Returns the breaks of the terms on acknowledgements.
fn play_large_job(cluster: &Cluster, has_trouble: bool) -> Vec<String> {
    let count: usize = if has_trouble { 6_000 } else { 600 };
    let step = |depends_on: &str| {
        format!(
            "{{\"Count\":{count},\"Cpu\":100,\"MemMb\":100,\"EstRuntimeMs\":1500,\
             \"SavesProgress\":true{depends_on}}}"
        )
    };
    let body = format!(
        "{{\"Spec\":\"ms=1500 saves=1\",\"Steps\":[{},{},{}]}}",
        step(""),
        step(",\"DependsOn\":[0]"),
        step(",\"DependsOn\":[1]")
    );
    let path = format!("{PREFIX}{:016x}", 0xc001);
    if !cluster.submit(0, &path, &body, Duration::from_secs(8)) {
        crate::cluster::unable("the job was not accepted");
    }
    let started = Instant::now();
    let prefix = format!("{:016x}.", 0xc001);
    let done = || {
        let runs = cluster.record.runs();
        let of_job = runs.iter().filter(|run| run.task.starts_with(&prefix));
        let done = of_job.filter(|run| matches!(run.ended, Some((_, "done"))));
        let tasks: HashSet<String> = done.map(|run| run.task.clone()).collect();
        tasks.len()
    };
    let mut refused_at = None;
    while done() < 3 * count && started.elapsed() < MAX_TIME {
        if cluster.store.oversized() > 0 {
            refused_at.get_or_insert_with(Instant::now);
        }
        if refused_at.is_some_and(|at| at.elapsed() > AFTER_REFUSAL) {
            break;
        }
        thread::sleep(Duration::from_millis(500));
    }
    cluster.record.note(format!(
        "{} of {} tasks have ended done {:.1} s after the job was accepted",
        done(),
        3 * count,
        started.elapsed().as_secs_f64()
    ));
    let listed_until = cluster.record.now();
    thread::sleep(ACK);
    let runs = cluster.record.runs();
    let listed = runs
        .iter()
        .filter(|run| run.ended.is_some_and(|(at, _)| at <= listed_until));
    let (mut ends, mut open) = (0, 0);
    for run in listed {
        ends += 1;
        open += usize::from(run.noted.is_none());
    }
    let text = format!("{open} of {ends} ends not acknowledged after {ACK:?} without a disruption");
    cluster.record.note(text.clone());
    if open * 5 > ends {
        vec![text]
    } else {
        Vec::new()
    }
}

/// Hands a small job in as a client of the users does, with up to four retries within its time.
fn submit_small(
    number: usize,
    entries: &[std::net::SocketAddr],
    record: &crate::record::Record,
) -> Sent {
    let sent_at = record.now();
    let path = format!("{PREFIX}{:016x}", 0xd0000 + number);
    let body = "{\"Spec\":\"ms=100\",\"Steps\":[{\"Count\":1,\"Cpu\":100,\"MemMb\":100,\"EstRuntimeMs\":100}]}";
    let mut answers = Vec::new();
    for attempt in 0..5 {
        let left = (sent_at + DEADLINE).saturating_sub(record.now());
        if left.is_zero() {
            break;
        }
        let to = entries[(number + attempt) % entries.len()];
        let answer = http::call(to, "POST", HOST, &path, body, left);
        answers.push(answer.as_ref().map_or(0, |(status, _)| *status));
        if matches!(answer, Some((200..=299, _))) {
            break;
        }
        thread::sleep(INTERVAL);
    }
    let is_accepted = matches!(answers.last(), Some(200..=299));
    record.note(format!("POST {path}: {answers:?} (0: no answer)"));
    (sent_at, is_accepted)
}
