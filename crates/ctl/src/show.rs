//! Commands about processes and hosts.

use kspan_fold::Body;
use kspan_model::Name;
use kspan_operator::{CellClient, MemberStatus, PublishOutcome, ReportedValue};
use serde::Serialize;
use serde_json::Value;

use crate::{
    args::{Drain, Dump},
    document::report_unpublished,
    exit::{Exit, fail, unreachable},
    output::{Format, columns, print},
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
    let rows: Vec<StatusRow> = statuses.iter().map(row).collect();
    print(format, &rows, || table(cell, &rows));
    match rows.iter().filter(|row| !row.ready).count() {
        0 => Exit::Done,
        count => fail(
            Exit::Unresolved,
            &format!("{count} processes are not ready"),
            "see their logs, or `kspanctl dump --process NAME`",
        ),
    }
}

fn row(status: &MemberStatus) -> StatusRow {
    StatusRow {
        process: status.member.node.name.clone(),
        role: status.member.role.to_string(),
        site: status.member.site.to_string(),
        ready: status.ready,
        applied: status.applied,
        document: status.document,
    }
}

fn table(cell: &CellClient, rows: &[StatusRow]) -> String {
    let state = cell.state();
    let cells: Vec<Vec<String>> = rows
        .iter()
        .map(|row| {
            vec![
                row.process.to_string(),
                row.role.clone(),
                row.site.clone(),
                if row.ready { "yes" } else { "no" }.to_owned(),
                number(row.applied),
                number(row.document),
            ]
        })
        .collect();
    let heading = ["PROCESS", "ROLE", "SITE", "READY", "APPLIED", "DOCUMENT"];
    format!(
        "view {}, document {}, log read to {}\n\n{}",
        state.view.number,
        state.document_version,
        state.next_offset,
        columns(&heading, &cells)
    )
}

fn number(reading: ReportedValue) -> String {
    match reading {
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
            let what = if cmd.undo { "back in use" } else { "drained" };
            print(format, &offset, || {
                format!("{} is {what} since offset {offset}", cmd.host)
            });
            Exit::Done
        }
        Ok(other) => report_unpublished(&other),
        Err(err) => unreachable(&err),
    }
}

pub(crate) async fn dump(format: Format, cmd: &Dump, cell: &CellClient) -> Exit {
    let wanted = |name: &Name| {
        cmd.process
            .as_ref()
            .is_none_or(|only| name.as_str() == only)
    };
    let statuses = cell.fetch_member_statuses().await;
    let dumps: serde_json::Map<String, Value> = statuses
        .into_iter()
        .filter(|status| wanted(&status.member.node.name))
        .map(|status| (status.member.node.name.to_string(), status.dump))
        .collect();
    if dumps.is_empty() {
        let next = "see `kspanctl status` for the names of processes";
        return fail(Exit::Refused, "no such process is a member", next);
    }
    // A dump has no columns; people read it as YAML.
    let text = || serde_norway::to_string(&dumps).expect("a dump is plain data");
    print(format, &dumps, text);
    Exit::Done
}
