//! Structured JSON logs on standard output.
//!
//! A separate thread writes the lines. If its buffer is full, lines are dropped and counted, so
//! that a slow reader never blocks the scheduler.

use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};

/// Maximum number of lines that wait to be written.
const MAX_BUFFERED_LINES: usize = 4_096;

/// Installs the global subscriber. Lines are written until the guard is dropped.
pub(crate) fn start() -> WorkerGuard {
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(MAX_BUFFERED_LINES)
        .lossy(true)
        .thread_name("log")
        .finish(std::io::stdout());
    let subscriber = tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_target(false)
        .with_current_span(false)
        .with_span_list(false)
        .with_max_level(tracing::Level::INFO)
        .with_writer(writer)
        .finish();
    if tracing::subscriber::set_global_default(subscriber).is_err() {
        eprintln!("kspan-cell: another log subscriber is already installed");
    }
    guard
}
