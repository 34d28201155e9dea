//! Handlers that change something: submitting and cancelling.

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
    Callers,
    bodies::{Accepted, Submit},
    ended, not_appended, parse_job, problem, wait_for_end,
};
use crate::{
    choice::{Need, choose_shard},
    commit::commit,
};

/// Longest key of a caller, in bytes.
const MAX_KEY_BYTES: usize = 200;

/// How long a cancellation waits for the job's end before it answers without.
const CANCEL_WAIT: Duration = Duration::from_secs(3);

struct Workload<'a> {
    team: &'a Name,
    regions: &'a [Name],
    task: Resources,
    tasks: u32,
}

fn find<'a>(document: &'a Document, name: &str) -> Option<Workload<'a>> {
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

pub(super) async fn submit(callers: types::State<Callers>, body: Bytes) -> HttpResponse {
    if callers.is_stopping() {
        let error = "this host is stopping; send the same request to another";
        return problem(StatusCode::SERVICE_UNAVAILABLE, "not accepted", error);
    }
    let request: Submit = match serde_json::from_slice(&body) {
        Ok(request) => request,
        Err(err) => {
            let error = format!("the body is no submission: {err}");
            return problem(StatusCode::BAD_REQUEST, "not accepted", error);
        }
    };
    let fold = callers.node.state();
    let submission = match check(&callers, &fold, &request) {
        Ok(submission) => submission,
        Err(response) => return response,
    };
    if let Some(response) = known(&fold, &submission) {
        return response;
    }
    let job = submission.job;
    let shard = submission.shard.clone();
    let outcome = commit(&callers.submissions, submission).await;
    log::info!("scheduler: submission of job {job}: {outcome:?}");
    match outcome {
        AppendOutcome::Accepted { .. } => {
            // Another host may have accepted the same submission first, for another shard.
            let fold = callers.node.state();
            let first = fold.submissions.get(&job);
            let shard = first.map_or(shard, |first| first.shard.clone());
            HttpResponse::Accepted().json(&Accepted { job, shard })
        }
        outcome => not_appended(&outcome),
    }
}

fn check(
    callers: &Callers,
    fold: &Arc<State>,
    request: &Submit,
) -> Result<Submission, HttpResponse> {
    let refuse = |status, error: String| Err(problem(status, "not accepted", error));
    let Some(document) = &fold.document else {
        let error = "no document is in force on this host yet".to_owned();
        return refuse(StatusCode::SERVICE_UNAVAILABLE, error);
    };
    if request.key.is_empty() || request.key.len() > MAX_KEY_BYTES {
        let error = format!("the key must have 1 to {MAX_KEY_BYTES} bytes");
        return refuse(StatusCode::BAD_REQUEST, error);
    }
    let Some(workload) = find(document, &request.workload) else {
        let error = if document.service(&request.workload).is_some() {
            "a service runs by itself and is not submitted".to_owned()
        } else {
            format!(
                "no batch or gang workload {:?} is declared",
                request.workload
            )
        };
        return refuse(StatusCode::NOT_FOUND, error);
    };
    if let Some(team) = &request.team
        && team != workload.team.as_str()
    {
        let error = format!("the workload belongs to team {}", workload.team);
        return refuse(StatusCode::BAD_REQUEST, error);
    }
    let need = Need {
        regions: workload.regions,
        task: workload.task,
        tasks: workload.tasks,
    };
    let summaries = &callers.board.look().summaries;
    let Some(shard) = choose_shard(document, need, summaries, &mut rand::rng()) else {
        let error = "no data centre of the workload's regions is declared".to_owned();
        return refuse(StatusCode::BAD_REQUEST, error);
    };
    Ok(Submission {
        job: JobId::for_submission(workload.team, &request.key),
        workload: Name::new(&request.workload),
        shard,
        accepted: callers.node.unix_now(),
    })
}

/// Answers a submission that the log has already.
fn known(fold: &State, submission: &Submission) -> Option<HttpResponse> {
    let job = submission.job;
    if let Some(end) = fold.ends.get(&job) {
        return Some(HttpResponse::Ok().json(&ended(end)));
    }
    let first = fold.submissions.get(&job)?;
    if first.workload != submission.workload {
        let error = format!("the key was used for workload {}", first.workload);
        return Some(problem(StatusCode::CONFLICT, "not accepted", error));
    }
    let shard = first.shard.clone();
    Some(HttpResponse::Accepted().json(&Accepted { job, shard }))
}

pub(super) async fn cancel(
    callers: types::State<Callers>,
    path: types::Path<String>,
) -> HttpResponse {
    let job = match parse_job(&path) {
        Ok(job) => job,
        Err(response) => return response,
    };
    let fold = callers.node.state();
    if let Some(end) = fold.ends.get(&job) {
        return HttpResponse::Ok().json(&ended(end));
    }
    if !fold.submissions.contains_key(&job) {
        let error = format!("no open job {job}; it may have ended long ago");
        return problem(StatusCode::NOT_FOUND, "not accepted", error);
    }
    let outcome = commit(&callers.cancels, job).await;
    log::info!("scheduler: cancellation of job {job}: {outcome:?}");
    if !matches!(outcome, AppendOutcome::Accepted { .. }) {
        return not_appended(&outcome);
    }
    match wait_for_end(&callers.node, job, CANCEL_WAIT).await {
        Some(end) => HttpResponse::Ok().json(&ended(&end)),
        None => super::queries::open(&callers, job, HttpResponse::Accepted()).await,
    }
}
