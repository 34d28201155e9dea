//! One experiment's stand-ins and processes, started together.

use std::{
    collections::BTreeMap,
    fs,
    net::{Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    time::Duration,
};

use kspan_fold::record::{Body, Record};
use kspan_model::{Name, Role, UnixMillis};
use kspan_node::settings::Platform;
use ntex::client::Client;

use crate::{
    cell::Cell,
    clock::{now, unix_ms},
    error::{LabError, Result},
    http::{ServerHandle, ThreadPool},
    process::{Ports, Process, Programs, Signal},
    record::{Book, EventKind},
    sample::{Sampler, Watched},
    standin::{
        hosts::Hosts,
        log::Log,
        worker::{Ground, Worker},
    },
    token::mix,
};

/// Threads that serve the stand-ins.
const STAND_IN_THREADS: usize = 3;

/// How often readiness is looked at.
const POLL: Duration = Duration::from_millis(100);

/// Stand-ins and processes of one experiment.
pub struct Stage {
    /// The plan.
    pub cell: Cell,
    /// Records of stand-ins and callers.
    pub book: Book,
    /// The log.
    pub log: Log,
    /// The host list.
    pub hosts: Hosts,
    /// The workers.
    pub workers: Vec<Worker>,
    /// The system's processes.
    pub processes: Vec<Process>,
    /// Directory of the report and of the processes' output.
    pub dir: PathBuf,
    /// Text of the document in force.
    pub text: String,
    /// Version of the document in force.
    pub version: u64,
    /// Samples of the processes.
    pub sampler: Sampler,
    _servings: Vec<ServerHandle>,
}

impl Stage {
    /// Starts the stand-ins and prepares the processes.
    ///
    /// # Errors
    ///
    /// Returns an error where addresses, files or programs can't be had.
    pub fn new(cell: Cell, text: String, seed: u64, dir: &Path) -> Result<Self> {
        fs::create_dir_all(dir).map_err(LabError::io(dir.display().to_string()))?;
        let programs = Programs::find()?;
        let pool = ThreadPool::new(STAND_IN_THREADS);
        let book = Book::new();
        let ground = Ground {
            seed,
            ..Ground::default()
        };
        let mut servings = Vec::new();
        let mut addresses: BTreeMap<Name, SocketAddr> = BTreeMap::new();
        let mut workers = Vec::new();
        for spec in &cell.workers {
            let worker = Worker::new(spec.clone(), &pool, ground, book.clone());
            let serving = worker.serve().map_err(LabError::io("starting a worker"))?;
            addresses.insert(spec.name.clone(), serving.address);
            servings.push(serving);
            workers.push(worker);
        }
        let log = Log::new();
        let hosts = Hosts::new(cell.host_list(|name| addresses[name]));
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let log_serving = log
            .serve(&pool, any)
            .map_err(LabError::io("starting the log"))?;
        let hosts_serving = hosts
            .serve(&pool, any)
            .map_err(LabError::io("starting the list"))?;
        let platform = Platform {
            log: log_serving.address,
            hosts: hosts_serving.address,
        };
        servings.extend([log_serving, hosts_serving]);
        let processes = prepare(&programs, &cell, platform, dir)?;
        Ok(Self {
            cell,
            book,
            log,
            hosts,
            workers,
            processes,
            dir: dir.to_owned(),
            text,
            version: 0,
            sampler: Sampler::new(),
            _servings: servings,
        })
    }

    /// Publishes the deployment's document, as an operator would.
    pub fn publish(&mut self) {
        let text = self.text.clone();
        self.publish_text(self.version, &text);
    }

    /// Publishes another text that was edited from version `base`.
    pub fn publish_text(&mut self, base: u64, text: &str) {
        text.clone_into(&mut self.text);
        self.version = self.append(Body::Document {
            base,
            text: text.to_owned(),
        });
        let version = self.version;
        self.book.note(EventKind::Published { version });
    }

    /// Appends a record as an operator.
    ///
    /// # Panics
    ///
    /// Panics where a record can't be written as JSON, which plain data always can.
    pub fn append(&self, body: Body) -> u64 {
        let id = u128::from(mix(now().0)) << 64 | u128::from(mix(unix_ms()));
        let record = Record {
            id: id.into(),
            by: Name::new("lab"),
            written: UnixMillis(unix_ms()),
            body,
        };
        self.log
            .append(serde_json::to_string(&record).expect("records are plain data"))
    }

    /// Starts every process.
    ///
    /// # Errors
    ///
    /// Returns an error where a program can't be run.
    pub fn start_all(&mut self) -> Result<()> {
        (0..self.processes.len()).try_for_each(|index| self.start(index))
    }

    /// Starts one process.
    ///
    /// # Errors
    ///
    /// Returns an error where the program can't be run.
    pub fn start(&mut self, index: usize) -> Result<()> {
        let process = &mut self.processes[index];
        process.start()?;
        if process.life > 1 {
            let process = process.name().clone();
            self.book.note(EventKind::Started { process });
        }
        let watched = Watched {
            name: process.name().clone(),
            host: process.cfg.host.clone(),
            region: process.cfg.region.clone(),
            life: process.life,
            pid: process.pid().unwrap_or_default(),
            admin: process.cfg.listen.admin,
        };
        self.sampler.watch(watched);
        Ok(())
    }

    /// Kills one process at once.
    pub fn kill(&mut self, index: usize) {
        let name = self.processes[index].name().clone();
        self.sampler.forget(&name);
        self.book.note(EventKind::Killed {
            process: name.clone(),
        });
        self.processes[index].kill();
        self.book.note(EventKind::Exited { process: name });
    }

    /// Tells one process to stop in order.
    pub fn terminate(&mut self, index: usize) {
        let name = self.processes[index].name().clone();
        self.book.note(EventKind::PlannedStop { process: name });
        self.processes[index].signal(Signal::Terminate);
    }

    /// Waits until a process that was told to stop has ended, and returns whether it did.
    pub async fn wait_exit(&mut self, index: usize, within: Duration) -> bool {
        let deadline = tokio::time::Instant::now() + within;
        while self.processes[index].is_running() {
            if tokio::time::Instant::now() >= deadline {
                return false;
            }
            tokio::time::sleep(POLL / 4).await;
        }
        let name = self.processes[index].name().clone();
        self.sampler.forget(&name);
        self.book.note(EventKind::Exited { process: name });
        true
    }

    /// Waits until every process says that it is ready.
    ///
    /// # Errors
    ///
    /// Returns an error that names those that are not in time.
    pub async fn wait_ready(&mut self, client: &Client, within: Duration) -> Result<()> {
        let deadline = tokio::time::Instant::now() + within;
        let mut late: Vec<usize> = (0..self.processes.len()).collect();
        loop {
            let mut still = Vec::new();
            for index in late {
                if !self.processes[index].is_running() {
                    return Err(self.not_ready("ended by itself", &[index]));
                }
                if !is_ready(client, self.processes[index].cfg.listen.admin).await {
                    still.push(index);
                }
            }
            late = still;
            if late.is_empty() {
                return Ok(());
            }
            if tokio::time::Instant::now() >= deadline {
                return Err(self.not_ready("not ready in time", &late));
            }
            tokio::time::sleep(POLL).await;
        }
    }

    /// Waits until every declared runner is up on some worker, and returns how many are.
    pub async fn wait_runners(&self, within: Duration) -> (usize, usize) {
        let services = self.cell.document.services.iter();
        let wanted: usize = services.map(|service| service.runners as usize).sum();
        let deadline = tokio::time::Instant::now() + within;
        loop {
            let up = self.workers.iter().map(Worker::runners_up).sum();
            if up >= wanted || tokio::time::Instant::now() >= deadline {
                return (up, wanted);
            }
            tokio::time::sleep(POLL).await;
        }
    }

    /// Returns the position of a process by its name.
    pub fn position(&self, name: &str) -> Option<usize> {
        let mut processes = self.processes.iter();
        processes.position(|process| process.name().as_str() == name)
    }

    /// Returns the positions of all processes with a role.
    pub fn with_role(&self, role: Role) -> Vec<usize> {
        let has_role = |index: &usize| self.processes[*index].role == role;
        (0..self.processes.len()).filter(has_role).collect()
    }

    /// Returns the position of the process that owns the workers of a data centre.
    pub fn owner_in(&self, data_centre: &Name) -> Option<usize> {
        let inside = |worker: &&Worker| worker.spec().site.data_centre == *data_centre;
        let worker = self.workers.iter().find(inside)?;
        self.position(&worker.owner())
    }

    fn not_ready(&self, what: &str, which: &[usize]) -> LabError {
        let names: Vec<&str> = which
            .iter()
            .map(|index| self.processes[*index].name().as_str())
            .collect();
        LabError::NotReady(format!(
            "{}: {what}; see their logs in {}",
            names.join(", "),
            self.dir.display()
        ))
    }
}

/// Asks a process whether it is ready.
pub async fn is_ready(client: &Client, admin: SocketAddr) -> bool {
    let answer = client.get(format!("http://{admin}/readyz")).send().await;
    answer.is_ok_and(|answer| answer.status().is_success())
}

fn prepare(
    programs: &Programs,
    cell: &Cell,
    platform: Platform,
    dir: &Path,
) -> Result<Vec<Process>> {
    let mut processes = Vec::new();
    let mut held = Vec::new();
    for host in &cell.entries {
        for role in [Role::Scheduler, Role::Router] {
            let ports = Ports::find(host.ip)?;
            let process = Process::new(programs, role, host, cell, platform, &ports, dir);
            process.forget_output();
            processes.push(process);
            held.push(ports);
        }
    }
    Ok(processes)
}
