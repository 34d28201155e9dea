//! Commands about the document.

use std::{fs, time::Duration};

use kspan_fold::Body;
use kspan_model::{
    Name,
    document::{CheckResult, check},
};
use kspan_operator::{
    CellClient, Change, MemberStatus, PublishOutcome, diff, parse_base_version, with_base_version,
};
use serde::Serialize;
use serde_json::Value;
use tokio::time::Instant;

use crate::{
    args::{Diff, Publish, Validate},
    exit::{Exit, fail, unreachable},
    output::{Format, print},
};

/// Time between two looks at whether a version is in force everywhere.
const LOOK_EVERY: Duration = Duration::from_millis(200);

pub(crate) fn validate(format: Format, cmd: &Validate) -> Exit {
    let Ok(text) = read(&cmd.file) else {
        return Exit::Usage;
    };
    let checked = check(&text);
    print(format, &checked.diagnostics, || {
        match checked.diagnostics.0.as_slice() {
            [] => format!("{}: valid", cmd.file),
            _ => checked.diagnostics.to_string(),
        }
    });
    if checked.document.is_some() {
        Exit::Done
    } else {
        let count = checked.diagnostics.0.len();
        fail(
            Exit::Refused,
            &format!("{}: {count} faults", cmd.file),
            "mend them and try again",
        )
    }
}

pub(crate) fn show(cell: &CellClient) -> Exit {
    let state = cell.state();
    if state.document.is_none() {
        return fail(Exit::Refused, "no document is in force", "publish one");
    }
    print!(
        "{}",
        with_base_version(&state.document_text, state.document_version)
    );
    Exit::Done
}

pub(crate) fn diff_files(format: Format, cmd: &Diff) -> Exit {
    let against = cmd.against.as_deref().unwrap_or_default();
    match (read(against), read(&cmd.file)) {
        (Ok(old), Ok(new)) => print_diff(format, &old, &new),
        _ => Exit::Usage,
    }
}

pub(crate) fn diff_in_force(format: Format, cmd: &Diff, cell: &CellClient) -> Exit {
    match read(&cmd.file) {
        Ok(new) => print_diff(format, &cell.state().document_text, &new),
        Err(exit) => exit,
    }
}

fn print_diff(format: Format, old: &str, new: &str) -> Exit {
    let (Some(old), Some(new)) = (value_of(old), value_of(new)) else {
        return fail(
            Exit::Refused,
            "a text is no YAML",
            "see `kspanctl validate`",
        );
    };
    let changes = diff(&old, &new);
    print(format, &changes, || match changes.as_slice() {
        [] => "no differences".to_owned(),
        _ => changes
            .iter()
            .map(Change::to_string)
            .collect::<Vec<_>>()
            .join("\n"),
    });
    Exit::Done
}

fn value_of(text: &str) -> Option<Value> {
    serde_norway::from_str(text).ok()
}

#[derive(Serialize)]
struct PublishResult {
    version: u64,
    in_force_everywhere: bool,
    lagging: Vec<Name>,
}

pub(crate) async fn publish(
    format: Format,
    cmd: &Publish,
    cell: &mut CellClient,
    author: &Name,
) -> Exit {
    let Ok(text) = read(&cmd.file) else {
        return Exit::Usage;
    };
    let CheckResult {
        document,
        diagnostics,
    } = check(&text);
    if document.is_none() {
        eprintln!("{diagnostics}");
        return fail(
            Exit::Refused,
            "the document is faulty",
            "mend the faults; nothing was sent",
        );
    }
    let Some(base) = base_version(cmd, &text, cell) else {
        let message = "the version that the file was edited from is not known";
        return fail(
            Exit::Usage,
            message,
            "give --base VERSION, or edit what `show` printed",
        );
    };
    match cell.publish(author, Body::Document { base, text }).await {
        Ok(PublishOutcome::Accepted { offset }) => {
            let lagging = wait_everywhere(cell, offset, cmd.wait).await;
            report_published(format, offset, cmd.wait, lagging)
        }
        Ok(other) => report_unpublished(&other),
        Err(err) => unreachable(&err),
    }
}

/// Returns the base named by the option or the text; zero for the first document of a cell.
fn base_version(cmd: &Publish, text: &str, cell: &CellClient) -> Option<u64> {
    let first = cell.state().document.is_none().then_some(0);
    cmd.base.or_else(|| parse_base_version(text)).or(first)
}

async fn wait_everywhere(cell: &mut CellClient, version: u64, secs: u64) -> Vec<Name> {
    let until = Instant::now() + Duration::from_secs(secs);
    loop {
        let statuses = cell.fetch_member_statuses().await;
        let lagging: Vec<Name> = statuses
            .iter()
            .filter(|status| !status.has_document(version))
            .map(|status: &MemberStatus| status.member.node.name.clone())
            .collect();
        if lagging.is_empty() || Instant::now() >= until {
            return lagging;
        }
        tokio::time::sleep(LOOK_EVERY).await;
        // A member that left meanwhile is not waited for.
        let _ = cell.refresh().await;
    }
}

fn report_published(format: Format, version: u64, waited: u64, lagging: Vec<Name>) -> Exit {
    let in_force_everywhere = lagging.is_empty();
    let result = PublishResult {
        version,
        in_force_everywhere,
        lagging,
    };
    print(format, &result, || {
        let lagging: Vec<&str> = result.lagging.iter().map(Name::as_str).collect();
        match lagging.as_slice() {
            [] => format!("version {version} is in force everywhere"),
            _ => format!(
                "version {version} is accepted; not in force yet: {}",
                lagging.join(", ")
            ),
        }
    });
    if in_force_everywhere || waited == 0 {
        Exit::Done
    } else {
        fail(
            Exit::Unresolved,
            "some processes lag",
            "see `kspanctl status`",
        )
    }
}

/// Reports a change that is not in force.
pub(crate) fn report_unpublished(published: &PublishOutcome) -> Exit {
    match published {
        PublishOutcome::Accepted { .. } => Exit::Done,
        PublishOutcome::Refused { offset, reason } => fail(
            Exit::Refused,
            &format!("refused at offset {offset}: {reason}"),
            "fetch the version in force with `kspanctl show`, apply the change to it, publish again",
        ),
        PublishOutcome::NotPublished { reason } => fail(
            Exit::Unreachable,
            &format!("not published: {reason}"),
            "try again later",
        ),
        PublishOutcome::InDoubt { id } => fail(
            Exit::Unresolved,
            &format!("the answer was lost and the log can't be read on; record {id}"),
            "run `kspanctl status` when the log is back, before publishing again",
        ),
    }
}

fn read(path: &str) -> Result<String, Exit> {
    fs::read_to_string(path).map_err(|err| {
        fail(
            Exit::Usage,
            &format!("{path}: {err}"),
            "name a file that can be read",
        )
    })
}
