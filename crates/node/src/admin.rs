//! The admin thread: health, readiness, metrics, dump and artificial faults over HTTP.

use std::{net::TcpListener, sync::Arc};

use kspan_membership::Liveness;
use metrics_exporter_prometheus::PrometheusHandle;
use ntex::{
    rt::{DefaultRuntime, System},
    web::{self, App, HttpResponse, HttpServer},
};
use serde_json::json;

use crate::{
    inner::{Inner, Phase},
    settings::Faults,
    slot::lock,
};

/// Period in which histograms are condensed and an end of the process is looked for.
const UPKEEP_PERIOD: std::time::Duration = std::time::Duration::from_millis(500);

#[derive(Clone)]
struct Admin {
    inner: Arc<Inner>,
    metrics: PrometheusHandle,
}

/// Runs the thread until the process ends.
pub(crate) fn run(inner: Arc<Inner>, listener: TcpListener, metrics: PrometheusHandle) {
    let admin = Admin {
        inner: Arc::clone(&inner),
        metrics: metrics.clone(),
    };
    let system = System::new("kspan-admin", DefaultRuntime);
    system.block_on(async move {
        let server = HttpServer::new(async move || {
            App::new()
                .state(admin.clone())
                .route("/healthz", web::get().to(async || "ok\n"))
                .route("/readyz", web::get().to(readyz))
                .route("/metrics", web::get().to(render_metrics))
                .route("/dump", web::get().to(dump))
                .route("/faults", web::get().to(get_faults))
                .route("/faults", web::put().to(put_faults))
        })
        .workers(1)
        .disable_signals()
        .shutdown_timeout(ntex::time::Seconds(1));
        let server = match server.listen(listener) {
            Ok(server) => server.run(),
            Err(err) => return log::error!("admin: can't listen: {err}"),
        };
        while inner.phase() != Phase::Ended {
            tokio::time::sleep(UPKEEP_PERIOD).await;
            metrics.run_upkeep();
        }
        server.stop(false).await;
    });
}

async fn readyz(admin: web::types::State<Admin>) -> HttpResponse {
    match admin.inner.not_ready() {
        None => HttpResponse::Ok().body("ready\n"),
        Some(why) => HttpResponse::ServiceUnavailable().body(format!("{why}\n")),
    }
}

async fn render_metrics(admin: web::types::State<Admin>) -> HttpResponse {
    HttpResponse::Ok()
        .content_type("text/plain; version=0.0.4")
        .body(admin.metrics.render())
}

async fn dump(admin: web::types::State<Admin>) -> HttpResponse {
    HttpResponse::Ok().json(&dump_of(&admin.inner))
}

async fn get_faults(admin: web::types::State<Admin>) -> HttpResponse {
    HttpResponse::Ok().json(&*admin.inner.links.faults())
}

/// Sets artificial faults. Only a process whose settings have a `faults` section takes them, so
/// that nobody cuts a link in production.
async fn put_faults(
    admin: web::types::State<Admin>,
    faults: web::types::Json<Faults>,
) -> HttpResponse {
    if admin.inner.cfg.faults.is_none() {
        return HttpResponse::Forbidden().body("the settings have no faults section\n");
    }
    let faults = faults.into_inner();
    log::warn!("faults: {faults:?}");
    admin.inner.links.set(faults);
    HttpResponse::NoContent().finish()
}

/// Returns the state of the whole process.
pub(crate) fn dump_of(inner: &Inner) -> serde_json::Value {
    let now = inner.now();
    let state = inner.state();
    let guard = inner.guard_state();
    let members: Vec<_> = state
        .view
        .members
        .iter()
        .map(|member| {
            let belief = inner.liveness_of(&member.node);
            json!({
                "node": member.node.to_string(),
                "role": member.role,
                "site": member.site.to_string(),
                "wire": member.wire,
                "http": member.http,
                "admin": member.admin,
                "liveness": belief,
                "silent_ms": match belief {
                    Liveness::Silent { since } => now.saturating_sub(since).0,
                    Liveness::Alive | Liveness::Suspect => 0,
                },
            })
        })
        .collect();
    let program = lock(&inner.dump).as_ref().map(|f| f());
    json!({
        "node": inner.me.node.to_string(),
        "role": inner.me.role,
        "site": inner.me.site.to_string(),
        "uptime_ms": now.0,
        "not_ready": inner.not_ready(),
        "log": {
            "applied": state.next_offset,
            "document_version": state.document_version,
            "open_jobs": state.submissions.len(),
            "cancels": state.cancels.len(),
            "ends_kept": state.ends.len(),
            "drains": &*state.drains,
        },
        "view": { "number": state.view.number, "members": members },
        "guard": { "may_act": guard.may_act(), "activated": guard.activated() },
        "hosts": inner.hosts.get().hosts.len(),
        "program": program,
    })
}
