//! Cancels a job.

use kspan_model::JobId;
use kspan_operator::CellClient;
use ntex::http::Method;

use crate::{
    args::Cancel,
    exit::{Exit, unreachable},
    job::{ask_scheduler, bad_id, report},
    output::Format,
};

pub(crate) async fn cancel(format: Format, cmd: &Cancel, cell: &CellClient) -> Exit {
    let Ok(job) = cmd.job.parse::<JobId>() else {
        return bad_id(&cmd.job);
    };
    match ask_scheduler(cell, Method::DELETE, &format!("/v1/jobs/{job}"), None).await {
        Ok((status, body)) => report(format, status, &body, "cancelling again is safe"),
        Err(err) => unreachable(&err),
    }
}
