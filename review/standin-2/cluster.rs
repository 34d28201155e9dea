//! The processes of a cell, started with the command of the deploy file, and calls of clients.

use std::{
    fs,
    net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    path::PathBuf,
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http,
    record::Record,
    runner::{Gangs, Kind, Runner, Runs},
    store::Store,
};

/// Name of the service.
pub const SERVICE: &str = "reservas";

/// Host name of all routes.
pub const HOST: &str = "nony24.example";

/// Program and arguments of the deploy file, but for the settings file.
const PROGRAM: &str = "target/release/kspan-cell";

/// Time within which a cell has to be ready.
const START_TIMEOUT: Duration = Duration::from_secs(15);

/// A route of the configuration, which is a queue.
pub struct Route {
    pub prefix: &'static str,
    pub max_attempts: u32,
    pub advice: &'static str,
}

/// A process of the cell.
pub struct Process {
    pub name: String,
    child: Child,
    pub callers: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
}

impl Process {
    fn start(number: usize, store: SocketAddr) -> Self {
        let name = &format!("front-{number}");
        let local = own_address(number);
        let held: Vec<TcpListener> = (0..4)
            .map(|_| TcpListener::bind((local, 0)).expect("a free port"))
            .collect();
        let ports: Vec<u16> = held
            .iter()
            .map(|held| held.local_addr().expect("a bound port").port())
            .collect();
        drop(UdpSocket::bind((local, ports[3])).expect("a free UDP port"));
        drop(held);
        let settings = format!(
            "node: \"{name}\"\naddress: \"{local}\"\ndata_centre: \"z-a\"\nprocessors: 0.25\n\
             callers: \"{local}:{}\"\nready: \"{local}:{}\"\nadmin: \"{local}:{}\"\n\
             internal_port: {}\nstore: \"{store}\"\nmax_record_bytes: 262144\napprovals: \"\"\n\
             max_lease_ms: 10000\nspread_factor: 3\nkeep_ended_s: 120\nconfig_apply_ms: 2500\n\
             grace_s: 6\n",
            ports[0], ports[1], ports[2], ports[3]
        );
        let file = format!("kspan-review-{}-{name}.yaml", std::process::id());
        let path = std::env::temp_dir().join(file);
        fs::write(&path, settings).expect("a writable temporary folder");
        let child = Command::new(PROGRAM)
            .arg("--settings")
            .arg(&path)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .expect("the program was built");
        Self {
            name: name.to_owned(),
            child,
            callers: SocketAddr::from((local, ports[0])),
            ready: SocketAddr::from((local, ports[1])),
            settings: path,
        }
    }

    fn is_ready(&self) -> bool {
        let answer = http::call("GET", self.ready, HOST, "/api/ready", "");
        answer.is_some_and(|(status, _)| status == 200)
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        // The process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
        let _ = fs::remove_file(&self.settings);
    }
}

/// A small deployment: the store, runners and processes.
pub struct Cluster {
    pub store: Store,
    pub runners: Vec<Runner>,
    pub processes: Vec<Process>,
    pub runs: Runs,
    pub record: Record,
}

impl Cluster {
    /// Starts a deployment. Returns `None` if it is not ready in time.
    pub fn start(
        hosts: usize,
        kinds: Vec<Kind>,
        routes: &[Route],
        record: &Record,
    ) -> Option<Self> {
        let (store, store_addr) = Store::start();
        store.put("keyed.op", "config", &config(1, routes));
        let (runs, gangs) = (Runs::default(), Gangs::default());
        let runners = kinds
            .into_iter()
            .map(|kind| Runner::start(kind, SERVICE, &store, (&runs, &gangs), record));
        let runners = runners.collect();
        let processes = (1..=hosts).map(|number| Process::start(number, store_addr));
        let cluster = Self {
            store,
            runners,
            processes: processes.collect(),
            runs,
            record: record.clone(),
        };
        let started = Instant::now();
        while started.elapsed() < START_TIMEOUT {
            if cluster.processes.iter().all(Process::is_ready) && cluster.serves(routes[0].prefix) {
                record.add(format!("{hosts} machines are ready"));
                return Some(cluster);
            }
            thread::sleep(Duration::from_millis(100));
        }
        None
    }

    fn serves(&self, prefix: &str) -> bool {
        let calls = self.processes.iter().map(|process| process.callers);
        calls.into_iter().all(|addr| {
            http::call("GET", addr, HOST, prefix, "").is_some_and(|(status, _)| status == 200)
        })
    }

    /// Makes a call of a client, as often as its answer leaves open what happened, each time at
    /// another machine. Returns the last status.
    pub fn call(&self, method: &str, path: &str, body: &str) -> u16 {
        let mut last = 0;
        for attempt in 0..8 {
            let process = &self.processes[attempt % self.processes.len()];
            let answer = http::call(method, process.callers, HOST, path, body);
            last = answer.as_ref().map_or(0, |(status, _)| *status);
            self.record
                .add(format!("{method} {path} at {}: {last}", process.name));
            if matches!(last, 200 | 404 | 410) {
                break;
            }
            thread::sleep(Duration::from_millis(300));
        }
        last
    }

    /// Returns a job's state.
    pub fn state(&self, path: &str) -> String {
        for process in &self.processes {
            let answer = http::call("GET", process.callers, HOST, path, "");
            if let Some((status, body)) = answer {
                return format!("{status} {body}");
            }
        }
        "no answer".to_owned()
    }

    /// Returns the index of the machine that claimed the cell last, as the store shows.
    pub fn owner(&self) -> Option<usize> {
        let claim = self.store.newest_value("keyed.claims", "owner")?;
        let length = usize::from(*claim.first()?);
        let name = String::from_utf8(claim.get(1..=length)?.to_vec()).ok()?;
        self.processes
            .iter()
            .position(|process| process.name == name)
    }

    /// Removes a machine for good, without SIGTERM.
    pub fn remove(&mut self, index: usize) {
        let mut process = self.processes.remove(index);
        process.kill();
        self.record
            .add(format!("machine {} is removed for good", process.name));
    }

    /// Waits.
    pub fn wait(&self, ms: u64) {
        thread::sleep(Duration::from_millis(ms));
    }
}

/// Returns a loopback address of a machine that no other case uses at the same time.
fn own_address(number: usize) -> Ipv4Addr {
    let id = std::process::id();
    let part = |value: u32| u8::try_from(1 + value % 250).expect("at most 250");
    let host = u8::try_from(number).expect("few machines");
    Ipv4Addr::new(127, part(id), part(id / 250), host)
}

/// Returns a runner without a label of its own.
pub fn plain(number: usize, cpu: u64, memory_mb: u64) -> Kind {
    Kind {
        id: format!("i-{number:010x}"),
        cpu,
        memory_mb,
        labels: ["a".to_owned(), format!("r1-{}", number / 8 + 1)],
    }
}

fn config(version: u64, routes: &[Route]) -> String {
    let routes: Vec<String> = routes
        .iter()
        .enumerate()
        .map(|(number, route)| {
            format!(
                "{{\"Name\":\"q{number}\",\"Host\":\"{HOST}\",\"PathPrefix\":\"{}\",\"Kind\":\"unsafe\",\
                 \"TimeoutMs\":3000,\"TargetLatencyMs\":1200,\"Priority\":{number},\
                 \"Service\":\"{SERVICE}\",\"MaxAttempts\":{},\"Stretch\":2.2{}}}",
                route.prefix, route.max_attempts, route.advice
            )
        })
        .collect();
    format!(
        "{{\"Version\":{version},\"Routes\":[{}],\"Services\":[{{\"Name\":\"{SERVICE}\",\
         \"HealthPath\":\"/health\",\"AdmissionCheck\":false}}],\"Limits\":{{\"MaxBodyBytes\":262144}}}}",
        routes.join(",")
    )
}
