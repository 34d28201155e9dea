//! Real processes of a cell, for end-to-end tests against a fake of the users' platform, and calls to
//! processes of any kind.

#![allow(dead_code, reason = "each test file uses its part")]

#[path = "../loopback/mod.rs"]
pub(crate) mod loopback;
#[path = "../../platform/standin/mod.rs"]
pub(crate) mod standin;

use std::{
    collections::BTreeMap,
    fs,
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use ntex::client::Client;
use serde_json::Value;
use standin::{FIRST_VERSION, HOST, PREFIX, Platform};

/// Timeout of every wait for an expected state.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(60);

/// Interval at which waits check their condition.
pub(crate) const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A running process of the cell, killed when dropped.
pub(crate) struct Process {
    pub(crate) child: Child,
    pub(crate) callers: String,
    pub(crate) ready: String,
    pub(crate) admin: String,
    pub(crate) internal: String,
    pub(crate) lines: Arc<Mutex<Vec<Value>>>,
    pub(crate) settings: PathBuf,
}

impl Process {
    pub(crate) fn start(number: usize, platform: &Platform) -> Self {
        Self::start_on(number, 1.0, platform.store_addr)
    }

    /// Starts a process on a host that offers `processors` processors and reaches the store at
    /// `store_addr`.
    pub(crate) fn start_on(number: usize, processors: f64, store_addr: SocketAddr) -> Self {
        Self::start_with(number, &format!("processors: {processors}\n"), store_addr)
    }

    /// Starts a process that requests approvals from the platform's service.
    pub(crate) fn start_with_approvals(number: usize, platform: &Platform) -> Self {
        let addr = platform.approvals_addr.expect("the queues need approvals");
        let more = format!("processors: 1.0\napprovals: {addr}\n");
        Self::start_with(number, &more, platform.store_addr)
    }

    /// Starts a process with further lines of settings, which reaches the store at `store_addr`.
    pub(crate) fn start_with(number: usize, more: &str, store_addr: SocketAddr) -> Self {
        let address = loopback::own_address();
        let addrs: [_; 4] = loopback::free_ports(address);
        let settings = format!(
            "node: host-{number}\naddress: {address}\ndata_centre: z\ncallers: {}\nready: {}\n\
             admin: {}\ninternal_port: {}\nstore: {}\nmax_lease_ms: 10000\nspread_factor: 3\n\
             keep_ended_s: 120\ngrace_s: 6\n{more}",
            addrs[0],
            addrs[1],
            addrs[2],
            addrs[3].port(),
            store_addr
        );
        let file = format!("kspan-cell-{}-{number}.yaml", std::process::id());
        let path = std::env::temp_dir().join(file);
        fs::write(&path, settings).expect("a writable folder");
        let lines = Arc::new(Mutex::new(Vec::new()));
        Self {
            child: spawn_cell(&path, &lines),
            callers: addrs[0].to_string(),
            ready: addrs[1].to_string(),
            admin: addrs[2].to_string(),
            internal: addrs[3].to_string(),
            lines,
            settings: path,
        }
    }

    /// Returns the log lines that contain the id of a job or of one of its tasks.
    pub(crate) fn lines_of(&self, job: &str) -> Vec<Value> {
        let lines = self.lines.lock().expect("no writer panics");
        let names = |line: &&Value| line.to_string().contains(job);
        lines.iter().filter(names).cloned().collect()
    }

    pub(crate) fn signal(&self, signal: rustix::process::Signal) {
        let id = i32::try_from(self.child.id()).expect("a process id");
        let id = rustix::process::Pid::from_raw(id).expect("a process id");
        rustix::process::kill_process(id, signal).expect("the process is running");
    }

    /// Kills the process. It can be started again on the same host.
    pub(crate) fn kill(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Starts the process again on the same host after it has ended.
    pub(crate) fn restart(&mut self) {
        self.child = spawn_cell(&self.settings, &self.lines);
    }

    pub(crate) fn terminate(&mut self) {
        self.signal(rustix::process::Signal::TERM);
        let status = self.child.wait().expect("the process exits");
        assert!(status.success(), "{status}");
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
        let _ = fs::remove_file(&self.settings);
    }
}

/// Starts the program with a settings file. Its log lines go to `lines`.
fn spawn_cell(settings: &Path, lines: &Arc<Mutex<Vec<Value>>>) -> Child {
    let mut child = Command::new(env!("CARGO_BIN_EXE_kspan-cell"))
        .arg("--settings")
        .arg(settings)
        .stdout(Stdio::piped())
        .spawn()
        .expect("the program starts");
    let (sink, stdout) = (Arc::clone(lines), child.stdout.take().expect("piped"));
    thread::spawn(move || {
        for line in BufReader::new(stdout).lines().map_while(Result::ok) {
            // The last line of a process that is killed may be cut.
            let Ok(line) = serde_json::from_str(&line) else {
                continue;
            };
            sink.lock().expect("no reader panics").push(line);
        }
    });
    child
}

/// A complete response of a process.
pub(crate) struct Response {
    pub(crate) status: u16,
    pub(crate) retry_after: Option<String>,
    pub(crate) body: String,
}

/// Sends a request once; returns `None` if there is no complete response.
pub(crate) async fn send(method: &str, addr: &str, path: &str, body: &str) -> Option<Response> {
    let method = method.parse().expect("a method");
    let req = Client::new()
        .await
        .request(method, format!("http://{addr}{path}"));
    let req = req.header("host", HOST).content_type("application/json");
    let response = req.send_body(body.to_owned()).await.ok()?;
    let retry_after = response.headers().get("retry-after");
    let retry_after = retry_after.map(|value| value.to_str().expect("a number").to_owned());
    let body = response.body().await.ok()?;
    Some(Response {
        status: response.status().as_u16(),
        retry_after,
        body: String::from_utf8_lossy(&body).into_owned(),
    })
}

/// Sends a request once; returns the status and the body of the response.
pub(crate) async fn call(
    method: &str,
    addr: &str,
    path: &str,
    body: &str,
) -> Option<(u16, String)> {
    let response = send(method, addr, path, body).await?;
    Some((response.status, response.body))
}

/// Repeats a call until the response has the status `status`; returns its body.
pub(crate) async fn call_until(
    method: &str,
    addr: &str,
    path: &str,
    body: &str,
    status: u16,
) -> String {
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

pub(crate) async fn wait_for_state(addr: &str, id: &str, wanted: &str) {
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
pub(crate) async fn wait_for_owner(processes: &[Process]) -> usize {
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
pub(crate) async fn wait_for_line(
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
pub(crate) fn check_runs(platform: &Platform) {
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
