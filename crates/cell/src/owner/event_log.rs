//! Logs and metrics of the engine's events.

#[cfg(test)]
mod tests;

use kspan_jobs::{
    engine::{Event, FailureCause, Hold, ListingKind, RunEnd, WaitEnd},
    id::JobId,
    runner::EndKind,
};
use kspan_model::Millis;

use super::{Owner, end_log::log_end_event};
use crate::telemetry;

impl Owner {
    /// Records metrics of the events and logs them within the rate limit of each kind.
    pub(super) fn log_events(&self, events: &[Event]) {
        for event in events {
            record_metrics(event);
            if self.node.log_limit.allows(event_kind(event), self.now()) {
                log_event(event, self.fence);
            }
        }
    }
}

fn record_metrics(event: &Event) {
    match event {
        Event::StartOrdered {
            waited, approval, ..
        } => {
            telemetry::record_start_order(*waited);
            telemetry::record_approval_use(*approval);
        }
        Event::RackWaitBegan { .. } => telemetry::record_rack_wait(),
        Event::RackWaitEnded {
            how,
            predicted,
            waited,
            ..
        } => telemetry::record_rack_wait_end(wait_end_name(*how), *predicted, *waited),
        Event::StartFailed { why, .. } => telemetry::record_not_started(why),
        Event::RunEnded { how, .. } => record_run_end(*how),
        Event::EndsForgotten {
            expected, listed, ..
        } => telemetry::record_forgotten_ends(listed.saturating_sub(*expected)),
        Event::RunnerCrashed { .. } => telemetry::record_runner_crash(),
        Event::RunnerAnswered { silent, .. } => telemetry::record_runner_silence(*silent),
        Event::ThrottleChanged { budget, .. } => telemetry::record_throttle_change(*budget),
        Event::JobEnded { how, elapsed, .. } => telemetry::record_job_end(how, *elapsed),
        Event::JobFailed { cause, .. } => telemetry::record_job_failure(cause),
        Event::JobLate { is_first, .. } if *is_first => telemetry::record_late_job(),
        Event::TaskHeld { hold, .. } => telemetry::record_held_task(hold.cause),
        Event::CrashCounted { is_given_up, .. } => telemetry::record_counted_crash(*is_given_up),
        Event::GangOrdered { .. } => telemetry::record_gang_start(),
        Event::GangStopped { why, .. } => telemetry::record_gang_stop(*why),
        Event::JobLate { .. }
        | Event::EndsListed { .. }
        | Event::RunsLost { .. }
        | Event::RunAdopted { .. }
        | Event::OrphanRunFound { .. }
        | Event::RunStalled { .. }
        | Event::CapChanged { .. }
        | Event::TakeoverWaitEnded { .. }
        | Event::DoubtEnded { .. }
        | Event::RunnerChanged { .. } => {}
    }
}

fn record_run_end(how: RunEnd) {
    telemetry::record_run_end(run_end_name(how));
    if let RunEnd::Lost(reason) = how {
        telemetry::record_run_loss(reason);
    }
}

fn run_end_name(how: RunEnd) -> &'static str {
    match how {
        RunEnd::Reported(how) => end_kind_name(how),
        RunEnd::Lost(_) => "vanished",
    }
}

pub(super) fn end_kind_name(how: EndKind) -> &'static str {
    match how {
        EndKind::Done => "done",
        EndKind::Failed => "failed",
        EndKind::Stopped => "stopped",
        EndKind::LeaseExpired => "lapsed",
        EndKind::GangBroken => "broken",
        EndKind::GangIncomplete => "alone",
    }
}

fn wait_end_name(how: WaitEnd) -> &'static str {
    match how {
        WaitEnd::Local => "local",
        WaitEnd::LimitReached => "gave up",
        WaitEnd::PredictionWorsened => "prediction worsened",
    }
}

fn event_kind(event: &Event) -> &'static str {
    match event {
        Event::StartOrdered { .. } => "ordered",
        Event::RackWaitBegan { .. } => "rack wait",
        Event::RackWaitEnded { .. } => "rack wait over",
        Event::StartFailed { .. } => "not started",
        // Rare ends have kinds of their own, so that frequent ones don't suppress their lines.
        Event::RunEnded { how, .. } => run_end_name(*how),
        Event::EndsListed { kind, .. } => match kind {
            ListingKind::Again => "listed again",
            ListingKind::Late => "listed late",
            ListingKind::Ignored => "listing ignored",
        },
        Event::EndsForgotten { .. } => "ends forgotten",
        Event::RunsLost { .. } => "lost",
        Event::RunnerCrashed { .. } => "crash",
        Event::CrashCounted { .. } => "crash counted",
        Event::RunAdopted {
            is_of_gang: true, ..
        } => "gang adopted",
        Event::RunAdopted { .. } => "adopted",
        Event::GangOrdered { .. } => "gang ordered",
        Event::GangStopped { .. } => "gang stopped",
        Event::OrphanRunFound { .. } => "unwanted",
        Event::RunStalled { .. } => "stalled",
        Event::JobEnded { .. } => "job ended",
        Event::JobFailed { .. } => "job failed",
        Event::JobLate { .. } => "job late",
        Event::CapChanged { .. } => "cap",
        Event::RunnerAnswered { .. } => "answered again",
        Event::ThrottleChanged { .. } => "throttle",
        Event::TakeoverWaitEnded { .. } => "takeover wait",
        Event::DoubtEnded { .. } => "doubt",
        Event::TaskHeld { .. } => "held",
        Event::RunnerChanged { .. } => "runner",
    }
}

fn log_event(event: &Event, fence: u64) {
    match event {
        Event::StartOrdered {
            task,
            run,
            runner,
            waited,
            left_milli,
            ..
        } => {
            tracing::info!(%task, run, runner = %runner, waited_ms = waited.0, left_milli, "start ordered");
        }
        Event::RackWaitBegan {
            task,
            rack,
            predicted,
            limit,
        } => {
            tracing::info!(%task, rack = %rack, predicted_ms = predicted.0, limit_ms = limit.0, "wait for the rack began");
        }
        Event::RackWaitEnded {
            task,
            rack,
            how,
            predicted,
            waited,
        } => {
            let how = wait_end_name(*how);
            tracing::info!(%task, rack = %rack, how, predicted_ms = predicted.0, waited_ms = waited.0, "wait for the rack ended");
        }
        Event::StartFailed {
            task,
            run,
            runner,
            why,
        } => {
            tracing::warn!(%task, run, runner = %runner, why, "start order did not start the task");
        }
        Event::RunEnded {
            task,
            run,
            runner,
            how,
            started_unix_ms,
            listing,
            elapsed,
        } => {
            let number = listing.map(|listing| listing.number);
            let sequence = listing.map(|listing| listing.sequence);
            let why = match how {
                RunEnd::Reported(_) => None,
                RunEnd::Lost(reason) => Some(tracing::field::display(reason)),
            };
            tracing::info!(%task, run, runner = %runner, how = run_end_name(*how), why, after_ms = elapsed.0, started_unix_ms, number, sequence, "run ended");
        }
        Event::EndsListed { .. } | Event::EndsForgotten { .. } | Event::RunsLost { .. } => {
            log_end_event(event);
        }
        Event::RunAdopted {
            task, run, runner, ..
        } => {
            tracing::info!(%task, run, runner = %runner, fence, "run adopted");
        }
        Event::GangOrdered { .. } | Event::GangStopped { .. } => log_gang_event(event, fence),
        Event::OrphanRunFound { task, run, runner } => {
            tracing::warn!(%task, run, runner = %runner, "stopping a run that the runner should not have");
        }
        Event::RunStalled { task, run, runner } => {
            tracing::warn!(%task, run, runner = %runner, "stopping a stalled run");
        }
        Event::JobEnded { job, how, elapsed } => {
            tracing::info!(%job, how, after_ms = elapsed.0, "job ended");
        }
        Event::JobFailed { job, cause } => log_job_failure(*job, cause),
        Event::JobLate {
            job,
            queue,
            why,
            elapsed,
            ..
        } => {
            tracing::warn!(%job, queue, why, after_ms = elapsed.0, "job waits beyond its objective");
        }
        Event::CapChanged {
            team,
            is_reached,
            used,
            cap,
        } => {
            tracing::info!(%team, is_reached, %used, %cap, "team's cap reached, or left again");
        }
        Event::RunnerCrashed { .. }
        | Event::CrashCounted { .. }
        | Event::RunnerAnswered { .. }
        | Event::ThrottleChanged { .. }
        | Event::TakeoverWaitEnded { .. }
        | Event::DoubtEnded { .. }
        | Event::RunnerChanged { .. } => log_runner_event(event),
        Event::TaskHeld { hold, waited, left } => log_hold(hold, *waited, *left),
    }
}

/// Logs which wait holds a task.
fn log_hold(hold: &Hold, waited: Millis, left: Option<Millis>) {
    let Hold { task, cause, .. } = hold;
    let runner = hold.runner.as_ref().map(tracing::field::display);
    let left_ms = left.map(|left| left.0);
    tracing::warn!(%task, %cause, runner, waited_ms = waited.0, left_ms, "task is held");
}

/// Logs why a job failed, with the runs that counted as failed attempts.
fn log_job_failure(job: JobId, cause: &FailureCause) {
    match cause {
        FailureCause::Attempts { task, runs } => {
            let runs: Vec<String> = runs.iter().map(u32::to_string).collect();
            let runs = runs.join(" ");
            tracing::info!(%job, why = %cause, %task, runs, "job failed");
        }
        FailureCause::Crashes { task } => {
            tracing::warn!(%job, why = %cause, %task, "job failed");
        }
        FailureCause::ProgressNotStorable => {
            tracing::error!(%job, why = %cause, "job failed");
        }
    }
}

/// Logs an event of a gang with the fence of its owner, so that the lines that name a step show each of its
/// runs whole.
fn log_gang_event(event: &Event, fence: u64) {
    match event {
        Event::GangOrdered { step, run, runners } => {
            let members = runners.len();
            let runners: Vec<&str> = runners.iter().map(|id| id.as_str()).collect();
            let runners = runners.join(" ");
            tracing::info!(%step, run, members, runners, fence, "gang ordered");
        }
        Event::GangStopped {
            missing,
            run,
            why,
            stopped,
        } => {
            tracing::info!(%missing, run, %why, stopped, fence, "gang can't become whole, stopping its members");
        }
        _ => {}
    }
}

/// Logs an event of a runner rather than of a task or a job.
fn log_runner_event(event: &Event) {
    match event {
        Event::RunnerCrashed { id, runs, youngest } => {
            let youngest_ms = youngest.map(|age| age.0);
            tracing::warn!(runner = %id, runs, youngest_ms, "runner ended without draining, its runs are lost");
        }
        Event::CrashCounted {
            task,
            run,
            count,
            was_alone,
            age,
            is_given_up,
        } => {
            let age_ms = age.map(|age| age.0);
            tracing::warn!(%task, run, count, was_alone, age_ms, is_given_up, "crash counted against a task that ran there");
        }
        Event::RunnerAnswered { id, silent, ends } => {
            tracing::info!(runner = %id, silent_ms = silent.0, ends, "runner answers again");
        }
        Event::ThrottleChanged {
            id,
            budget,
            tail_percent,
        } => {
            tracing::info!(runner = %id, budget, tail_percent, "speeds of best-effort tasks changed");
        }
        Event::TakeoverWaitEnded { silent_runners } => {
            tracing::warn!(
                silent_runners,
                "tasks wait no longer for runners that have not answered since the takeover"
            );
        }
        Event::DoubtEnded {
            task,
            run,
            runner,
            waited,
            is_answered,
        } => {
            tracing::warn!(
                %task,
                run,
                %runner,
                waited_ms = waited.0,
                is_answered,
                "task waits no longer for a start in doubt by a previous owner"
            );
        }
        Event::RunnerChanged { id, what } => {
            tracing::info!(runner = %id, what, "runner state changed")
        }
        _ => {}
    }
}
