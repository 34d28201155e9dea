//! HTTP interface for operators: metrics, the process's state, and explanations of jobs.

use std::{io, net::SocketAddr, rc::Rc};

use metrics_exporter_prometheus::PrometheusHandle;
use ntex::http::{Response, StatusCode};
use serde::Serialize;

use crate::{
    admission::{Admission, Interface},
    http::{self, BodyError},
    message::Member,
    process::Process,
};

/// State of the process.
#[derive(Serialize)]
struct Dump<'a> {
    node: &'a str,
    life: u64,
    stopping: bool,
    owner: Option<String>,
    fence: u64,
    owner_silent_ms: u64,
    members: Vec<Member>,
    owned: Option<Owned>,
}

/// State of the cell, shown by its owner.
#[derive(Serialize)]
struct Owned {
    unconfirmed_ms: u64,
    config_version: u64,
    config_age_ms: Option<u64>,
    active_jobs: usize,
    known_jobs: usize,
    runners: usize,
    tasks_running: usize,
    tasks_waiting: usize,
    cpu_capacity_milli: u64,
    cpu_used_milli: u64,
}

/// Serves operators on `addr` until the process exits.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub(crate) async fn serve(
    process: Rc<Process>,
    addr: SocketAddr,
    admission: Rc<Admission>,
    metrics: PrometheusHandle,
) -> io::Result<()> {
    http::serve(addr, Interface::Operators, admission, move |mut req, cx| {
        let response = if http::has_body(&mut req) {
            cx.refuse(&BodyError::TooLarge)
        } else {
            respond(&process, &metrics, req.path())
        };
        async move { response }
    })
    .await
}

fn respond(process: &Process, metrics: &PrometheusHandle, path: &str) -> Response {
    match path {
        "/metrics" => {
            if let Some(owner) = process.owner_role() {
                owner.record_totals();
            }
            metrics.run_upkeep();
            Response::build(StatusCode::OK)
                .content_type("text/plain")
                .body(metrics.render())
        }
        "/dump" => Response::build(StatusCode::OK).json(&dump(process)),
        _ => match path.strip_prefix("/explain/") {
            Some(id) => explain(process, id),
            None => Response::new(StatusCode::NOT_FOUND),
        },
    }
}

fn dump(process: &Process) -> Dump<'_> {
    let owner = process.node.known_owner();
    let owned = process.owner_role().map(|role| {
        let totals = role.totals();
        Owned {
            unconfirmed_ms: role.time_since_confirmed().0,
            config_version: role.config_version(),
            config_age_ms: role.config_age().map(|age| age.0),
            active_jobs: totals.active_jobs,
            known_jobs: totals.known_jobs,
            runners: totals.runners,
            tasks_running: totals.running,
            tasks_waiting: totals.waiting,
            cpu_capacity_milli: totals.capacity.cpu_milli,
            cpu_used_milli: totals.used.cpu_milli,
        }
    });
    Dump {
        node: &process.node.local.node,
        life: process.node.local.life,
        stopping: process.node.stopping.get(),
        owner: owner.as_ref().map(|owner| owner.member.node.to_string()),
        fence: owner.map_or(0, |owner| owner.fence),
        owner_silent_ms: process.owner_silence().0,
        members: process.node.members(),
        owned,
    }
}

/// Explains a job's state. Only the owner can; other processes answer with the owner's name.
fn explain(process: &Process, id: &str) -> Response {
    let Ok(id) = id.parse() else {
        return Response::build(StatusCode::BAD_REQUEST)
            .body("invalid job id: expected 16 lower-case hexadecimal digits");
    };
    let Some(role) = process.owner_role() else {
        let owner = process
            .node
            .known_owner()
            .map(|owner| owner.member.node.to_string());
        let text = format!(
            "this process does not own the cell; the owner is {}",
            owner.unwrap_or_else(|| "unknown".to_owned())
        );
        return Response::build(StatusCode::MISDIRECTED_REQUEST).body(text);
    };
    match role.explain(id) {
        Some(explanation) => Response::build(StatusCode::OK).json(&explanation),
        None => Response::new(StatusCode::NOT_FOUND),
    }
}
