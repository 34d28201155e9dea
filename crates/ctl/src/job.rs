//! Commands that ask about jobs.

use kspan_model::{JobId, Role};
use kspan_operator::{CellClient, Error, Result};
use ntex::http::Method;
use serde_json::{Value, json};

use crate::{
    args::{Explain, Submit},
    exit::{Exit, fail, unreachable},
    output::{Format, print},
};

const STATUS_OK: std::ops::Range<u16> = 200..300;

pub(crate) async fn submit(format: Format, cmd: &Submit, cell: &CellClient) -> Exit {
    let body = json!({"workload": cmd.workload, "key": cmd.key});
    match ask_scheduler(cell, Method::POST, "/v1/jobs", Some(&body)).await {
        Ok(answer) => report(
            format,
            answer.0,
            &answer.1,
            "submitting the same key again is safe",
        ),
        Err(err) => unreachable(&err),
    }
}

pub(crate) async fn explain(format: Format, cmd: &Explain, cell: &CellClient) -> Exit {
    let Ok(job) = cmd.job.parse::<JobId>() else {
        return bad_id(&cmd.job);
    };
    match ask_scheduler(cell, Method::GET, &format!("/v1/jobs/{job}/explain"), None).await {
        Ok(answer) => report(
            format,
            answer.0,
            &answer.1,
            "check the id with `kspanctl dump`",
        ),
        Err(err) => unreachable(&err),
    }
}

/// Reports that a text is no job id.
pub(crate) fn bad_id(text: &str) -> Exit {
    let message = format!("{text:?} is no job id");
    fail(
        Exit::Usage,
        &message,
        "give the 32 hexadecimal digits that `submit` printed",
    )
}

/// Prints a scheduler's answer, or fails with it.
pub(crate) fn report(format: Format, status: u16, body: &Value, next: &str) -> Exit {
    if STATUS_OK.contains(&status) {
        print(format, body, || lines(body));
        return Exit::Done;
    }
    fail(
        Exit::Refused,
        &format!("answered {status}: {}", lines(body)),
        next,
    )
}

/// Asks the members with the scheduler's role in turn until one answers.
pub(crate) async fn ask_scheduler(
    cell: &CellClient,
    method: Method,
    path: &str,
    body: Option<&Value>,
) -> Result<(u16, Value)> {
    let mut failed = Error::NoMember("scheduler");
    for member in cell.members(Role::Scheduler) {
        match cell
            .request_with_body(member.http, method.clone(), path, body)
            .await
        {
            Ok(answer) => return Ok((answer.status, answer.body)),
            Err(err) => failed = err,
        }
    }
    Err(failed)
}

fn lines(body: &Value) -> String {
    match body {
        Value::Object(object) => {
            let lines = object
                .iter()
                .map(|(key, value)| format!("{key}: {}", plain(value)));
            lines.collect::<Vec<_>>().join("\n")
        }
        other => plain(other),
    }
}

fn plain(value: &Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_owned)
}
