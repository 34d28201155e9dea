//! A small deployment: the project's programs as processes, with the stand-ins of the platform.

use std::{
    fs,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    os::unix::process::CommandExt as _,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, OnceLock},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http,
    record::Record,
    runner::{Runner, Settings},
    store::Store,
};

pub const HOST: &str = "queue.example";
pub const PREFIX: &str = "/work/";
pub const SERVICE: &str = "svc";
pub const MAX_ATTEMPTS: u64 = 3;

/// How long clients of the users wait for an answer.
pub const DEADLINE: Duration = Duration::from_millis(3_000);

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64) -> i32;
}

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

/// Time after which a script gives up. A case takes at most 120 s.
const MAX_TIME: Duration = Duration::from_secs(112);

/// Folder for settings and logs.
static FOLDER: OnceLock<PathBuf> = OnceLock::new();

pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// A process of the cell.
pub struct Node {
    pub name: String,
    pub ip: IpAddr,
    pub callers: SocketAddr,
    ready: SocketAddr,
    pub admin: SocketAddr,
    child: Option<Child>,
    settings: PathBuf,
    log: PathBuf,
}

impl Node {
    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    pub fn spawn(&mut self) {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("a writable folder");
        let errors = log.try_clone().expect("a log file");
        let mut command = Command::new("target/release/kspan-cell");
        command
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors);
        // The process ends with this one, however this one ends.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        match command.spawn() {
            Ok(child) => self.child = Some(child),
            Err(err) => unable(&format!("kspan-cell does not start: {err}")),
        }
    }

    /// Returns whether the process has exited by itself.
    pub fn has_exited(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| child.try_wait().ok().flatten().is_some())
    }
}

/// Ends the script because the case can't run.
pub fn unable(why: &str) -> ! {
    println!("cannot run: {why}");
    remove_folder();
    std::process::exit(2)
}

/// Removes the settings and logs, unless they are to be kept.
fn remove_folder() {
    let Some(folder) = FOLDER.get() else {
        return;
    };
    if std::env::var_os("KEEP_LOGS").is_none() {
        let _ = fs::remove_dir_all(folder);
    } else {
        println!("logs are in {}", folder.display());
    }
}

/// A deployment.
pub struct Cluster {
    pub nodes: Vec<Node>,
    pub runners: Vec<Runner>,
    pub store: Store,
    pub record: Arc<Record>,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for node in &mut self.nodes {
            node.kill();
        }
        remove_folder();
    }
}

/// Loopback addresses of this script: of the nodes from 11 on, of the rest below.
fn address(number: u8) -> IpAddr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(127, high | 0x80, low, number))
}

fn free_ports<const COUNT: usize>(address: IpAddr) -> [u16; COUNT] {
    let listeners: [TcpListener; COUNT] =
        std::array::from_fn(|_| TcpListener::bind((address, 0)).expect("a loopback address"));
    listeners.map(|listener| listener.local_addr().expect("a bound socket").port())
}

impl Cluster {
    /// Starts a deployment and waits until it serves.
    pub fn start(
        nodes: usize,
        runners: usize,
        cpu: u64,
        mem_mb: u64,
        routes: &[(&str, &str)],
    ) -> Self {
        let record = Arc::new(Record::new());
        let store = Store::start(address(1));
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a writable temporary folder");
        let _ = FOLDER.set(folder.clone());
        thread::spawn(|| {
            thread::sleep(MAX_TIME);
            unable("the case takes too long");
        });
        store.put("keyed.op", "config", &config(1, routes));
        let settings = Arc::new(Settings {
            store: store.clone(),
            record: Arc::clone(&record),
            service: SERVICE.to_owned(),
            cpu,
            mem_mb,
        });
        let runners = (0..runners)
            .map(|number| Runner::start(number, address(2), &settings))
            .collect();
        let nodes = (0..nodes)
            .map(|number| node(number, &store, &folder))
            .collect();
        let mut cluster = Self {
            nodes,
            runners,
            store,
            record,
        };
        for node in &mut cluster.nodes {
            node.spawn();
        }
        cluster.await_ready();
        cluster
    }

    /// Waits until all processes that run are ready and an owner knows all runners.
    pub fn await_ready(&mut self) {
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            let is_ready = |node: &Node| {
                let answer = http::call(node.ready, "GET", HOST, "/api/ready", "", DEADLINE);
                answer.is_some_and(|(status, _)| status == 200)
            };
            let known = format!("\"runners\":{}", self.runners.len());
            let is_settled = self.owner().is_some_and(|owner| {
                let dump = http::call(self.nodes[owner].admin, "GET", HOST, "/dump", "", DEADLINE);
                dump.is_some_and(|(_, body)| body.contains(&known))
            });
            if is_settled && self.nodes.iter().all(is_ready) {
                return;
            }
            thread::sleep(Duration::from_millis(100));
        }
        unable("the deployment is not ready after 20 s");
    }

    /// Returns the process that owns the cell.
    pub fn owner(&self) -> Option<usize> {
        self.nodes.iter().position(|node| {
            let dump = http::call(
                node.admin,
                "GET",
                HOST,
                "/dump",
                "",
                Duration::from_millis(500),
            );
            dump.is_some_and(|(_, body)| {
                !body.contains("\"owned\":null") && body.contains("\"owned\"")
            })
        })
    }

    /// Makes a client's call, and notes it.
    pub fn call(&self, node: usize, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
        let answer = http::call(self.nodes[node].callers, method, HOST, path, body, DEADLINE);
        let shown = answer
            .as_ref()
            .map_or("no answer".to_owned(), |(status, body)| {
                format!("{status} {}", body.chars().take(80).collect::<String>())
            });
        self.record.note(format!(
            "{method} {path} at {}: {shown}",
            self.nodes[node].name
        ));
        answer
    }

    /// Hands a job in as a client of the users does: again with the same id, at the next process, after
    /// no answer, 502 or 504, and with a new try after a refusal, until the time is up. Returns
    /// whether it was accepted.
    pub fn submit(&self, first: usize, path: &str, body: &str, patience: Duration) -> bool {
        let until = Instant::now() + patience;
        let mut at = first;
        while Instant::now() < until {
            match self.call(at % self.nodes.len(), "POST", path, body) {
                Some((200..=299, _)) => return true,
                Some((429 | 503, _)) => thread::sleep(Duration::from_millis(1_000)),
                _ => thread::sleep(Duration::from_millis(200)),
            }
            at += 1;
        }
        false
    }

    /// Asks for the state of a job at each process in turn until one answers with a state.
    pub fn state(&self, path: &str, patience: Duration) -> Option<String> {
        let until = Instant::now() + patience;
        let mut at = 0;
        while Instant::now() < until {
            let answer = self.call(at % self.nodes.len(), "GET", path, "");
            if let Some((200, body)) = answer {
                let state = crate::json::parse(body.as_bytes())?;
                return state.str("State").map(str::to_owned);
            }
            if let Some((410, _)) = answer {
                return Some("410".to_owned());
            }
            at += 1;
            thread::sleep(Duration::from_millis(200));
        }
        None
    }
}

fn node(number: usize, store: &Store, folder: &Path) -> Node {
    let ip = address(11 + number as u8);
    let [callers, ready, admin, internal] = free_ports(ip);
    let name = format!("front-z{}-{number}", number + 1);
    let settings = folder.join(format!("{name}.yaml"));
    // The fields of the deploy file's template, with the bounds of the users' first sheet.
    let text = format!(
        "node: \"{name}\"\naddress: \"{ip}\"\ndata_centre: \"z{}\"\nprocessors: 0.25\n\
         callers: \"{ip}:{callers}\"\nready: \"{ip}:{ready}\"\nadmin: \"{ip}:{admin}\"\n\
         internal_port: {internal}\nstore: \"{}\"\napprovals: \"\"\nmax_lease_ms: 10000\n\
         spread_factor: 3\nkeep_ended_s: 120\nconfig_apply_ms: 2500\ngrace_s: 6\n",
        number + 1,
        store.addr
    );
    fs::write(&settings, text).expect("a writable temporary folder");
    Node {
        callers: SocketAddr::new(ip, callers),
        ready: SocketAddr::new(ip, ready),
        admin: SocketAddr::new(ip, admin),
        log: folder.join(format!("{name}.log")),
        name,
        ip,
        child: None,
        settings,
    }
}

/// Returns the operator's configuration with routes of a name and a path prefix.
pub fn config(version: u64, routes: &[(&str, &str)]) -> String {
    let routes: Vec<String> = routes
        .iter()
        .map(|(name, prefix)| {
            format!(
                "{{\"Name\":\"{name}\",\"Host\":\"{HOST}\",\"PathPrefix\":\"{prefix}\",\
                 \"Kind\":\"unsafe\",\"TimeoutMs\":3000,\"TargetLatencyMs\":400,\"Priority\":0,\
                 \"Service\":\"{SERVICE}\",\"MaxAttempts\":{MAX_ATTEMPTS},\"Stretch\":1.5}}"
            )
        })
        .collect();
    format!(
        "{{\"Version\":{version},\"Routes\":[{}],\"Services\":[{{\"Name\":\"{SERVICE}\",\
         \"AdmissionCheck\":false}}],\"Limits\":{{\"MaxBodyBytes\":262144}}}}",
        routes.join(",")
    )
}
