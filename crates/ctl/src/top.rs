//! The command that shows the cell and refreshes it periodically.

use std::time::Duration;

use kspan_operator::{CellClient, CellReport, JobRow};

use crate::{
    args::Top,
    exit::{Exit, unreachable},
    output::{Format, format_columns},
    processes,
};

/// Escape sequences that clear the terminal and move the cursor to its upper left corner.
const CLEAR_SCREEN: &str = "\x1b[2J\x1b[H";

pub(crate) async fn top(cmd: &Top, cell: &mut CellClient) -> Exit {
    let mut refreshes = 0;
    loop {
        if let Err(err) = cell.refresh().await {
            return unreachable(&err);
        }
        print!("{CLEAR_SCREEN}");
        let _ = processes::status(Format::Table, cell).await;
        match cell.fetch_report().await {
            Ok(report) => println!("\n{}", format_jobs(&report)),
            Err(err) => println!("\n{err}"),
        }
        refreshes += 1;
        if refreshes == cmd.count {
            return Exit::Done;
        }
        tokio::time::sleep(Duration::from_secs(cmd.every.max(1))).await;
    }
}

fn format_jobs(report: &CellReport) -> String {
    let rows: Vec<Vec<String>> = report.job_rows().iter().map(job_cells).collect();
    format_columns(
        &[
            "WORKLOAD",
            "SHARD",
            "JOB",
            "STATE",
            "RUNNING",
            "WAITING",
            "WHY IT WAITS",
        ],
        &rows,
    )
}

fn job_cells(row: &JobRow) -> Vec<String> {
    let tasks = row.job.tasks.unwrap_or_default();
    vec![
        row.job.workload.to_string(),
        row.shard.to_string(),
        row.job.job.to_string(),
        row.job.state.to_string(),
        tasks.running.to_string(),
        tasks.queued.to_string(),
        row.job.waits.to_string(),
    ]
}
