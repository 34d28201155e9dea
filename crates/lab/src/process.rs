//! Starts, stops, pauses and kills the system's processes.

use std::{
    fs::{self, File},
    io,
    net::{IpAddr, SocketAddr, TcpListener, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
};

use kspan_model::{Name, Role};
use kspan_node::settings::{Faults, Listen, Platform, Settings};

use crate::{
    cell::{Cell, EntryHost},
    clock::now,
    error::{LabError, Result},
};

/// Maximum number of attempts to find a port that is free for both TCP and UDP.
const MAX_PORT_ATTEMPTS: usize = 64;

/// A signal to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Requests a graceful shutdown (`SIGTERM`).
    Terminate,
    /// Suspends the process (`SIGSTOP`).
    Pause,
    /// Resumes a suspended process (`SIGCONT`).
    Resume,
}

/// Paths of the router and scheduler programs.
#[derive(Clone, Debug)]
pub struct Programs {
    router: PathBuf,
    scheduler: PathBuf,
}

/// A router or scheduler process.
#[derive(Debug)]
pub struct Process {
    /// Settings that the process is started with.
    pub cfg: Settings,
    /// Role, which determines the program.
    pub role: Role,
    /// Number of times that the process was started.
    pub incarnation: u32,
    program: PathBuf,
    dir: PathBuf,
    child: Option<Child>,
}

impl Programs {
    /// Finds the programs in the directory of the lab's own program.
    ///
    /// Builds them first if the lab was started by cargo, which builds only the program that it
    /// runs.
    ///
    /// # Errors
    ///
    /// Returns an error if the build fails or a program does not exist.
    pub fn find() -> Result<Self> {
        if let Some(cargo) = std::env::var_os("CARGO") {
            build_programs(Path::new(&cargo))?;
        }
        let program = std::env::current_exe().map_err(LabError::io("finding the lab's program"))?;
        let dir = program.parent().unwrap_or(Path::new("."));
        Ok(Self {
            router: require_file(dir.join("kspan-router"))?,
            scheduler: require_file(dir.join("kspan-scheduler"))?,
        })
    }

    fn path_of(&self, role: Role) -> &Path {
        match role {
            Role::Router => &self.router,
            Role::Scheduler => &self.scheduler,
        }
    }
}

fn build_programs(cargo: &Path) -> Result<()> {
    let mut command = Command::new(cargo);
    command.args([
        "build",
        "--quiet",
        "--bin",
        "kspan-router",
        "--bin",
        "kspan-scheduler",
    ]);
    if !cfg!(debug_assertions) {
        command.arg("--release");
    }
    let status = command.status().map_err(LabError::io("running cargo"))?;
    if status.success() {
        return Ok(());
    }
    Err(LabError::NotReady(
        "cargo build of kspan-router and kspan-scheduler failed".to_owned(),
    ))
}

fn require_file(path: PathBuf) -> Result<PathBuf> {
    if path.is_file() {
        return Ok(path);
    }
    let text = format!("{} does not exist; build it first", path.display());
    Err(LabError::NotReady(text))
}

impl Process {
    /// Creates a process on `host` without starting it.
    pub fn new(
        programs: &Programs,
        role: Role,
        host: &EntryHost,
        cell: &Cell,
        platform: Platform,
        ports: &Ports,
        dir: &Path,
    ) -> Self {
        let fleet = &cell.document.fleet;
        let cfg = Settings {
            name: Name::from(format!("{}-{role}", host.name)),
            host: host.name.clone(),
            cell: cell.document.cell.clone(),
            region: host.site.region.clone(),
            data_centre: host.site.data_centre.clone(),
            listen: ports.listen,
            platform,
            log_level: "info".to_owned(),
            stop_grace_ms: 10_000,
            faults: Some(Faults {
                delay_data_centre_ms: fleet.delay_data_centre.0,
                delay_region_ms: fleet.delay_region.0,
                ..Faults::default()
            }),
        };
        Self {
            cfg,
            role,
            incarnation: 0,
            program: programs.path_of(role).to_owned(),
            dir: dir.to_owned(),
            child: None,
        }
    }

    /// Returns the process's name.
    pub fn name(&self) -> &Name {
        &self.cfg.name
    }

    /// Removes the output that an earlier experiment left in the report's directory.
    pub fn remove_output(&self) {
        // The file does not exist in a new directory.
        let _ = fs::remove_file(self.output());
    }

    fn output(&self) -> PathBuf {
        self.dir.join(self.name().as_str()).with_extension("log")
    }

    /// Starts the process; its output is appended to a file in the report's directory.
    ///
    /// # Errors
    ///
    /// Returns an error if a file can't be written or the program can't be run.
    ///
    /// # Panics
    ///
    /// Panics if the settings can't be serialised to YAML.
    pub fn start(&mut self) -> Result<()> {
        let settings = self.dir.join(self.name().as_str()).with_extension("yaml");
        let text = serde_norway::to_string(&self.cfg).expect("settings are plain data");
        fs::write(&settings, text).map_err(LabError::io(settings.display().to_string()))?;
        let output = self.output();
        let output = File::options()
            .create(true)
            .append(true)
            .open(&output)
            .map_err(LabError::io(output.display().to_string()))?;
        let errors = output
            .try_clone()
            .map_err(LabError::io("duplicating the handle of a log file"))?;
        let child = Command::new(&self.program)
            .arg("--settings")
            .arg(&settings)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .spawn()
            .map_err(LabError::io(self.program.display().to_string()))?;
        log::debug!(
            "lab: started {} with process id {} at {}",
            self.name(),
            child.id(),
            now()
        );
        self.child = Some(child);
        self.incarnation += 1;
        Ok(())
    }

    /// Returns the process id until the process has been reaped.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Returns whether the process is running, and reaps it if it has exited.
    pub fn is_running(&mut self) -> bool {
        let ended = self
            .child
            .as_mut()
            .is_none_or(|child| !matches!(child.try_wait(), Ok(None)));
        if ended {
            self.child = None;
        }
        !ended
    }

    /// Kills and reaps the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // `kill` fails if the process has already exited.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends a signal to the process if it is running.
    pub fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            send_signal(child, signal);
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

fn send_signal(child: &Child, signal: Signal) {
    let number = match signal {
        Signal::Terminate => rustix::process::Signal::TERM,
        Signal::Pause => rustix::process::Signal::STOP,
        Signal::Resume => rustix::process::Signal::CONT,
    };
    // The child has not been reaped, so its id has not been reused.
    let pid = rustix::process::Pid::from_child(child);
    if let Err(err) = rustix::process::kill_process(pid, number) {
        log::warn!("lab: can't send {signal:?} to process {pid:?}: {err}");
    }
}

/// Free ports, which stay bound until the value is dropped so that no two processes get the same.
#[derive(Debug)]
pub struct Ports {
    listen: Listen,
    _http: TcpListener,
    _admin: TcpListener,
    _wire: (TcpListener, UdpSocket),
}

impl Ports {
    /// Binds free ports on an address.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if no port can be bound.
    pub fn find(ip: IpAddr) -> Result<Self> {
        Self::bind(ip).map_err(LabError::io("finding free ports"))
    }

    fn bind(ip: IpAddr) -> io::Result<Self> {
        let http = TcpListener::bind((ip, 0))?;
        let admin = TcpListener::bind((ip, 0))?;
        let wire = bind_tcp_and_udp(ip)?;
        Ok(Self {
            listen: Listen {
                http: http.local_addr()?,
                admin: admin.local_addr()?,
                wire: wire.0.local_addr()?,
            },
            _http: http,
            _admin: admin,
            _wire: wire,
        })
    }
}

/// Binds a port that is free for both TCP and UDP.
fn bind_tcp_and_udp(ip: IpAddr) -> io::Result<(TcpListener, UdpSocket)> {
    let mut last_error = io::Error::other("no port attempted");
    for _ in 0..MAX_PORT_ATTEMPTS {
        let tcp = TcpListener::bind((ip, 0))?;
        let address: SocketAddr = tcp.local_addr()?;
        match UdpSocket::bind(address) {
            Ok(udp) => return Ok((tcp, udp)),
            Err(err) => last_error = err,
        }
    }
    Err(last_error)
}
