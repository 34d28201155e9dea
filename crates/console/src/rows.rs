//! Tables of the read-only pages.

use kspan_fold::State;
use kspan_model::{
    JobEnd, Resources,
    document::{format_cpu, format_memory},
};
use kspan_operator::{CellReport, MemberStatus, ReportedValue, WorkerReport};

/// Maximum number of ended jobs on the page.
const MAX_ENDED_JOBS: usize = 200;

/// A table of text cells.
pub(crate) struct Table {
    pub(crate) caption: String,
    pub(crate) heading: Vec<String>,
    pub(crate) rows: Vec<Vec<String>>,
}

/// Returns a table of the processes with their readiness, document version and log offset.
pub(crate) fn processes_table(statuses: &[MemberStatus]) -> Table {
    let rows = statuses.iter().map(|status| {
        vec![
            status.member.node.name.to_string(),
            status.member.role.to_string(),
            status.member.site.to_string(),
            if status.ready { "yes" } else { "no" }.to_owned(),
            format_number(status.document),
            format_number(status.applied),
        ]
    });
    Table {
        caption: "Processes with their document version and log offset".to_owned(),
        heading: owned_strings(&[
            "Process",
            "Role",
            "Site",
            "Ready",
            "Document",
            "Log read to",
        ]),
        rows: rows.collect(),
    }
}

/// Returns a table of the open jobs, services included.
pub(crate) fn jobs_table(report: &CellReport) -> Table {
    let rows = report.job_rows().into_iter().map(|row| {
        let tasks = row.job.tasks.unwrap_or_default();
        vec![
            row.job.workload.to_string(),
            row.shard.to_string(),
            row.job.state.to_string(),
            tasks.running.to_string(),
            tasks.queued.to_string(),
            row.job.waits.to_string(),
            row.job.job.to_string(),
        ]
    });
    Table {
        caption: "Open jobs".to_owned(),
        heading: owned_strings(&[
            "Workload",
            "Data centre",
            "State",
            "Running",
            "Waiting",
            "Why it waits",
            "Job",
        ]),
        rows: rows.collect(),
    }
}

/// Returns a table of the workers with their committed resources and capacity.
pub(crate) fn workers_table(report: &CellReport) -> Table {
    let rows = report.shards.iter().flat_map(|shard| {
        let mut workers: Vec<&WorkerReport> = shard.workers.iter().collect();
        workers.sort_by_key(|worker| (&worker.rack, worker.worker.len(), &worker.worker));
        workers.into_iter().map(|worker| {
            vec![
                worker.worker.to_string(),
                shard.shard.to_string(),
                worker.rack.to_string(),
                worker.state.to_string(),
                format_resources(worker.committed),
                format_resources(worker.capacity),
                worker.tasks.to_string(),
            ]
        })
    });
    Table {
        caption: "Workers with committed resources and capacity".to_owned(),
        heading: owned_strings(&[
            "Worker",
            "Data centre",
            "Rack",
            "State",
            "Committed",
            "Capacity",
            "Tasks",
        ]),
        rows: rows.collect(),
    }
}

/// Returns a table of the most recently ended jobs, newest first.
pub(crate) fn job_results_table(state: &State) -> Table {
    let mut ends: Vec<&JobEnd> = state.ends.values().collect();
    ends.sort_by_key(|end| std::cmp::Reverse(end.ended));
    let rows = ends.into_iter().take(MAX_ENDED_JOBS).map(|end| {
        vec![
            end.job.to_string(),
            end.result.to_string(),
            end.reason.to_string(),
            end.ended.0.to_string(),
        ]
    });
    Table {
        caption: "Recently ended jobs".to_owned(),
        heading: owned_strings(&["Job", "Result", "Reason", "Ended (ms since 1970)"]),
        rows: rows.collect(),
    }
}

/// Formats amounts in the units of the document.
fn format_resources(amounts: Resources) -> String {
    let cpu = format_cpu(amounts.cpu_milli);
    let memory = format_memory(amounts.memory_mib);
    match amounts.accelerators {
        0 => format!("{cpu} cpu, {memory}"),
        count => format!("{cpu} cpu, {memory}, {count} accelerators"),
    }
}

fn format_number(value: ReportedValue) -> String {
    match value {
        ReportedValue::Known(number) => number.to_string(),
        ReportedValue::Unknown => "unknown".to_owned(),
    }
}

fn owned_strings(texts: &[&str]) -> Vec<String> {
    texts.iter().map(|text| (*text).to_owned()).collect()
}
