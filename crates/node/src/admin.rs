//! The admin thread: health, readiness, metrics, dump and injected link faults over HTTP.

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
    sync::lock,
};

/// Interval of the metrics upkeep and of the check whether the process has stopped.
const UPKEEP_INTERVAL: std::time::Duration = std::time::Duration::from_millis(500);

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
        while inner.phase() != Phase::Stopped {
            tokio::time::sleep(UPKEEP_INTERVAL).await;
            metrics.run_upkeep();
        }
        server.stop(false).await;
    });
}

async fn readyz(admin: web::types::State<Admin>) -> HttpResponse {
    match admin.inner.unready_reason() {
        None => HttpResponse::Ok().body("ready\n"),
        Some(reason) => HttpResponse::ServiceUnavailable().body(format!("{reason}\n")),
    }
}

async fn render_metrics(admin: web::types::State<Admin>) -> HttpResponse {
    HttpResponse::Ok()
        .content_type("text/plain; version=0.0.4")
        .body(admin.metrics.render())
}

async fn dump(admin: web::types::State<Admin>) -> HttpResponse {
    HttpResponse::Ok().json(&process_dump(&admin.inner))
}

async fn get_faults(admin: web::types::State<Admin>) -> HttpResponse {
    HttpResponse::Ok().json(&*admin.inner.link_faults.faults())
}

/// Sets the injected link faults. Refused unless the settings have a `faults` section, so that no
/// link is cut in production.
async fn put_faults(
    admin: web::types::State<Admin>,
    faults: web::types::Json<Faults>,
) -> HttpResponse {
    if admin.inner.cfg.faults.is_none() {
        return HttpResponse::Forbidden().body("the settings have no faults section\n");
    }
    let faults = faults.into_inner();
    log::warn!("admin: link faults set: {faults:?}");
    admin.inner.link_faults.set(faults);
    HttpResponse::NoContent().finish()
}

/// Returns the state of the process for `/dump` and for the log.
pub(crate) fn process_dump(inner: &Inner) -> serde_json::Value {
    let now = inner.now();
    let state = inner.state();
    let guard = inner.guard_state();
    let members: Vec<_> = state
        .view
        .members
        .iter()
        .map(|member| {
            let liveness = inner.liveness_of(&member.node);
            json!({
                "node": member.node.to_string(),
                "role": member.role,
                "site": member.site.to_string(),
                "wire": member.wire,
                "http": member.http,
                "admin": member.admin,
                "liveness": liveness,
                "silent_ms": match liveness {
                    Liveness::Silent { since } => now.saturating_sub(since).0,
                    Liveness::Alive | Liveness::Suspect => 0,
                },
            })
        })
        .collect();
    let program = lock(&inner.program_dump).as_ref().map(|f| f());
    json!({
        "node": inner.me.node.to_string(),
        "role": inner.me.role,
        "site": inner.me.site.to_string(),
        "uptime_ms": now.0,
        "not_ready": inner.unready_reason(),
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
