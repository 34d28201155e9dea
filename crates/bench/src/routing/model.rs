//! One engine in front of modelled runners, on a simulated clock.

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

/// Slots of a runner.
pub(super) const SLOTS: u32 = 8;

/// Time between two ticks of the engine.
const TICK_MS: u64 = 10;

/// Time that the engine is given to settle as home before load begins.
const SETTLE_MS: u64 = 4_000;

const SERVICE: &str = "service";

/// What is modelled.
#[derive(Clone, Copy, Debug)]
pub(super) struct Setup {
    pub(super) runners: u32,
    /// Mean service time; times are spread evenly from half to one and a half of it.
    pub(super) service_ms: u64,
    pub(super) retry_budget: f64,
    /// Fraction of dispatches that fail at the end of their service time.
    pub(super) failing: f64,
    pub(super) seed: u64,
}

/// What became of one request.
#[derive(Clone, Debug)]
pub(super) struct Fate {
    pub(super) caller: Name,
    pub(super) arrived: Millis,
    pub(super) deadline: Millis,
    pub(super) answered: Option<Millis>,
    pub(super) refused: Option<Millis>,
    pub(super) dispatches: u32,
}

/// An engine with its runners.
pub(super) struct Model {
    pub(super) now: Millis,
    pub(super) fates: FxHashMap<RequestId, Fate>,
    /// Whether failed requests are sent again without asking the budget.
    pub(super) blind_retries: u32,
    setup: Setup,
    engine: Engine,
    rng: ChaCha8Rng,
    ends: BTreeMap<(Millis, u64), (Dispatch, DispatchOutcome)>,
    order: u64,
    ids: u128,
}

impl Model {
    /// Creates a model whose engine is home to every runner and has settled.
    pub(super) fn new(setup: Setup) -> Self {
        let mut model = Self {
            now: Millis(1),
            fates: FxHashMap::default(),
            blind_retries: 0,
            setup,
            engine: new_engine(setup),
            rng: ChaCha8Rng::seed_from_u64(setup.seed),
            ends: BTreeMap::new(),
            order: 0,
            ids: 0,
        };
        model.run(SETTLE_MS, |_| {});
        model
    }

    /// Returns the requests that the runners can work on in a second.
    pub(super) fn capacity(&self) -> f64 {
        f64::from(self.setup.runners * SLOTS) * 1_000.0 / self.setup.service_ms as f64
    }

    /// Sends a request.
    pub(super) fn submit(&mut self, caller: &Name, patience: Millis) {
        self.ids += 1;
        let request = RequestId(self.ids);
        let fate = Fate {
            caller: caller.clone(),
            arrived: self.now,
            deadline: self.now.saturating_add(patience),
            answered: None,
            refused: None,
            dispatches: 0,
        };
        let arrival = arrival(request, &fate);
        self.fates.insert(request, fate);
        self.engine.submit(arrival, self.now);
        self.carry_out();
    }

    /// Lets `span` pass, calling `load` each millisecond.
    pub(super) fn run(&mut self, span: u64, mut load: impl FnMut(&mut Self)) {
        for _ in 0..span {
            self.now = self.now.saturating_add(Millis(1));
            self.end_due();
            load(self);
            if self.now.0.is_multiple_of(TICK_MS) {
                self.engine.tick(self.now);
                self.carry_out();
            }
        }
    }

    /// Returns how many requests arrive in one millisecond at `rate` a second.
    pub(super) fn arrivals(&mut self, rate: f64) -> u32 {
        let mean = rate / 1_000.0;
        // Knuth's method needs small means, so the mean is cut into pieces below one.
        let pieces = mean.ceil().max(1.0);
        let limit = (-mean / pieces).exp();
        let mut count = 0;
        let mut piece = 0.0;
        while piece < pieces {
            let mut product: f64 = self.rng.random();
            while product > limit {
                count += 1;
                product *= self.rng.random::<f64>();
            }
            piece += 1.0;
        }
        count
    }

    fn end_due(&mut self) {
        while let Some(entry) = self.ends.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let (start, finish) = entry.remove();
            self.end(&start, finish);
        }
    }

    fn end(&mut self, start: &Dispatch, finish: DispatchOutcome) {
        self.engine.finish_dispatch(start.id, finish, self.now);
        let fate = self
            .fates
            .get_mut(&start.request)
            .expect("every start has a fate");
        if matches!(finish, DispatchOutcome::Answered { .. }) {
            fate.answered = Some(self.now);
        } else {
            let arrival = arrival(start.request, fate);
            if fate.dispatches <= self.blind_retries {
                self.engine.submit(arrival, self.now);
            } else if self.blind_retries == 0 && !self.engine.retry(arrival, self.now) {
                fate.refused = Some(self.now);
            }
        }
        self.carry_out();
    }

    fn carry_out(&mut self) {
        loop {
            let effects = self.engine.take_effects();
            if effects.is_empty() {
                return;
            }
            for effect in effects {
                self.carry_out_one(effect);
            }
        }
    }

    fn carry_out_one(&mut self, effect: Effect) {
        match effect {
            Effect::Dispatch(start) => self.start(start),
            Effect::Refuse { request, .. } => {
                let fate = self
                    .fates
                    .get_mut(&request)
                    .expect("every refusal has a fate");
                fate.refused = Some(self.now);
            }
            Effect::CheckHealth(read) => {
                let health = RunnerHealth {
                    draining: false,
                    in_use: 0,
                };
                self.engine
                    .finish_health_check(&read, Some(health), self.now);
            }
            Effect::Send { .. } | Effect::ClaimDecided { .. } => {}
        }
    }

    fn start(&mut self, start: Dispatch) {
        let fate = self
            .fates
            .get_mut(&start.request)
            .expect("every start has a fate");
        fate.dispatches += 1;
        let mean = self.setup.service_ms;
        let works = self.rng.random_range(mean / 2..=mean + mean / 2).max(1);
        let finish = if self.rng.random_bool(self.setup.failing) {
            DispatchOutcome::Unsent
        } else {
            DispatchOutcome::Answered {
                micros: works * 1_000,
            }
        };
        self.order += 1;
        let at = self.now.saturating_add(Millis(works));
        self.ends.insert((at, self.order), (start, finish));
    }
}

fn arrival(request: RequestId, fate: &Fate) -> Arrival {
    Arrival {
        request,
        service: SERVICE.into(),
        caller: fate.caller.clone(),
        priority: Priority::Normal,
        deadline: fate.deadline,
    }
}

fn new_engine(setup: Setup) -> Engine {
    let me = NodeId::new("router", 1);
    let (runner_home, key_home) = (me.clone(), me.clone());
    let site = Site::new("region", "region-1");
    let mut engine = Engine::new(Config {
        me: me.clone(),
        site: site.clone(),
        runner_home: Box::new(move |_, _, _| Some(runner_home.clone())),
        key_home: Box::new(move |_, _| Some(key_home.clone())),
        seed: setup.seed,
    });
    engine.set_document(&document(setup));
    engine.set_view(view(me, &site), Millis::ZERO, UnixMillis(1));
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

fn view(me: NodeId, site: &Site) -> Arc<View> {
    let member = Member {
        node: me,
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
