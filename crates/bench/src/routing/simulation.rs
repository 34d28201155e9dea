//! Simulation of one routing engine and its runners on a simulated clock.

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
};

use kspan_model::{
    Fence, JobId, Member, Millis, Name, NodeId, Priority, RequestId, Role, Site, TaskId,
    UnixMillis, View,
    document::{Document, Service, Spread, TaskShape},
};
use kspan_routing::engine::{
    Arrival, Authority, Config, Engine, RunnerHealth,
    effect::{Dispatch, DispatchOutcome, Effect},
};
use kspan_wire::message::tasks::{Runner, RunnerTable};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustc_hash::FxHashMap;

/// Slots per runner.
pub(super) const SLOTS: u32 = 8;

/// Time between two ticks of the engine, in milliseconds.
const TICK_MS: u64 = 10;

/// Time before load begins, in milliseconds, in which the engine takes over as home of its runners.
const STARTUP_MS: u64 = 4_000;

const SERVICE: &str = "service";

/// Parameters of a simulation.
#[derive(Clone, Copy, Debug)]
pub(super) struct Setup {
    pub(super) runners: u32,
    /// Mean service time; the times are distributed uniformly between 0.5 and 1.5 times the mean.
    pub(super) service_ms: u64,
    pub(super) retry_budget: f64,
    /// Fraction of the dispatches that fail at the end of their service time.
    pub(super) failure_fraction: f64,
    pub(super) seed: u64,
}

/// Record of one request.
#[derive(Clone, Debug)]
pub(super) struct RequestRecord {
    pub(super) caller: Name,
    pub(super) arrived: Millis,
    pub(super) deadline: Millis,
    pub(super) answered: Option<Millis>,
    pub(super) refused: Option<Millis>,
    pub(super) dispatches: u32,
}

/// A routing engine with simulated runners.
pub(super) struct Simulation {
    pub(super) now: Millis,
    pub(super) requests: FxHashMap<RequestId, RequestRecord>,
    /// Maximum number of times that a failed request is submitted again without use of the retry
    /// budget. The budget governs retries if this is 0.
    pub(super) max_blind_retries: u32,
    setup: Setup,
    engine: Engine,
    rng: ChaCha8Rng,
    pending_ends: BTreeMap<(Millis, u64), (Dispatch, DispatchOutcome)>,
    last_sequence: u64,
    last_request_id: u128,
}

impl Simulation {
    /// Creates a simulation and advances it until the engine acts as home of every runner.
    pub(super) fn new(setup: Setup) -> Self {
        let mut simulation = Self {
            now: Millis(1),
            requests: FxHashMap::default(),
            max_blind_retries: 0,
            setup,
            engine: new_engine(setup),
            rng: ChaCha8Rng::seed_from_u64(setup.seed),
            pending_ends: BTreeMap::new(),
            last_sequence: 0,
            last_request_id: 0,
        };
        simulation.advance(STARTUP_MS, |_| {});
        simulation
    }

    /// Returns the number of requests that the runners can answer per second.
    pub(super) fn capacity(&self) -> f64 {
        f64::from(self.setup.runners * SLOTS) * 1_000.0 / self.setup.service_ms as f64
    }

    /// Submits a request whose deadline is `timeout` from now.
    pub(super) fn submit(&mut self, caller: &Name, timeout: Millis) {
        self.last_request_id += 1;
        let request = RequestId(self.last_request_id);
        let record = RequestRecord {
            caller: caller.clone(),
            arrived: self.now,
            deadline: self.now.saturating_add(timeout),
            answered: None,
            refused: None,
            dispatches: 0,
        };
        let arrival = new_arrival(request, &record);
        self.requests.insert(request, record);
        self.engine.submit(arrival, self.now);
        self.apply_effects();
    }

    /// Advances the clock by `duration_ms` and calls `load` each millisecond.
    pub(super) fn advance(&mut self, duration_ms: u64, mut load: impl FnMut(&mut Self)) {
        for _ in 0..duration_ms {
            self.now = self.now.saturating_add(Millis(1));
            self.end_due_dispatches();
            load(self);
            if self.now.0.is_multiple_of(TICK_MS) {
                self.engine.tick(self.now);
                self.apply_effects();
            }
        }
    }

    /// Draws the number of requests that arrive in one millisecond, at a mean rate of `rate` per
    /// second, from a Poisson distribution.
    pub(super) fn draw_arrivals(&mut self, rate: f64) -> u32 {
        let mean = rate / 1_000.0;
        // Knuth's method requires small means, so the mean is split into parts of at most 1.
        let parts = mean.ceil().max(1.0);
        let limit = (-mean / parts).exp();
        let mut count = 0;
        let mut part = 0.0;
        while part < parts {
            let mut product: f64 = self.rng.random();
            while product > limit {
                count += 1;
                product *= self.rng.random::<f64>();
            }
            part += 1.0;
        }
        count
    }

    fn end_due_dispatches(&mut self) {
        while let Some(entry) = self.pending_ends.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let (dispatch, outcome) = entry.remove();
            self.end_dispatch(&dispatch, outcome);
        }
    }

    fn end_dispatch(&mut self, dispatch: &Dispatch, outcome: DispatchOutcome) {
        self.engine.finish_dispatch(dispatch.id, outcome, self.now);
        let record = self
            .requests
            .get_mut(&dispatch.request)
            .expect("every dispatched request has a record");
        if matches!(outcome, DispatchOutcome::Answered { .. }) {
            record.answered = Some(self.now);
        } else {
            let arrival = new_arrival(dispatch.request, record);
            if record.dispatches <= self.max_blind_retries {
                self.engine.submit(arrival, self.now);
            } else if self.max_blind_retries == 0 && !self.engine.retry(arrival, self.now) {
                record.refused = Some(self.now);
            }
        }
        self.apply_effects();
    }

    fn apply_effects(&mut self) {
        loop {
            let effects = self.engine.take_effects();
            if effects.is_empty() {
                return;
            }
            for effect in effects {
                self.apply_effect(effect);
            }
        }
    }

    fn apply_effect(&mut self, effect: Effect) {
        match effect {
            Effect::Dispatch(dispatch) => self.start_dispatch(dispatch),
            Effect::Refuse { request, .. } => {
                let record = self
                    .requests
                    .get_mut(&request)
                    .expect("every refused request has a record");
                record.refused = Some(self.now);
            }
            Effect::CheckHealth(check) => {
                let health = RunnerHealth {
                    draining: false,
                    in_use: 0,
                };
                self.engine
                    .finish_health_check(&check, Some(health), self.now);
            }
            Effect::Send { .. } | Effect::ClaimDecided { .. } => {}
        }
    }

    fn start_dispatch(&mut self, dispatch: Dispatch) {
        let record = self
            .requests
            .get_mut(&dispatch.request)
            .expect("every dispatched request has a record");
        record.dispatches += 1;
        let mean = self.setup.service_ms;
        let service_ms = self.rng.random_range(mean / 2..=mean + mean / 2).max(1);
        let outcome = if self.rng.random_bool(self.setup.failure_fraction) {
            DispatchOutcome::Unsent
        } else {
            DispatchOutcome::Answered {
                micros: service_ms * 1_000,
            }
        };
        self.last_sequence += 1;
        let at = self.now.saturating_add(Millis(service_ms));
        self.pending_ends
            .insert((at, self.last_sequence), (dispatch, outcome));
    }
}

fn new_arrival(request: RequestId, record: &RequestRecord) -> Arrival {
    Arrival {
        request,
        service: SERVICE.into(),
        caller: record.caller.clone(),
        priority: Priority::Normal,
        deadline: record.deadline,
    }
}

fn new_engine(setup: Setup) -> Engine {
    let node = NodeId::new("router", 1);
    let (runner_home, key_home) = (node.clone(), node.clone());
    let site = Site::new("region", "region-1");
    let mut engine = Engine::new(Config {
        me: node.clone(),
        site: site.clone(),
        runner_home: Box::new(move |_, _, _| Some(runner_home.clone())),
        key_home: Box::new(move |_, _| Some(key_home.clone())),
        seed: setup.seed,
    });
    engine.set_document(&document(setup));
    engine.set_view(view(node, &site), Millis::ZERO, UnixMillis(1));
    let authority = Authority {
        may_act: true,
        activated: 1,
    };
    engine.set_authority(authority, Millis::ZERO, UnixMillis(1));
    engine.set_table(&table(setup, site), Millis::ZERO);
    engine
}

fn document(setup: Setup) -> Document {
    let service = Service {
        name: SERVICE.into(),
        team: "team".into(),
        runners: setup.runners,
        task: TaskShape::default(),
        regions: Vec::new(),
        spread: Spread::None,
        slots: SLOTS,
        connections: 64,
        retry_budget: setup.retry_budget,
        classes: Vec::new(),
    };
    Document {
        services: vec![service],
        ..Document::default()
    }
}

fn view(node: NodeId, site: &Site) -> Arc<View> {
    let member = Member {
        node,
        role: Role::Router,
        site: site.clone(),
        wire: address(),
        http: address(),
        admin: address(),
    };
    Arc::new(View {
        number: 1,
        members: vec![member],
    })
}

fn table(setup: Setup, site: Site) -> RunnerTable {
    let runner = |index| Runner {
        task: TaskId::new(JobId(1), index, 0),
        service: SERVICE.into(),
        worker: Name::from(format!("worker-{index}")),
        endpoint: address(),
        slots: SLOTS,
        connections: 64,
        leaving: false,
    };
    RunnerTable {
        shard: site.data_centre.clone(),
        fence: Fence::new(1, 0),
        version: 1,
        site,
        runners: (0..setup.runners).map(runner).collect(),
    }
}

const fn address() -> SocketAddr {
    SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 1)
}
