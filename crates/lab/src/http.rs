//! A small HTTP server for stand-ins: many listeners on a few threads.
//!
//! Listeners are opened and closed while it runs, as runners start and stop. A closure sees each
//! connection before any byte is read, so that a stand-in can count or reject it.

use std::{
    future::Future,
    io,
    net::{SocketAddr, TcpListener},
    pin::Pin,
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
};

use ntex::{
    ServiceFactory, SharedCfg, fn_service,
    http::{HttpService, HttpServiceConfig, KeepAlive, Request, Response, body::Body},
    rt::{DefaultRuntime, System},
    time::Seconds,
    util::{Bytes, BytesMut, stream_recv},
};
use tokio::sync::{mpsc, watch};

/// Idle timeout of a connection; long enough that no test races against it.
const KEEP_ALIVE_TIMEOUT: Seconds = Seconds(120);

/// Maximum length of a request body.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// A future that stays on the thread that created it.
pub type LocalFuture<T> = Pin<Box<dyn Future<Output = T>>>;

/// A function that answers requests.
pub type Handler = Arc<dyn Fn(Request) -> LocalFuture<Response> + Send + Sync>;

/// A function that is called when a connection opens or closes and decides what happens to it.
pub type ConnectionFilter = Arc<dyn Fn(ConnectionEvent) -> ConnectionAction + Send + Sync>;

/// Event in the lifetime of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEvent {
    /// The connection was accepted.
    Opened,
    /// The connection has ended.
    Closed,
}

/// Treatment of an accepted connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionAction {
    /// Answer its requests.
    Serve,
    /// Close it immediately.
    Close,
    /// Send bytes that are not valid HTTP.
    Garbage,
}

type WorkItem = Box<dyn FnOnce() + Send>;

/// A fixed number of threads, each with an async runtime.
#[derive(Clone)]
pub struct ThreadPool {
    threads: Arc<[mpsc::UnboundedSender<WorkItem>]>,
    next: Arc<AtomicUsize>,
}

/// Handle of a listener; dropping it closes the listener and its connections.
pub struct ServerHandle {
    /// Address of the listener.
    pub address: SocketAddr,
    _stop: watch::Sender<()>,
}

impl ThreadPool {
    /// Starts `count` threads.
    ///
    /// # Panics
    ///
    /// Panics if the operating system fails to start a thread.
    pub fn new(count: usize) -> Self {
        let threads = (0..count).map(start_thread).collect();
        Self {
            threads,
            next: Arc::default(),
        }
    }

    /// Runs `work` on one of the threads, inside its runtime.
    pub fn spawn(&self, work: impl FnOnce() + Send + 'static) {
        let index = self.next.fetch_add(1, Ordering::Relaxed) % self.threads.len();
        // The channel is closed only when the process exits.
        let _ = self.threads[index].send(Box::new(work));
    }

    /// Listens on `address` and answers requests with `handler`.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if the address can't be bound.
    pub fn serve(
        &self,
        address: SocketAddr,
        filter: ConnectionFilter,
        handler: Handler,
    ) -> io::Result<ServerHandle> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let (stop, stopped) = watch::channel(());
        self.spawn(move || {
            ntex::rt::spawn(accept(listener, filter, handler, stopped));
        });
        Ok(ServerHandle {
            address,
            _stop: stop,
        })
    }
}

/// Returns a filter that accepts every connection.
pub fn accept_all_connections() -> ConnectionFilter {
    Arc::new(|_| ConnectionAction::Serve)
}

/// Turns an async closure into a [`Handler`].
pub fn handler<F, R>(f: F) -> Handler
where
    F: Fn(Request) -> R + Send + Sync + 'static,
    R: Future<Output = Response> + 'static,
{
    Arc::new(move |req| Box::pin(f(req)))
}

/// Reads a request's body.
///
/// # Errors
///
/// Returns an error if the body is truncated or exceeds the maximum length.
pub async fn read_body(req: &mut Request) -> io::Result<Bytes> {
    let mut payload = req.take_payload();
    let mut buf = BytesMut::new();
    while let Some(chunk) = stream_recv(&mut payload).await {
        let chunk = chunk.map_err(io::Error::other)?;
        if buf.len() + chunk.len() > MAX_BODY_BYTES {
            return Err(io::Error::other("request body exceeds the maximum length"));
        }
        buf.extend_from_slice(&chunk);
    }
    Ok(buf.freeze())
}

fn start_thread(index: usize) -> mpsc::UnboundedSender<WorkItem> {
    let (tx, mut rx) = mpsc::unbounded_channel::<WorkItem>();
    thread::Builder::new()
        .name(format!("lab-http-{index}"))
        .spawn(move || {
            System::build()
                .name("lab")
                .build(DefaultRuntime)
                .block_on(async move {
                    while let Some(work) = rx.recv().await {
                        work();
                    }
                });
        })
        .expect("the operating system can start a thread");
    tx
}

async fn accept(
    listener: TcpListener,
    filter: ConnectionFilter,
    answer: Handler,
    stopped: watch::Receiver<()>,
) {
    let listener = match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(err) => return log::error!("stand-in: can't listen: {err}"),
    };
    let http = HttpServiceConfig::new().set_keepalive(KeepAlive::Timeout(KEEP_ALIVE_TIMEOUT));
    let cfg: SharedCfg = SharedCfg::new("lab").add(http).into();
    let service = HttpService::<_, _, Body>::h1(fn_service(move |req: Request| {
        let answer = answer(req);
        async move { Ok::<_, io::Error>(answer.await) }
    }));
    let Ok(pipeline) = service.pipeline(cfg.clone()).await else {
        return log::error!("stand-in: can't build the HTTP service");
    };
    let pipeline = Rc::new(pipeline);
    let mut closing = stopped.clone();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = closing.changed() => return,
        };
        let Ok((stream, _)) = accepted else { continue };
        let Ok(stream) = stream.into_std() else {
            continue;
        };
        match filter(ConnectionEvent::Opened) {
            ConnectionAction::Serve => {}
            ConnectionAction::Close => {
                filter(ConnectionEvent::Closed);
                continue;
            }
            ConnectionAction::Garbage => {
                write_garbage(&stream);
                filter(ConnectionEvent::Closed);
                continue;
            }
        }
        let _ = stream.set_nodelay(true);
        let Ok(io) = ntex::rt::from_tcp_stream(stream, cfg.clone()) else {
            filter(ConnectionEvent::Closed);
            continue;
        };
        let (pipeline, filter, mut stopped) = (pipeline.clone(), filter.clone(), stopped.clone());
        ntex::rt::spawn(async move {
            let connection = io.get_ref();
            let served = pipeline.call(io);
            tokio::select! {
                _ = served => {}
                _ = stopped.changed() => connection.terminate(),
            }
            filter(ConnectionEvent::Closed);
        });
    }
}

fn write_garbage(stream: &std::net::TcpStream) {
    use std::io::Write;
    // The peer may have disconnected; a failed write does not matter.
    let _ = (&*stream).write_all(b"\x00\xffnot http\r\n\r\n");
}
