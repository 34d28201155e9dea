//! Runners: HTTP upstreams that record each execution.

use std::{
    io,
    net::SocketAddr,
    rc::Rc,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    time::Duration,
};

use kspan_contract::protocol::runner::Health;
use kspan_model::{Name, TaskId};
use ntex::{
    channel::mpsc,
    http::{Request, Response, StatusCode, body::SizedStream},
    util::{Bytes, stream_recv},
};

use crate::{
    clock::now,
    http::{self, Admission, Gate, Phase, ServerHandle, ThreadPool},
    record::{Book, Execution},
    token,
};

/// Time after which a runner that hangs gives up.
const HANG: Duration = Duration::from_secs(60);

/// Time after which the first half of a truncated answer has left.
const CUT_AFTER: Duration = Duration::from_millis(20);

/// How late a late answer is.
const LATE: Duration = Duration::from_secs(3);

/// A way in which runners fail.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Misbehaviour {
    /// Does as it should.
    #[default]
    None,
    /// Cuts the answer's body short.
    Truncate,
    /// Never answers.
    Hang,
    /// Answers bytes that are no HTTP.
    Garbage,
    /// Accepts connections and closes them.
    AcceptAndClose,
    /// Answers seconds late.
    Late,
}

/// How a runner behaves. May change at any time.
#[derive(Clone, Copy, Debug)]
pub struct Behaviour {
    /// Mean time that one request takes while slots are free.
    pub service_time: Duration,
    /// How it fails.
    pub misbehaviour: Misbehaviour,
    /// Every how many requests it fails.
    pub fail_every: u64,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            service_time: Duration::from_millis(12),
            misbehaviour: Misbehaviour::None,
            fail_every: 1,
        }
    }
}

struct Inner {
    task: TaskId,
    slots: u32,
    connections: u32,
    book: Book,
    behaviour: Mutex<Behaviour>,
    in_use: AtomicU32,
    open: AtomicU32,
    served: AtomicU64,
    draining: AtomicBool,
}

/// One runner.
#[derive(Clone)]
pub struct Runner(Arc<Inner>);

impl Runner {
    /// Creates a runner.
    pub fn new(
        task: TaskId,
        slots: u32,
        connections: u32,
        behaviour: Behaviour,
        book: Book,
    ) -> Self {
        Self(Arc::new(Inner {
            task,
            slots,
            connections,
            book,
            behaviour: Mutex::new(behaviour),
            in_use: AtomicU32::new(0),
            open: AtomicU32::new(0),
            served: AtomicU64::new(0),
            draining: AtomicBool::new(false),
        }))
    }

    /// Serves it over HTTP.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system where the address can't be bound.
    pub fn serve(&self, pool: &ThreadPool, address: SocketAddr) -> io::Result<ServerHandle> {
        let (runner, gated) = (self.clone(), self.clone());
        let gate: Gate = Arc::new(move |phase| gated.admit(phase));
        let answer = http::handler(move |req| answer(runner.clone(), req));
        pool.serve(address, gate, answer)
    }

    /// Changes how it behaves.
    ///
    /// # Panics
    ///
    /// Panics where another user of the runner panicked.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        *self.0.behaviour.lock().expect("no user of a runner panics") = behaviour;
    }

    /// Tells through its health that it is leaving.
    pub fn drain(&self) {
        self.0.draining.store(true, Ordering::Release);
    }

    /// Returns how many requests it works on.
    pub fn in_use(&self) -> u32 {
        self.0.in_use.load(Ordering::Acquire)
    }

    fn behaviour(&self) -> Behaviour {
        *self.0.behaviour.lock().expect("no user of a runner panics")
    }

    fn admit(&self, phase: Phase) -> Admission {
        if phase == Phase::Closed {
            self.0.open.fetch_sub(1, Ordering::AcqRel);
            return Admission::Serve;
        }
        self.0.open.fetch_add(1, Ordering::AcqRel);
        match self.behaviour().misbehaviour {
            Misbehaviour::AcceptAndClose => Admission::Close,
            Misbehaviour::Garbage => Admission::Garbage,
            _ => Admission::Serve,
        }
    }

    fn health(&self) -> Health {
        Health {
            draining: self.0.draining.load(Ordering::Acquire),
            in_use: self.in_use(),
            connections: self.0.open.load(Ordering::Acquire),
        }
    }

    /// A runner without guards slows down in proportion to the requests past its slots.
    fn service_time(&self, behaviour: Behaviour, token: u64) -> Duration {
        let spread = 0.5 + token::fraction(token);
        let crowding = f64::from(self.in_use().max(self.0.slots)) / f64::from(self.0.slots.max(1));
        behaviour.service_time.mul_f64(spread * crowding)
    }
}

/// Counts one request while it is worked on, however its handler ends.
struct InUse(Runner);

impl InUse {
    fn new(runner: &Runner) -> (Self, u32) {
        let before = runner.0.in_use.fetch_add(1, Ordering::AcqRel);
        (Self(runner.clone()), before + 1)
    }
}

impl Drop for InUse {
    fn drop(&mut self) {
        self.0.0.in_use.fetch_sub(1, Ordering::AcqRel);
    }
}

async fn answer(runner: Runner, mut req: Request) -> Response {
    if req.path() == "/healthz" {
        return Response::build(StatusCode::OK).json(&runner.health());
    }
    let Some(token) = token::find(req.path()) else {
        return Response::new(StatusCode::BAD_REQUEST);
    };
    let (_guard, in_use) = InUse::new(&runner);
    let index = record_start(&runner, &req, token, in_use);
    let behaviour = runner.behaviour();
    let served = runner.0.served.fetch_add(1, Ordering::Relaxed);
    let fails = served.is_multiple_of(behaviour.fail_every.max(1));
    let misbehaviour = if fails {
        behaviour.misbehaviour
    } else {
        Misbehaviour::None
    };
    drain_body(&mut req).await;
    tokio::time::sleep(runner.service_time(behaviour, token)).await;
    match misbehaviour {
        Misbehaviour::Hang => tokio::time::sleep(HANG).await,
        Misbehaviour::Late => tokio::time::sleep(LATE).await,
        Misbehaviour::Truncate => return truncated(&req, token),
        _ => {}
    }
    record_end(&runner, index);
    Response::build(StatusCode::OK)
        .content_type("application/octet-stream")
        .body(token::expected_body(token))
}

async fn drain_body(req: &mut Request) {
    let mut payload = req.take_payload();
    while let Some(Ok(_)) = stream_recv(&mut payload).await {}
}

fn record_start(runner: &Runner, req: &Request, token: u64, in_use: u32) -> usize {
    let key = req
        .headers()
        .get("idempotency-key")
        .and_then(|value| str::from_utf8(value.as_bytes()).ok())
        .map(Name::new);
    let mut records = runner.0.book.records();
    records.executions.push(Execution {
        task: runner.0.task,
        token,
        key,
        started: now(),
        ended: None,
        in_use,
        connections: runner.0.open.load(Ordering::Acquire),
        slots: runner.0.slots,
        max_connections: runner.0.connections,
    });
    records.executions.len() - 1
}

fn record_end(runner: &Runner, index: usize) {
    runner.0.book.records().executions[index].ended = Some(now());
}

/// Answers with half of the body and cuts the connection.
///
/// The body's stream must neither fail nor end: the server would then write a second answer,
/// whose bytes fill up the first one's body.
fn truncated(req: &Request, token: u64) -> Response {
    let body = token::expected_body(token);
    let half = Bytes::from(body.as_bytes()[..body.len() / 2].to_vec());
    let (tx, rx) = mpsc::channel::<std::result::Result<Bytes, Rc<dyn std::error::Error>>>();
    // The receiver is alive until the response is dropped.
    let _ = tx.send(Ok(half));
    let io = req.io().cloned();
    ntex::rt::spawn(async move {
        tokio::time::sleep(CUT_AFTER).await;
        if let Some(io) = io {
            io.terminate();
        }
        drop(tx);
    });
    Response::build(StatusCode::OK).body(SizedStream::new(body.len() as u64, rx))
}
