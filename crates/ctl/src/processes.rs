//! Commands on processes and hosts.

use kspan_fold::Body;
use kspan_model::Name;
use kspan_operator::{CellClient, Error, MemberStatus, PublishOutcome, ReportedValue};
use serde::Serialize;
use serde_json::Value;

use crate::{
    args::{Drain, Dump},
    document::report_unpublished,
    exit::{Exit, fail, fail_with_error, unreachable},
    output::{Format, format_columns, format_count, print},
};

#[derive(Serialize)]
struct StatusRow {
    process: Name,
    role: String,
    site: String,
    ready: bool,
    applied: ReportedValue,
    document: ReportedValue,
}

pub(crate) async fn status(format: Format, cell: &CellClient) -> Exit {
    let statuses = cell.fetch_member_statuses().await;
    let rows: Vec<StatusRow> = statuses.iter().map(status_row).collect();
    print(format, &rows, || format_table(cell, &rows));
    match rows.iter().filter(|row| !row.ready).count() {
        0 => Exit::Done,
        count => fail(
            Exit::Unresolved,
            &format_count(count, "process is not ready", "processes are not ready"),
            "see their logs, or run `kspanctl dump --process NAME`",
        ),
    }
}

fn status_row(status: &MemberStatus) -> StatusRow {
    StatusRow {
        process: status.member.node.name.clone(),
        role: status.member.role.to_string(),
        site: status.member.site.to_string(),
        ready: status.ready,
        applied: status.applied,
        document: status.document,
    }
}

fn format_table(cell: &CellClient, rows: &[StatusRow]) -> String {
    let state = cell.state();
    let cells: Vec<Vec<String>> = rows
        .iter()
        .map(|row| {
            vec![
                row.process.to_string(),
                row.role.clone(),
                row.site.clone(),
                if row.ready { "yes" } else { "no" }.to_owned(),
                format_number(row.applied),
                format_number(row.document),
            ]
        })
        .collect();
    let heading = ["PROCESS", "ROLE", "SITE", "READY", "APPLIED", "DOCUMENT"];
    format!(
        "view {}, document {}, log read to {}\n\n{}",
        state.view.number,
        state.document_version,
        state.next_offset,
        format_columns(&heading, &cells)
    )
}

fn format_number(value: ReportedValue) -> String {
    match value {
        ReportedValue::Known(number) => number.to_string(),
        ReportedValue::Unknown => "?".to_owned(),
    }
}

pub(crate) async fn drain(
    format: Format,
    cmd: &Drain,
    cell: &mut CellClient,
    author: &Name,
) -> Exit {
    let body = Body::Drain {
        host: cmd.host.as_str().into(),
        drained: !cmd.undo,
    };
    match cell.publish(author, body).await {
        Ok(PublishOutcome::Accepted { offset }) => {
            let drain_state = if cmd.undo { "in use" } else { "drained" };
            print(format, &offset, || {
                format!("{} is {drain_state} as of offset {offset}", cmd.host)
            });
            Exit::Done
        }
        Ok(other) => report_unpublished(&other),
        Err(err) => unreachable(&err),
    }
}

pub(crate) async fn dump(format: Format, cmd: &Dump, cell: &CellClient) -> Exit {
    let is_selected = |name: &Name| {
        cmd.process
            .as_ref()
            .is_none_or(|selected| name.as_str() == selected)
    };
    let statuses = cell.fetch_member_statuses().await;
    if statuses.is_empty() {
        return fail_with_error(Exit::Refused, &Error::NoMember("process"));
    }
    let dumps: serde_json::Map<String, Value> = statuses
        .into_iter()
        .filter(|status| is_selected(&status.member.node.name))
        .map(|status| (status.member.node.name.to_string(), status.dump))
        .collect();
    if dumps.is_empty() {
        let next = "run `kspanctl status` for the names of processes";
        return fail(Exit::Refused, "no member of the cell matches", next);
    }
    // Dumps are nested and do not fit into columns, so the table format prints YAML.
    let text = || serde_norway::to_string(&dumps).expect("a dump can be serialised");
    print(format, &dumps, text);
    Exit::Done
}
