//! Commands on the document.

use std::{fs, time::Duration};

use kspan_fold::Body;
use kspan_model::{
    Name,
    document::{CheckResult, Diagnostic, Diagnostics, Severity, check},
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
    output::{Format, format_count, print},
};

/// Interval between checks of whether a version is in force at every process.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

pub(crate) fn validate(format: Format, cmd: &Validate) -> Exit {
    let Ok(text) = read_file(&cmd.file) else {
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
        fail(
            Exit::Refused,
            &format!("{}: {}", cmd.file, format_counts(&checked.diagnostics)),
            "fix the errors and try again",
        )
    }
}

/// Formats the numbers of errors and, if there are any, of warnings.
fn format_counts(diagnostics: &Diagnostics) -> String {
    let is_error = |diagnostic: &&Diagnostic| diagnostic.severity == Severity::Error;
    let errors = diagnostics.0.iter().filter(is_error).count();
    let warnings = diagnostics.0.len() - errors;
    let errors = format_count(errors, "error", "errors");
    if warnings == 0 {
        return errors;
    }
    let warnings = format_count(warnings, "warning", "warnings");
    format!("{errors} and {warnings}")
}

pub(crate) fn show(cell: &CellClient) -> Exit {
    let state = cell.state();
    if state.document.is_none() {
        return fail(
            Exit::Refused,
            "no document is in force",
            "publish a document",
        );
    }
    print!(
        "{}",
        with_base_version(&state.document_text, state.document_version)
    );
    Exit::Done
}

pub(crate) fn diff_files(format: Format, cmd: &Diff) -> Exit {
    let against = cmd.against.as_deref().unwrap_or_default();
    match (read_file(against), read_file(&cmd.file)) {
        (Ok(old), Ok(new)) => print_diff(format, &old, &new),
        _ => Exit::Usage,
    }
}

pub(crate) fn diff_in_force(format: Format, cmd: &Diff, cell: &CellClient) -> Exit {
    match read_file(&cmd.file) {
        Ok(new) => print_diff(format, &cell.state().document_text, &new),
        Err(exit) => exit,
    }
}

fn print_diff(format: Format, old: &str, new: &str) -> Exit {
    let (Some(old), Some(new)) = (parse_yaml(old), parse_yaml(new)) else {
        return fail(
            Exit::Refused,
            "one of the documents is not valid YAML",
            "run `kspanctl validate` for details",
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

fn parse_yaml(text: &str) -> Option<Value> {
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
    let Ok(text) = read_file(&cmd.file) else {
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
            "the document has errors",
            "fix the errors; nothing was sent to the log",
        );
    }
    let Some(base) = base_version(cmd, &text, cell) else {
        let message = "the version from which the file was edited is unknown";
        return fail(
            Exit::Usage,
            message,
            "pass --base VERSION, or edit the output of `kspanctl show`",
        );
    };
    match cell.publish(author, Body::Document { base, text }).await {
        Ok(PublishOutcome::Accepted { offset }) => {
            let lagging = wait_until_in_force(cell, offset, cmd.wait).await;
            report_published(format, offset, cmd.wait, lagging)
        }
        Ok(other) => report_unpublished(&other),
        Err(err) => unreachable(&err),
    }
}

/// Returns the version stated by the option or the text, or zero for the first document of a cell.
fn base_version(cmd: &Publish, text: &str, cell: &CellClient) -> Option<u64> {
    let first = cell.state().document.is_none().then_some(0);
    cmd.base.or_else(|| parse_base_version(text)).or(first)
}

/// Waits up to `secs` for `version` to be in force at all members. Returns the members at which it is
/// not.
async fn wait_until_in_force(cell: &mut CellClient, version: u64, secs: u64) -> Vec<Name> {
    let deadline = Instant::now() + Duration::from_secs(secs);
    loop {
        let statuses = cell.fetch_member_statuses().await;
        let lagging: Vec<Name> = statuses
            .iter()
            .filter(|status| !status.has_document(version))
            .map(|status: &MemberStatus| status.member.node.name.clone())
            .collect();
        if lagging.is_empty() || Instant::now() >= deadline {
            return lagging;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
        // Refreshes the view, so that members that have left are not waited for.
        let _ = cell.refresh().await;
    }
}

fn report_published(format: Format, version: u64, wait_secs: u64, lagging: Vec<Name>) -> Exit {
    let in_force_everywhere = lagging.is_empty();
    let result = PublishResult {
        version,
        in_force_everywhere,
        lagging,
    };
    print(format, &result, || {
        let lagging: Vec<&str> = result.lagging.iter().map(Name::as_str).collect();
        match lagging.as_slice() {
            [] => format!("version {version} is in force at all processes"),
            _ => format!(
                "version {version} is accepted, but not in force yet at: {}",
                lagging.join(", ")
            ),
        }
    });
    if in_force_everywhere || wait_secs == 0 {
        Exit::Done
    } else {
        fail(
            Exit::Unresolved,
            "the version is not in force at all processes yet",
            "run `kspanctl status`",
        )
    }
}

/// Reports a change that was not accepted.
pub(crate) fn report_unpublished(published: &PublishOutcome) -> Exit {
    match published {
        PublishOutcome::Accepted { .. } => Exit::Done,
        PublishOutcome::Refused { offset, reason } => fail(
            Exit::Refused,
            &format!("refused at offset {offset}: {reason}"),
            "get the version in force with `kspanctl show`, apply the change to it, and publish again",
        ),
        PublishOutcome::NotPublished { reason } => fail(
            Exit::Unreachable,
            &format!("not published: {reason}"),
            "try again later",
        ),
        PublishOutcome::InDoubt { id } => fail(
            Exit::Unresolved,
            &format!(
                "the outcome of appending record {id} is unknown: the answer was lost, and \
                 the record could not be found in the log"
            ),
            "run `kspanctl status` when the log is available, before publishing again",
        ),
    }
}

fn read_file(path: &str) -> Result<String, Exit> {
    fs::read_to_string(path).map_err(|err| {
        fail(
            Exit::Usage,
            &format!("{path}: {err}"),
            "pass the path of a readable file",
        )
    })
}
