//! Commands on jobs.

use kspan_model::{JobId, Role};
use kspan_operator::{CellClient, Error, Result};
use ntex::http::Method;
use serde_json::{Value, json};

use crate::{
    args::{Explain, Submit},
    exit::{Exit, fail, unreachable},
    output::{Format, print},
};

const SUCCESS_STATUS: std::ops::Range<u16> = 200..300;

pub(crate) async fn submit(format: Format, cmd: &Submit, cell: &CellClient) -> Exit {
    let body = json!({"workload": cmd.workload, "key": cmd.key});
    match send_to_scheduler(cell, Method::POST, "/v1/jobs", Some(&body)).await {
        Ok(response) => print_response(
            format,
            response.0,
            &response.1,
            "submitting again with the same key is safe",
        ),
        Err(err) => unreachable(&err),
    }
}

pub(crate) async fn explain(format: Format, cmd: &Explain, cell: &CellClient) -> Exit {
    let Ok(job) = cmd.job.parse::<JobId>() else {
        return invalid_job_id(&cmd.job);
    };
    match send_to_scheduler(cell, Method::GET, &format!("/v1/jobs/{job}/explain"), None).await {
        Ok(response) => print_response(
            format,
            response.0,
            &response.1,
            "look up the job id with `kspanctl dump`",
        ),
        Err(err) => unreachable(&err),
    }
}

/// Reports that a text is not a job id.
pub(crate) fn invalid_job_id(text: &str) -> Exit {
    let message = format!("{text:?} is not a job id");
    fail(
        Exit::Usage,
        &message,
        "pass the 32 hexadecimal digits that `submit` printed",
    )
}

/// Prints a scheduler's response to standard output if it is a success, or else reports it as an
/// error.
pub(crate) fn print_response(format: Format, status: u16, body: &Value, next: &str) -> Exit {
    if SUCCESS_STATUS.contains(&status) {
        print(format, body, || format_lines(body));
        return Exit::Done;
    }
    fail(
        Exit::Refused,
        &format!(
            "the scheduler responded with status {status}: {}",
            format_lines(body)
        ),
        next,
    )
}

/// Sends a request to the schedulers in turn and returns the first response received.
///
/// # Errors
///
/// Returns the last error if no scheduler responded.
pub(crate) async fn send_to_scheduler(
    cell: &CellClient,
    method: Method,
    path: &str,
    body: Option<&Value>,
) -> Result<(u16, Value)> {
    let mut last_error = Error::NoMember("scheduler");
    for member in cell.members(Role::Scheduler) {
        match cell
            .request_with_body(member.http, method.clone(), path, body)
            .await
        {
            Ok(response) => return Ok((response.status, response.body)),
            Err(err) => last_error = err,
        }
    }
    Err(last_error)
}

fn format_lines(body: &Value) -> String {
    match body {
        Value::Object(object) => {
            let lines = object
                .iter()
                .map(|(key, value)| format!("{key}: {}", format_value(value)));
            lines.collect::<Vec<_>>().join("\n")
        }
        other => format_value(other),
    }
}

fn format_value(value: &Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_owned)
}
