//! HTTP API for callers: submitting, querying and cancelling jobs on any entry host.

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

use self::bodies::{ErrorBody, JobView};
use crate::{commit::Entry, decision_loop::Query, published::PublishedState};

/// Maximum size of a request body.
const MAX_BODY_BYTES: usize = 16 * 1024;

/// Value of `retry-after` in responses with status 503.
const RETRY_AFTER_SECONDS: u32 = 2;

/// State shared by the request handlers.
#[derive(Clone)]
pub(crate) struct HandlerState {
    /// The node.
    pub node: Node,
    /// Queries to the decision loop.
    pub queries: Sender<Query>,
    /// Entries for the group commit of submissions.
    pub submissions: Sender<Entry<Submission>>,
    /// Entries for the group commit of cancellations.
    pub cancels: Sender<Entry<JobId>>,
    /// State published by the decision loop.
    pub published: PublishedState,
    /// Whether a graceful shutdown has begun.
    pub stopping: Arc<AtomicBool>,
}

impl HandlerState {
    fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }
}

/// Runs the HTTP server until `stop` turns true, then finishes requests in flight.
pub(crate) fn run(state: HandlerState, listener: TcpListener, mut stop: watch::Receiver<bool>) {
    let grace = state.node.settings().stop_grace_ms.div_ceil(1_000);
    let grace = u16::try_from(grace).unwrap_or(u16::MAX);
    let system = System::new("kspan-callers", DefaultRuntime);
    system.block_on(async move {
        let server = HttpServer::new(async move || {
            App::new()
                .state(state.clone())
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
            Err(err) => return log::error!("scheduler: HTTP server can't listen: {err}"),
        };
        // An error means that the sender was dropped, which stops the server as well.
        let _ = stop.wait_for(|stop| *stop).await;
        server.stop(true).await;
    });
}

/// Returns the status for what this process does not know. Without contact with the log or a
/// majority of the members it may have missed the record that says otherwise.
fn not_found_status(node: &Node) -> StatusCode {
    if node.guard().may_act() {
        StatusCode::NOT_FOUND
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    }
}

fn error_response(
    status: StatusCode,
    outcome: &'static str,
    error: impl Into<String>,
) -> HttpResponse {
    let mut response = HttpResponse::build(status);
    if status == StatusCode::SERVICE_UNAVAILABLE {
        response.header("retry-after", RETRY_AFTER_SECONDS.to_string());
    }
    response.json(&ErrorBody {
        outcome,
        error: error.into(),
    })
}

/// Returns the response to a caller whose record is not confirmed to be in the log.
fn append_error_response(outcome: &AppendOutcome) -> HttpResponse {
    let unavailable = StatusCode::SERVICE_UNAVAILABLE;
    match outcome {
        AppendOutcome::Refused { reason } => {
            error_response(unavailable, "not accepted", reason.to_string())
        }
        AppendOutcome::Unavailable => error_response(
            unavailable,
            "not accepted",
            "the log is unavailable; send the same request again",
        ),
        AppendOutcome::Accepted { .. } | AppendOutcome::Unresolved => error_response(
            unavailable,
            "unknown",
            "the append was not acknowledged; send the same request again, it will not run twice",
        ),
    }
}

fn parse_job(text: &str) -> Result<JobId, HttpResponse> {
    text.parse().map_err(|_| {
        error_response(
            StatusCode::BAD_REQUEST,
            "not accepted",
            format!("invalid job id {text:?}: expected 32 hexadecimal digits"),
        )
    })
}

fn ended_job_view(end: &JobEnd) -> JobView {
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

/// Waits until the log records the end of a job; returns `None` after `timeout`.
async fn wait_for_end(node: &Node, job: JobId, timeout: Duration) -> Option<JobEnd> {
    const POLL_INTERVAL: Duration = Duration::from_millis(20);
    let deadline = tokio::time::Instant::now() + timeout;
    loop {
        if let Some(end) = node.state().ends.get(&job) {
            return Some(end.clone());
        }
        if tokio::time::Instant::now() >= deadline {
            return None;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
