//! Stand-in for a worker: its control lease, its tasks and their actual resource usage.

mod entry;
mod state;

use std::{
    io,
    net::{IpAddr, SocketAddr},
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use kspan_contract::protocol::worker::Exchange;
use kspan_model::{Name, Resources, Site};
use ntex::http::{Request, Response, StatusCode};

use crate::{
    clock::now,
    http::{self, ServerHandle, ThreadPool},
    record::Recorder,
    standin::runner,
};

use self::state::{Effect, State};
pub use self::{entry::RunTimeModel, state::Behaviour};

/// Interval at which a worker advances its tasks' states.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Properties of a worker.
#[derive(Clone, Debug)]
pub struct WorkerSpec {
    /// Name of the worker.
    pub name: Name,
    /// Region and data centre of the worker.
    pub site: Site,
    /// Rack of the worker.
    pub rack: Name,
    /// Address of its control endpoint and, with other ports, of its runners.
    pub ip: IpAddr,
    /// Total resources of the worker.
    pub capacity: Resources,
}

struct Inner {
    spec: WorkerSpec,
    pool: ThreadPool,
    state: Mutex<State>,
}

/// A worker.
#[derive(Clone)]
pub struct Worker(Arc<Inner>);

impl Worker {
    /// Creates a worker.
    pub fn new(
        spec: WorkerSpec,
        pool: &ThreadPool,
        run_time_model: RunTimeModel,
        recorder: Recorder,
    ) -> Self {
        let state = State::new(&spec, run_time_model, recorder);
        Self(Arc::new(Inner {
            spec,
            pool: pool.clone(),
            state: Mutex::new(state),
        }))
    }

    /// Serves the worker over HTTP and starts the timer that advances its tasks.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if the address can't be bound.
    pub fn serve(&self) -> io::Result<ServerHandle> {
        let worker = self.clone();
        let answer = http::handler(move |req| answer(worker.clone(), req));
        let address = SocketAddr::new(self.0.spec.ip, 0);
        let server = self
            .0
            .pool
            .serve(address, http::accept_all_connections(), answer)?;
        let worker = self.clone();
        self.0.pool.spawn(move || {
            ntex::rt::spawn(async move {
                loop {
                    tokio::time::sleep(TICK_INTERVAL).await;
                    worker.tick();
                }
            });
        });
        Ok(server)
    }

    /// Returns the worker's properties.
    pub fn spec(&self) -> &WorkerSpec {
        &self.0.spec
    }

    /// Changes the worker's behaviour.
    pub fn set_behaviour(&self, change: impl FnOnce(&mut Behaviour)) {
        change(&mut self.state().behaviour);
    }

    /// Sets the behaviour of the worker's current and future runners.
    pub fn set_runner_behaviour(&self, behaviour: runner::Behaviour) {
        self.state().set_runner_behaviour(behaviour);
    }

    /// Makes the runners report in their health responses that they are draining.
    pub fn drain_runners(&self) {
        self.state().drain_runners();
    }

    /// Records that the runners are leaving, as announced by an operator or the host list.
    pub fn record_runners_leaving(&self) {
        self.state().record_runners_leaving();
    }

    /// Returns the name of the process to which the control lease was last granted.
    pub fn owner(&self) -> String {
        self.state().owner().to_owned()
    }

    /// Fails every task and starts a new incarnation.
    pub fn restart(&self) {
        self.state().restart(now());
    }

    /// Returns the resources committed to tasks that have not ended.
    pub fn committed(&self) -> Resources {
        self.state().committed()
    }

    /// Returns the number of running runners.
    pub fn ready_runners(&self) -> usize {
        self.state().ready_runners()
    }

    fn tick(&self) {
        let effects = self.state().tick(now());
        self.apply(effects);
    }

    fn apply(&self, effects: Vec<Effect>) {
        for Effect::Listen { task, runner } in effects {
            // The listener is bound without holding the lock, as this hands work to another thread.
            let address = SocketAddr::new(self.0.spec.ip, 0);
            match runner.serve(&self.0.pool, address) {
                Ok(server) => self.state().attach_server(&task, server),
                Err(err) => log::error!("stand-in: {}: can't listen: {err}", self.0.spec.name),
            }
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0
            .state
            .lock()
            .expect("no thread panics while it holds the worker")
    }
}

async fn answer(worker: Worker, mut req: Request) -> Response {
    if req.path() != "/v1/exchange" {
        return Response::new(StatusCode::NOT_FOUND);
    }
    let Ok(body) = http::read_body(&mut req).await else {
        return Response::new(StatusCode::BAD_REQUEST);
    };
    let exchange: Exchange = match serde_json::from_slice(&body) {
        Ok(exchange) => exchange,
        Err(err) => return Response::build(StatusCode::BAD_REQUEST).body(err.to_string()),
    };
    if worker.state().behaviour.silent {
        tokio::time::sleep(Duration::from_secs(30)).await;
        return Response::new(StatusCode::GATEWAY_TIMEOUT);
    }
    let (report, effects) = worker.state().exchange(&exchange, now());
    worker.apply(effects);
    let status = if report.granted {
        StatusCode::OK
    } else {
        StatusCode::CONFLICT
    };
    Response::build(status).json(&report)
}
