//! Command line, threads and graceful shutdown of the scheduler program.

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
    commit,
    decision_loop::{self, Channels},
    http::{self, HandlerState},
    published::PublishedState,
    worker_io,
};

/// Capacity of the rings of exchange requests and of replies; more than twice the workers of a
/// shard.
const EXCHANGE_RING_CAPACITY: usize = 4_096;

/// Capacity of each ring of queries, submissions and cancellations.
const CALLER_RING_CAPACITY: usize = 4_096;

/// Longest time that a graceful shutdown waits for log entries on which callers are waiting.
const COMMIT_DRAIN_TIMEOUT: Duration = Duration::from_secs(5);

/// Result of running the program.
pub(crate) type Result<T> = std::result::Result<T, ProgramError>;

quick_error! {
    /// An error that prevents the program from running.
    #[derive(Debug)]
    pub enum ProgramError {
        /// The settings file could not be read or is invalid.
        Settings(err: SettingsError) {
            display("{err}")
            source(err)
            from()
        }
        /// The node failed to start.
        Node(err: StartError) {
            display("{err}")
            source(err)
            from()
        }
        /// The HTTP address could not be bound, or a thread could not be spawned.
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
    let settings = Settings::read(&args.settings)?;
    if args.check {
        println!("settings of {} are valid", settings.name);
        return Ok(());
    }
    if logging::init(&settings.log_level).is_err() {
        eprintln!("kspan-scheduler: a logger is already installed; keeping it");
    }
    let listener = TcpListener::bind(settings.listen.http)?;
    let (node, events) = kspan_node::start(settings, Role::Scheduler)?;
    let threads = Threads::start(&node, listener)?;
    log::info!("scheduler: {} started", node.id());
    run_decisions(&node, events, threads)?;
    node.shutdown();
    log::info!("scheduler: {} stopped", node.id());
    Ok(())
}

/// Handles of the other threads and the ends of the rings that connect them.
struct Threads {
    channels: Channels,
    submissions: Receiver<commit::Entry<kspan_model::Submission>>,
    cancels: Receiver<commit::Entry<kspan_model::JobId>>,
    published: PublishedState,
    stopping: Arc<AtomicBool>,
    stop_http: watch::Sender<bool>,
    http: thread::JoinHandle<()>,
}

impl Threads {
    fn start(node: &Node, listener: TcpListener) -> Result<Self> {
        let (requests, requests_rx) = ring::bounded(EXCHANGE_RING_CAPACITY);
        let (replies_tx, replies) = ring::bounded(EXCHANGE_RING_CAPACITY);
        let (queries_tx, queries) = ring::bounded(CALLER_RING_CAPACITY);
        let (submissions_tx, submissions) = ring::bounded(CALLER_RING_CAPACITY);
        let (cancels_tx, cancels) = ring::bounded(CALLER_RING_CAPACITY);
        let (stop_http, stop) = watch::channel(false);
        let published = PublishedState::new();
        let published_for_dump = published.clone();
        node.set_dump(move || decision_loop::dump_json(&published_for_dump));
        let stopping = Arc::new(AtomicBool::new(false));
        let handler_state = HandlerState {
            node: node.clone(),
            queries: queries_tx,
            submissions: submissions_tx,
            cancels: cancels_tx,
            published: published.clone(),
            stopping: Arc::clone(&stopping),
        };
        let http = thread::Builder::new()
            .name("callers".into())
            .spawn(move || http::run(handler_state, listener, stop))?;
        let links = node.link_faults().clone();
        thread::Builder::new()
            .name("workers".into())
            .spawn(move || worker_io::run(links, requests_rx, replies_tx))?;
        Ok(Self {
            channels: Channels {
                requests,
                replies,
                queries,
            },
            submissions,
            cancels,
            published,
            stopping,
            stop_http,
            http,
        })
    }
}

/// Runs the decision loop and the group commits on this thread until a graceful shutdown completes.
fn run_decisions(node: &Node, events: Receiver<kspan_node::Event>, threads: Threads) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let Threads {
        channels,
        submissions,
        cancels,
        published,
        stopping,
        stop_http,
        http,
    } = threads;
    let local = LocalSet::new();
    let appender = node.clone();
    let submission_commits = local.spawn_local(commit::run(submissions, move |submissions| {
        let node = appender.clone();
        async move { node.append(Body::Submissions { submissions }).await }
    }));
    let appender = node.clone();
    let cancel_commits = local.spawn_local(commit::run(cancels, move |jobs| {
        let node = appender.clone();
        async move { node.append(Body::Cancels { jobs }).await }
    }));
    local.block_on(&runtime, async {
        let on_stop = move || {
            stopping.store(true, Ordering::Release);
            // Sending fails only if the HTTP thread has already ended.
            let _ = stop_http.send(true);
        };
        decision_loop::run(node.clone(), events, channels, published, on_stop).await;
        // The HTTP thread drops its senders once its requests are answered; the group commits end
        // after every entry that they received has been appended.
        let commits = async {
            let _ = tokio::join!(submission_commits, cancel_commits);
        };
        if tokio::time::timeout(COMMIT_DRAIN_TIMEOUT, commits)
            .await
            .is_err()
        {
            log::warn!(
                "scheduler: log appends timed out at shutdown; some callers get no response"
            );
        }
    });
    if http.is_finished() && http.join().is_err() {
        log::error!("scheduler: the HTTP thread panicked");
    }
    Ok(())
}
