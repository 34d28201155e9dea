//! The only runner with room fails all that it starts, twice for some seconds.

use std::{path::Path, thread, time::Duration};

use crate::{
    cluster::{Cluster, PREFIX},
    record::RunRow,
};

/// One runner of twelve is disturbed; the users' sheets have a share of up to 0.085.
const RUNNERS: usize = 12;

/// How long it fails everything, the pause until it does again, and how long then; the users' sheets
/// have up to 6.5 s.
const FIRST: Duration = Duration::from_millis(6_500);
const BETWEEN: Duration = Duration::from_millis(1_500);
const SECOND: Duration = Duration::from_millis(4_000);

pub fn play(has_trouble: bool, folder: &Path) -> Vec<String> {
    let cluster = Cluster::start(3, RUNNERS, 32_000, 131_072, &[("batch", PREFIX)]);
    let record = &cluster.record;
    let patience = Duration::from_secs(8);
    let full = RUNNERS - 1;
    let step = format!("{{\"Count\":{full},\"Cpu\":32000,\"MemMb\":100,\"EstRuntimeMs\":100000}}");
    let body = format!("{{\"Spec\":\"ms=100000\",\"Steps\":[{step}]}}");
    if !cluster.submit(0, &format!("{PREFIX}{:016x}", 0xf001), &body, patience) {
        crate::cluster::unable("the first job was not accepted");
    }
    thread::sleep(Duration::from_secs(2));
    let used: Vec<usize> = record.runs().iter().map(|run| run.runner).collect();
    let free: Vec<usize> = (0..RUNNERS)
        .filter(|runner| !used.contains(runner))
        .collect();
    let [free] = free[..] else {
        crate::cluster::unable("expected one runner with room");
    };
    let runner = &cluster.runners[free];
    let disturb = |is_failing: bool, time: Duration| {
        if has_trouble {
            runner.set_failing(is_failing);
            let what = if is_failing {
                "fails all that it starts"
            } else {
                "is sound"
            };
            record.note(format!("runner {free} {what}"));
        }
        thread::sleep(time);
    };
    disturb(true, Duration::ZERO);
    let lasting = format!("{:016x}", 0xf002);
    let step = "{\"Count\":1,\"Cpu\":1000,\"MemMb\":100,\"EstRuntimeMs\":100,\"LongRunning\":true}";
    let body = format!("{{\"Spec\":\"lasts=1\",\"Steps\":[{step}]}}");
    let sent_at = record.now();
    if !cluster.submit(0, &format!("{PREFIX}{lasting}"), &body, patience) {
        crate::cluster::unable("the lasting job was not accepted");
    }
    thread::sleep((sent_at + FIRST).saturating_sub(record.now()));
    disturb(false, BETWEEN);
    disturb(true, SECOND);
    disturb(false, Duration::ZERO);
    let disturbed_until = record.now();
    thread::sleep(Duration::from_secs(18));
    let breaks = find_gaps(&record.runs(), &lasting, disturbed_until, record.now());
    record.write(&folder.join("record.txt"));
    breaks
}

/// Returns the times for which the lasting task had no run too long: for 3 s from 6 s after its last
/// run, these and the 4 s before being calm. The runner has room for it all the while.
fn find_gaps(runs: &[RunRow], job: &str, disturbed_until: Duration, now: Duration) -> Vec<String> {
    let of_task: Vec<&RunRow> = runs
        .iter()
        .filter(|run| run.task.starts_with(job))
        .collect();
    let mut breaks = Vec::new();
    for (at, run) in of_task.iter().enumerate() {
        let Some((ended, how)) = run.ended else {
            continue;
        };
        let next = of_task.get(at + 1).map_or(now, |next| next.began);
        let seconds = [ended, next, disturbed_until].map(|time| time.as_secs_f64());
        let [ended_s, next_s, disturbed_s] = seconds;
        println!(
            "run {} ended {how} at {ended_s:.3} s, next run at {next_s:.3} s",
            run.run
        );
        let counts_from =
            (ended + Duration::from_secs(6)).max(disturbed_until + Duration::from_secs(4));
        if next > counts_from + Duration::from_secs(3) {
            breaks.push(format!(
                "the task of job {job} has no run from {ended_s:.3} s to {next_s:.3} s; its runner is sound and empty from {disturbed_s:.3} s on"
            ));
        }
    }
    breaks
}
