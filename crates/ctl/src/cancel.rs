//! The command that cancels a job.

use kspan_model::JobId;
use kspan_operator::CellClient;
use ntex::http::Method;

use crate::{
    args::Cancel,
    exit::{Exit, unreachable},
    job::{invalid_job_id, print_response, send_to_scheduler},
    output::Format,
};

pub(crate) async fn cancel(format: Format, cmd: &Cancel, cell: &CellClient) -> Exit {
    let Ok(job) = cmd.job.parse::<JobId>() else {
        return invalid_job_id(&cmd.job);
    };
    match send_to_scheduler(cell, Method::DELETE, &format!("/v1/jobs/{job}"), None).await {
        Ok((status, body)) => {
            print_response(format, status, &body, "cancelling a job repeatedly is safe")
        }
        Err(err) => unreachable(&err),
    }
}
