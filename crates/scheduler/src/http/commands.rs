//! Handlers of requests that change state: submission and cancellation.

use std::{sync::Arc, time::Duration};

use kspan_fold::State;
use kspan_model::{JobId, Name, Resources, Submission, document::Document};
use kspan_node::AppendOutcome;
use ntex::{
    http::StatusCode,
    util::Bytes,
    web::{HttpResponse, types},
};

use super::{
    HandlerState, append_error_response,
    bodies::{SubmitRequest, SubmitResponse},
    ended_job_view, error_response, not_found_status, parse_job, wait_for_end,
};
use crate::{
    commit::commit,
    shard_selection::{Demand, select_shard},
};

/// Maximum length of an idempotency key.
const MAX_KEY_BYTES: usize = 200;

/// Timeout of a cancellation's wait for the job's end; the response then reports the job's
/// current state.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(3);

struct Workload<'a> {
    team: &'a Name,
    regions: &'a [Name],
    task: Resources,
    tasks: u32,
}

fn find_workload<'a>(document: &'a Document, name: &str) -> Option<Workload<'a>> {
    let batch = document.batch(name).map(|batch| Workload {
        team: &batch.team,
        regions: &batch.regions,
        task: batch.task.size,
        tasks: batch.tasks,
    });
    batch.or_else(|| {
        document.gang(name).map(|gang| Workload {
            team: &gang.team,
            regions: &gang.regions,
            task: gang.task.size,
            tasks: gang.tasks,
        })
    })
}

pub(super) async fn submit(state: types::State<HandlerState>, body: Bytes) -> HttpResponse {
    if state.is_stopping() {
        let error = "this host is shutting down; send the same request to another host";
        return error_response(StatusCode::SERVICE_UNAVAILABLE, "not accepted", error);
    }
    let request: SubmitRequest = match serde_json::from_slice(&body) {
        Ok(request) => request,
        Err(err) => {
            let error = format!("invalid submission: {err}");
            return error_response(StatusCode::BAD_REQUEST, "not accepted", error);
        }
    };
    let log_state = state.node.state();
    let submission = match validate_submission(&state, &log_state, &request) {
        Ok(submission) => submission,
        Err(response) => return response,
    };
    if let Some(response) = existing_job_response(&log_state, &submission) {
        return response;
    }
    let job = submission.job;
    let shard = submission.shard.clone();
    let outcome = commit(&state.submissions, submission).await;
    log::info!("scheduler: submission of job {job}: {outcome:?}");
    match outcome {
        AppendOutcome::Accepted { .. } => {
            // Another host may have accepted the same submission first, with a different shard.
            let log_state = state.node.state();
            let first = log_state.submissions.get(&job);
            let shard = first.map_or(shard, |first| first.shard.clone());
            HttpResponse::Accepted().json(&SubmitResponse { job, shard })
        }
        outcome => append_error_response(&outcome),
    }
}

fn validate_submission(
    state: &HandlerState,
    log_state: &Arc<State>,
    request: &SubmitRequest,
) -> Result<Submission, HttpResponse> {
    let refuse = |status, error: String| Err(error_response(status, "not accepted", error));
    let Some(document) = &log_state.document else {
        let error = "no document is in force on this host yet".to_owned();
        return refuse(StatusCode::SERVICE_UNAVAILABLE, error);
    };
    if request.key.is_empty() || request.key.len() > MAX_KEY_BYTES {
        let error = format!("invalid key length: expected 1 to {MAX_KEY_BYTES} bytes");
        return refuse(StatusCode::BAD_REQUEST, error);
    }
    let Some(workload) = find_workload(document, &request.workload) else {
        let error = if document.service(&request.workload).is_some() {
            "a service runs without submission; only batch and gang workloads can be submitted"
                .to_owned()
        } else {
            format!(
                "the document declares no batch or gang workload {:?}",
                request.workload
            )
        };
        return refuse(not_found_status(&state.node), error);
    };
    if let Some(team) = &request.team
        && team != workload.team.as_str()
    {
        let error = format!(
            "wrong team {team:?}: the workload belongs to team {}",
            workload.team
        );
        return refuse(StatusCode::BAD_REQUEST, error);
    }
    let demand = Demand {
        regions: workload.regions,
        task: workload.task,
        tasks: workload.tasks,
    };
    let summaries = &state.published.load().summaries;
    let Some(shard) = select_shard(document, demand, summaries, &mut rand::rng()) else {
        let error = "the document declares no data centre in the workload's regions".to_owned();
        return refuse(StatusCode::BAD_REQUEST, error);
    };
    Ok(Submission {
        job: JobId::for_submission(workload.team, &request.key),
        workload: Name::new(&request.workload),
        shard,
        accepted: state.node.unix_now(),
    })
}

/// Returns the response to a submission that the log already contains.
fn existing_job_response(log_state: &State, submission: &Submission) -> Option<HttpResponse> {
    let job = submission.job;
    if let Some(end) = log_state.ends.get(&job) {
        return Some(HttpResponse::Ok().json(&ended_job_view(end)));
    }
    let first = log_state.submissions.get(&job)?;
    if first.workload != submission.workload {
        let error = format!("the key was already used for workload {}", first.workload);
        return Some(error_response(StatusCode::CONFLICT, "not accepted", error));
    }
    let shard = first.shard.clone();
    Some(HttpResponse::Accepted().json(&SubmitResponse { job, shard }))
}

pub(super) async fn cancel(
    state: types::State<HandlerState>,
    path: types::Path<String>,
) -> HttpResponse {
    let job = match parse_job(&path) {
        Ok(job) => job,
        Err(response) => return response,
    };
    let log_state = state.node.state();
    if let Some(end) = log_state.ends.get(&job) {
        return HttpResponse::Ok().json(&ended_job_view(end));
    }
    if !log_state.submissions.contains_key(&job) {
        let error = format!(
            "job {job} is not open; it may have ended and its record may have been removed"
        );
        return error_response(not_found_status(&state.node), "not accepted", error);
    }
    let outcome = commit(&state.cancels, job).await;
    log::info!("scheduler: cancellation of job {job}: {outcome:?}");
    if !matches!(outcome, AppendOutcome::Accepted { .. }) {
        return append_error_response(&outcome);
    }
    match wait_for_end(&state.node, job, CANCEL_TIMEOUT).await {
        Some(end) => HttpResponse::Ok().json(&ended_job_view(&end)),
        None => super::queries::job_response(&state, job, HttpResponse::Accepted()).await,
    }
}
