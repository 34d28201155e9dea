//! The program: its arguments, its threads and their planned stop.

use std::{
    io,
    net::TcpListener,
    path::PathBuf,
    process::ExitCode,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use argh::FromArgs;
use kspan_fold::Body;
use kspan_model::Role;
use kspan_node::{
    Node, StartError, logging,
    ring::{self, Receiver},
    settings::{Settings, SettingsError},
};
use quick_error::quick_error;
use tokio::{sync::watch, task::LocalSet};

use crate::{
    board::Board,
    commit,
    decisions::{self, Rings},
    http::{self, Callers},
    worker_io,
};

/// Exchanges and replies that may wait; more than twice a shard's workers.
const EXCHANGES: usize = 4_096;

/// Questions, submissions and cancellations that may wait.
const CALLERS: usize = 4_096;

/// Longest wait for entries that callers still wait for, before a planned stop goes on.
const COMMIT_GRACE: Duration = Duration::from_secs(5);

/// Result of running the program.
pub(crate) type Result<T> = std::result::Result<T, ProgramError>;

quick_error! {
    /// Why the program could not run.
    #[derive(Debug)]
    pub enum ProgramError {
        /// The settings could not be used.
        Settings(err: SettingsError) {
            display("{err}")
            source(err)
            from()
        }
        /// The node could not start.
        Node(err: StartError) {
            display("{err}")
            source(err)
            from()
        }
        /// The address for callers can't be listened on, or a thread was refused.
        Io(err: io::Error) {
            display("{err}")
            source(err)
            from()
        }
    }
}

/// Places tasks on workers and keeps them running.
#[derive(Debug, FromArgs)]
struct Args {
    /// file with the settings of this process
    #[argh(option)]
    settings: PathBuf,
    /// only check the settings
    #[argh(switch)]
    check: bool,
}

/// Runs the program with the process's arguments and returns its exit code.
pub fn main() -> ExitCode {
    let args: Args = argh::from_env();
    match run(&args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("kspan-scheduler: {err}");
            ExitCode::FAILURE
        }
    }
}

fn run(args: &Args) -> Result<()> {
    let cfg = Settings::read(&args.settings)?;
    if args.check {
        println!("settings of {} are valid", cfg.name);
        return Ok(());
    }
    if logging::init(&cfg.log_level).is_err() {
        eprintln!("kspan-scheduler: logging was set up before");
    }
    let listener = TcpListener::bind(cfg.listen.http)?;
    let (node, events) = kspan_node::start(cfg, Role::Scheduler)?;
    let threads = Threads::start(&node, listener)?;
    log::info!("scheduler: {} started", node.id());
    decide(&node, events, threads)?;
    node.shutdown();
    log::info!("scheduler: {} stopped", node.id());
    Ok(())
}

/// The other threads and the ends of their rings.
struct Threads {
    rings: Rings,
    submissions: Receiver<commit::Entry<kspan_model::Submission>>,
    cancels: Receiver<commit::Entry<kspan_model::JobId>>,
    board: Board,
    stopping: Arc<AtomicBool>,
    stop_http: watch::Sender<bool>,
    http: thread::JoinHandle<()>,
}

impl Threads {
    fn start(node: &Node, listener: TcpListener) -> Result<Self> {
        let (orders, orders_rx) = ring::bounded(EXCHANGES);
        let (replies_tx, replies) = ring::bounded(EXCHANGES);
        let (queries_tx, queries) = ring::bounded(CALLERS);
        let (submissions_tx, submissions) = ring::bounded(CALLERS);
        let (cancels_tx, cancels) = ring::bounded(CALLERS);
        let (stop_http, stop) = watch::channel(false);
        let board = Board::new();
        let shown = board.clone();
        node.set_dump(move || decisions::dump(&shown));
        let stopping = Arc::new(AtomicBool::new(false));
        let callers = Callers {
            node: node.clone(),
            queries: queries_tx,
            submissions: submissions_tx,
            cancels: cancels_tx,
            board: board.clone(),
            stopping: Arc::clone(&stopping),
        };
        let http = thread::Builder::new()
            .name("callers".into())
            .spawn(move || http::run(callers, listener, stop))?;
        let links = node.link_faults().clone();
        thread::Builder::new()
            .name("workers".into())
            .spawn(move || worker_io::run(links, orders_rx, replies_tx))?;
        Ok(Self {
            rings: Rings {
                orders,
                replies,
                queries,
            },
            submissions,
            cancels,
            board,
            stopping,
            stop_http,
            http,
        })
    }
}

/// Runs the decisions and the group commits on this thread until a planned stop is over.
fn decide(node: &Node, events: Receiver<kspan_node::Event>, threads: Threads) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let Threads {
        rings,
        submissions,
        cancels,
        board,
        stopping,
        stop_http,
        http,
    } = threads;
    let local = LocalSet::new();
    let appender = node.clone();
    let committed_submissions = local.spawn_local(commit::run(submissions, move |submissions| {
        let node = appender.clone();
        async move { node.append(Body::Submissions { submissions }).await }
    }));
    let appender = node.clone();
    let committed_cancels = local.spawn_local(commit::run(cancels, move |jobs| {
        let node = appender.clone();
        async move { node.append(Body::Cancels { jobs }).await }
    }));
    local.block_on(&runtime, async {
        let on_stop = move || {
            stopping.store(true, Ordering::Release);
            // Nobody listens any more where the thread has ended.
            let _ = stop_http.send(true);
        };
        decisions::run(node.clone(), events, rings, board, on_stop).await;
        // The callers' thread drops its senders once its requests are answered; the group
        // commits end after what was handed over is in the log.
        let commits = async {
            let _ = tokio::join!(committed_submissions, committed_cancels);
        };
        if tokio::time::timeout(COMMIT_GRACE, commits).await.is_err() {
            log::warn!("scheduler: some callers were still waiting for the log");
        }
    });
    if http.is_finished() && http.join().is_err() {
        log::error!("scheduler: the callers' thread panicked");
    }
    Ok(())
}
