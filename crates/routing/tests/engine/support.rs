//! A simulation of several engines that exchange messages over a network that delays, duplicates,
//! reorders and drops them, and of runners that count their requests in use.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use kspan_membership::ownership;
use kspan_model::{
    Fence, JobId, Member, Millis, Name, NodeId, Priority, RequestId, Role, Site, TaskId,
    UnixMillis, View,
    document::{Document, RequestClass, Service},
};
use kspan_routing::engine::{
    Arrival, Authority, Config, Engine, RunnerHealth,
    effect::{Dispatch, DispatchOutcome, Effect, HealthCheck, RefusalReason},
};
use kspan_wire::message::{
    routing::{ClaimDecision, Message},
    tasks::{Runner, RunnerTable},
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Slots of every runner.
pub(crate) const SLOTS: u32 = 8;

/// Unix time in milliseconds at the start of the simulation.
pub(crate) const EPOCH: u64 = 1_000_000_000;

/// Faults of the network and service times of the runners.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Conditions {
    pub(crate) duplicate_probability: f64,
    pub(crate) loss_probability: f64,
    pub(crate) max_delay_ms: u64,
    /// Probability that a runner processes a request far beyond its deadline.
    pub(crate) overrun_probability: f64,
    pub(crate) service_ms: (u64, u64),
}

pub(crate) const RELIABLE: Conditions = Conditions {
    duplicate_probability: 0.0,
    loss_probability: 0.0,
    max_delay_ms: 1,
    overrun_probability: 0.0,
    service_ms: (20, 20),
};

pub(crate) const UNRELIABLE: Conditions = Conditions {
    duplicate_probability: 0.2,
    loss_probability: 0.1,
    max_delay_ms: 60,
    overrun_probability: 0.01,
    service_ms: (5, 60),
};

/// A decision on a claim as received by a router.
#[derive(Debug)]
pub(crate) struct ReceivedDecision {
    pub(crate) router: usize,
    pub(crate) request: RequestId,
    pub(crate) home: NodeId,
    pub(crate) decision: ClaimDecision,
}

#[derive(Debug)]
enum Event {
    Deliver {
        from: usize,
        to: usize,
        message: Message,
    },
    StartWork {
        task: TaskId,
    },
    /// A runner ends a request.
    EndWork {
        task: TaskId,
    },
    /// A router receives the answer of a dispatch, or abandons it.
    FinishDispatch {
        router: usize,
        dispatch: Dispatch,
        outcome: DispatchOutcome,
    },
    /// A runner receives a health check.
    ReadHealth {
        router: usize,
        check: HealthCheck,
    },
    /// A router receives the response to a health check.
    ReportHealth {
        router: usize,
        check: HealthCheck,
        health: RunnerHealth,
    },
}

pub(crate) struct Simulation {
    pub(crate) now: Millis,
    pub(crate) engines: Vec<Option<Engine>>,
    pub(crate) nodes: Vec<NodeId>,
    pub(crate) in_use: BTreeMap<TaskId, u32>,
    pub(crate) peak_in_use: BTreeMap<TaskId, u32>,
    pub(crate) dispatched_at: BTreeMap<RequestId, Millis>,
    pub(crate) refused: BTreeMap<RequestId, (Millis, RefusalReason)>,
    pub(crate) answered: BTreeMap<RequestId, Millis>,
    pub(crate) arrived: BTreeMap<RequestId, (Name, Millis)>,
    pub(crate) decisions: Vec<ReceivedDecision>,
    /// Runners that report that they are draining.
    pub(crate) draining: Vec<TaskId>,
    /// Runners to which every dispatch fails at once.
    pub(crate) unreachable: Vec<TaskId>,
    pub(crate) dispatches: Vec<(Millis, TaskId)>,
    /// The paused router, with the events that wait for it.
    paused: Option<(usize, Vec<Event>)>,
    conditions: Conditions,
    rng: ChaCha8Rng,
    events: BTreeMap<(Millis, u64), Event>,
    last_event: u64,
    pub(crate) deadline: Millis,
    last_request: u128,
}

pub(crate) fn site(index: usize) -> Site {
    let region = ["a", "b", "c"][index % 3];
    Site::new(region, format!("{region}-1"))
}

pub(crate) fn task(index: u32) -> TaskId {
    TaskId::new(JobId(1), index, 0)
}

pub(crate) fn unix(now: Millis) -> UnixMillis {
    UnixMillis(EPOCH + now.0)
}

fn address() -> SocketAddr {
    "127.0.0.1:1".parse().expect("the address is valid")
}

pub(crate) fn document() -> Document {
    let class = RequestClass {
        name: "read".into(),
        idempotent: true,
        deadline: Millis(1_000),
        hedge: false,
        priority: Priority::Normal,
    };
    let service = Service {
        name: "ledger".into(),
        team: "team".into(),
        runners: 1,
        task: Default::default(),
        regions: Vec::new(),
        spread: Default::default(),
        slots: SLOTS,
        connections: 64,
        retry_budget: 0.1,
        classes: vec![class],
    };
    Document {
        services: vec![service],
        ..Document::default()
    }
}

pub(crate) fn table(shard: usize, runners: &[u32], version: u64) -> RunnerTable {
    let runner = |&index: &u32| Runner {
        task: task(index),
        service: "ledger".into(),
        worker: Name::from(format!("worker-{index}")),
        endpoint: address(),
        slots: SLOTS,
        connections: 64,
        leaving: false,
    };
    RunnerTable {
        shard: site(shard).data_centre,
        fence: Fence::new(1, 0),
        version,
        site: site(shard),
        runners: runners.iter().map(runner).collect(),
    }
}

pub(crate) fn engine(me: &NodeId, site: Site, seed: u64) -> Engine {
    let mut engine = Engine::new(Config {
        me: me.clone(),
        site,
        runner_home: Box::new(|view, task, site| {
            let ranked = ownership::rank_runner(view, &task, site);
            ranked.first().map(|member| member.node.clone())
        }),
        key_home: Box::new(|view, key| {
            ownership::home_of_key(view, key, None).map(|member| member.node.clone())
        }),
        seed,
    });
    engine.set_document(&document());
    engine
}

pub(crate) fn view(number: u64, nodes: &[(usize, &NodeId)]) -> Arc<View> {
    let member = |(index, node): &(usize, &NodeId)| Member {
        node: (*node).clone(),
        role: Role::Router,
        site: site(*index),
        wire: address(),
        http: address(),
        admin: address(),
    };
    Arc::new(View {
        number,
        members: nodes.iter().map(member).collect(),
    })
}

impl Simulation {
    pub(crate) fn new(routers: usize, runners: u32, conditions: Conditions, seed: u64) -> Self {
        let nodes: Vec<_> = (0..routers)
            .map(|i| NodeId::new(format!("router-{i}"), 1))
            .collect();
        let mut sim = Self {
            now: Millis(1),
            engines: Vec::new(),
            nodes,
            in_use: BTreeMap::new(),
            peak_in_use: BTreeMap::new(),
            dispatched_at: BTreeMap::new(),
            refused: BTreeMap::new(),
            answered: BTreeMap::new(),
            arrived: BTreeMap::new(),
            decisions: Vec::new(),
            draining: Vec::new(),
            unreachable: Vec::new(),
            dispatches: Vec::new(),
            paused: None,
            conditions,
            rng: ChaCha8Rng::seed_from_u64(seed),
            events: BTreeMap::new(),
            last_event: 0,
            deadline: Millis(400),
            last_request: 0,
        };
        for index in 0..routers {
            let engine = engine(&sim.nodes[index], site(index), seed + index as u64);
            sim.engines.push(Some(engine));
        }
        sim.set_view(1);
        sim.activate(1);
        for shard in 0..3 {
            let local_runners: Vec<u32> =
                (0..runners).filter(|i| *i as usize % 3 == shard).collect();
            sim.apply_table(&table(shard, &local_runners, 1));
        }
        sim
    }

    pub(crate) fn apply_table(&mut self, table: &RunnerTable) {
        let now = self.now;
        self.for_each_engine(|engine| {
            engine.set_table(table, now);
        });
    }

    /// Applies a view of the running routers to all engines.
    pub(crate) fn set_view(&mut self, number: u64) {
        let running: Vec<_> = (0..self.nodes.len())
            .filter(|i| self.engines[*i].is_some())
            .collect();
        let nodes: Vec<_> = running.iter().map(|&i| (i, &self.nodes[i])).collect();
        let view = view(number, &nodes);
        let now = self.now;
        self.for_each_engine(|engine| engine.set_view(view.clone(), now, unix(now)));
    }

    pub(crate) fn activate(&mut self, activated: u64) {
        let authority = Authority {
            may_act: true,
            activated,
        };
        let now = self.now;
        self.for_each_engine(|engine| engine.set_authority(authority, now, unix(now)));
    }

    /// Revokes the authority of a router to act as a home.
    pub(crate) fn revoke_authority(&mut self, router: usize) {
        let now = self.now;
        self.with_engine(router, |engine| {
            engine.set_authority(Authority::default(), now, unix(now));
        });
    }

    fn for_each_engine(&mut self, mut f: impl FnMut(&mut Engine)) {
        for engine in self.engines.iter_mut().flatten() {
            f(engine);
        }
        self.carry_out_all();
    }

    /// Crashes a router. Its requests continue at the runners, and its messages still arrive.
    pub(crate) fn crash(&mut self, router: usize) {
        self.engines[router] = None;
    }

    pub(crate) fn submit(&mut self, router: usize, caller: &str) -> RequestId {
        let deadline = self.now.saturating_add(self.deadline);
        self.submit_until(router, caller, deadline)
    }

    pub(crate) fn submit_until(
        &mut self,
        router: usize,
        caller: &str,
        deadline: Millis,
    ) -> RequestId {
        self.last_request += 1;
        let request = RequestId(self.last_request);
        self.arrived.insert(request, (caller.into(), self.now));
        let arrival = Arrival {
            request,
            service: "ledger".into(),
            caller: caller.into(),
            priority: Priority::Normal,
            deadline,
        };
        let now = self.now;
        self.with_engine(router, |engine| engine.submit(arrival, now));
        request
    }

    pub(crate) fn with_engine<T>(
        &mut self,
        router: usize,
        f: impl FnOnce(&mut Engine) -> T,
    ) -> Option<T> {
        let result = self.engines[router].as_mut().map(f);
        self.carry_out(router);
        result
    }

    /// Advances time by `span_ms` in steps of one millisecond. Engines tick every ten.
    pub(crate) fn run(&mut self, span_ms: u64) {
        for _ in 0..span_ms {
            self.now = self.now.saturating_add(Millis(1));
            while let Some(entry) = self.events.first_entry() {
                if entry.key().0 > self.now {
                    break;
                }
                let event = entry.remove();
                self.handle(event);
            }
            if self.now.0.is_multiple_of(10) {
                let now = self.now;
                self.for_each_engine(|engine| engine.tick(now));
            }
        }
    }

    /// Pauses a router and returns its engine. Events for the router are held back.
    pub(crate) fn pause(&mut self, router: usize) -> Option<Engine> {
        self.paused = Some((router, Vec::new()));
        self.engines[router].take()
    }

    /// Resumes a paused router, which first handles the events that were held back.
    pub(crate) fn resume(&mut self, router: usize, engine: Option<Engine>) {
        self.engines[router] = engine;
        let held_events = self.paused.take().map(|(_, held_events)| held_events);
        for event in held_events.unwrap_or_default() {
            self.handle(event);
        }
    }

    fn schedule(&mut self, delay: u64, event: Event) {
        self.last_event += 1;
        let at = self.now.saturating_add(Millis(delay));
        self.events.insert((at, self.last_event), event);
    }

    fn handle(&mut self, event: Event) {
        let now = self.now;
        let receiver = match &event {
            Event::Deliver { to, .. } => Some(*to),
            Event::FinishDispatch { router, .. } | Event::ReportHealth { router, .. } => {
                Some(*router)
            }
            _ => None,
        };
        if let Some((paused, held_events)) = &mut self.paused
            && receiver == Some(*paused)
        {
            held_events.push(event);
            return;
        }
        match event {
            Event::Deliver { from, to, message } => {
                let from = self.nodes[from].clone();
                self.with_engine(to, |engine| engine.receive(&from, message, now, unix(now)));
            }
            Event::StartWork { task } => {
                let in_use = self.in_use.entry(task).or_default();
                *in_use += 1;
                let peak_in_use = self.peak_in_use.entry(task).or_default();
                *peak_in_use = (*peak_in_use).max(*in_use);
            }
            Event::EndWork { task } => *self.in_use.entry(task).or_default() -= 1,
            Event::FinishDispatch {
                router,
                dispatch,
                outcome,
            } => {
                if matches!(outcome, DispatchOutcome::Answered { .. }) {
                    self.answered.insert(dispatch.request, now);
                }
                self.with_engine(router, |engine| {
                    engine.finish_dispatch(dispatch.id, outcome, now)
                });
            }
            Event::ReadHealth { router, check } => {
                let health = RunnerHealth {
                    draining: self.draining.contains(&check.runner),
                    in_use: self.in_use.get(&check.runner).copied().unwrap_or(0),
                };
                let delay = self.delay();
                self.schedule(
                    delay,
                    Event::ReportHealth {
                        router,
                        check,
                        health,
                    },
                );
            }
            Event::ReportHealth {
                router,
                check,
                health,
            } => {
                self.with_engine(router, |engine| {
                    engine.finish_health_check(&check, Some(health), now)
                });
            }
        }
    }

    fn carry_out_all(&mut self) {
        for router in 0..self.engines.len() {
            self.carry_out(router);
        }
    }

    fn carry_out(&mut self, router: usize) {
        let Some(engine) = &mut self.engines[router] else {
            return;
        };
        for effect in engine.take_effects() {
            self.carry_out_effect(router, effect);
        }
    }

    fn carry_out_effect(&mut self, router: usize, effect: Effect) {
        match effect {
            Effect::Dispatch(dispatch) => self.dispatch(router, dispatch),
            Effect::Refuse { request, refusal } => {
                let previous = self.refused.insert(request, (self.now, refusal.reason));
                assert!(previous.is_none(), "{request} was refused twice");
            }
            Effect::Send { to, message } => self.send(router, &to, &message),
            Effect::CheckHealth(check) => {
                let delay = self.delay();
                self.schedule(delay, Event::ReadHealth { router, check });
            }
            Effect::ClaimDecided {
                request,
                home,
                decision,
            } => self.decisions.push(ReceivedDecision {
                router,
                request,
                home,
                decision,
            }),
        }
    }

    fn send(&mut self, from: usize, to: &NodeId, message: &Message) {
        let to = self
            .nodes
            .iter()
            .position(|node| node == to)
            .expect("the receiver is a router of the simulation");
        let copies = if self.rng.random_bool(self.conditions.duplicate_probability) {
            2
        } else {
            1
        };
        for _ in 0..copies {
            if !self.rng.random_bool(self.conditions.loss_probability) {
                let delay = self.delay();
                let message = message.clone();
                self.schedule(delay, Event::Deliver { from, to, message });
            }
        }
    }

    fn dispatch(&mut self, router: usize, dispatch: Dispatch) {
        let previous = self.dispatched_at.insert(dispatch.request, self.now);
        assert!(
            previous.is_none(),
            "{} was dispatched twice",
            dispatch.request
        );
        self.dispatches.push((self.now, dispatch.runner));
        let task = dispatch.runner;
        if self.unreachable.contains(&task) {
            let outcome = DispatchOutcome::Unsent;
            self.schedule(
                1,
                Event::FinishDispatch {
                    router,
                    dispatch,
                    outcome,
                },
            );
            return;
        }
        self.schedule(0, Event::StartWork { task });
        let (min_ms, max_ms) = self.conditions.service_ms;
        let work_ms = self.rng.random_range(min_ms..=max_ms);
        if self.rng.random_bool(self.conditions.overrun_probability) {
            self.schedule(work_ms * 40, Event::EndWork { task });
            let outcome = DispatchOutcome::Abandoned;
            self.schedule(
                300,
                Event::FinishDispatch {
                    router,
                    dispatch,
                    outcome,
                },
            );
            return;
        }
        self.schedule(work_ms, Event::EndWork { task });
        let outcome = DispatchOutcome::Answered {
            micros: work_ms * 1_000,
        };
        self.schedule(
            work_ms,
            Event::FinishDispatch {
                router,
                dispatch,
                outcome,
            },
        );
    }

    fn delay(&mut self) -> u64 {
        self.rng.random_range(1..=self.conditions.max_delay_ms)
    }
}
