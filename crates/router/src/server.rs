//! The callers' HTTP listener: a single ntex worker, which also runs the event loop.

use std::{
    rc::Rc,
    sync::{Arc, Mutex},
};

use kspan_node::{Event, Node, ring::Receiver};
use ntex::{
    SharedCfg,
    http::{HttpServiceConfig, KeepAlive},
    time::Seconds,
    web::{self, App as WebApp, HttpServer},
};
use tokio::sync::Notify;

use crate::{app::App, error::Result, events, http};

/// Time after which an idle connection of a caller is closed.
const CALLER_KEEP_ALIVE: Seconds = Seconds(30);

/// Time after which the server closes the remaining connections once graceful shutdown has waited
/// for open requests. Idle connections remain at that point, and callers may keep them open
/// indefinitely.
const SERVER_SHUTDOWN_TIMEOUT: Seconds = Seconds(1);

/// Input of the event loop, moved once from the main thread to the worker thread.
struct EventLoopInput {
    node: Node,
    events: Receiver<Event>,
    stopped: Arc<Notify>,
}

/// Serves callers until graceful shutdown has completed.
///
/// # Errors
///
/// Returns an error if the listener can't be bound to its address.
pub(crate) fn serve(node: &Node, events: Receiver<Event>) -> Result<()> {
    let stopped = Arc::new(Notify::new());
    let input = EventLoopInput {
        node: node.clone(),
        events,
        stopped: Arc::clone(&stopped),
    };
    let input = Arc::new(Mutex::new(Some(input)));
    let system = ntex::rt::System::new("kspan-router", ntex::rt::DefaultRuntime);
    system.block_on(listen(node.clone(), input, stopped))
}

async fn listen(
    node: Node,
    input: Arc<Mutex<Option<EventLoopInput>>>,
    stopped: Arc<Notify>,
) -> Result<()> {
    let cfg = node.settings();
    let factory = async move || {
        let input = input.lock().ok().and_then(|mut input| input.take());
        let app = input.map(start_event_loop);
        WebApp::new()
            .state(app)
            .default_service(web::to(http::handle))
    };
    let keep_alive = HttpServiceConfig::new().set_keepalive(KeepAlive::Timeout(CALLER_KEEP_ALIVE));
    let server = HttpServer::new(factory)
        .workers(1)
        .disable_signals()
        .shutdown_timeout(SERVER_SHUTDOWN_TIMEOUT)
        .config(SharedCfg::new("kspan-router").add(keep_alive))
        .bind(cfg.listen.http)?
        .run();
    log::info!("router: listening for callers on {}", cfg.listen.http);
    stopped.notified().await;
    server.stop(true).await;
    Ok(())
}

/// Creates the state and starts the event loop on the worker thread.
fn start_event_loop(input: EventLoopInput) -> Rc<App> {
    let app = App::new(input.node);
    ntex::rt::spawn(events::run_until_stopped(
        Rc::clone(&app),
        input.events,
        input.stopped,
    ));
    ntex::rt::spawn(events::run_ticks(Rc::clone(&app)));
    app
}
