//! Handlers of read-only requests about jobs and the cell.

use kspan_model::{JobId, Submission};
use kspan_wire::message::tasks::{StatusResult, StatusTarget};
use ntex::{
    http::{ResponseBuilder, StatusCode},
    web::{HttpResponse, types},
};

use super::{
    HandlerState,
    bodies::{CellView, Explanation, JobView, ShardView},
    ended_job_view, error_response, not_found_status, parse_job,
};
use crate::decision_loop::query_owner;

pub(super) async fn job(
    state: types::State<HandlerState>,
    path: types::Path<String>,
) -> HttpResponse {
    match parse_job(&path) {
        Ok(job) => job_response(&state, job, HttpResponse::Ok()).await,
        Err(response) => response,
    }
}

/// Responds with the state of a job.
pub(super) async fn job_response(
    state: &HandlerState,
    job: JobId,
    mut response: ResponseBuilder,
) -> HttpResponse {
    match find_job(state, job).await {
        Some(view) => response.json(&view),
        None => job_not_found(state, job),
    }
}

fn job_not_found(state: &HandlerState, job: JobId) -> HttpResponse {
    let error = format!(
        "this host does not know job {job}; it may have ended and its record may have been removed"
    );
    error_response(not_found_status(&state.node), "unknown", error)
}

/// Returns the state of a job: its recorded end, or its status as reported by the shard's owner.
async fn find_job(state: &HandlerState, job: JobId) -> Option<JobView> {
    let log_state = state.node.state();
    if let Some(end) = log_state.ends.get(&job) {
        return Some(ended_job_view(end));
    }
    let submission = log_state.submissions.get(&job)?;
    let shard = submission.shard.clone();
    match query_owner(&state.queries, shard, StatusTarget::Job(job)).await {
        StatusResult::Job(status) => Some(JobView::from_status(status)),
        // The job may have ended while its owner was being queried.
        _ => match state.node.state().ends.get(&job) {
            Some(end) => Some(ended_job_view(end)),
            None => Some(unanswered_job_view(
                submission,
                log_state.cancels.contains(&job),
            )),
        },
    }
}

fn unanswered_job_view(submission: &Submission, cancelling: bool) -> JobView {
    JobView {
        job: submission.job,
        state: if cancelling { "cancelling" } else { "open" },
        workload: Some(submission.workload.clone()),
        shard: Some(submission.shard.clone()),
        tasks: None,
        waits: Some("the shard's owner did not answer or does not know the job yet".into()),
        result: None,
        reason: None,
        ended: None,
    }
}

pub(super) async fn explain(
    state: types::State<HandlerState>,
    path: types::Path<String>,
) -> HttpResponse {
    let job = match parse_job(&path) {
        Ok(job) => job,
        Err(response) => return response,
    };
    let Some(view) = find_job(&state, job).await else {
        return job_not_found(&state, job);
    };
    let explanation = match (&view.result, &view.waits) {
        (Some(result), _) => {
            let reason = view.reason.clone().unwrap_or_default();
            let separator = if reason.is_empty() { "" } else { ": " };
            format!("the job has ended: {result}{separator}{reason}")
        }
        (None, Some(waits)) => waits.to_string(),
        (None, None) => "no task of the job is waiting".to_owned(),
    };
    HttpResponse::Ok().json(&Explanation {
        job,
        state: view.state,
        explanation,
    })
}

pub(super) async fn cell(state: types::State<HandlerState>) -> HttpResponse {
    let log_state = state.node.state();
    let Some(document) = &log_state.document else {
        let error = "no document is in force on this host yet";
        return error_response(StatusCode::SERVICE_UNAVAILABLE, "unknown", error);
    };
    let mut shards = Vec::new();
    for (_, data_centre) in document.data_centres() {
        let name = data_centre.clone();
        let view = match query_owner(
            &state.queries,
            name.clone(),
            StatusTarget::Shard(name.clone()),
        )
        .await
        {
            StatusResult::Shard(status) => ShardView::from_status(status),
            _ => ShardView::unanswered(name),
        };
        shards.push(view);
    }
    HttpResponse::Ok().json(&CellView {
        cell: document.cell.clone(),
        document: log_state.document_version,
        shards,
    })
}
