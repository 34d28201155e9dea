//! The event loop of the request thread: what the node tells, and the clock's ticks.

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

/// Time between two ticks.
const TICK: Duration = Duration::from_millis(10);

/// Ticks between two looks at slower matters: hosts, metrics, the dump.
const TICKS_PER_SLOW: u32 = 25;

/// How long the router goes on taking connections after it says that it is not ready, so that
/// the balancer sees it.
const NOT_READY_FIRST: Duration = Duration::from_millis(1_500);

/// How often a planned stop looks whether work is still in flight.
const STOP_POLL: Duration = Duration::from_millis(20);

/// Handles the node's events until a planned stop is over, then notifies `stopped`.
pub(crate) async fn run(app: Rc<App>, events: Receiver<Event>, stopped: Arc<Notify>) {
    while let Some(event) = events.recv().await {
        if handle(&app, event) {
            break;
        }
    }
    ntex::rt::spawn(keep_handling(Rc::clone(&app), events));
    stop(&app).await;
    stopped.notify_one();
}

/// Ticks the engine for the life of the process.
pub(crate) async fn tick(app: Rc<App>) {
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut count: u32 = 0;
    loop {
        ticks.tick().await;
        let authority = observe_guard(&app);
        app.change(|engine, now, unix| {
            engine.set_authority(authority, now, unix);
            engine.tick(now);
        });
        if count.is_multiple_of(TICKS_PER_SLOW) {
            look_slowly(&app);
            observe_ready(&app);
        }
        count = count.wrapping_add(1);
    }
}

/// Handles one event. Returns whether a planned stop begins.
fn handle(app: &Rc<App>, event: Event) -> bool {
    match event {
        Event::View(_) | Event::Hosts(_) => {
            observe_view(app);
            observe_hosts(app);
        }
        Event::Fold(_) => {
            observe_document(app);
            observe_hosts(app);
        }
        Event::Message { from, message } => match message {
            Message::Routing(message) => {
                app.change(|engine, now, unix| engine.receive(&from, message, now, unix));
            }
            Message::Tasks(tasks::Message::RunnerTable(table)) => {
                app.change(|engine, now, _| engine.set_table(&table, now));
            }
            Message::Tasks(tasks::Message::RunnerTableVersion(told)) => {
                want_table(app, &from, &told);
            }
            Message::Tasks(_) | Message::Membership(_) => {}
        },
        Event::Liveness {
            node,
            state: Liveness::Silent { .. },
        } => {
            app.change(|engine, _, _| engine.handle_node_death(&node));
        }
        Event::Liveness { .. } => {}
        Event::Stop => return true,
    }
    false
}

async fn keep_handling(app: Rc<App>, events: Receiver<Event>) {
    while let Some(event) = events.recv().await {
        handle(&app, event);
    }
}

fn want_table(app: &Rc<App>, from: &kspan_model::NodeId, told: &tasks::RunnerTableVersion) {
    let stale = app.query(|engine| engine.is_table_newer(&told.shard, told.fence, told.version));
    if stale {
        let shard = told.shard.clone();
        let wanted = tasks::Message::RunnerTableRequest { shard };
        app.node.send(from, Message::Tasks(wanted));
    }
}

fn observe_guard(app: &Rc<App>) -> Authority {
    observe_view(app);
    let guard = app.node.guard();
    Authority {
        may_act: guard.may_act(),
        activated: guard.activated(),
    }
}

fn observe_view(app: &Rc<App>) {
    let guard = app.node.guard();
    let view = guard
        .views()
        .last()
        .cloned()
        .unwrap_or_else(|| app.node.view());
    app.change(|engine, now, unix| engine.set_view(view, now, unix));
}

fn observe_hosts(app: &Rc<App>) {
    let leaving = leaving_hosts(&app.node);
    app.change(|engine, now, _| engine.set_leaving_hosts(leaving, now));
}

fn observe_document(app: &Rc<App>) {
    let fold = app.node.fold();
    let Some(document) = &fold.document else {
        return;
    };
    if Arc::ptr_eq(document, &app.document.borrow()) {
        return;
    }
    log::info!(
        "router: Document version {} is in force.",
        fold.document_version
    );
    app.change(|engine, _, _| engine.set_document(document));
    app.document.replace(Arc::clone(document));
}

/// Says ready once there is a document and this router can serve. It stays so until a planned
/// stop: a router that loses its rights as a home still borrows from others.
fn observe_ready(app: &Rc<App>) {
    if app.ready.get() || app.stopping.get() {
        return;
    }
    let now = app.now();
    let declared = app.node.fold().document.is_some();
    if declared && app.query(|engine| engine.is_takeover_complete(now)) {
        app.ready.set(true);
        app.node.set_ready(true);
        log::info!("router: Ready after {now}.");
    }
}

fn look_slowly(app: &Rc<App>) {
    observe_hosts(app);
    observe_document(app);
    app.upstreams.drop_idle();
    let now = app.now();
    let (queued, in_flight) = app.query(kspan_routing::Engine::load);
    let tally = app.tally.borrow();
    tally.publish(queued, in_flight);
    let value = json!({
        "as_of_ms": now.0,
        "stopping": app.stopping.get(),
        "queued": queued,
        "in_flight": in_flight,
        "keys": app.query(kspan_routing::Engine::remembered_key_count),
        "requests": tally.dump(),
        "services": app.query(|engine| engine.dump(now)),
    });
    if let Ok(mut dump) = app.dump.lock() {
        *dump = value;
    }
}

/// Carries out a planned stop: says not ready, goes on serving until the balancer has seen it,
/// and waits for requests in flight.
async fn stop(app: &Rc<App>) {
    log::info!("router: Planned stop begins.");
    app.stopping.set(true);
    app.node.set_ready(false);
    let grace = Millis(app.node.settings().stop_grace_ms).as_duration();
    let deadline = Instant::now() + grace;
    sleep(NOT_READY_FIRST.min(grace)).await;
    while app.tally.borrow().open() > 0 && Instant::now() < deadline {
        sleep(STOP_POLL).await;
    }
    app.change(|engine, _, _| engine.return_loans());
    let open = app.tally.borrow().open();
    log::info!("router: Planned stop ends with {open} requests in flight.");
}
