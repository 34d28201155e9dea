//! A small HTTP server for stand-ins: many listeners on a few threads.
//!
//! Listeners come and go while it runs, because runners do. Connections pass through a closure
//! before any byte is read, so that a stand-in can count or abuse them.

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

/// Idle time after which a connection is closed; long, so that no test measures its race.
const KEEP_ALIVE: Seconds = Seconds(120);

/// Largest request body that is read.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// Answer of a handler, on the thread that asked for it.
pub type LocalFuture<T> = Pin<Box<dyn Future<Output = T>>>;

/// Answers requests.
pub type Handler = Arc<dyn Fn(Request) -> LocalFuture<Response> + Send + Sync>;

/// Sees each connection open (`Some`) and close (`None`), and says what to do with it.
pub type Gate = Arc<dyn Fn(Phase) -> Admission + Send + Sync>;

/// Point in a connection's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It was accepted.
    Opened,
    /// It has ended.
    Closed,
}

/// What happens to a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Its requests are answered.
    Serve,
    /// It is closed at once.
    Close,
    /// It gets bytes that are no HTTP.
    Garbage,
}

type Job = Box<dyn FnOnce() + Send>;

/// Threads that serve.
#[derive(Clone)]
pub struct ThreadPool {
    threads: Arc<[mpsc::UnboundedSender<Job>]>,
    next: Arc<AtomicUsize>,
}

/// Keeps a listener open. Dropping it closes the listener and cuts its connections.
pub struct ServerHandle {
    /// Address that is listened on.
    pub address: SocketAddr,
    _stop: watch::Sender<()>,
}

impl ThreadPool {
    /// Starts `count` threads.
    ///
    /// # Panics
    ///
    /// Panics where the operating system starts no thread.
    pub fn new(count: usize) -> Self {
        let threads = (0..count).map(start_thread).collect();
        Self {
            threads,
            next: Arc::default(),
        }
    }

    /// Runs `job` on one of the threads, inside its runtime.
    pub fn run(&self, job: impl FnOnce() + Send + 'static) {
        let index = self.next.fetch_add(1, Ordering::Relaxed) % self.threads.len();
        // A closed thread only happens at the end of the process.
        let _ = self.threads[index].send(Box::new(job));
    }

    /// Listens on `address` and answers with `handler`.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system where the address can't be bound.
    pub fn serve(
        &self,
        address: SocketAddr,
        gate: Gate,
        handler: Handler,
    ) -> io::Result<ServerHandle> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let (stop, stopped) = watch::channel(());
        self.run(move || {
            ntex::rt::spawn(accept(listener, gate, handler, stopped));
        });
        Ok(ServerHandle {
            address,
            _stop: stop,
        })
    }
}

/// Returns a gate that serves every connection.
pub fn open_gate() -> Gate {
    Arc::new(|_| Admission::Serve)
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
/// Returns an error where the body is cut short or larger than the stand-ins take.
pub async fn read_body(req: &mut Request) -> io::Result<Bytes> {
    let mut payload = req.take_payload();
    let mut buf = BytesMut::new();
    while let Some(chunk) = stream_recv(&mut payload).await {
        let chunk = chunk.map_err(io::Error::other)?;
        if buf.len() + chunk.len() > MAX_BODY_BYTES {
            return Err(io::Error::other("body too large"));
        }
        buf.extend_from_slice(&chunk);
    }
    Ok(buf.freeze())
}

fn start_thread(index: usize) -> mpsc::UnboundedSender<Job> {
    let (tx, mut rx) = mpsc::unbounded_channel::<Job>();
    thread::Builder::new()
        .name(format!("lab-http-{index}"))
        .spawn(move || {
            System::build()
                .name("lab")
                .build(DefaultRuntime)
                .block_on(async move {
                    while let Some(job) = rx.recv().await {
                        job();
                    }
                });
        })
        .expect("the operating system starts a thread");
    tx
}

async fn accept(listener: TcpListener, gate: Gate, answer: Handler, stopped: watch::Receiver<()>) {
    let listener = match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(err) => return log::error!("stand-in: cannot listen: {err}"),
    };
    let http = HttpServiceConfig::new().set_keepalive(KeepAlive::Timeout(KEEP_ALIVE));
    let cfg: SharedCfg = SharedCfg::new("lab").add(http).into();
    let service = HttpService::<_, _, Body>::h1(fn_service(move |req: Request| {
        let answer = answer(req);
        async move { Ok::<_, io::Error>(answer.await) }
    }));
    let Ok(pipeline) = service.pipeline(cfg.clone()).await else {
        return log::error!("stand-in: cannot build the HTTP service");
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
        match gate(Phase::Opened) {
            Admission::Serve => {}
            Admission::Close => {
                gate(Phase::Closed);
                continue;
            }
            Admission::Garbage => {
                write_garbage(&stream);
                gate(Phase::Closed);
                continue;
            }
        }
        let _ = stream.set_nodelay(true);
        let Ok(io) = ntex::rt::from_tcp_stream(stream, cfg.clone()) else {
            gate(Phase::Closed);
            continue;
        };
        let (pipeline, gate, mut stopped) = (pipeline.clone(), gate.clone(), stopped.clone());
        ntex::rt::spawn(async move {
            let cut = io.get_ref();
            let served = pipeline.call(io);
            tokio::select! {
                _ = served => {}
                _ = stopped.changed() => cut.terminate(),
            }
            gate(Phase::Closed);
        });
    }
}

fn write_garbage(stream: &std::net::TcpStream) {
    use std::io::Write;
    // The peer may be gone already; garbage has no one to miss it.
    let _ = (&*stream).write_all(b"\x00\xffnot http\r\n\r\n");
}
