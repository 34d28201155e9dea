//! Logs and metrics of the engine's decisions.

use kspan_jobs::{engine::Note, runner::EndKind};

use super::Owner;
use crate::telemetry;

impl Owner {
    /// Records metrics of the engine's decisions and logs them within the rate limit of each kind.
    pub(super) fn log_decisions(&self, notes: &[Note]) {
        for note in notes {
            record_metrics(note);
            if self.node.log_limit.allows(note_kind(note), self.now()) {
                log_note(note);
            }
        }
    }
}

fn record_metrics(note: &Note) {
    match note {
        Note::Ordered { waited, .. } => telemetry::record_start_order(*waited),
        Note::NotStarted { why, .. } => telemetry::record_not_started(why),
        Note::RunOver { how, .. } => {
            telemetry::record_run_end(how.map_or("vanished", end_kind_name))
        }
        Note::JobEnded { how, after, .. } => telemetry::record_job_end(how, *after),
        Note::Adopted { .. }
        | Note::Unwanted { .. }
        | Note::Stalled { .. }
        | Note::Runner { .. } => {}
    }
}

fn end_kind_name(how: EndKind) -> &'static str {
    match how {
        EndKind::Done => "done",
        EndKind::Failed => "failed",
        EndKind::Stopped => "stopped",
        EndKind::Lapsed => "lapsed",
        EndKind::Broken => "broken",
        EndKind::Alone => "alone",
    }
}

fn note_kind(note: &Note) -> &'static str {
    match note {
        Note::Ordered { .. } => "ordered",
        Note::NotStarted { .. } => "not started",
        Note::RunOver { .. } => "run over",
        Note::Adopted { .. } => "adopted",
        Note::Unwanted { .. } => "unwanted",
        Note::Stalled { .. } => "stalled",
        Note::JobEnded { .. } => "job ended",
        Note::Runner { .. } => "runner",
    }
}

fn log_note(note: &Note) {
    match note {
        Note::Ordered {
            task,
            run,
            on,
            waited,
            left_milli,
        } => {
            tracing::info!(%task, run, runner = %on, waited_ms = waited.0, left_milli, "start ordered");
        }
        Note::NotStarted { task, run, on, why } => {
            tracing::warn!(%task, run, runner = %on, why, "start order did not start the task");
        }
        Note::RunOver {
            task,
            run,
            on,
            how,
            after,
        } => {
            tracing::info!(%task, run, runner = %on, how = how.map_or("vanished", end_kind_name), after_ms = after.0, "run over");
        }
        Note::Adopted { task, run, on } => {
            tracing::info!(%task, run, runner = %on, "run adopted");
        }
        Note::Unwanted { task, run, on } => {
            tracing::warn!(%task, run, runner = %on, "stopping a run that the runner should not have");
        }
        Note::Stalled { task, run, on } => {
            tracing::warn!(%task, run, runner = %on, "stopping a stalled run");
        }
        Note::JobEnded { job, how, after } => {
            tracing::info!(%job, how, after_ms = after.0, "job ended");
        }
        Note::Runner { id, what } => tracing::info!(runner = %id, what, "runner state changed"),
    }
}
