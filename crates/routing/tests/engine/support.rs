//! Several engines that exchange messages over a network that delays, doubles, reorders and drops
//! them, in front of runners that count what they work on.

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

/// Unix time at the start.
pub(crate) const EPOCH: u64 = 1_000_000_000;

/// How the network treats messages and how long requests take.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Weather {
    pub(crate) doubled: f64,
    pub(crate) dropped: f64,
    pub(crate) max_delay: u64,
    /// Fraction of requests that a runner works on far past their deadline.
    pub(crate) stuck: f64,
    pub(crate) service_ms: (u64, u64),
}

pub(crate) const CALM: Weather = Weather {
    doubled: 0.0,
    dropped: 0.0,
    max_delay: 1,
    stuck: 0.0,
    service_ms: (20, 20),
};

pub(crate) const ROUGH: Weather = Weather {
    doubled: 0.2,
    dropped: 0.1,
    max_delay: 60,
    stuck: 0.01,
    service_ms: (5, 60),
};

/// A verdict as a router got it.
#[derive(Debug)]
pub(crate) struct Ruled {
    pub(crate) router: usize,
    pub(crate) request: RequestId,
    pub(crate) home: NodeId,
    pub(crate) ruling: ClaimDecision,
}

#[derive(Debug)]
enum Todo {
    Deliver {
        from: usize,
        to: usize,
        message: Message,
    },
    Begin {
        task: TaskId,
    },
    /// The runner is done.
    End {
        task: TaskId,
    },
    /// The router has the answer, or has given up.
    Finish {
        router: usize,
        start: Dispatch,
        finish: DispatchOutcome,
    },
    Sample {
        router: usize,
        read: HealthCheck,
    },
    Answer {
        router: usize,
        read: HealthCheck,
        health: RunnerHealth,
    },
}

pub(crate) struct World {
    pub(crate) now: Millis,
    pub(crate) engines: Vec<Option<Engine>>,
    pub(crate) nodes: Vec<NodeId>,
    pub(crate) in_use: BTreeMap<TaskId, u32>,
    pub(crate) peak: BTreeMap<TaskId, u32>,
    pub(crate) started: BTreeMap<RequestId, Millis>,
    pub(crate) refused: BTreeMap<RequestId, (Millis, RefusalReason)>,
    pub(crate) answered: BTreeMap<RequestId, Millis>,
    pub(crate) arrived: BTreeMap<RequestId, (Name, Millis)>,
    pub(crate) ruled: Vec<Ruled>,
    /// Runners that say they drain.
    pub(crate) draining: Vec<TaskId>,
    /// Whether dispatches on a runner fail at once.
    pub(crate) broken: Vec<TaskId>,
    pub(crate) starts: Vec<(Millis, TaskId)>,
    /// The router that sleeps, with what waits for it.
    asleep: Option<(usize, Vec<Todo>)>,
    weather: Weather,
    rng: ChaCha8Rng,
    todo: BTreeMap<(Millis, u64), Todo>,
    order: u64,
    pub(crate) deadline: Millis,
    ids: u128,
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
    "127.0.0.1:1".parse().expect("the test set it up")
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

impl World {
    pub(crate) fn new(routers: usize, runners: u32, weather: Weather, seed: u64) -> Self {
        let nodes: Vec<_> = (0..routers)
            .map(|i| NodeId::new(format!("router-{i}"), 1))
            .collect();
        let mut world = Self {
            now: Millis(1),
            engines: Vec::new(),
            nodes,
            in_use: BTreeMap::new(),
            peak: BTreeMap::new(),
            started: BTreeMap::new(),
            refused: BTreeMap::new(),
            answered: BTreeMap::new(),
            arrived: BTreeMap::new(),
            ruled: Vec::new(),
            draining: Vec::new(),
            broken: Vec::new(),
            starts: Vec::new(),
            asleep: None,
            weather,
            rng: ChaCha8Rng::seed_from_u64(seed),
            todo: BTreeMap::new(),
            order: 0,
            deadline: Millis(400),
            ids: 0,
        };
        for index in 0..routers {
            let engine = engine(&world.nodes[index], site(index), seed + index as u64);
            world.engines.push(Some(engine));
        }
        world.set_view(1);
        world.activate(1);
        for shard in 0..3 {
            let here: Vec<u32> = (0..runners).filter(|i| *i as usize % 3 == shard).collect();
            world.tell(&table(shard, &here, 1));
        }
        world
    }

    pub(crate) fn tell(&mut self, table: &RunnerTable) {
        let now = self.now;
        self.each(|engine| {
            engine.set_table(table, now);
        });
    }

    /// Makes a view of the routers that live.
    pub(crate) fn set_view(&mut self, number: u64) {
        let live: Vec<_> = (0..self.nodes.len())
            .filter(|i| self.engines[*i].is_some())
            .collect();
        let nodes: Vec<_> = live.iter().map(|&i| (i, &self.nodes[i])).collect();
        let view = view(number, &nodes);
        let now = self.now;
        self.each(|engine| engine.set_view(view.clone(), now, unix(now)));
    }

    pub(crate) fn activate(&mut self, activated: u64) {
        let authority = Authority {
            may_act: true,
            activated,
        };
        let now = self.now;
        self.each(|engine| engine.set_authority(authority, now, unix(now)));
    }

    /// Takes a router's right to act as a home.
    pub(crate) fn demote(&mut self, router: usize) {
        let now = self.now;
        self.change(router, |engine| {
            engine.set_authority(Authority::default(), now, unix(now));
        });
    }

    fn each(&mut self, mut f: impl FnMut(&mut Engine)) {
        for engine in self.engines.iter_mut().flatten() {
            f(engine);
        }
        self.carry_out_all();
    }

    /// Kills a router: its requests go on at the runners, its messages still arrive.
    pub(crate) fn kill(&mut self, router: usize) {
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
        self.ids += 1;
        let request = RequestId(self.ids);
        self.arrived.insert(request, (caller.into(), self.now));
        let arrival = Arrival {
            request,
            service: "ledger".into(),
            caller: caller.into(),
            priority: Priority::Normal,
            deadline,
        };
        let now = self.now;
        self.change(router, |engine| engine.submit(arrival, now));
        request
    }

    pub(crate) fn change<T>(
        &mut self,
        router: usize,
        f: impl FnOnce(&mut Engine) -> T,
    ) -> Option<T> {
        let result = self.engines[router].as_mut().map(f);
        self.carry_out(router);
        result
    }

    /// Lets `span` pass, one millisecond at a time; engines tick every ten.
    pub(crate) fn run(&mut self, span: u64) {
        for _ in 0..span {
            self.now = self.now.saturating_add(Millis(1));
            while let Some(entry) = self.todo.first_entry() {
                if entry.key().0 > self.now {
                    break;
                }
                let todo = entry.remove();
                self.perform(todo);
            }
            if self.now.0.is_multiple_of(10) {
                let now = self.now;
                self.each(|engine| engine.tick(now));
            }
        }
    }

    /// Lets a router fall asleep. What it is sent waits.
    pub(crate) fn sleep(&mut self, router: usize) -> Option<Engine> {
        self.asleep = Some((router, Vec::new()));
        self.engines[router].take()
    }

    /// Wakes a router up; it first handles what has waited.
    pub(crate) fn wake(&mut self, router: usize, engine: Option<Engine>) {
        self.engines[router] = engine;
        let held = self.asleep.take().map(|(_, held)| held);
        for todo in held.unwrap_or_default() {
            self.perform(todo);
        }
    }

    fn later(&mut self, delay: u64, todo: Todo) {
        self.order += 1;
        let at = self.now.saturating_add(Millis(delay));
        self.todo.insert((at, self.order), todo);
    }

    fn perform(&mut self, todo: Todo) {
        let now = self.now;
        let receiver = match &todo {
            Todo::Deliver { to, .. } => Some(*to),
            Todo::Finish { router, .. } | Todo::Answer { router, .. } => Some(*router),
            _ => None,
        };
        if let Some((asleep, held)) = &mut self.asleep
            && receiver == Some(*asleep)
        {
            held.push(todo);
            return;
        }
        match todo {
            Todo::Deliver { from, to, message } => {
                let from = self.nodes[from].clone();
                self.change(to, |engine| engine.receive(&from, message, now, unix(now)));
            }
            Todo::Begin { task } => {
                let in_use = self.in_use.entry(task).or_default();
                *in_use += 1;
                let peak = self.peak.entry(task).or_default();
                *peak = (*peak).max(*in_use);
            }
            Todo::End { task } => *self.in_use.entry(task).or_default() -= 1,
            Todo::Finish {
                router,
                start,
                finish,
            } => {
                if matches!(finish, DispatchOutcome::Answered { .. }) {
                    self.answered.insert(start.request, now);
                }
                self.change(router, |engine| {
                    engine.finish_dispatch(start.id, finish, now)
                });
            }
            Todo::Sample { router, read } => {
                let health = RunnerHealth {
                    draining: self.draining.contains(&read.runner),
                    in_use: self.in_use.get(&read.runner).copied().unwrap_or(0),
                };
                let delay = self.delay();
                self.later(
                    delay,
                    Todo::Answer {
                        router,
                        read,
                        health,
                    },
                );
            }
            Todo::Answer {
                router,
                read,
                health,
            } => {
                self.change(router, |engine| {
                    engine.finish_health_check(&read, Some(health), now)
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
            self.carry_out_one(router, effect);
        }
    }

    fn carry_out_one(&mut self, router: usize, effect: Effect) {
        match effect {
            Effect::Dispatch(start) => self.start(router, start),
            Effect::Refuse { request, refusal } => {
                let earlier = self.refused.insert(request, (self.now, refusal.reason));
                assert!(earlier.is_none(), "{request} is refused twice");
            }
            Effect::Send { to, message } => self.send(router, &to, &message),
            Effect::CheckHealth(read) => {
                let delay = self.delay();
                self.later(delay, Todo::Sample { router, read });
            }
            Effect::ClaimDecided {
                request,
                home,
                ruling,
            } => self.ruled.push(Ruled {
                router,
                request,
                home,
                ruling,
            }),
        }
    }

    fn send(&mut self, from: usize, to: &NodeId, message: &Message) {
        let to = self
            .nodes
            .iter()
            .position(|node| node == to)
            .expect("known");
        let copies = if self.rng.random_bool(self.weather.doubled) {
            2
        } else {
            1
        };
        for _ in 0..copies {
            if !self.rng.random_bool(self.weather.dropped) {
                let delay = self.delay();
                let message = message.clone();
                self.later(delay, Todo::Deliver { from, to, message });
            }
        }
    }

    fn start(&mut self, router: usize, start: Dispatch) {
        let earlier = self.started.insert(start.request, self.now);
        assert!(earlier.is_none(), "{} is started twice", start.request);
        self.starts.push((self.now, start.runner));
        let task = start.runner;
        if self.broken.contains(&task) {
            let finish = DispatchOutcome::Unsent;
            self.later(
                1,
                Todo::Finish {
                    router,
                    start,
                    finish,
                },
            );
            return;
        }
        self.later(0, Todo::Begin { task });
        let (least, most) = self.weather.service_ms;
        let works = self.rng.random_range(least..=most);
        if self.rng.random_bool(self.weather.stuck) {
            self.later(works * 40, Todo::End { task });
            let finish = DispatchOutcome::Abandoned;
            self.later(
                300,
                Todo::Finish {
                    router,
                    start,
                    finish,
                },
            );
            return;
        }
        self.later(works, Todo::End { task });
        let finish = DispatchOutcome::Answered {
            micros: works * 1_000,
        };
        self.later(
            works,
            Todo::Finish {
                router,
                start,
                finish,
            },
        );
    }

    fn delay(&mut self) -> u64 {
        self.rng.random_range(1..=self.weather.max_delay)
    }
}
