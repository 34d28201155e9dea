//! Rows of the pages that only show.

use kspan_fold::State;
use kspan_model::{
    JobEnd, Resources,
    document::{format_cpu, format_memory},
};
use kspan_operator::{CellReport, MemberStatus, ReportedValue, WorkerReport};

/// Ends shown on the page.
const MAX_ENDS: usize = 200;

/// A table of text.
pub(crate) struct Table {
    pub(crate) caption: String,
    pub(crate) heading: Vec<String>,
    pub(crate) rows: Vec<Vec<String>>,
}

/// Returns a table of the processes with what is in force in each.
pub(crate) fn processes(statuses: &[MemberStatus]) -> Table {
    let rows = statuses.iter().map(|status| {
        vec![
            status.member.node.name.to_string(),
            status.member.role.to_string(),
            status.member.site.to_string(),
            if status.ready { "yes" } else { "no" }.to_owned(),
            number(status.document),
            number(status.applied),
        ]
    });
    Table {
        caption: "Processes and the version that each has in force".to_owned(),
        heading: words(&[
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
pub(crate) fn jobs(report: &CellReport) -> Table {
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
        caption: "Open work".to_owned(),
        heading: words(&[
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

/// Returns a table of the workers with what is committed on each.
pub(crate) fn workers(report: &CellReport) -> Table {
    let rows = report.shards.iter().flat_map(|shard| {
        let mut workers: Vec<&WorkerReport> = shard.workers.iter().collect();
        workers.sort_by_key(|worker| (&worker.rack, worker.worker.len(), &worker.worker));
        workers.into_iter().map(|worker| {
            vec![
                worker.worker.to_string(),
                shard.shard.to_string(),
                worker.rack.to_string(),
                worker.state.to_string(),
                amounts(worker.committed),
                amounts(worker.capacity),
                worker.tasks.to_string(),
            ]
        })
    });
    Table {
        caption: "Workers and their commitments".to_owned(),
        heading: words(&[
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

/// Returns a table of the newest ends of jobs, newest first.
pub(crate) fn ends(state: &State) -> Table {
    let mut ends: Vec<&JobEnd> = state.ends.values().collect();
    ends.sort_by_key(|end| std::cmp::Reverse(end.ended));
    let rows = ends.into_iter().take(MAX_ENDS).map(|end| {
        vec![
            end.job.to_string(),
            end.result.to_string(),
            end.reason.to_string(),
            end.ended.0.to_string(),
        ]
    });
    Table {
        caption: "Newest ends of jobs".to_owned(),
        heading: words(&["Job", "Result", "Reason", "Ended (ms since 1970)"]),
        rows: rows.collect(),
    }
}

/// Writes amounts with the units of the document.
fn amounts(amounts: Resources) -> String {
    let cpu = format_cpu(amounts.cpu_milli);
    let memory = format_memory(amounts.memory_mib);
    match amounts.accelerators {
        0 => format!("{cpu} cpu, {memory}"),
        count => format!("{cpu} cpu, {memory}, {count} accelerators"),
    }
}

fn number(reading: ReportedValue) -> String {
    match reading {
        ReportedValue::Known(number) => number.to_string(),
        ReportedValue::Unknown => "not known".to_owned(),
    }
}

fn words(words: &[&str]) -> Vec<String> {
    words.iter().map(|word| (*word).to_owned()).collect()
}
