//! The log lines of the engine's decisions.

use kspan_jobs::{engine::Note, runner::EndKind};

use super::Owner;
use crate::measure;

impl Owner {
    /// Logs what was decided, within the budget of each kind.
    pub(super) fn log_notes(&self, notes: &[Note]) {
        for note in notes {
            record(note);
            if self.node.budget.allows(kind(note), self.now()) {
                log(note);
            }
        }
    }
}

fn record(note: &Note) {
    match note {
        Note::Ordered { waited, .. } => measure::start_ordered(*waited),
        Note::NotStarted { why, .. } => measure::not_started(why),
        Note::RunOver { how, .. } => measure::run_over(how.map_or("vanished", how_name)),
        Note::JobEnded { how, after, .. } => measure::job_ended(how, *after),
        Note::Adopted { .. }
        | Note::Unwanted { .. }
        | Note::Stalled { .. }
        | Note::Runner { .. } => {}
    }
}

fn how_name(how: EndKind) -> &'static str {
    match how {
        EndKind::Done => "done",
        EndKind::Failed => "failed",
        EndKind::Stopped => "stopped",
        EndKind::Lapsed => "lapsed",
        EndKind::Broken => "broken",
        EndKind::Alone => "alone",
    }
}

fn kind(note: &Note) -> &'static str {
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

fn log(note: &Note) {
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
            tracing::warn!(%task, run, runner = %on, why, "not started");
        }
        Note::RunOver {
            task,
            run,
            on,
            how,
            after,
        } => {
            tracing::info!(%task, run, runner = %on, how = how.map_or("vanished", how_name), after_ms = after.0, "run over");
        }
        Note::Adopted { task, run, on } => {
            tracing::info!(%task, run, runner = %on, "run adopted");
        }
        Note::Unwanted { task, run, on } => {
            tracing::warn!(%task, run, runner = %on, "unwanted run stopped");
        }
        Note::Stalled { task, run, on } => {
            tracing::warn!(%task, run, runner = %on, "run that stands still stopped");
        }
        Note::JobEnded { job, how, after } => {
            tracing::info!(%job, how, after_ms = after.0, "job ended");
        }
        Note::Runner { id, what } => tracing::info!(runner = %id, what, "runner"),
    }
}
