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
    appender::Appender,
    event::Event,
    event_sender::EventSender,
    follow,
    inner::{Inner, Phase, unix_now},
    link_faults::LinkFaults,
    membership,
    node::Node,
    recent_entries::RecentEntries,
    ring,
    settings::Settings,
    signals,
    sync::SharedValue,
    wire,
};

/// Result of starting a node.
pub type Result<T> = std::result::Result<T, StartError>;

quick_error! {
    /// Why a node could not start.
    #[derive(Debug)]
    pub enum StartError {
        /// A socket could not be bound to its address.
        Listen(addr: SocketAddr, err: io::Error) {
            display("can't listen on {addr}: {err}")
            source(err)
        }
        /// The operating system refused to create a thread, a signal handler or a socket mode.
        System(err: io::Error) {
            display("{err}")
            source(err)
            from()
        }
    }
}

/// Maximum number of events queued for the program.
const EVENT_QUEUE_CAPACITY: usize = 8_192;

/// Maximum number of outgoing messages queued for the wire thread.
const OUTGOING_QUEUE_CAPACITY: usize = 8_192;

/// Maximum number of appends queued for the log thread.
const APPEND_QUEUE_CAPACITY: usize = 1_024;

/// Maximum number of relayed batches of entries queued for the log thread.
const RELAYED_QUEUE_CAPACITY: usize = 16;

/// Starts the threads of a node.
///
/// # Errors
///
/// Returns an error when a socket can't be bound or a thread can't be started.
pub fn start(cfg: Settings, role: Role) -> Result<(Node, ring::Receiver<Event>)> {
    let metrics = install_recorder();
    let sockets = Sockets::open(&cfg)?;
    let signals = signals::register()?;
    let (events_tx, events) = ring::bounded(EVENT_QUEUE_CAPACITY);
    let (outgoing_tx, outgoing) = ring::bounded(OUTGOING_QUEUE_CAPACITY);
    let (appends_tx, appends) = ring::bounded(APPEND_QUEUE_CAPACITY);
    let (relayed_tx, relayed) = ring::bounded(RELAYED_QUEUE_CAPACITY);
    let me = own_member(&cfg, role);
    let inner = Arc::new(Inner {
        started: Instant::now(),
        link_faults: LinkFaults::new(cfg.site(), cfg.faults.clone().unwrap_or_default()),
        log_state: watch::Sender::new(Arc::default()),
        hosts: SharedValue::default(),
        ever_listed: Mutex::default(),
        liveness: SharedValue::default(),
        guard: Mutex::new(Guard::new(Millis::ZERO, me.node.clone(), role)),
        events: EventSender::new(events_tx),
        outgoing: outgoing_tx,
        appender: Appender::new(appends_tx),
        recent_entries: RecentEntries::default(),
        relayed_entries: relayed_tx,
        phase: watch::Sender::new(Phase::Running),
        program_dump: Mutex::default(),
        program_ready: AtomicBool::new(false),
        caught_up: AtomicBool::new(false),
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
        let stopping = Arc::clone(&shared);
        run_local(async move {
            match tokio::net::UdpSocket::from_std(udp) {
                Ok(socket) => membership::run(shared, socket).await,
                Err(err) => log::error!("membership: can't receive: {err}"),
            }
        });
        stopping.phase.send_replace(Phase::Stopped);
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

/// Returns this process as a member. Its start time serves as the incarnation, which thereby
/// increases with every restart.
fn own_member(cfg: &Settings, role: Role) -> Member {
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
    crate::sync::lock(&inner.threads).push(thread);
    Ok(())
}

/// Runs a future and the tasks that it spawns on this thread.
fn run_local(f: impl Future<Output = ()>) {
    let runtime = runtime::Builder::new_current_thread().enable_all().build();
    match runtime {
        Ok(runtime) => LocalSet::new().block_on(&runtime, f),
        Err(err) => log::error!("node: can't create a runtime: {err}"),
    }
}

/// Installs the process's metrics recorder, unless an earlier call has installed it.
fn install_recorder() -> PrometheusHandle {
    static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();
    let install = || {
        let recorder = PrometheusBuilder::new().build_recorder();
        let handle = recorder.handle();
        // A test process may have installed a different recorder.
        let _ = metrics::set_global_recorder(recorder);
        handle
    };
    HANDLE.get_or_init(install).clone()
}
