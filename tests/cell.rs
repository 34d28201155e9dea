//! End-to-end tests: real processes of a cell against a fake of the users' platform.

mod loopback;
#[path = "../platform/standin/mod.rs"]
mod standin;

use std::{
    collections::BTreeMap,
    fs,
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use ntex::client::Client;
use serde_json::Value;
use standin::{Access, FIRST_VERSION, Gate, HOST, MAX_ATTEMPTS, PREFIX, Platform, job_body};

/// Timeout of every wait for an expected state.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Interval at which waits check their condition.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A running process of the cell, killed when dropped.
struct Process {
    child: Child,
    callers: String,
    admin: String,
    lines: Arc<Mutex<Vec<Value>>>,
    settings: PathBuf,
}

impl Process {
    fn start(number: usize, platform: &Platform) -> Self {
        Self::start_on(number, 1.0, platform.store_addr)
    }

    /// Starts a process on a host that offers `processors` processors and reaches the store at
    /// `store_addr`.
    fn start_on(number: usize, processors: f64, store_addr: SocketAddr) -> Self {
        let address = loopback::own_address();
        let addrs: [_; 4] = loopback::free_ports(address);
        let settings = format!(
            "node: host-{number}\naddress: {address}\ndata_centre: z\ncallers: {}\nready: {}\n\
             admin: {}\ninternal_port: {}\nstore: {}\nmax_lease_ms: 10000\nspread_factor: 3\n\
             keep_ended_s: 120\ngrace_s: 6\nprocessors: {processors}\n",
            addrs[0],
            addrs[1],
            addrs[2],
            addrs[3].port(),
            store_addr
        );
        let file = format!("kspan-cell-{}-{number}.yaml", std::process::id());
        let path = std::env::temp_dir().join(file);
        fs::write(&path, settings).expect("a writable folder");
        let mut child = Command::new(env!("CARGO_BIN_EXE_kspan-cell"))
            .arg("--settings")
            .arg(&path)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let lines = Arc::new(Mutex::new(Vec::new()));
        let (sink, stdout) = (Arc::clone(&lines), child.stdout.take().expect("piped"));
        thread::spawn(move || {
            for line in BufReader::new(stdout).lines().map_while(Result::ok) {
                let line = serde_json::from_str(&line).expect("each line is JSON");
                sink.lock().expect("no reader panics").push(line);
            }
        });
        Self {
            child,
            callers: addrs[0].to_string(),
            admin: addrs[2].to_string(),
            lines,
            settings: path,
        }
    }

    /// Returns the log lines that contain the id of a job or of one of its tasks.
    fn lines_of(&self, job: &str) -> Vec<Value> {
        let lines = self.lines.lock().expect("no writer panics");
        let names = |line: &&Value| line.to_string().contains(job);
        lines.iter().filter(names).cloned().collect()
    }

    fn signal(&self, signal: rustix::process::Signal) {
        let id = i32::try_from(self.child.id()).expect("a process id");
        let id = rustix::process::Pid::from_raw(id).expect("a process id");
        rustix::process::kill_process(id, signal).expect("the process is running");
    }

    fn terminate(&mut self) {
        self.signal(rustix::process::Signal::TERM);
        let status = self.child.wait().expect("the process exits");
        assert!(status.success(), "{status}");
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings);
    }
}

async fn call(method: &str, addr: &str, path: &str, body: &str) -> Option<(u16, String)> {
    let method = method.parse().expect("a method");
    let req = Client::new()
        .await
        .request(method, format!("http://{addr}{path}"));
    let req = req.header("host", HOST).content_type("application/json");
    let response = req.send_body(body.to_owned()).await.ok()?;
    let body = response.body().await.ok()?;
    let text = String::from_utf8_lossy(&body).into_owned();
    Some((response.status().as_u16(), text))
}

/// Repeats a call until the response has the status `status`; returns its body.
async fn call_until(method: &str, addr: &str, path: &str, body: &str, status: u16) -> String {
    let started_at = Instant::now();
    loop {
        let response = call(method, addr, path, body).await;
        match response {
            Some((answered, text)) if answered == status => return text,
            response => assert!(
                started_at.elapsed() < TIMEOUT,
                "{method} {path}: {response:?}"
            ),
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn wait_for_state(addr: &str, id: &str, wanted: &str) {
    let started_at = Instant::now();
    let path = format!("{PREFIX}{id}");
    loop {
        let text = call_until("GET", addr, &path, "", 200).await;
        let state: Value = serde_json::from_str(&text).expect("a state");
        if state["State"] == wanted {
            return;
        }
        assert!(
            started_at.elapsed() < TIMEOUT,
            "{id} is {state}, not {wanted}"
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Waits until a process owns the cell and has the configuration; returns its index.
async fn wait_for_owner(processes: &[Process]) -> usize {
    let started_at = Instant::now();
    loop {
        for (at, process) in processes.iter().enumerate() {
            if let Some((200, dump)) = call("GET", &process.admin, "/dump", "").await {
                let dump: Value = serde_json::from_str(&dump).expect("a dump");
                if dump["owned"].is_object() && dump["owned"]["config_version"] == FIRST_VERSION {
                    return at;
                }
            }
        }
        assert!(started_at.elapsed() < TIMEOUT, "no process owns the cell");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Waits until a process has logged a line about a job that fulfils `is_wanted`; returns all its
/// lines about the job.
async fn wait_for_line(
    process: &Process,
    job: &str,
    is_wanted: impl Fn(&Value) -> bool,
) -> Vec<Value> {
    let started_at = Instant::now();
    loop {
        let lines = process.lines_of(job);
        if lines.iter().any(&is_wanted) {
            return lines;
        }
        assert!(started_at.elapsed() < TIMEOUT, "{lines:?}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Checks that no task completed twice and that no two runs of a task overlapped.
fn check_runs(platform: &Platform) {
    let mut by_task: BTreeMap<String, Vec<_>> = BTreeMap::new();
    for (runner, run) in platform.runs() {
        by_task
            .entry(run.task.clone())
            .or_default()
            .push((runner, run));
    }
    for (task, runs) in by_task {
        let done = runs.iter().filter(|(_, run)| run.how == "done").count();
        assert!(done <= 1, "{task} completed {done} times");
        for (at, (_, one)) in runs.iter().enumerate() {
            for (_, other) in &runs[at + 1..] {
                let is_disjoint = one.ended.is_some_and(|end| end <= other.began)
                    || other.ended.is_some_and(|end| end <= one.began);
                assert!(is_disjoint, "{task} had overlapping runs: {runs:?}");
            }
        }
    }
}

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
    let body = job_body("run 2500", &[4]);
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
