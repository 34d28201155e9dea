//! The duty of callers' HTTP: submitting, following and cancelling jobs on any entry host.

pub(crate) mod bodies;
mod commands;
mod queries;

use std::{
    net::TcpListener,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use kspan_model::{JobEnd, JobId, Submission};
use kspan_node::{AppendOutcome, Node, ring::Sender};
use ntex::{
    http::StatusCode,
    rt::{DefaultRuntime, System},
    web::{self, App, HttpResponse, HttpServer},
};
use tokio::sync::watch;

use self::bodies::{JobView, Problem};
use crate::{board::Board, commit::Entry, decisions::Query};

/// Largest body that is read, in bytes.
const MAX_BODY_BYTES: usize = 16 * 1024;

/// What callers may do again after, in seconds, when the log is not there.
const RETRY_AFTER_SECONDS: u32 = 2;

/// What handlers need.
#[derive(Clone)]
pub(crate) struct Callers {
    /// The node.
    pub node: Node,
    /// To the decisions.
    pub queries: Sender<Query>,
    /// To the group commit of submissions.
    pub submissions: Sender<Entry<Submission>>,
    /// To the group commit of cancellations.
    pub cancels: Sender<Entry<JobId>>,
    /// What the decisions show.
    pub board: Board,
    /// Whether a planned stop has begun.
    pub stopping: Arc<AtomicBool>,
}

impl Callers {
    fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }
}

/// Runs the thread until `stop` turns true; requests in flight are finished then.
pub(crate) fn run(callers: Callers, listener: TcpListener, mut stop: watch::Receiver<bool>) {
    let grace = callers.node.settings().stop_grace_ms.div_ceil(1_000);
    let grace = u16::try_from(grace).unwrap_or(u16::MAX);
    let system = System::new("kspan-callers", DefaultRuntime);
    system.block_on(async move {
        let server = HttpServer::new(async move || {
            App::new()
                .state(callers.clone())
                .state(web::types::PayloadConfig::new(MAX_BODY_BYTES))
                .route("/v1/jobs", web::post().to(commands::submit))
                .route("/v1/jobs/{job}", web::get().to(queries::job))
                .route("/v1/jobs/{job}", web::delete().to(commands::cancel))
                .route("/v1/jobs/{job}/explain", web::get().to(queries::explain))
                .route("/v1/cell", web::get().to(queries::cell))
        })
        .workers(1)
        .disable_signals()
        .shutdown_timeout(ntex::time::Seconds(grace));
        let server = match server.listen(listener) {
            Ok(server) => server.run(),
            Err(err) => return log::error!("scheduler: can't listen: {err}"),
        };
        // An error says that the sender is gone, which is a stop as well.
        let _ = stop.wait_for(|stop| *stop).await;
        server.stop(true).await;
    });
}

fn problem(status: StatusCode, outcome: &'static str, error: impl Into<String>) -> HttpResponse {
    let mut response = HttpResponse::build(status);
    if status == StatusCode::SERVICE_UNAVAILABLE {
        response.header("retry-after", RETRY_AFTER_SECONDS.to_string());
    }
    response.json(&Problem {
        outcome,
        error: error.into(),
    })
}

/// Answers a caller whose record is not certainly in the log.
fn not_appended(outcome: &AppendOutcome) -> HttpResponse {
    let unavailable = StatusCode::SERVICE_UNAVAILABLE;
    match outcome {
        AppendOutcome::Refused { reason } => {
            problem(unavailable, "not accepted", reason.to_string())
        }
        AppendOutcome::Unavailable => problem(
            unavailable,
            "not accepted",
            "the log can't be written now; send the same request again",
        ),
        AppendOutcome::Accepted { .. } | AppendOutcome::Unresolved => problem(
            unavailable,
            "unknown",
            "the log's answer was lost; send the same request again, it will not run twice",
        ),
    }
}

fn parse_job(text: &str) -> Result<JobId, HttpResponse> {
    text.parse().map_err(|_| {
        problem(
            StatusCode::BAD_REQUEST,
            "not accepted",
            format!("{text:?} is no job: a job is 32 hexadecimal digits"),
        )
    })
}

fn ended(end: &JobEnd) -> JobView {
    JobView {
        job: end.job,
        state: "ended",
        workload: None,
        shard: None,
        tasks: None,
        waits: None,
        result: Some(end.result),
        reason: Some(end.reason.clone()),
        ended: Some(end.ended),
    }
}

/// Waits until the log names the end of a job, for `span` at most.
async fn wait_for_end(node: &Node, job: JobId, span: Duration) -> Option<JobEnd> {
    const POLL: Duration = Duration::from_millis(20);
    let deadline = tokio::time::Instant::now() + span;
    loop {
        if let Some(end) = node.state().ends.get(&job) {
            return Some(end.clone());
        }
        if tokio::time::Instant::now() >= deadline {
            return None;
        }
        tokio::time::sleep(POLL).await;
    }
}
