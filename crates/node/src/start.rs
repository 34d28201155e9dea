//! Starts the threads of a node.

use std::{
    future::Future,
    io,
    net::{SocketAddr, TcpListener, UdpSocket},
    sync::{Arc, Mutex, OnceLock, atomic::AtomicBool},
    thread,
};

use kspan_membership::guard::Guard;
use kspan_model::{Member, Millis, NodeId, Role};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use quick_error::quick_error;
use tokio::{runtime, sync::watch, task::LocalSet, time::Instant};

use crate::{
    admin,
    append::Appender,
    event::Event,
    follow, heartbeat,
    inner::{Inner, Phase, unix_now},
    links::LinkFaults,
    node::Node,
    notices::Notices,
    recent::Recent,
    ring,
    settings::Settings,
    signals,
    slot::Slot,
    wire,
};

/// Result of starting a node.
pub type Result<T> = std::result::Result<T, StartError>;

quick_error! {
    /// Why a node could not start.
    #[derive(Debug)]
    pub enum StartError {
        /// An address can't be listened on.
        Listen(addr: SocketAddr, err: io::Error) {
            display("can't listen on {addr}: {err}")
            source(err)
        }
        /// The system refused a thread or a signal handler.
        System(err: io::Error) {
            display("{err}")
            source(err)
            from()
        }
    }
}

/// Events that may wait for the program.
const EVENTS: usize = 8_192;

/// Messages to members that may wait for the wire thread.
const OUTGOING: usize = 8_192;

/// Appends that may wait for the log thread.
const APPENDS: usize = 1_024;

/// Batches of relayed log entries that may wait for the log thread.
const RELAYED: usize = 16;

/// Starts the threads of a node.
///
/// # Errors
///
/// Returns an error where an address can't be listened on or a thread not started.
pub fn start(cfg: Settings, role: Role) -> Result<(Node, ring::Receiver<Event>)> {
    let metrics = recorder();
    let sockets = Sockets::open(&cfg)?;
    let signals = signals::register()?;
    let (events_tx, events) = ring::bounded(EVENTS);
    let (outgoing_tx, outgoing) = ring::bounded(OUTGOING);
    let (appends_tx, appends) = ring::bounded(APPENDS);
    let (relayed_tx, relayed) = ring::bounded(RELAYED);
    let me = member(&cfg, role);
    let inner = Arc::new(Inner {
        started: Instant::now(),
        links: LinkFaults::new(cfg.site(), cfg.faults.clone().unwrap_or_default()),
        fold: watch::Sender::new(Arc::default()),
        hosts: Slot::default(),
        listed: Mutex::default(),
        liveness: Slot::default(),
        guard: Mutex::new(Guard::new(Millis::ZERO, me.node.clone(), role)),
        notices: Notices::new(events_tx),
        outgoing: outgoing_tx,
        appender: Appender::new(appends_tx),
        recent: Recent::default(),
        relayed: relayed_tx,
        phase: watch::Sender::new(Phase::Running),
        dump: Mutex::default(),
        ready: AtomicBool::new(false),
        founded: AtomicBool::new(false),
        threads: Mutex::default(),
        me,
        cfg,
    });
    let node = Node {
        inner: Arc::clone(&inner),
        signals: signals.handle(),
    };
    let Sockets { wire, udp, admin } = sockets;
    let shared = Arc::clone(&inner);
    spawn(&inner, "signals", move || signals::run(&shared, signals))?;
    let shared = Arc::clone(&inner);
    spawn(&inner, "log", move || follow::run(shared, appends, relayed))?;
    let shared = Arc::clone(&inner);
    spawn(&inner, "wire", move || {
        run_local(async move {
            match tokio::net::TcpListener::from_std(wire) {
                Ok(listener) => wire::run(shared, listener, outgoing).await,
                Err(err) => log::error!("wire: can't listen: {err}"),
            }
        });
    })?;
    let shared = Arc::clone(&inner);
    spawn(&inner, "membership", move || {
        let ended = Arc::clone(&shared);
        run_local(async move {
            match tokio::net::UdpSocket::from_std(udp) {
                Ok(socket) => heartbeat::run(shared, socket).await,
                Err(err) => log::error!("membership: can't receive: {err}"),
            }
        });
        ended.phase.send_replace(Phase::Ended);
    })?;
    let shared = Arc::clone(&inner);
    spawn(&inner, "admin", move || admin::run(shared, admin, metrics))?;
    Ok((node, events))
}

struct Sockets {
    wire: TcpListener,
    udp: UdpSocket,
    admin: TcpListener,
}

impl Sockets {
    fn open(cfg: &Settings) -> Result<Self> {
        let listen = |addr| TcpListener::bind(addr).map_err(|err| StartError::Listen(addr, err));
        let wire = listen(cfg.listen.wire)?;
        let admin = listen(cfg.listen.admin)?;
        let udp = UdpSocket::bind(cfg.listen.wire)
            .map_err(|err| StartError::Listen(cfg.listen.wire, err))?;
        wire.set_nonblocking(true)?;
        udp.set_nonblocking(true)?;
        Ok(Self { wire, udp, admin })
    }
}

/// Starting times tell lives apart: a process restarts later than it started.
fn member(cfg: &Settings, role: Role) -> Member {
    Member {
        node: NodeId::new(cfg.name.clone(), unix_now().0),
        role,
        site: cfg.site(),
        wire: cfg.listen.wire,
        http: cfg.listen.http,
        admin: cfg.listen.admin,
    }
}

fn spawn(inner: &Inner, name: &str, f: impl FnOnce() + Send + 'static) -> Result<()> {
    let thread = thread::Builder::new()
        .name(format!("kspan-{name}"))
        .spawn(f)?;
    crate::slot::lock(&inner.threads).push(thread);
    Ok(())
}

/// Runs a future, with the tasks that it spawns, on this thread.
fn run_local(f: impl Future<Output = ()>) {
    let runtime = runtime::Builder::new_current_thread().enable_all().build();
    match runtime {
        Ok(runtime) => LocalSet::new().block_on(&runtime, f),
        Err(err) => log::error!("node: no runtime: {err}"),
    }
}

/// Installs the process's recorder of metrics once.
fn recorder() -> PrometheusHandle {
    static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();
    let install = || {
        let recorder = PrometheusBuilder::new().build_recorder();
        let handle = recorder.handle();
        // A test process may have installed another one.
        let _ = metrics::set_global_recorder(recorder);
        handle
    };
    HANDLE.get_or_init(install).clone()
}
