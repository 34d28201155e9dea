//! Entry point of the program: arguments, settings, start and graceful shutdown.

#[cfg(test)]
mod tests;

use std::{
    env, future::Future, io, net::SocketAddr, path::PathBuf, process::ExitCode, rc::Rc,
    time::Duration,
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

use crate::{
    admin,
    admission::{Admission, Interface, Limits},
    attempts::{Attempts, Progress},
    entry, logging,
    message::Member,
    peers, precedence,
    process::Process,
    settings::Settings,
    telemetry,
};

const EXIT_FAILED: u8 = 1;
const EXIT_USAGE: u8 = 2;

/// Minimum time for which a process keeps serving after a shutdown was requested.
const MIN_DRAIN: Duration = Duration::from_millis(1_500);

/// Margin before the end of the grace period, when the platform ends the process.
const GRACE_MARGIN: Duration = Duration::from_millis(1_000);

/// Interval at which a graceful shutdown checks whether it is complete.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Time that a process needs to claim the cell after it accepted a takeover, if the store answers.
const TAKEOVER_WAIT: Duration = Duration::from_millis(500);

/// Maximum number of takeover requests in flight.
const MAX_TAKEOVER_REQUESTS: usize = 3;

/// Time without a reply after which the next successor is requested as well. A reachable process
/// replies sooner, so that the first one in the order of successors usually takes over.
const TAKEOVER_HEDGE_DELAY: Duration = Duration::from_millis(60);

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

/// Runs the program.
pub fn main() -> ExitCode {
    let argv: Vec<String> = env::args().collect();
    let argv: Vec<&str> = argv.iter().map(String::as_str).collect();
    let args = match Args::from_args(&["kspan-cell"], argv.get(1..).unwrap_or_default()) {
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
    exit_on_panic();
    let system = ntex::rt::System::build()
        .name("cell")
        .build(ntex::rt::DefaultRuntime);
    match system.block_on(run(cfg)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            tracing::error!(%err, "process failed to start; exiting");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

/// Installs a panic hook that exits the process. A panic in a task would leave the process running
/// without that task, and other processes take over only from a process that has exited.
fn exit_on_panic() {
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
    let mut signals = spawn_signal_thread()?;
    let metrics = telemetry::install().map_err(io::Error::other)?;
    let (memory_mb, max_descriptors) = (cfg.memory_mb(), cfg.max_descriptors());
    let process = Process::new(cfg).await;
    let admission = Admission::new(
        |interface| Limits::new(interface, memory_mb, max_descriptors),
        process.node.clock,
        Rc::clone(&process.node.log_limit),
    );
    let listener = TcpListener::bind(internal).await?;
    let socket = Rc::new(UdpSocket::bind(internal).await?);
    entry::serve(
        Rc::clone(&process),
        callers,
        Interface::Callers,
        Rc::clone(&admission),
    )
    .await?;
    if ready != callers {
        entry::serve(
            Rc::clone(&process),
            ready,
            Interface::Ready,
            Rc::clone(&admission),
        )
        .await?;
    }
    admin::serve(
        Rc::clone(&process),
        admin_addr,
        Rc::clone(&admission),
        metrics,
    )
    .await?;
    let handler = Rc::clone(&process);
    ntex::rt::spawn(peers::serve(listener, Rc::clone(&admission), move |req| {
        let process = Rc::clone(&handler);
        async move { process.handle_request(req).await }
    }));
    ntex::rt::spawn(Rc::clone(&admission).sweep());
    ntex::rt::spawn(Rc::clone(&process).receive_heartbeats(socket));
    ntex::rt::spawn(Rc::clone(&process).monitor_owner());
    ntex::rt::spawn(Rc::clone(&process).send_member_heartbeats());
    tracing::info!(node = %process.node.local.node, life = process.node.local.life, data_centre = %process.node.local.data_centre, "started");
    loop {
        match signals.recv().await {
            Some(SIGTERM) | None => break,
            Some(signal) => tracing::info!(
                signal,
                "signal ignored; settings are read only at the next start"
            ),
        }
    }
    shut_down(&process).await;
    Ok(())
}

/// Shuts down gracefully: closes connections after their next response and waits for requests in
/// flight. An owner keeps its role until another process has claimed the cell or the grace period
/// is over, because no process can claim while the store is unavailable.
async fn shut_down(process: &Rc<Process>) {
    tracing::info!("graceful shutdown started");
    process.node.stopping.set(true);
    let started_at = Instant::now();
    let grace = Duration::from_secs_f64(process.node.cfg.grace_s).saturating_sub(GRACE_MARGIN);
    let handover = ntex::rt::spawn(hand_over(Rc::clone(process)));
    while started_at.elapsed() < grace {
        tokio::time::sleep(SHUTDOWN_POLL_INTERVAL).await;
        let idle = process.node.in_flight.is_empty() && process.owner_role().is_none();
        if started_at.elapsed() >= MIN_DRAIN && idle {
            break;
        }
    }
    drop(handover);
    if let Some(owner) = process.owner_role() {
        owner.step_down("graceful shutdown");
    }
    tracing::info!(
        after_ms = started_at.elapsed().as_millis(),
        "graceful shutdown ended"
    );
}

/// Requests the other processes to claim the cell until one has.
async fn hand_over(process: Rc<Process>) {
    loop {
        let fence = process.owner_role().map_or(0, |owner| owner.fence());
        let successors =
            precedence::successors(&process.node.local.node, fence, &process.node.members());
        let is_owner = || process.owner_role().is_some();
        request_takeovers(successors, is_owner, |member| {
            let process = Rc::clone(&process);
            async move { process.node.request_takeover(&member, fence).await }
        })
        .await;
        if !is_owner() {
            return;
        }
        tokio::time::sleep(SHUTDOWN_POLL_INTERVAL).await;
    }
}

/// Sends a takeover request to each successor in turn while `is_owner` holds. A successor that does
/// not reply does not hold up the next ones; one that accepts has time to claim. Several may accept:
/// all are requested for the same fence, so that at most one claims.
async fn request_takeovers<R>(
    successors: Vec<Member>,
    is_owner: impl Fn() -> bool,
    request: impl Fn(Member) -> R,
) where
    R: Future<Output = bool> + 'static,
{
    let mut successors = successors.into_iter();
    let mut requests = Attempts::new();
    while is_owner() {
        if requests.count() < MAX_TAKEOVER_REQUESTS
            && let Some(member) = successors.next()
        {
            requests.start(request(member));
        }
        let until = Instant::now() + TAKEOVER_HEDGE_DELAY;
        match requests.wait(until).await {
            Progress::Ended(true) => tokio::time::sleep(TAKEOVER_WAIT).await,
            Progress::Ended(false) | Progress::Slow => {}
            Progress::NoneInFlight => return,
        }
    }
}

/// Spawns the thread that forwards signals to the returned channel.
fn spawn_signal_thread() -> io::Result<mpsc::UnboundedReceiver<i32>> {
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
