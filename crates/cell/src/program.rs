//! The program: arguments, settings, start and planned stop.

use std::{
    cell::Cell, env, io, net::SocketAddr, path::PathBuf, process::ExitCode, rc::Rc, time::Duration,
};

use argh::FromArgs;
use signal_hook::{
    consts::{SIGHUP, SIGTERM},
    iterator::Signals,
};
use tokio::{
    net::{TcpListener, UdpSocket},
    sync::mpsc,
    time::Instant,
};

use crate::{admin, entry, logging, measure, node::Node, peers, precedence, settings::Settings};

const EXIT_FAILED: u8 = 1;
const EXIT_USAGE: u8 = 2;

/// Shortest time that a process serves on after a planned stop was asked for.
const SHORTEST_DRAIN: Duration = Duration::from_millis(1_500);

/// Time kept in hand before the platform ends the process.
const GRACE_MARGIN: Duration = Duration::from_millis(1_000);

/// Time between looks at whether a planned stop may end.
const STOP_INTERVAL: Duration = Duration::from_millis(50);

/// Time in which a process that was asked to take over has claimed, where the store answers.
const TAKE_OVER_TIME: Duration = Duration::from_millis(500);

/// Runs one process of a cell on the users' platform.
#[derive(FromArgs, Debug)]
#[argh(example = "kspan-cell --settings cell.yaml")]
struct Args {
    /// settings file
    #[argh(option)]
    settings: PathBuf,

    /// checks the settings and ends
    #[argh(switch)]
    check: bool,
}

/// Requests that are being answered.
#[derive(Debug, Default)]
pub(crate) struct InFlight(Rc<Cell<usize>>);

/// One request that is being answered.
pub(crate) struct Entered(Rc<Cell<usize>>);

impl InFlight {
    /// Counts a request until the value is dropped.
    pub(crate) fn enter(&self) -> Entered {
        self.0.set(self.0.get() + 1);
        Entered(Rc::clone(&self.0))
    }

    fn is_empty(&self) -> bool {
        self.0.get() == 0
    }
}

impl Drop for Entered {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Runs the program.
pub fn main() -> ExitCode {
    let words: Vec<String> = env::args().collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let args = match Args::from_args(&["kspan-cell"], words.get(1..).unwrap_or_default()) {
        Ok(args) => args,
        Err(early) if early.status.is_ok() => {
            println!("{}", early.output);
            return ExitCode::SUCCESS;
        }
        Err(early) => {
            eprintln!("kspan-cell: {}", early.output.trim_end());
            return ExitCode::from(EXIT_USAGE);
        }
    };
    let cfg = match Settings::read(&args.settings) {
        Ok(cfg) => cfg,
        Err(err) => {
            eprintln!("kspan-cell: {}: {err}", args.settings.display());
            return ExitCode::from(EXIT_USAGE);
        }
    };
    if args.check {
        println!("{}: valid", args.settings.display());
        return ExitCode::SUCCESS;
    }
    let _guard = logging::start();
    stop_on_panic();
    let system = ntex::rt::System::build()
        .name("cell")
        .build(ntex::rt::DefaultRuntime);
    match system.block_on(run(cfg)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            tracing::error!(%err, "ended");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

/// Ends the process where an invariant is broken, in whichever task: another process takes over
/// from one that ends, not from one that has lost a task.
fn stop_on_panic() {
    std::panic::set_hook(Box::new(|panic| {
        eprintln!("kspan-cell: {panic}");
        std::process::exit(i32::from(EXIT_FAILED));
    }));
}

async fn run(cfg: Settings) -> io::Result<()> {
    let callers: SocketAddr = cfg.callers.parse().map_err(io::Error::other)?;
    let ready: SocketAddr = cfg.ready.parse().map_err(io::Error::other)?;
    let admin_addr: SocketAddr = cfg.admin.parse().map_err(io::Error::other)?;
    let internal = SocketAddr::from((cfg.address, cfg.internal_port));
    let mut signals = watch_signals()?;
    let metrics = measure::start().map_err(io::Error::other)?;
    let node = Node::new(cfg).await;
    let listener = TcpListener::bind(internal).await?;
    let socket = Rc::new(UdpSocket::bind(internal).await?);
    entry::serve(Rc::clone(&node), callers).await?;
    if ready != callers {
        entry::serve(Rc::clone(&node), ready).await?;
    }
    admin::serve(Rc::clone(&node), admin_addr, metrics).await?;
    ntex::rt::spawn(peers::serve(Rc::clone(&node), listener));
    ntex::rt::spawn(Rc::clone(&node).listen(socket));
    ntex::rt::spawn(Rc::clone(&node).watch());
    ntex::rt::spawn(Rc::clone(&node).greet());
    tracing::info!(node = %node.me.node, life = node.me.life, data_centre = %node.me.data_centre, "started");
    loop {
        match signals.recv().await {
            Some(SIGTERM) | None => break,
            Some(signal) => tracing::info!(signal, "settings are read at the next start"),
        }
    }
    stop(&node).await;
    Ok(())
}

/// Stops without cutting a request: no new connections, then the answers. An owner goes on until
/// another has claimed, because without the store nobody can.
async fn stop(node: &Rc<Node>) {
    tracing::info!("planned stop");
    node.stopping.set(true);
    let began = Instant::now();
    let grace = Duration::from_secs_f64(node.cfg.grace_s).saturating_sub(GRACE_MARGIN);
    let handing_over = ntex::rt::spawn(hand_over(Rc::clone(node)));
    while began.elapsed() < grace {
        tokio::time::sleep(STOP_INTERVAL).await;
        let idle = node.in_flight.is_empty() && node.own_role().is_none();
        if began.elapsed() >= SHORTEST_DRAIN && idle {
            break;
        }
    }
    drop(handing_over);
    if let Some(owner) = node.own_role() {
        owner.step_down("planned stop");
    }
    tracing::info!(after_ms = began.elapsed().as_millis(), "stopped");
}

/// Asks other processes, one after the other, to claim the cell, until one has.
async fn hand_over(node: Rc<Node>) {
    loop {
        let fence = node.own_role().map_or(0, |owner| owner.fence());
        for member in precedence::successors(&node.me.node, fence, &node.members()) {
            if node.own_role().is_none() {
                return;
            }
            if node.ask_to_take_over(&member, fence).await {
                tokio::time::sleep(TAKE_OVER_TIME).await;
            }
        }
        tokio::time::sleep(STOP_INTERVAL).await;
    }
}

/// Starts the thread that turns signals into messages.
fn watch_signals() -> io::Result<mpsc::UnboundedReceiver<i32>> {
    let mut signals = Signals::new([SIGTERM, SIGHUP])?;
    let (tx, rx) = mpsc::unbounded_channel();
    std::thread::Builder::new()
        .name("signals".to_owned())
        .spawn(move || {
            for signal in &mut signals {
                if tx.send(signal).is_err() {
                    return;
                }
            }
        })?;
    Ok(rx)
}
