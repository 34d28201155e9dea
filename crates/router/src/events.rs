//! The event loop of the request thread: events of the node, periodic ticks, and graceful shutdown.

use std::{rc::Rc, sync::Arc, time::Duration};

use kspan_model::Millis;
use kspan_node::{Event, Liveness, ring::Receiver};
use kspan_routing::engine::Authority;
use kspan_wire::message::{Message, tasks};
use serde_json::json;
use tokio::{
    sync::Notify,
    time::{Instant, MissedTickBehavior, interval, sleep},
};

use crate::app::{App, leaving_hosts};

/// Interval between ticks of the engine.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// Number of ticks between runs of housekeeping, which updates hosts, metrics and the dump.
const TICKS_PER_HOUSEKEEPING: u32 = 25;

/// Time for which the router still accepts connections after it has reported that it is not ready,
/// so that the load balancer notices before connections are refused.
const NOT_READY_DELAY: Duration = Duration::from_millis(1_500);

/// Interval at which graceful shutdown checks for open requests.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Handles the node's events until graceful shutdown has completed, then notifies `stopped`.
pub(crate) async fn run_until_stopped(app: Rc<App>, events: Receiver<Event>, stopped: Arc<Notify>) {
    while let Some(event) = events.recv().await {
        if handle_event(&app, event) {
            break;
        }
    }
    ntex::rt::spawn(handle_until_closed(Rc::clone(&app), events));
    shut_down(&app).await;
    stopped.notify_one();
}

/// Ticks the engine periodically until the process exits.
pub(crate) async fn run_ticks(app: Rc<App>) {
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut count: u32 = 0;
    loop {
        ticks.tick().await;
        let authority = refresh_authority(&app);
        app.update_engine(|engine, now, unix| {
            engine.set_authority(authority, now, unix);
            engine.tick(now);
        });
        if count.is_multiple_of(TICKS_PER_HOUSEKEEPING) {
            run_housekeeping(&app);
            update_readiness(&app);
        }
        count = count.wrapping_add(1);
    }
}

/// Handles one event. Returns whether graceful shutdown begins.
fn handle_event(app: &Rc<App>, event: Event) -> bool {
    match event {
        Event::ViewChanged(_) | Event::HostsChanged(_) => {
            update_view(app);
            update_hosts(app);
        }
        Event::StateChanged(_) => {
            update_document(app);
            update_hosts(app);
        }
        Event::Message { from, message } => match message {
            Message::Routing(message) => {
                app.update_engine(|engine, now, unix| engine.receive(&from, message, now, unix));
            }
            Message::Tasks(tasks::Message::RunnerTable(table)) => {
                app.update_engine(|engine, now, _| engine.set_table(&table, now));
            }
            Message::Tasks(tasks::Message::RunnerTableVersion(latest)) => {
                request_newer_table(app, &from, &latest);
            }
            Message::Tasks(_) | Message::Membership(_) => {}
        },
        Event::LivenessChanged {
            node,
            state: Liveness::Silent { .. },
        } => {
            app.update_engine(|engine, _, _| engine.handle_node_death(&node));
        }
        Event::LivenessChanged { .. } => {}
        Event::StopRequested => return true,
    }
    false
}

/// Handles the node's events until the node closes the ring.
async fn handle_until_closed(app: Rc<App>, events: Receiver<Event>) {
    while let Some(event) = events.recv().await {
        handle_event(&app, event);
    }
}

/// Requests the runner table from `from` if `latest` is newer than the table of the engine.
fn request_newer_table(
    app: &Rc<App>,
    from: &kspan_model::NodeId,
    latest: &tasks::RunnerTableVersion,
) {
    let stale = app
        .read_engine(|engine| engine.is_table_newer(&latest.shard, latest.fence, latest.version));
    if stale {
        let shard = latest.shard.clone();
        let request = tasks::Message::RunnerTableRequest { shard };
        app.node.send(from, Message::Tasks(request));
    }
}

/// Passes the latest view to the engine and returns this router's authority to act as a home.
fn refresh_authority(app: &Rc<App>) -> Authority {
    update_view(app);
    let guard = app.node.guard();
    Authority {
        may_act: guard.may_act(),
        activated: guard.activated(),
    }
}

fn update_view(app: &Rc<App>) {
    let guard = app.node.guard();
    let view = guard
        .views()
        .last()
        .cloned()
        .unwrap_or_else(|| app.node.view());
    app.update_engine(|engine, now, unix| engine.set_view(view, now, unix));
}

fn update_hosts(app: &Rc<App>) {
    let leaving = leaving_hosts(&app.node);
    app.update_engine(|engine, now, _| engine.set_leaving_hosts(leaving, now));
}

fn update_document(app: &Rc<App>) {
    let fold = app.node.state();
    let Some(document) = &fold.document else {
        return;
    };
    if Arc::ptr_eq(document, &app.document.borrow()) {
        return;
    }
    log::info!(
        "router: document version {} is in force",
        fold.document_version
    );
    app.update_engine(|engine, _, _| engine.set_document(document));
    app.document.replace(Arc::clone(document));
}

/// Reports readiness once there is a document and the engine's takeover is complete. The router
/// stays ready until graceful shutdown: one that loses its authority as a home can still borrow
/// slots from other routers.
fn update_readiness(app: &Rc<App>) {
    if app.ready.get() || app.stopping.get() {
        return;
    }
    let now = app.now();
    let has_document = app.node.state().document.is_some();
    if has_document && app.read_engine(|engine| engine.is_takeover_complete(now)) {
        app.ready.set(true);
        app.node.set_ready(true);
        log::info!("router: ready after {now}");
    }
}

/// Refreshes slowly changing inputs, drops idle clients, and publishes metrics and the dump.
fn run_housekeeping(app: &Rc<App>) {
    update_hosts(app);
    update_document(app);
    app.upstreams.drop_idle();
    let now = app.now();
    let (queued, in_flight) = app.read_engine(kspan_routing::Engine::load);
    let stats = app.stats.borrow();
    stats.publish(queued, in_flight);
    let value = json!({
        "as_of_ms": now.0,
        "stopping": app.stopping.get(),
        "queued": queued,
        "in_flight": in_flight,
        "keys": app.read_engine(kspan_routing::Engine::remembered_key_count),
        "requests": stats.dump(),
        "services": app.read_engine(|engine| engine.dump(now)),
    });
    if let Ok(mut dump) = app.dump.lock() {
        *dump = value;
    }
}

/// Shuts down gracefully: reports that the router is not ready, keeps serving until the load
/// balancer has noticed, and waits for open requests until the grace period ends.
async fn shut_down(app: &Rc<App>) {
    log::info!("router: graceful shutdown started");
    app.stopping.set(true);
    app.node.set_ready(false);
    let grace = Millis(app.node.settings().stop_grace_ms).as_duration();
    let deadline = Instant::now() + grace;
    sleep(NOT_READY_DELAY.min(grace)).await;
    while app.stats.borrow().open_count() > 0 && Instant::now() < deadline {
        sleep(SHUTDOWN_POLL_INTERVAL).await;
    }
    app.update_engine(|engine, _, _| engine.return_loans());
    let open = app.stats.borrow().open_count();
    log::info!("router: graceful shutdown ended with {open} open requests");
}
