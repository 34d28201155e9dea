//! Stand-in for a runner: an HTTP upstream that records each execution.

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
    http::{self, ConnectionAction, ConnectionEvent, ConnectionFilter, ServerHandle, ThreadPool},
    record::{Execution, Recorder},
    token,
};

/// Duration of a hang, after which the request is answered.
const HANG_DURATION: Duration = Duration::from_secs(60);

/// Time after which the connection of a truncated answer is closed; its first half is sent by then.
const CLOSE_DELAY: Duration = Duration::from_millis(20);

/// Delay of a late answer.
const LATE_DELAY: Duration = Duration::from_secs(3);

/// A fault that runners exhibit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Misbehaviour {
    /// Behaves correctly.
    #[default]
    None,
    /// Truncates the answer's body.
    Truncate,
    /// Does not answer.
    Hang,
    /// Answers with bytes that are not valid HTTP.
    Garbage,
    /// Accepts connections and closes them immediately.
    AcceptAndClose,
    /// Answers seconds late.
    Late,
}

/// Behaviour of a runner, which may change at any time.
#[derive(Clone, Copy, Debug)]
pub struct Behaviour {
    /// Mean service time of a request while the runner has free slots.
    pub service_time: Duration,
    /// Kind of misbehaviour.
    pub misbehaviour: Misbehaviour,
    /// Interval, in requests, at which the misbehaviour occurs.
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
    recorder: Recorder,
    behaviour: Mutex<Behaviour>,
    in_use: AtomicU32,
    open: AtomicU32,
    served: AtomicU64,
    draining: AtomicBool,
}

/// A runner.
#[derive(Clone)]
pub struct Runner(Arc<Inner>);

impl Runner {
    /// Creates a runner.
    pub fn new(
        task: TaskId,
        slots: u32,
        connections: u32,
        behaviour: Behaviour,
        recorder: Recorder,
    ) -> Self {
        Self(Arc::new(Inner {
            task,
            slots,
            connections,
            recorder,
            behaviour: Mutex::new(behaviour),
            in_use: AtomicU32::new(0),
            open: AtomicU32::new(0),
            served: AtomicU64::new(0),
            draining: AtomicBool::new(false),
        }))
    }

    /// Serves the runner over HTTP.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if the address can't be bound.
    pub fn serve(&self, pool: &ThreadPool, address: SocketAddr) -> io::Result<ServerHandle> {
        let (runner, filter_runner) = (self.clone(), self.clone());
        let filter: ConnectionFilter =
            Arc::new(move |event| filter_runner.handle_connection_event(event));
        let answer = http::handler(move |req| answer(runner.clone(), req));
        pool.serve(address, filter, answer)
    }

    /// Sets the runner's behaviour.
    ///
    /// # Panics
    ///
    /// Panics if a thread panicked while it held the lock on the behaviour.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        *self
            .0
            .behaviour
            .lock()
            .expect("no thread panics while it holds the behaviour") = behaviour;
    }

    /// Makes the runner report in its health responses that it is draining.
    pub fn drain(&self) {
        self.0.draining.store(true, Ordering::Release);
    }

    /// Returns the number of requests in flight.
    pub fn in_use(&self) -> u32 {
        self.0.in_use.load(Ordering::Acquire)
    }

    fn behaviour(&self) -> Behaviour {
        *self
            .0
            .behaviour
            .lock()
            .expect("no thread panics while it holds the behaviour")
    }

    fn handle_connection_event(&self, event: ConnectionEvent) -> ConnectionAction {
        if event == ConnectionEvent::Closed {
            self.0.open.fetch_sub(1, Ordering::AcqRel);
            return ConnectionAction::Serve;
        }
        self.0.open.fetch_add(1, Ordering::AcqRel);
        match self.behaviour().misbehaviour {
            Misbehaviour::AcceptAndClose => ConnectionAction::Close,
            Misbehaviour::Garbage => ConnectionAction::Garbage,
            _ => ConnectionAction::Serve,
        }
    }

    fn health(&self) -> Health {
        Health {
            draining: self.0.draining.load(Ordering::Acquire),
            in_use: self.in_use(),
            connections: self.0.open.load(Ordering::Acquire),
        }
    }

    /// Returns the service time of a request, which grows in proportion to the load above the slots.
    fn service_time(&self, behaviour: Behaviour, token: u64) -> Duration {
        let spread = 0.5 + token::fraction(token);
        let overload = f64::from(self.in_use().max(self.0.slots)) / f64::from(self.0.slots.max(1));
        behaviour.service_time.mul_f64(spread * overload)
    }
}

/// Counts a request as in flight until the guard is dropped, however its handler ends.
struct InUseGuard(Runner);

impl InUseGuard {
    fn new(runner: &Runner) -> (Self, u32) {
        let before = runner.0.in_use.fetch_add(1, Ordering::AcqRel);
        (Self(runner.clone()), before + 1)
    }
}

impl Drop for InUseGuard {
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
    let (_guard, in_use) = InUseGuard::new(&runner);
    let index = record_start(&runner, &req, token, in_use);
    let behaviour = runner.behaviour();
    let served = runner.0.served.fetch_add(1, Ordering::Relaxed);
    let misbehaves = served.is_multiple_of(behaviour.fail_every.max(1));
    let misbehaviour = if misbehaves {
        behaviour.misbehaviour
    } else {
        Misbehaviour::None
    };
    discard_body(&mut req).await;
    tokio::time::sleep(runner.service_time(behaviour, token)).await;
    match misbehaviour {
        Misbehaviour::Hang => tokio::time::sleep(HANG_DURATION).await,
        Misbehaviour::Late => tokio::time::sleep(LATE_DELAY).await,
        Misbehaviour::Truncate => return respond_truncated(&req, token),
        _ => {}
    }
    record_end(&runner, index);
    Response::build(StatusCode::OK)
        .content_type("application/octet-stream")
        .body(token::expected_body(token))
}

async fn discard_body(req: &mut Request) {
    let mut payload = req.take_payload();
    while let Some(Ok(_)) = stream_recv(&mut payload).await {}
}

fn record_start(runner: &Runner, req: &Request, token: u64, in_use: u32) -> usize {
    let key = req
        .headers()
        .get("idempotency-key")
        .and_then(|value| str::from_utf8(value.as_bytes()).ok())
        .map(Name::new);
    let mut records = runner.0.recorder.records();
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
    runner.0.recorder.records().executions[index].ended = Some(now());
}

/// Answers with half of the body and closes the connection.
///
/// The body's stream must neither fail nor end before that: the server would then write a second
/// response, whose bytes would complete the first one's body.
fn respond_truncated(req: &Request, token: u64) -> Response {
    let body = token::expected_body(token);
    let half = Bytes::from(body.as_bytes()[..body.len() / 2].to_vec());
    let (tx, rx) = mpsc::channel::<std::result::Result<Bytes, Rc<dyn std::error::Error>>>();
    // Sending can't fail, as the receiver lives until the response is dropped.
    let _ = tx.send(Ok(half));
    let io = req.io().cloned();
    ntex::rt::spawn(async move {
        tokio::time::sleep(CLOSE_DELAY).await;
        if let Some(io) = io {
            io.terminate();
        }
        drop(tx);
    });
    Response::build(StatusCode::OK).body(SizedStream::new(body.len() as u64, rx))
}
