//! Structured logs on standard output.
//!
//! A thread of its own writes the lines; a full buffer drops them and counts, so that no decision
//! ever waits for a reader.

use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};

/// Most lines that wait to be written.
const BUFFERED_LINES: usize = 4_096;

/// Starts logging. Lines are written until the guard is dropped.
pub(crate) fn start() -> WorkerGuard {
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(BUFFERED_LINES)
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
        eprintln!("kspan-cell: logging was started before");
    }
    guard
}
