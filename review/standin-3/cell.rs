//! Machines of the system: starts `kspan-cell` as the platform does, and starts it again after its end.

use std::{
    fs,
    net::{Ipv4Addr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use crate::record::Record;

/// Delay before a process that has ended is started again.
const RESTART_DELAY: Duration = Duration::from_millis(1_500);

/// Interval at which a machine looks at its process.
const LOOK_INTERVAL: Duration = Duration::from_millis(10);

/// What the platform offers a machine.
#[derive(Clone, Copy)]
pub struct Offer {
    pub processors: f64,
    pub memory_mb: u64,
}

/// A machine with its process.
pub struct Machine {
    pub name: String,
    pub callers: String,
    pub ready: String,
    state: Arc<State>,
    keeper: Option<JoinHandle<()>>,
}

#[derive(Default)]
struct State {
    child: Mutex<Option<Child>>,
    is_over: AtomicBool,
    /// Ends of the process for memory over the limit, and other ends that nobody caused.
    over_memory: AtomicU64,
    own_ends: AtomicU64,
    /// Largest resident set that was seen, in KiB.
    peak_kib: AtomicU64,
}

impl Machine {
    /// Starts a machine whose process reaches the store at `store`.
    pub fn start(
        number: u8,
        store: &str,
        offer: Offer,
        program: &Path,
        folder: &Path,
        record: &Arc<Record>,
    ) -> Self {
        let ip = Ipv4Addr::new(127, 0, 3, number);
        let ports = free_ports(ip);
        let name = format!("front-z-{number}");
        let [callers, ready, admin] = [0, 1, 2].map(|at: usize| format!("{ip}:{}", ports[at]));
        let settings = folder.join(format!("{name}.yaml"));
        let text = format!(
            "node: \"{name}\"\naddress: \"{ip}\"\ndata_centre: \"z\"\nprocessors: {}\n\
             memory_mb: {}\nmax_descriptors: 4100\ncallers: \"{callers}\"\nready: \"{ready}\"\n\
             admin: \"{admin}\"\ninternal_port: {}\nstore: \"{store}\"\nmax_record_bytes: 262144\n\
             approvals: \"\"\nmax_lease_ms: 10000\nspread_factor: 3\ngang_wait_ms: 3000\n\
             keep_ended_s: 120\nconfig_apply_ms: 2500\ngrace_s: 6\n",
            offer.processors, offer.memory_mb, ports[3]
        );
        fs::write(&settings, text).expect("a writable folder");
        let state = Arc::new(State::default());
        let keeper = {
            let (state, record, name) = (Arc::clone(&state), Arc::clone(record), name.clone());
            let program = program.to_owned();
            let log = folder.join(format!("{name}.log"));
            thread::spawn(move || keep(&state, &record, &name, &program, &settings, &log, offer))
        };
        Self {
            name,
            callers,
            ready,
            state,
            keeper: Some(keeper),
        }
    }

    /// Returns how often the process was killed for memory over the limit, and how often it ended by itself.
    pub fn ends(&self) -> (u64, u64) {
        let over_memory = self.state.over_memory.load(Ordering::Relaxed);
        (over_memory, self.state.own_ends.load(Ordering::Relaxed))
    }

    /// Returns the largest resident set of the process that was seen, in MiB.
    pub fn peak_mb(&self) -> u64 {
        self.state.peak_kib.load(Ordering::Relaxed) / 1_024
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.state.is_over.store(true, Ordering::Relaxed);
        if let Some(child) = self.state.child.lock().unwrap().as_mut() {
            let _ = child.kill();
        }
        if let Some(keeper) = self.keeper.take() {
            let _ = keeper.join();
        }
    }
}

fn keep(
    state: &State,
    record: &Record,
    name: &str,
    program: &Path,
    settings: &PathBuf,
    log: &Path,
    offer: Offer,
) {
    let limit_kib = offer.memory_mb * 1_024;
    while !state.is_over.load(Ordering::Relaxed) {
        let output = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(log)
            .expect("a log");
        let errors = output.try_clone().expect("a log");
        let mut command = Command::new(program);
        command.arg("--settings").arg(settings).env_clear();
        command.stdout(output).stderr(errors).stdin(Stdio::null());
        let child = command.spawn().expect("the program starts");
        let id = child.id();
        *state.child.lock().unwrap() = Some(child);
        let mut is_over_memory = false;
        loop {
            thread::sleep(LOOK_INTERVAL);
            let kib = resident_kib(id);
            state.peak_kib.fetch_max(kib, Ordering::Relaxed);
            let mut child = state.child.lock().unwrap();
            let known = child.as_mut().expect("a process");
            // As the platform does: a process that exceeds `MemoryMb` is killed.
            if kib > limit_kib && !is_over_memory {
                is_over_memory = true;
                record.line(&format!(
                    "{name}: resident {} MB exceed MemoryMb {}; killed",
                    kib / 1_024,
                    offer.memory_mb
                ));
                let _ = known.kill();
            }
            if state.is_over.load(Ordering::Relaxed) {
                let _ = known.kill();
            }
            let Ok(Some(status)) = known.try_wait() else {
                continue;
            };
            if state.is_over.load(Ordering::Relaxed) {
                return;
            }
            if is_over_memory {
                state.over_memory.fetch_add(1, Ordering::Relaxed);
            } else {
                state.own_ends.fetch_add(1, Ordering::Relaxed);
                record.line(&format!("{name}: process ended: {status}"));
            }
            *child = None;
            break;
        }
        thread::sleep(RESTART_DELAY);
    }
}

/// Returns the resident set of a process.
fn resident_kib(id: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().nth(1));
    kib.and_then(|kib| kib.parse().ok()).unwrap_or(0)
}

fn free_ports(ip: Ipv4Addr) -> [u16; 4] {
    let listeners = [(); 4].map(|()| TcpListener::bind((ip, 0)).expect("a free port"));
    listeners.map(|listener| listener.local_addr().expect("a bound port").port())
}
