//! Workers: leases, tasks and what they really use.

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
    record::Book,
    standin::runner,
};

pub use self::state::{Behaviour, Ground};
use self::state::{Effect, State};

/// How often a worker looks at its tasks' times.
const TICK: Duration = Duration::from_millis(20);

/// What a worker is.
#[derive(Clone, Debug)]
pub struct Spec {
    /// Its name.
    pub name: Name,
    /// Where it stands.
    pub site: Site,
    /// Its rack.
    pub rack: Name,
    /// Address of its control endpoint and, with other ports, of its runners.
    pub ip: IpAddr,
    /// What it has.
    pub capacity: Resources,
}

struct Inner {
    spec: Spec,
    pool: ThreadPool,
    state: Mutex<State>,
}

/// One worker.
#[derive(Clone)]
pub struct Worker(Arc<Inner>);

impl Worker {
    /// Creates a worker.
    pub fn new(spec: Spec, pool: &ThreadPool, ground: Ground, book: Book) -> Self {
        let state = State::new(&spec, ground, book);
        Self(Arc::new(Inner {
            spec,
            pool: pool.clone(),
            state: Mutex::new(state),
        }))
    }

    /// Serves it over HTTP and keeps its tasks' times.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system where the address can't be bound.
    pub fn serve(&self) -> io::Result<ServerHandle> {
        let worker = self.clone();
        let answer = http::handler(move |req| answer(worker.clone(), req));
        let address = SocketAddr::new(self.0.spec.ip, 0);
        let serving = self.0.pool.serve(address, http::open_gate(), answer)?;
        let ticking = self.clone();
        self.0.pool.run(move || {
            ntex::rt::spawn(async move {
                loop {
                    tokio::time::sleep(TICK).await;
                    ticking.tick();
                }
            });
        });
        Ok(serving)
    }

    /// Returns what it is.
    pub fn spec(&self) -> &Spec {
        &self.0.spec
    }

    /// Changes how it behaves.
    pub fn set_behaviour(&self, change: impl FnOnce(&mut Behaviour)) {
        change(&mut self.state().behaviour);
    }

    /// Changes how its runners behave, those that run and those to come.
    pub fn set_runner_behaviour(&self, behaviour: runner::Behaviour) {
        self.state().set_runner_behaviour(behaviour);
    }

    /// Lets its runners tell through their health that they are leaving.
    pub fn drain_runners(&self) {
        self.state().drain_runners();
    }

    /// Records that its runners are leaving, because someone said so elsewhere.
    pub fn note_runners_leaving(&self) {
        self.state().note_runners_leaving();
    }

    /// Returns the name of the process that its control lease was last granted to.
    pub fn owner(&self) -> String {
        self.state().owner().to_owned()
    }

    /// Loses every task and starts a new life.
    pub fn restart(&self) {
        self.state().restart(now());
    }

    /// Returns the sizes committed and not yet ended.
    pub fn committed(&self) -> Resources {
        self.state().committed()
    }

    /// Returns how many tasks of services run.
    pub fn runners_up(&self) -> usize {
        self.state().runners_up()
    }

    fn tick(&self) {
        let effects = self.state().tick(now());
        self.apply(effects);
    }

    fn apply(&self, effects: Vec<Effect>) {
        for Effect::Listen { task, runner } in effects {
            // Binding happens outside the lock, because it hands work to another thread.
            let address = SocketAddr::new(self.0.spec.ip, 0);
            match runner.serve(&self.0.pool, address) {
                Ok(serving) => self.state().listening(&task, serving),
                Err(err) => log::error!("stand-in: {}: cannot listen: {err}", self.0.spec.name),
            }
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().expect("no user of a worker panics")
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
