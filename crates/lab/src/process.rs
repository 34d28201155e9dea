//! The system's real processes: starting, stopping, pausing and killing them.

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

/// How often a free port is looked for before giving up.
const PORT_TRIES: usize = 64;

/// A signal that the lab sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Asks for a planned stop.
    Terminate,
    /// Pauses.
    Pause,
    /// Goes on after a pause.
    Resume,
}

/// Where the programs are.
#[derive(Clone, Debug)]
pub struct Programs {
    router: PathBuf,
    scheduler: PathBuf,
}

/// One of the system's processes.
#[derive(Debug)]
pub struct Process {
    /// Its settings.
    pub cfg: Settings,
    /// Its program.
    pub role: Role,
    /// How many times it was started.
    pub life: u32,
    program: PathBuf,
    dir: PathBuf,
    child: Option<Child>,
}

impl Programs {
    /// Finds the programs beside the lab's own. Builds them first where cargo started the lab,
    /// because cargo builds only the one that it runs.
    ///
    /// # Errors
    ///
    /// Returns an error where the build fails or a program is not there.
    pub fn find() -> Result<Self> {
        if let Some(cargo) = std::env::var_os("CARGO") {
            build(Path::new(&cargo))?;
        }
        let own = std::env::current_exe().map_err(LabError::io("finding the lab's program"))?;
        let dir = own.parent().unwrap_or(Path::new("."));
        Ok(Self {
            router: existing(dir.join("kspan-router"))?,
            scheduler: existing(dir.join("kspan-scheduler"))?,
        })
    }

    fn of(&self, role: Role) -> &Path {
        match role {
            Role::Router => &self.router,
            Role::Scheduler => &self.scheduler,
        }
    }
}

fn build(cargo: &Path) -> Result<()> {
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
        "cargo could not build the programs".to_owned(),
    ))
}

fn existing(path: PathBuf) -> Result<PathBuf> {
    if path.is_file() {
        return Ok(path);
    }
    let text = format!("{} is not there; build it first", path.display());
    Err(LabError::NotReady(text))
}

impl Process {
    /// Prepares a process on `host`; it is not started yet.
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
            life: 0,
            program: programs.of(role).to_owned(),
            dir: dir.to_owned(),
            child: None,
        }
    }

    /// Returns its name.
    pub fn name(&self) -> &Name {
        &self.cfg.name
    }

    /// Removes what an earlier experiment left in the report's directory.
    pub fn forget_output(&self) {
        // There is nothing to remove the first time.
        let _ = fs::remove_file(self.output());
    }

    fn output(&self) -> PathBuf {
        self.dir.join(self.name().as_str()).with_extension("log")
    }

    /// Starts it; its output goes to a file in the report's directory.
    ///
    /// # Errors
    ///
    /// Returns an error where files can't be written or the program can't be run.
    ///
    /// # Panics
    ///
    /// Panics where settings can't be written as YAML, which plain data always can.
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
            .map_err(LabError::io("sharing a log file"))?;
        let child = Command::new(&self.program)
            .arg("--settings")
            .arg(&settings)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .spawn()
            .map_err(LabError::io(self.program.display().to_string()))?;
        log::debug!(
            "lab: started {} as {} at {}",
            self.name(),
            child.id(),
            now()
        );
        self.child = Some(child);
        self.life += 1;
        Ok(())
    }

    /// Returns its process id while it has not been reaped.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Returns whether it runs, and reaps it where it has ended.
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

    /// Kills it at once.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // It may have ended by itself; either way it is gone afterwards.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends a signal.
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
    // The child has not been reaped, so its id still names it.
    let pid = rustix::process::Pid::from_child(child);
    if let Err(err) = rustix::process::kill_process(pid, number) {
        log::warn!("lab: {signal:?} to {pid:?}: {err}");
    }
}

/// Free ports, held until the value is dropped, so that no two processes get the same.
#[derive(Debug)]
pub struct Ports {
    listen: Listen,
    _http: TcpListener,
    _admin: TcpListener,
    _wire: (TcpListener, UdpSocket),
}

impl Ports {
    /// Finds free ports on an address.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system where there are none.
    pub fn find(ip: IpAddr) -> Result<Self> {
        Self::bind(ip).map_err(LabError::io("finding free ports"))
    }

    fn bind(ip: IpAddr) -> io::Result<Self> {
        let http = TcpListener::bind((ip, 0))?;
        let admin = TcpListener::bind((ip, 0))?;
        let wire = free_pair(ip)?;
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

/// Finds a port that is free for TCP and UDP alike.
fn free_pair(ip: IpAddr) -> io::Result<(TcpListener, UdpSocket)> {
    let mut last = io::Error::other("no port tried");
    for _ in 0..PORT_TRIES {
        let tcp = TcpListener::bind((ip, 0))?;
        let address: SocketAddr = tcp.local_addr()?;
        match UdpSocket::bind(address) {
            Ok(udp) => return Ok((tcp, udp)),
            Err(err) => last = err,
        }
    }
    Err(last)
}
