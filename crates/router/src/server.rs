//! The callers' listener: one ntex worker that also runs the event loop.

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

/// How long an idle connection of a caller is kept open.
const CALLER_KEEP_ALIVE: Seconds = Seconds(30);

/// How long connections may stay open after the planned stop has waited for its requests. Only
/// idle ones are left by then, and a caller may hold those for as long as it likes.
const CLOSE_GRACE: Seconds = Seconds(1);

/// What the worker thread takes over from the thread that starts it, once.
struct Handover {
    node: Node,
    events: Receiver<Event>,
    stopped: Arc<Notify>,
}

/// Serves callers until a planned stop is over.
///
/// # Errors
///
/// Returns an error where the address can't be listened on.
pub(crate) fn serve(node: &Node, events: Receiver<Event>) -> Result<()> {
    let stopped = Arc::new(Notify::new());
    let handover = Handover {
        node: node.clone(),
        events,
        stopped: Arc::clone(&stopped),
    };
    let handover = Arc::new(Mutex::new(Some(handover)));
    let system = ntex::rt::System::new("kspan-router", ntex::rt::DefaultRuntime);
    system.block_on(listen(node.clone(), handover, stopped))
}

async fn listen(
    node: Node,
    handover: Arc<Mutex<Option<Handover>>>,
    stopped: Arc<Notify>,
) -> Result<()> {
    let cfg = node.settings();
    let factory = async move || {
        let taken = handover.lock().ok().and_then(|mut parts| parts.take());
        let app = taken.map(start);
        WebApp::new()
            .state(app)
            .default_service(web::to(http::handle))
    };
    let keep_alive = HttpServiceConfig::new().set_keepalive(KeepAlive::Timeout(CALLER_KEEP_ALIVE));
    let server = HttpServer::new(factory)
        .workers(1)
        .disable_signals()
        .shutdown_timeout(CLOSE_GRACE)
        .config(SharedCfg::new("kspan-router").add(keep_alive))
        .bind(cfg.listen.http)?
        .run();
    log::info!("router: Listens on {}.", cfg.listen.http);
    stopped.notified().await;
    server.stop(true).await;
    Ok(())
}

/// Starts the event loop on the worker's thread.
fn start(handover: Handover) -> Rc<App> {
    let app = App::new(handover.node);
    ntex::rt::spawn(events::run(
        Rc::clone(&app),
        handover.events,
        handover.stopped,
    ));
    ntex::rt::spawn(events::tick(Rc::clone(&app)));
    app
}
