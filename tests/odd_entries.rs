//! Entries of other writers in the host list, read by real processes.

mod harness;

use std::time::Duration;

use harness::{
    Process, call_until, check_runs,
    standin::{PREFIX, Platform, job_body},
    wait_for_owner, wait_for_state,
};
use serde_json::json;

/// Number of hosts.
const HOSTS: usize = 3;

/// Number of runners.
const RUNNERS: usize = 3;

/// Time for which odd entries are left before a job comes: several readings of the list.
const READING_TIME: Duration = Duration::from_secs(2);

/// Returns entries that name no runner.
fn odd_entries() -> Vec<Vec<u8>> {
    vec![
        "[".repeat(60_000).into_bytes(),
        (r#"{"a":"#.repeat(30_000) + "1" + &"}".repeat(30_000)).into_bytes(),
        Platform::odd_entry("Addr", json!("127.0.0.1:99999")),
        Platform::odd_entry("Addr", json!("127.0.0.1:0")),
        Platform::odd_entry(
            "Capacity",
            json!({"Cpu": 1e300, "MemMb": 1e300, "Gpus": 1e300}),
        ),
        Platform::odd_entry("born", json!(1e300)),
        Platform::odd_entry("State", json!("asleep")),
        Platform::odd_entry("Service", json!("elsewhere")),
        Platform::odd_entry("Labels", json!(7)),
        Platform::odd_entry("Version", json!(null)),
        vec![0xff, 0xfe],
    ]
}

/// Runs a job of several tasks to its end.
async fn run_job(process: &Process, id: &str) {
    let path = format!("{PREFIX}{id}");
    let body = job_body("run 200", &[6]);
    call_until("POST", &process.callers, &path, &body, 200).await;
    wait_for_state(&process.callers, id, "completed").await;
}

fn check_alive(processes: &mut [Process]) {
    for process in processes {
        let exited = process.child.try_wait().expect("a state");
        assert!(exited.is_none(), "{exited:?}");
    }
}

/// Guards against entries of other writers that end the processes that read the list, or stop them from
/// following it, also under the id of a runner and after a takeover.
#[ntex::test]
async fn odd_entries_end_no_process_and_change_no_runner() {
    let platform = Platform::start(RUNNERS);
    let mut processes: Vec<Process> = (90..90 + HOSTS)
        .map(|number| Process::start(number, &platform))
        .collect();
    wait_for_owner(&processes).await;
    for (number, entry) in odd_entries().iter().enumerate() {
        platform.list_entry(&format!("odd-{number}"), entry);
    }
    tokio::time::sleep(READING_TIME).await;
    run_job(&processes[0], "00000000000000b0").await;
    let known = platform.runners[0]
        .lock()
        .expect("no handler panicked")
        .id
        .clone();
    for entry in odd_entries() {
        platform.list_entry(&known, &entry);
    }
    tokio::time::sleep(READING_TIME).await;
    run_job(&processes[0], "00000000000000b1").await;
    check_alive(&mut processes);
    let owner = wait_for_owner(&processes).await;
    drop(processes.swap_remove(owner));
    wait_for_owner(&processes).await;
    run_job(&processes[0], "00000000000000b2").await;
    check_alive(&mut processes);
    check_runs(&platform);
    for process in &processes {
        let odd = process.lines_of("odd-");
        assert!(odd.len() <= odd_entries().len() * 3, "{} lines", odd.len());
    }
}
