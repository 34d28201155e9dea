//! End-to-end tests of jobs: real processes of a cell against a fake of the users' platform.

mod harness;

use std::time::{Duration, Instant};

use harness::{
    POLL_INTERVAL, Process, TIMEOUT, call, call_until, check_runs,
    standin::{MAX_ATTEMPTS, PREFIX, Platform, job_body},
    wait_for_line, wait_for_owner, wait_for_state,
};
use serde_json::Value;

#[ntex::test]
async fn cell_completes_jobs_across_owner_kill_and_graceful_shutdown() {
    let platform = Platform::start(3);
    let mut processes: Vec<_> = (0..3)
        .map(|number| Process::start(number, &platform))
        .collect();
    let first = wait_for_owner(&processes).await;
    let bystander = (first + 1) % 3;

    // Every process serves callers, whether or not it owns the cell.
    let path = |id: &str| format!("{PREFIX}{id}");
    let (done, failing) = ("00000000000000a1", "00000000000000a2");
    call_until(
        "POST",
        &processes[bystander].callers,
        &path(done),
        &job_body("run 100", &[3, 2]),
        200,
    )
    .await;
    wait_for_state(&processes[first].callers, done, "completed").await;

    // Invalid requests get the documented status.
    let table = [
        ("GET", path("00000000000000ff"), String::new(), 410),
        ("DELETE", path("00000000000000ff"), String::new(), 410),
        (
            "GET",
            "/elsewhere/00000000000000ff".to_owned(),
            String::new(),
            404,
        ),
        (
            "POST",
            "/elsewhere/00000000000000ff".to_owned(),
            job_body("run 1", &[1]),
            404,
        ),
        ("POST", path("00000000000000fe"), "{".to_owned(), 400),
        (
            "POST",
            path("00000000000000fe"),
            job_body("run 1", &[0]),
            400,
        ),
        ("POST", path("not-an-id"), job_body("run 1", &[1]), 400),
    ];
    for (method, path, body, status) in table {
        call_until(method, &processes[bystander].callers, &path, &body, status).await;
    }

    // A job that always fails ends after the maximum number of attempts, each of which is logged.
    let body = job_body("fail 50", &[1]);
    call_until(
        "POST",
        &processes[bystander].callers,
        &path(failing),
        &body,
        200,
    )
    .await;
    wait_for_state(&processes[bystander].callers, failing, "failed").await;
    let has_failed = |line: &Value| line["message"] == "job ended" && line["how"] == "failed";
    let lines = wait_for_line(&processes[first], failing, has_failed).await;
    let failed_runs = lines
        .iter()
        .filter(|line| line["how"] == "failed" && line["task"].is_string());
    assert_eq!(failed_runs.count(), MAX_ATTEMPTS as usize, "{lines:?}");

    // Running tasks survive the loss of the owner.
    let (long, cancelled) = ("00000000000000b1", "00000000000000b2");
    // Long enough to outlast the steps up to the kill on a busy machine.
    let body = job_body("run 10000", &[4]);
    call_until(
        "POST",
        &processes[bystander].callers,
        &path(long),
        &body,
        200,
    )
    .await;
    wait_for_state(&processes[bystander].callers, long, "running").await;
    let body = job_body("run 60000", &[2]);
    call_until(
        "POST",
        &processes[bystander].callers,
        &path(cancelled),
        &body,
        200,
    )
    .await;
    processes[first]
        .child
        .kill()
        .expect("the process is running");
    let second = wait_for_owner(&processes).await;
    assert_ne!(second, first);
    wait_for_state(&processes[bystander].callers, long, "completed").await;
    call_until(
        "DELETE",
        &processes[bystander].callers,
        &path(cancelled),
        "",
        200,
    )
    .await;
    wait_for_state(&processes[bystander].callers, cancelled, "cancelled").await;
    wait_for_state(&processes[bystander].callers, done, "completed").await;
    check_runs(&platform);
    let is_adopted = |line: &Value| line["message"] == "run adopted";
    wait_for_line(&processes[second], long, is_adopted).await;

    // The new owner serves explanations and metrics.
    let explain_path = format!("/explain/{long}");
    let explained = call_until("GET", &processes[second].admin, &explain_path, "", 200).await;
    let explained: Value = serde_json::from_str(&explained).expect("an explanation");
    assert_eq!(explained["phase"], "completed");
    let table = [
        (second, "kspan_cell_owner 1"),
        (second, "kspan_cell_jobs_ended_total"),
        (bystander, "kspan_cell_call_seconds"),
    ];
    for (at, name) in table {
        let metrics = call_until("GET", &processes[at].admin, "/metrics", "", 200).await;
        assert!(metrics.contains(name), "{name} is missing in\n{metrics}");
    }

    // After a graceful shutdown of the owner, the last process takes over.
    processes[second].terminate();
    let last = wait_for_owner(&processes).await;
    assert!(last != first && last != second);
    wait_for_state(&processes[last].callers, done, "completed").await;
}

#[ntex::test]
async fn job_withdrawn_by_one_call_is_not_accepted_by_a_concurrent_call() {
    let platform = Platform::start(1);
    let processes = [Process::start(30, &platform)];
    wait_for_owner(&processes).await;
    let addr = processes[0].callers.clone();
    let path = |id: &str| format!("{PREFIX}{id}");

    // The write of the first job is in flight, so that the write of the next job cannot begin.
    platform.set_store_down(true);
    let (in_flight, resubmitted) = ("00000000000000e1", "00000000000000e2");
    let post = |id: &str, after_ms: u64| {
        let (addr, path) = (addr.clone(), path(id));
        ntex::rt::spawn(async move {
            tokio::time::sleep(Duration::from_millis(after_ms)).await;
            call("POST", &addr, &path, &job_body("run 50", &[1])).await
        })
    };
    let _in_flight_call = post(in_flight, 0);
    let (first, second) = (post(resubmitted, 200), post(resubmitted, 800));
    let first = first
        .await
        .expect("the call task completes")
        .expect("a response")
        .0;
    assert_eq!(first, 503, "withdrawn, as nothing of it was written");
    platform.set_store_down(false);
    let second = second
        .await
        .expect("the call task completes")
        .expect("a response")
        .0;
    assert_eq!(second, 503, "nothing of the job is stored");
    call_until("GET", &addr, &path(resubmitted), "", 410).await;

    // The job can be submitted again as a new one.
    call_until(
        "POST",
        &addr,
        &path(resubmitted),
        &job_body("run 50", &[1]),
        200,
    )
    .await;
    wait_for_state(&addr, resubmitted, "completed").await;
}

#[ntex::test]
async fn weak_owner_hands_over_to_much_stronger_host_without_interrupting_runs() {
    let platform = Platform::start(2);
    let mut processes = vec![Process::start_on(20, 0.1, platform.store_addr)];
    assert_eq!(wait_for_owner(&processes).await, 0);
    let long = "00000000000000d1";
    let path = format!("{PREFIX}{long}");
    let body = job_body("run 10000", &[3]);
    call_until("POST", &processes[0].callers, &path, &body, 200).await;
    wait_for_state(&processes[0].callers, long, "running").await;

    // A slightly stronger host does not take over; a much stronger one does.
    processes.push(Process::start_on(21, 0.15, platform.store_addr));
    processes.push(Process::start_on(22, 1.0, platform.store_addr));
    let started_at = Instant::now();
    while wait_for_owner(&processes).await != 2 {
        assert!(
            started_at.elapsed() < TIMEOUT,
            "the weak host still owns the cell"
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let is_adopted = |line: &Value| line["message"] == "run adopted";
    wait_for_line(&processes[2], long, is_adopted).await;
    wait_for_state(&processes[1].callers, long, "completed").await;
    check_runs(&platform);
    assert_eq!(
        platform.runs().len(),
        3,
        "a run was interrupted and started again"
    );
}

#[ntex::test]
async fn store_outage_refuses_new_jobs_at_once_and_loses_none() {
    let platform = Platform::start(1);
    let processes = [Process::start(10, &platform)];
    wait_for_owner(&processes).await;
    let addr = &processes[0].callers;
    let path = |id: &str| format!("{PREFIX}{id}");
    call_until(
        "POST",
        addr,
        &path("00000000000000c1"),
        &job_body("run 50", &[1]),
        200,
    )
    .await;
    wait_for_state(addr, "00000000000000c1", "completed").await;

    // The job whose write is in flight may become durable, so it is answered as in doubt. Later
    // jobs are refused before they are stored.
    platform.set_store_down(true);
    let (in_flight, refused) = ("00000000000000c2", "00000000000000c3");
    call_until(
        "POST",
        addr,
        &path(in_flight),
        &job_body("run 50", &[1]),
        504,
    )
    .await;
    call_until("POST", addr, &path(refused), &job_body("run 50", &[1]), 503).await;

    platform.set_store_down(false);
    wait_for_state(addr, in_flight, "completed").await;
    call_until("GET", addr, &path(refused), "", 410).await;
    let runs = platform.runs();
    assert!(!runs.iter().any(|(_, run)| run.task.starts_with(refused)));
    call_until("POST", addr, &path(refused), &job_body("run 50", &[1]), 200).await;
    wait_for_state(addr, refused, "completed").await;
    check_runs(&platform);
}
