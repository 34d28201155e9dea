//! The stand-ins and processes of one experiment.

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
    record::{EventKind, Recorder},
    sample::{SampledProcess, Sampler},
    standin::{
        hosts::Hosts,
        log::Log,
        worker::{RunTimeModel, Worker},
    },
    token::mix,
};

/// Threads that serve the stand-ins.
const STAND_IN_THREADS: usize = 3;

/// Interval between readiness checks.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Stand-ins and processes of one experiment.
pub struct Testbed {
    /// Layout of the cell.
    pub cell: Cell,
    /// Records made by stand-ins and callers.
    pub recorder: Recorder,
    /// Stand-in for the log.
    pub log: Log,
    /// Stand-in for the host list.
    pub hosts: Hosts,
    /// Stand-ins for the workers.
    pub workers: Vec<Worker>,
    /// Router and scheduler processes.
    pub processes: Vec<Process>,
    /// Directory of the report and of the processes' output.
    pub dir: PathBuf,
    /// Text of the document in force.
    pub text: String,
    /// Version of the document in force.
    pub version: u64,
    /// Sampler of the processes' resource usage.
    pub sampler: Sampler,
    _servers: Vec<ServerHandle>,
}

impl Testbed {
    /// Starts the stand-ins and prepares the processes.
    ///
    /// # Errors
    ///
    /// Returns an error if an address can't be bound, a file can't be written or a program does
    /// not exist.
    pub fn new(cell: Cell, text: String, seed: u64, dir: &Path) -> Result<Self> {
        fs::create_dir_all(dir).map_err(LabError::io(dir.display().to_string()))?;
        let programs = Programs::find()?;
        let pool = ThreadPool::new(STAND_IN_THREADS);
        let recorder = Recorder::new();
        let run_time_model = RunTimeModel {
            seed,
            ..RunTimeModel::default()
        };
        let mut servers = Vec::new();
        let mut addresses: BTreeMap<Name, SocketAddr> = BTreeMap::new();
        let mut workers = Vec::new();
        for spec in &cell.workers {
            let worker = Worker::new(spec.clone(), &pool, run_time_model, recorder.clone());
            let server = worker
                .serve()
                .map_err(LabError::io("starting a worker stand-in"))?;
            addresses.insert(spec.name.clone(), server.address);
            servers.push(server);
            workers.push(worker);
        }
        let log = Log::new();
        let hosts = Hosts::new(cell.host_list(|name| addresses[name]));
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let log_server = log
            .serve(&pool, any_port)
            .map_err(LabError::io("starting the log stand-in"))?;
        let hosts_server = hosts
            .serve(&pool, any_port)
            .map_err(LabError::io("starting the host list stand-in"))?;
        let platform = Platform {
            log: log_server.address,
            hosts: hosts_server.address,
        };
        servers.extend([log_server, hosts_server]);
        let processes = prepare_processes(&programs, &cell, platform, dir)?;
        Ok(Self {
            cell,
            recorder,
            log,
            hosts,
            workers,
            processes,
            dir: dir.to_owned(),
            text,
            version: 0,
            sampler: Sampler::new(),
            _servers: servers,
        })
    }

    /// Publishes the deployment's document by appending it to the log, as an operator's tool does.
    pub fn publish(&mut self) {
        let text = self.text.clone();
        self.publish_text(self.version, &text);
    }

    /// Publishes a document text that was edited from version `base`.
    pub fn publish_text(&mut self, base: u64, text: &str) {
        text.clone_into(&mut self.text);
        self.version = self.append(Body::Document {
            base,
            text: text.to_owned(),
        });
        let version = self.version;
        self.recorder.record_event(EventKind::Published { version });
    }

    /// Appends an operator's record to the log and returns its offset.
    ///
    /// # Panics
    ///
    /// Panics if the record can't be serialised to JSON.
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
    /// Returns an error if a program can't be run.
    pub fn start_all(&mut self) -> Result<()> {
        (0..self.processes.len()).try_for_each(|index| self.start(index))
    }

    /// Starts one process.
    ///
    /// # Errors
    ///
    /// Returns an error if the program can't be run.
    pub fn start(&mut self, index: usize) -> Result<()> {
        let process = &mut self.processes[index];
        process.start()?;
        if process.incarnation > 1 {
            let process = process.name().clone();
            self.recorder.record_event(EventKind::Started { process });
        }
        let sampled = SampledProcess {
            name: process.name().clone(),
            host: process.cfg.host.clone(),
            region: process.cfg.region.clone(),
            incarnation: process.incarnation,
            pid: process.pid().unwrap_or_default(),
            admin: process.cfg.listen.admin,
        };
        self.sampler.add(sampled);
        Ok(())
    }

    /// Kills one process with `SIGKILL`.
    pub fn kill(&mut self, index: usize) {
        let name = self.processes[index].name().clone();
        self.sampler.remove(&name);
        self.recorder.record_event(EventKind::Killed {
            process: name.clone(),
        });
        self.processes[index].kill();
        self.recorder
            .record_event(EventKind::Exited { process: name });
    }

    /// Requests the graceful shutdown of one process.
    pub fn terminate(&mut self, index: usize) {
        let name = self.processes[index].name().clone();
        self.recorder
            .record_event(EventKind::PlannedStop { process: name });
        self.processes[index].signal(Signal::Terminate);
    }

    /// Waits for a terminated process to exit and returns whether it did so before the timeout.
    pub async fn wait_exit(&mut self, index: usize, timeout: Duration) -> bool {
        let deadline = tokio::time::Instant::now() + timeout;
        while self.processes[index].is_running() {
            if tokio::time::Instant::now() >= deadline {
                return false;
            }
            tokio::time::sleep(POLL_INTERVAL / 4).await;
        }
        let name = self.processes[index].name().clone();
        self.sampler.remove(&name);
        self.recorder
            .record_event(EventKind::Exited { process: name });
        true
    }

    /// Waits until every process reports that it is ready.
    ///
    /// # Errors
    ///
    /// Returns an error that names the processes that exited or were not ready before the timeout.
    pub async fn wait_ready(&mut self, client: &Client, timeout: Duration) -> Result<()> {
        let deadline = tokio::time::Instant::now() + timeout;
        let mut pending: Vec<usize> = (0..self.processes.len()).collect();
        loop {
            let mut still_pending = Vec::new();
            for index in pending {
                if !self.processes[index].is_running() {
                    return Err(self.not_ready_error("exited before it was ready", &[index]));
                }
                if !is_ready(client, self.processes[index].cfg.listen.admin).await {
                    still_pending.push(index);
                }
            }
            pending = still_pending;
            if pending.is_empty() {
                return Ok(());
            }
            if tokio::time::Instant::now() >= deadline {
                return Err(self.not_ready_error("not ready before the timeout", &pending));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until every declared runner is running on some worker or the timeout expires.
    ///
    /// Returns the numbers of running and of declared runners.
    pub async fn wait_runners(&self, timeout: Duration) -> (usize, usize) {
        let services = self.cell.document.services.iter();
        let expected: usize = services.map(|service| service.runners as usize).sum();
        let deadline = tokio::time::Instant::now() + timeout;
        loop {
            let ready = self.workers.iter().map(Worker::ready_runners).sum();
            if ready >= expected || tokio::time::Instant::now() >= deadline {
                return (ready, expected);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns the index of the process with the given name.
    pub fn index_of(&self, name: &str) -> Option<usize> {
        let mut processes = self.processes.iter();
        processes.position(|process| process.name().as_str() == name)
    }

    /// Returns the indexes of all processes with the given role.
    pub fn indexes_with_role(&self, role: Role) -> Vec<usize> {
        let has_role = |index: &usize| self.processes[*index].role == role;
        (0..self.processes.len()).filter(has_role).collect()
    }

    /// Returns the index of the process that owns the workers of a data centre.
    pub fn owner_of_data_centre(&self, data_centre: &Name) -> Option<usize> {
        let inside = |worker: &&Worker| worker.spec().site.data_centre == *data_centre;
        let worker = self.workers.iter().find(inside)?;
        self.index_of(&worker.owner())
    }

    fn not_ready_error(&self, problem: &str, indexes: &[usize]) -> LabError {
        let names: Vec<&str> = indexes
            .iter()
            .map(|index| self.processes[*index].name().as_str())
            .collect();
        LabError::NotReady(format!(
            "{}: {problem}; see their logs in {}",
            names.join(", "),
            self.dir.display()
        ))
    }
}

/// Returns whether a process's readiness endpoint reports that it is ready.
pub async fn is_ready(client: &Client, admin: SocketAddr) -> bool {
    let answer = client.get(format!("http://{admin}/readyz")).send().await;
    answer.is_ok_and(|answer| answer.status().is_success())
}

fn prepare_processes(
    programs: &Programs,
    cell: &Cell,
    platform: Platform,
    dir: &Path,
) -> Result<Vec<Process>> {
    let mut processes = Vec::new();
    let mut reserved_ports = Vec::new();
    for host in &cell.entries {
        for role in [Role::Scheduler, Role::Router] {
            let ports = Ports::find(host.ip)?;
            let process = Process::new(programs, role, host, cell, platform, &ports, dir);
            process.remove_output();
            processes.push(process);
            reserved_ports.push(ports);
        }
    }
    Ok(processes)
}
