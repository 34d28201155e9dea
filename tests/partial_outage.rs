//! End-to-end tests of a cell whose hosts lose the store or each other in part.

mod harness;

use std::time::{Duration, Instant};

use harness::{
    POLL_INTERVAL, Process, TIMEOUT, call, call_until,
    standin::{
        FIRST_VERSION, PREFIX, Platform,
        gate::{Access, Gate},
        job_body,
    },
    wait_for_owner, wait_for_state,
};
use serde_json::Value;

/// Time after which every process must have an accepted version of the configuration in force.
const CONFIG_APPLY_TIME: Duration = Duration::from_millis(2_500);

/// Additional time while the store turns hosts away, during which the cell may refuse requests
/// with 503.
const MAX_STRETCH: Duration = Duration::from_millis(5_000);

/// Starts a cell of `count` hosts, each with its own access to the store, and waits until the owner
/// knows all of them. Returns the processes, their gates and the owner's index.
async fn start_cell_with_gates(
    platform: &Platform,
    first: usize,
    count: usize,
) -> (Vec<Process>, Vec<Gate>, usize) {
    let gates: Vec<_> = (0..count).map(|_| platform.open_gate()).collect();
    let numbers = first..first + count;
    let processes: Vec<_> = numbers
        .zip(&gates)
        .map(|(number, gate)| Process::start_on(number, 1.0, gate.addr))
        .collect();
    let started_at = Instant::now();
    loop {
        let owner = wait_for_owner(&processes).await;
        let dump = call_until("GET", &processes[owner].admin, "/dump", "", 200).await;
        let dump: Value = serde_json::from_str(&dump).expect("a dump");
        if dump["members"]
            .as_array()
            .is_some_and(|all| all.len() == count)
        {
            return (processes, gates, owner);
        }
        assert!(started_at.elapsed() < TIMEOUT, "{dump}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Prefixes of queues that a change of the configuration adds and removes.
const ADDED: &str = "/added/";
const REMOVED: &str = "/removed/";

/// Checks for a while after a change of the queues that no request sent later than the bound gets an
/// answer that only the older version allows. Returns which processes have served the added queue.
async fn check_no_outdated_answers(processes: &[Process], changed_at: Instant) -> Vec<bool> {
    let mut is_served = vec![false; processes.len()];
    while changed_at.elapsed() < CONFIG_APPLY_TIME + MAX_STRETCH {
        for (process, is_served) in processes.iter().zip(&mut is_served) {
            for (path, outdated) in [(ADDED, 404), (REMOVED, 200)] {
                let sent_after = changed_at.elapsed();
                let Some((status, _)) = call("GET", &process.callers, path, "").await else {
                    continue;
                };
                let is_late = sent_after > CONFIG_APPLY_TIME;
                assert!(
                    !is_late || status != outdated,
                    "GET {path} sent {sent_after:?} after the change: {status}"
                );
                *is_served |= path == ADDED && status == 200;
            }
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    is_served
}

#[ntex::test]
async fn no_outdated_answer_about_queues_is_given_while_no_host_reaches_the_store() {
    let platform = Platform::start(1);
    platform.publish_config(FIRST_VERSION, &[PREFIX, REMOVED]);
    let (processes, gates, _) = start_cell_with_gates(&platform, 60, 2).await;
    for gate in &gates {
        gate.set_access(Access::Silent);
    }
    let changed_at = Instant::now();
    platform.publish_config(FIRST_VERSION + 1, &[PREFIX, ADDED]);
    let is_served = check_no_outdated_answers(&processes, changed_at).await;
    assert_eq!(is_served, [false, false], "no host could know the change");

    for gate in &gates {
        gate.set_access(Access::Served);
    }
    for process in &processes {
        call_until("GET", &process.callers, ADDED, "", 200).await;
        call_until("GET", &process.callers, REMOVED, "", 404).await;
    }
}

#[ntex::test]
async fn jobs_are_accepted_while_only_the_topic_of_the_configuration_is_unavailable() {
    let platform = Platform::start(1);
    let (processes, gates, _) = start_cell_with_gates(&platform, 90, 2).await;
    for gate in &gates {
        gate.set_access(Access::WithoutConfig);
    }
    tokio::time::sleep(CONFIG_APPLY_TIME).await;
    let body = job_body("run 50", &[1]);
    for (process, id) in processes
        .iter()
        .zip(["00000000000000f1", "00000000000000f2"])
    {
        let path = format!("{PREFIX}{id}");
        let response = call("POST", &process.callers, &path, &body).await;
        assert_eq!(response.map(|(status, _)| status), Some(200));
        wait_for_state(&process.callers, id, "completed").await;
        // The queue may have been added meanwhile.
        let response = call("GET", &process.callers, ADDED, "").await;
        assert_eq!(response.map(|(status, _)| status), Some(503));
    }
}

/// Time within which urgent work must start, and with it a takeover be complete.
const URGENT_START_TIME: Duration = Duration::from_millis(4_800);

#[ntex::test]
async fn takeover_does_not_wait_for_hosts_that_do_not_answer() {
    let platform = Platform::start(1);
    let (mut processes, _gates, owner) = start_cell_with_gates(&platform, 70, 16).await;
    let stopped_process = processes.remove(owner);
    let survivors = processes.split_off(13);
    stopped_process.signal(rustix::process::Signal::STOP);
    for process in &processes {
        process.signal(rustix::process::Signal::STOP);
    }
    let stopped_at = Instant::now();
    wait_for_owner(&survivors).await;
    let took = stopped_at.elapsed();
    assert!(took < URGENT_START_TIME, "the takeover took {took:?}");
}

#[ntex::test]
async fn change_of_queues_is_in_force_while_the_store_turns_away_the_owner_and_most_hosts() {
    for (first, access) in [(40, Access::Refused), (50, Access::Silent)] {
        let platform = Platform::start(1);
        platform.publish_config(FIRST_VERSION, &[PREFIX, REMOVED]);
        let (processes, gates, owner) = start_cell_with_gates(&platform, first, 6).await;
        // Only one host, the last in the order of names, can still reach the store.
        let relay = (0..gates.len()).rfind(|at| *at != owner);
        for (at, gate) in gates.iter().enumerate() {
            if Some(at) != relay {
                gate.set_access(access);
            }
        }
        let changed_at = Instant::now();
        platform.publish_config(FIRST_VERSION + 1, &[PREFIX, ADDED]);
        let is_served = check_no_outdated_answers(&processes, changed_at).await;
        assert!(
            is_served.iter().all(|served| *served),
            "the added queue is not served by all processes in time: {is_served:?}"
        );
    }
}
