//! Names of the metrics, and how they are recorded.
//!
//! Label sets are bounded: no label holds an id.

use kspan_model::Millis;
use metrics::{counter, gauge, histogram};
use metrics_exporter_prometheus::{BuildError, PrometheusBuilder, PrometheusHandle};

/// Bounds of the latency histograms, in seconds.
const BUCKETS_S: [f64; 12] = [
    0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0,
];

/// Starts recording.
///
/// # Errors
///
/// Returns an error where another recorder was installed before.
pub(crate) fn start() -> Result<PrometheusHandle, BuildError> {
    PrometheusBuilder::new()
        .set_buckets(&BUCKETS_S)?
        .install_recorder()
}

/// Records a caller's answered request.
pub(crate) fn call(verb: &'static str, status: u16, took: Millis) {
    counter!("kspan_cell_calls_total", "verb" => verb, "status" => status.to_string()).increment(1);
    histogram!("kspan_cell_call_seconds", "verb" => verb).record(seconds(took));
}

/// Records an ordered start.
pub(crate) fn start_ordered(waited: Millis) {
    counter!("kspan_cell_starts_total").increment(1);
    histogram!("kspan_cell_start_wait_seconds").record(seconds(waited));
}

/// Records a start that came to nothing.
pub(crate) fn not_started(why: &'static str) {
    counter!("kspan_cell_not_started_total", "why" => why).increment(1);
}

/// Records the end of a run.
pub(crate) fn run_over(how: &'static str) {
    counter!("kspan_cell_runs_over_total", "how" => how).increment(1);
}

/// Records the end of a job.
pub(crate) fn job_ended(how: &'static str, after: Millis) {
    counter!("kspan_cell_jobs_ended_total", "how" => how).increment(1);
    histogram!("kspan_cell_job_seconds", "how" => how).record(seconds(after));
}

/// Records an inventory call.
pub(crate) fn inventory(outcome: &'static str) {
    counter!("kspan_cell_inventories_total", "outcome" => outcome).increment(1);
}

/// Records a batch that became durable.
pub(crate) fn batch_written(records: usize, took: Millis) {
    counter!("kspan_cell_records_written_total").increment(records as u64);
    histogram!("kspan_cell_write_seconds").record(seconds(took));
}

/// Records a request to the store, by the way it took.
pub(crate) fn store_request(way: &'static str) {
    counter!("kspan_cell_store_requests_total", "way" => way).increment(1);
}

/// Records log lines that were not written.
pub(crate) fn lines_suppressed(kind: &'static str, lines: u32) {
    counter!("kspan_cell_log_lines_suppressed_total", "kind" => kind).increment(u64::from(lines));
}

/// Records whether this process owns the cell, and with which fence.
pub(crate) fn owner(fence: Option<u64>) {
    gauge!("kspan_cell_owner").set(if fence.is_some() { 1.0 } else { 0.0 });
    if let Some(fence) = fence {
        gauge!("kspan_cell_fence").set(float(fence));
    }
}

/// Records the version of the configuration in force.
pub(crate) fn config_version(version: u64) {
    gauge!("kspan_cell_config_version").set(float(version));
}

/// Records an owner's totals.
pub(crate) fn totals(totals: &kspan_jobs::engine::Totals) {
    gauge!("kspan_cell_jobs_active").set(float(totals.active_jobs as u64));
    gauge!("kspan_cell_runners").set(float(totals.runners as u64));
    gauge!("kspan_cell_tasks_running").set(float(totals.running as u64));
    gauge!("kspan_cell_tasks_waiting").set(float(totals.waiting as u64));
    gauge!("kspan_cell_cpu_cores_used").set(float(totals.used.cpu_milli) / 1_000.0);
    gauge!("kspan_cell_cpu_cores_capacity").set(float(totals.capacity.cpu_milli) / 1_000.0);
}

fn seconds(span: Millis) -> f64 {
    float(span.0) / 1_000.0
}

#[expect(clippy::cast_precision_loss, reason = "far below 2^52")]
fn float(number: u64) -> f64 {
    number as f64
}
