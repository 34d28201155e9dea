//! Defines and records the process's metrics.
//!
//! No label holds an id, which bounds the number of label sets.

use kspan_jobs::engine::{
    ApprovalUse, FailureCause, GangLoss, Hold, HoldCause, LossReason, TeamUsage,
};
use kspan_model::Millis;
use metrics::{counter, gauge, histogram};
use metrics_exporter_prometheus::{BuildError, PrometheusBuilder, PrometheusHandle};

/// Bucket bounds of the latency histograms, in seconds.
const BUCKETS_S: [f64; 12] = [
    0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0,
];

/// Maximum number of teams with metrics of their own, which bounds the number of label sets.
const MAX_TEAM_LABELS: usize = 200;

/// Label of all other teams together.
const OTHER_TEAMS: &str = "other";

/// Installs the recorder.
///
/// # Errors
///
/// Returns an error if another recorder is already installed.
pub(crate) fn install() -> Result<PrometheusHandle, BuildError> {
    PrometheusBuilder::new()
        .set_buckets(&BUCKETS_S)?
        .install_recorder()
}

/// Records a caller's request and the status of its response.
pub(crate) fn record_call(verb: &'static str, status: u16, took: Millis) {
    counter!("kspan_cell_calls_total", "verb" => verb, "status" => status.to_string()).increment(1);
    histogram!("kspan_cell_call_seconds", "verb" => verb).record(seconds(took));
}

/// Records a start order and the time that its task waited.
pub(crate) fn record_start_order(waited: Millis) {
    counter!("kspan_cell_starts_total").increment(1);
    histogram!("kspan_cell_start_wait_seconds").record(seconds(waited));
}

/// Records that a gang was ordered to start.
pub(crate) fn record_gang_start() {
    counter!("kspan_cell_gangs_started_total").increment(1);
}

/// Records that a gang's run was stopped because it could not become whole.
pub(crate) fn record_gang_stop(why: GangLoss) {
    counter!("kspan_cell_gangs_stopped_total", "why" => why.to_string()).increment(1);
}

/// Records the begin of a wait for a rack.
pub(crate) fn record_rack_wait() {
    counter!("kspan_cell_rack_waits_total").increment(1);
}

/// Records the end of a wait for a rack, with its predicted and its actual duration.
pub(crate) fn record_rack_wait_end(how: &'static str, predicted: Millis, waited: Millis) {
    counter!("kspan_cell_rack_waits_ended_total", "how" => how).increment(1);
    histogram!("kspan_cell_rack_wait_predicted_seconds", "how" => how).record(seconds(predicted));
    histogram!("kspan_cell_rack_wait_seconds", "how" => how).record(seconds(waited));
}

/// Records a start order that did not start its task.
pub(crate) fn record_not_started(why: &'static str) {
    counter!("kspan_cell_not_started_total", "why" => why).increment(1);
}

/// Records the end of a run.
pub(crate) fn record_run_end(how: &'static str) {
    counter!("kspan_cell_runs_over_total", "how" => how).increment(1);
}

/// Records a run without a reported end.
pub(crate) fn record_run_loss(why: LossReason) {
    counter!("kspan_cell_runs_lost_total", "why" => why.to_string()).increment(1);
}

/// Records a number of ends that a runner left out before the owner had seen them.
pub(crate) fn record_forgotten_ends(ends: u64) {
    counter!("kspan_cell_ends_forgotten_total").increment(ends);
}

/// Records a runner that ended without having drained.
pub(crate) fn record_runner_crash() {
    counter!("kspan_cell_runner_crashes_total").increment(1);
}

/// Records that a runner answers again, and for how long it did not.
pub(crate) fn record_runner_silence(silent: Millis) {
    histogram!("kspan_cell_runner_silence_seconds").record(seconds(silent));
}

/// Records a change of the speeds of a runner's best-effort tasks, and whether all are suspended.
pub(crate) fn record_throttle_change(budget: u32) {
    counter!("kspan_cell_throttle_changes_total").increment(1);
    if budget == 0 {
        counter!("kspan_cell_suspensions_total").increment(1);
    }
}

/// Records a crash that was counted against a task, and whether the task is given up.
pub(crate) fn record_counted_crash(is_given_up: bool) {
    counter!("kspan_cell_crashes_counted_total").increment(1);
    if is_given_up {
        counter!("kspan_cell_tasks_given_up_total").increment(1);
    }
}

/// Records the end of a job.
pub(crate) fn record_job_end(how: &'static str, after: Millis) {
    counter!("kspan_cell_jobs_ended_total", "how" => how).increment(1);
    histogram!("kspan_cell_job_seconds", "how" => how).record(seconds(after));
}

/// Records the cause of a job's failure.
pub(crate) fn record_job_failure(cause: &FailureCause) {
    counter!("kspan_cell_jobs_failed_total", "why" => cause.to_string()).increment(1);
}

/// Records a job that waits beyond its objective.
pub(crate) fn record_late_job() {
    counter!("kspan_cell_jobs_late_total").increment(1);
}

/// Records that a wait holds a task which could run.
pub(crate) fn record_held_task(cause: HoldCause) {
    counter!("kspan_cell_tasks_held_total", "cause" => cause.to_string()).increment(1);
}

/// Records the waits that hold tasks now, by cause: how many tasks, and for how long the one that waits longest.
pub(crate) fn set_holds(holds: &[Hold], now: Millis) {
    for cause in HoldCause::ALL {
        let of_cause = || holds.iter().filter(|hold| hold.cause == cause);
        let longest = of_cause().map(|hold| now.saturating_sub(hold.since)).max();
        let label = cause.to_string();
        gauge!("kspan_cell_tasks_held", "cause" => label.clone())
            .set(to_f64(of_cause().count() as u64));
        gauge!("kspan_cell_tasks_held_longest_seconds", "cause" => label)
            .set(seconds(longest.unwrap_or_default()));
    }
}

/// Records an approval call, whether it was answered, and its duration.
pub(crate) fn record_approval_call(is_answered: bool, took: Millis) {
    let outcome = if is_answered { "answered" } else { "failed" };
    histogram!("kspan_cell_approval_seconds", "outcome" => outcome).record(seconds(took));
}

/// Records the approvals that a call has brought.
pub(crate) fn record_approvals(received: u64) {
    counter!("kspan_cell_approvals_total", "what" => "received").increment(received);
}

/// Records how a start uses an approval. The starts that need one, divided by the answered calls, tell what a call
/// brings.
pub(crate) fn record_approval_use(approval: ApprovalUse) {
    match approval {
        ApprovalUse::None => return,
        ApprovalUse::First => counter!("kspan_cell_approvals_total", "what" => "used").increment(1),
        ApprovalUse::Again => {}
    }
    counter!("kspan_cell_approved_starts_total").increment(1);
}

/// Records a call to a runner that has to show that it lives before a start is sent.
pub(crate) fn record_proof_of_life(is_answered: bool) {
    let outcome = if is_answered { "answered" } else { "failed" };
    counter!("kspan_cell_proofs_of_life_total", "outcome" => outcome).increment(1);
}

/// Records a request that was refused because of its key.
pub(crate) fn record_refused_key(why: &'static str) {
    counter!("kspan_cell_keys_refused_total", "why" => why).increment(1);
}

/// Records the outcome of an inventory call.
pub(crate) fn record_inventory(outcome: &'static str) {
    counter!("kspan_cell_inventories_total", "outcome" => outcome).increment(1);
}

/// Records an input that was malformed and skipped or refused, by its kind.
pub(crate) fn record_malformed(kind: &'static str) {
    counter!("kspan_cell_malformed_total", "kind" => kind).increment(1);
}

/// Records a message or a connection that an interface refused or gave up.
pub(crate) fn record_refusal(interface: &'static str, why: &'static str) {
    let labels = [("interface", interface), ("why", why)];
    counter!("kspan_cell_clients_refused_total", &labels).increment(1);
}

/// Records a batch that became durable.
pub(crate) fn record_batch(records: usize, took: Millis) {
    counter!("kspan_cell_records_written_total").increment(records as u64);
    histogram!("kspan_cell_write_seconds").record(seconds(took));
}

/// Records a request to the store by its route: direct, relayed or failed.
pub(crate) fn record_store_request(way: &'static str) {
    counter!("kspan_cell_store_requests_total", "way" => way).increment(1);
}

/// Records log lines that the rate limit suppressed.
pub(crate) fn record_suppressed_lines(kind: &'static str, lines: u32) {
    counter!("kspan_cell_log_lines_suppressed_total", "kind" => kind).increment(u64::from(lines));
}

/// Records whether this process owns the cell, and with which fence. `None` clears ownership.
pub(crate) fn set_owner(fence: Option<u64>) {
    gauge!("kspan_cell_owner").set(if fence.is_some() { 1.0 } else { 0.0 });
    if let Some(fence) = fence {
        gauge!("kspan_cell_fence").set(to_f64(fence));
    }
}

/// Records the version of the configuration in force.
pub(crate) fn set_config_version(version: u64) {
    gauge!("kspan_cell_config_version").set(to_f64(version));
}

/// Records the time since the configuration was last known to be the newest one.
pub(crate) fn set_config_age(age: Millis) {
    gauge!("kspan_cell_config_age_seconds").set(seconds(age));
}

/// Records the owner's totals over jobs, tasks and runners.
pub(crate) fn set_totals(totals: &kspan_jobs::engine::Totals) {
    gauge!("kspan_cell_jobs_active").set(to_f64(totals.active_jobs as u64));
    gauge!("kspan_cell_job_bytes").set(to_f64(totals.job_bytes));
    gauge!("kspan_cell_runners").set(to_f64(totals.runners as u64));
    gauge!("kspan_cell_tasks_running").set(to_f64(totals.running as u64));
    gauge!("kspan_cell_tasks_waiting").set(to_f64(totals.waiting as u64));
    gauge!("kspan_cell_cpu_cores_used").set(to_f64(totals.used.cpu_milli) / 1_000.0);
    gauge!("kspan_cell_cpu_cores_capacity").set(to_f64(totals.capacity.cpu_milli) / 1_000.0);
    gauge!("kspan_cell_accelerators_used").set(to_f64(totals.used.accelerators));
    gauge!("kspan_cell_accelerators_capacity").set(to_f64(totals.capacity.accelerators));
    gauge!("kspan_cell_accelerators_largest_free").set(to_f64(totals.largest_free_accelerators));
}

/// Records what teams use and are entitled to. Teams beyond a maximum number share one label.
pub(crate) fn set_teams(teams: &[TeamUsage]) {
    let (named, others) = teams.split_at(teams.len().min(MAX_TEAM_LABELS));
    for team in named {
        set_team(&team.team, team);
    }
    if let Some(sum) = others.iter().cloned().reduce(|sum, team| sum.merged(&team)) {
        set_team(OTHER_TEAMS, &sum);
    }
}

fn set_team(label: &str, usage: &TeamUsage) {
    let set = |name: &'static str, value: f64| {
        gauge!(name, "team" => label.to_owned()).set(value);
    };
    set(
        "kspan_cell_team_jobs_active",
        to_f64(usage.active_jobs as u64),
    );
    set(
        "kspan_cell_team_cpu_cores_used",
        to_f64(usage.used.cpu_milli) / 1_000.0,
    );
    set(
        "kspan_cell_team_accelerators_used",
        to_f64(usage.used.accelerators),
    );
    set("kspan_cell_team_share_used", usage.share_used);
    set("kspan_cell_team_share_entitled", usage.share_entitled);
}

fn seconds(span: Millis) -> f64 {
    to_f64(span.0) / 1_000.0
}

#[expect(clippy::cast_precision_loss, reason = "the values stay below 2^52")]
fn to_f64(number: u64) -> f64 {
    number as f64
}
