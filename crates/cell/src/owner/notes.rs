//! The log lines of the engine's decisions.

use kspan_jobs::{engine::Event, runner::EndKind};

use super::Owner;
use crate::measure;

impl Owner {
    /// Logs what was decided, within the budget of each kind.
    pub(super) fn log_notes(&self, notes: &[Event]) {
        for note in notes {
            record(note);
            if self.node.budget.allows(kind(note), self.now()) {
                log(note);
            }
        }
    }
}

fn record(note: &Event) {
    match note {
        Event::StartOrdered { waited, .. } => measure::start_ordered(*waited),
        Event::StartFailed { why, .. } => measure::not_started(why),
        Event::RunEnded { how, .. } => measure::run_over(how.map_or("vanished", how_name)),
        Event::JobEnded { how, elapsed, .. } => measure::job_ended(how, *elapsed),
        Event::RunAdopted { .. }
        | Event::OrphanRunFound { .. }
        | Event::RunStalled { .. }
        | Event::RunnerChanged { .. } => {}
    }
}

fn how_name(how: EndKind) -> &'static str {
    match how {
        EndKind::Done => "done",
        EndKind::Failed => "failed",
        EndKind::Stopped => "stopped",
        EndKind::LeaseExpired => "lapsed",
        EndKind::GangBroken => "broken",
        EndKind::GangIncomplete => "alone",
    }
}

fn kind(note: &Event) -> &'static str {
    match note {
        Event::StartOrdered { .. } => "ordered",
        Event::StartFailed { .. } => "not started",
        Event::RunEnded { .. } => "run over",
        Event::RunAdopted { .. } => "adopted",
        Event::OrphanRunFound { .. } => "unwanted",
        Event::RunStalled { .. } => "stalled",
        Event::JobEnded { .. } => "job ended",
        Event::RunnerChanged { .. } => "runner",
    }
}

fn log(note: &Event) {
    match note {
        Event::StartOrdered {
            task,
            run,
            runner,
            waited,
            left_milli,
        } => {
            tracing::info!(%task, run, runner = %runner, waited_ms = waited.0, left_milli, "start ordered");
        }
        Event::StartFailed {
            task,
            run,
            runner,
            why,
        } => {
            tracing::warn!(%task, run, runner = %runner, why, "not started");
        }
        Event::RunEnded {
            task,
            run,
            runner,
            how,
            elapsed,
        } => {
            tracing::info!(%task, run, runner = %runner, how = how.map_or("vanished", how_name), after_ms = elapsed.0, "run over");
        }
        Event::RunAdopted { task, run, runner } => {
            tracing::info!(%task, run, runner = %runner, "run adopted");
        }
        Event::OrphanRunFound { task, run, runner } => {
            tracing::warn!(%task, run, runner = %runner, "unwanted run stopped");
        }
        Event::RunStalled { task, run, runner } => {
            tracing::warn!(%task, run, runner = %runner, "run that stands still stopped");
        }
        Event::JobEnded { job, how, elapsed } => {
            tracing::info!(%job, how, after_ms = elapsed.0, "job ended");
        }
        Event::RunnerChanged { id, what } => tracing::info!(runner = %id, what, "runner"),
    }
}
