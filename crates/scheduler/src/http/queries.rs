//! Handlers that change nothing: following jobs and the cell.

use kspan_model::{JobId, Submission};
use kspan_wire::message::tasks::{StatusResult, StatusTarget};
use ntex::{
    http::{ResponseBuilder, StatusCode},
    web::{HttpResponse, types},
};

use super::{
    Callers,
    bodies::{CellView, Explanation, JobView, ShardView},
    ended, parse_job, problem,
};
use crate::decisions::ask;

pub(super) async fn job(callers: types::State<Callers>, path: types::Path<String>) -> HttpResponse {
    match parse_job(&path) {
        Ok(job) => open(&callers, job, HttpResponse::Ok()).await,
        Err(response) => response,
    }
}

/// Answers with what is known of a job.
pub(super) async fn open(
    callers: &Callers,
    job: JobId,
    mut response: ResponseBuilder,
) -> HttpResponse {
    match look_up(callers, job).await {
        Some(view) => response.json(&view),
        None => not_known(job),
    }
}

fn not_known(job: JobId) -> HttpResponse {
    let error = format!("no job {job} is known on this host; it may have ended long ago");
    problem(StatusCode::NOT_FOUND, "unknown", error)
}

/// Returns what is known of a job: its end, or what its shard's owner says.
async fn look_up(callers: &Callers, job: JobId) -> Option<JobView> {
    let fold = callers.node.fold();
    if let Some(end) = fold.ends.get(&job) {
        return Some(ended(end));
    }
    let submission = fold.submissions.get(&job)?;
    let shard = submission.shard.clone();
    match ask(&callers.queries, shard, StatusTarget::Job(job)).await {
        StatusResult::Job(status) => Some(JobView::from_status(status)),
        // It may have ended while its owner was asked.
        _ => match callers.node.fold().ends.get(&job) {
            Some(end) => Some(ended(end)),
            None => Some(unanswered(submission, fold.cancels.contains(&job))),
        },
    }
}

fn unanswered(submission: &Submission, cancelling: bool) -> JobView {
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
    callers: types::State<Callers>,
    path: types::Path<String>,
) -> HttpResponse {
    let job = match parse_job(&path) {
        Ok(job) => job,
        Err(response) => return response,
    };
    let Some(view) = look_up(&callers, job).await else {
        return not_known(job);
    };
    let explanation = match (&view.result, &view.waits) {
        (Some(result), _) => {
            let reason = view.reason.clone().unwrap_or_default();
            let separator = if reason.is_empty() { "" } else { ": " };
            format!("the job has ended: {result}{separator}{reason}")
        }
        (None, Some(waits)) => waits.to_string(),
        (None, None) => "no task of it waits".to_owned(),
    };
    HttpResponse::Ok().json(&Explanation {
        job,
        state: view.state,
        explanation,
    })
}

pub(super) async fn cell(callers: types::State<Callers>) -> HttpResponse {
    let fold = callers.node.fold();
    let Some(document) = &fold.document else {
        let error = "no document is in force on this host yet";
        return problem(StatusCode::SERVICE_UNAVAILABLE, "unknown", error);
    };
    let mut shards = Vec::new();
    for (_, data_centre) in document.data_centres() {
        let name = data_centre.clone();
        let view = match ask(
            &callers.queries,
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
        document: fold.document_version,
        shards,
    })
}
