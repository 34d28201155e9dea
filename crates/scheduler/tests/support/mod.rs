//! A deterministic simulation of scheduler cores, fake workers and an in-memory log on a clock that
//! tests advance.
//!
//! After every step it asserts that no task runs in two places.

#![allow(dead_code)] // Each test file uses only some of the helpers.

pub(crate) mod worker;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use kspan_contract::protocol::hosts::{Host, HostKind, HostList, HostState};
use kspan_fold::State;
use kspan_model::{
    Fence, JobId, JobResult, Member, Millis, NodeId, Resources, Role, Site, Submission, UnixMillis,
    View,
    document::{Batch, Document, Region, Service, TaskShape, Team},
};
use kspan_scheduler::{
    core::{Action, Core},
    shard::{ExchangeRequest, Reply},
};

use kspan_wire::message::tasks::{Message, ShardSummary, TeamUsage};

pub(crate) use worker::FakeWorker;

/// Duration of one step in milliseconds.
pub(crate) const STEP_MS: u64 = 50;

/// Simulated network outcome of one exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Delivery {
    /// The request and its reply arrive.
    Delivered,
    /// No connection was established, so the sender knows that the request did not arrive.
    NotSent,
    /// The request is lost, but the sender cannot tell.
    RequestLost,
    /// The request arrives, but its reply is lost.
    ReplyLost,
}

/// Decides the outcome of an exchange, from the scheduler's index, the request and the time.
pub(crate) type DeliveryRule = Box<dyn FnMut(usize, &ExchangeRequest, u64) -> Delivery>;

pub(crate) struct SimulatedScheduler {
    pub(crate) core: Core,
    pub(crate) node: NodeId,
    pub(crate) alive: bool,
    pub(crate) paused: bool,
    pending_replies: Vec<(kspan_scheduler::shard::ExchangeKey, Reply)>,
}

pub(crate) struct Simulation {
    pub(crate) now: u64,
    pub(crate) schedulers: Vec<SimulatedScheduler>,
    pub(crate) workers: BTreeMap<String, FakeWorker>,
    pub(crate) log_state: State,
    pub(crate) log_is_up: bool,
    pub(crate) hosts: HostList,
    /// Decides the outcome of each exchange.
    pub(crate) delivery: DeliveryRule,
    /// Delay in milliseconds until a stopped process is suspected by the others.
    pub(crate) suspicion_delay_ms: u64,
    unreachable_since: BTreeMap<usize, u64>,
}

fn declared_state(runners: u32) -> State {
    let mut log_state = State::default();
    log_state.document = Some(Arc::new(document(runners)));
    log_state.document_version = 2;
    log_state
}

fn document(runners: u32) -> Document {
    Document {
        cell: "cell".into(),
        regions: vec![Region {
            name: "north".into(),
            data_centres: vec!["north-1".into()],
        }],
        teams: vec![Team {
            name: "team".into(),
            quota: Resources::new(1_000_000, 1_000_000, 0),
            weight: 1.0,
            borrow: true,
        }],
        services: vec![Service {
            name: "ledger".into(),
            team: "team".into(),
            runners,
            task: task_shape(),
            regions: vec![],
            spread: kspan_model::document::Spread::None,
            slots: 8,
            connections: 64,
            retry_budget: 0.1,
            classes: vec![],
        }],
        batch: vec![Batch {
            name: "count".into(),
            team: "team".into(),
            tasks: 4,
            task: task_shape(),
            run_time: Millis(2_000),
            retries: 1,
            priority: kspan_model::Priority::Normal,
            regions: vec![],
        }],
        ..Document::default()
    }
}

fn task_shape() -> TaskShape {
    TaskShape {
        size: Resources::new(1_000, 1_000, 0),
        checkpoint: false,
    }
}

impl Simulation {
    /// Creates a cell of `schedulers` and `workers`, with a service of `runners` runners declared.
    pub(crate) fn new(schedulers: usize, workers: usize, runners: u32) -> Self {
        let nodes: Vec<NodeId> = (0..schedulers)
            .map(|i| NodeId::new(format!("entry-{i}"), 1))
            .collect();
        let names: Vec<String> = (0..workers).map(|i| format!("worker-{i}")).collect();
        let hosts = names.iter().map(|name| host(name)).collect();
        let mut simulation = Self {
            now: 1_000,
            schedulers: nodes.iter().map(new_scheduler).collect(),
            workers: names
                .iter()
                .map(|name| (name.clone(), FakeWorker::new(name)))
                .collect(),
            log_state: declared_state(runners),
            log_is_up: true,
            hosts: HostList { hosts },
            delivery: Box::new(|_, _, _| Delivery::Delivered),
            suspicion_delay_ms: 1_500,
            unreachable_since: BTreeMap::new(),
        };
        simulation.set_view(1);
        simulation.publish_state();
        simulation
    }

    pub(crate) fn set_view(&mut self, number: u64) {
        let members = self.schedulers.iter().filter(|scheduler| scheduler.alive);
        self.log_state.view = Arc::new(View {
            number,
            members: members.map(|scheduler| member(&scheduler.node)).collect(),
        });
    }

    pub(crate) fn unix(&self) -> u64 {
        1_700_000_000_000 + self.now
    }

    /// Passes the view, hosts and log state to every process that is alive and not paused.
    pub(crate) fn publish_state(&mut self) {
        let (now, unix) = (Millis(self.now), UnixMillis(self.unix()));
        let log_state = Arc::new(self.log_state.clone());
        let hosts = Arc::new(self.hosts.clone());
        for scheduler in self
            .schedulers
            .iter_mut()
            .filter(|scheduler| scheduler.alive && !scheduler.paused)
        {
            scheduler.core.set_view(Arc::clone(&log_state.view));
            scheduler.core.set_hosts(&hosts, now);
            scheduler.core.set_log_state(&log_state, now, unix);
        }
    }

    pub(crate) fn submit(&mut self, job: u128) -> JobId {
        let job = JobId(job);
        let submission = Submission {
            job,
            workload: "count".into(),
            shard: "north-1".into(),
            accepted: UnixMillis(self.unix()),
        };
        Arc::make_mut(&mut self.log_state.submissions).insert(job, submission);
        self.publish_state();
        job
    }

    /// Sends every process a summary of the team's usage in another shard.
    pub(crate) fn report_usage_elsewhere(&mut self, held: Resources) {
        let from = NodeId::new("elsewhere", 1);
        let team = "team".into();
        let summary = ShardSummary {
            shard: "south-1".into(),
            fence: Fence::new(1, 0),
            free: Resources::ZERO,
            capacity: Resources::ZERO,
            waiting: 0,
            teams: vec![TeamUsage { team, held }],
        };
        for scheduler in &mut self.schedulers {
            let message = Message::Summary(summary.clone());
            scheduler
                .core
                .handle_message(&from, message, Millis(self.now));
        }
        self.publish_state();
    }

    pub(crate) fn cancel(&mut self, job: JobId) {
        Arc::make_mut(&mut self.log_state.cancels).insert(job);
        self.publish_state();
    }

    pub(crate) fn result(&self, job: JobId) -> Option<JobResult> {
        self.log_state.ends.get(&job).map(|end| end.result)
    }

    pub(crate) fn kill(&mut self, scheduler: usize) {
        self.schedulers[scheduler].alive = false;
        self.unreachable_since.insert(scheduler, self.now);
    }

    pub(crate) fn pause(&mut self, scheduler: usize) {
        self.schedulers[scheduler].paused = true;
        self.unreachable_since.insert(scheduler, self.now);
    }

    pub(crate) fn resume(&mut self, scheduler: usize) {
        self.schedulers[scheduler].paused = false;
        self.unreachable_since.remove(&scheduler);
    }

    /// Returns the index of the scheduler that has an active shard.
    pub(crate) fn owner(&self) -> Option<usize> {
        self.schedulers.iter().position(|scheduler| {
            let dump = scheduler.core.dump();
            scheduler.alive
                && !scheduler.paused
                && dump.shards.iter().any(|shard| shard.phase == "Active")
        })
    }

    pub(crate) fn run_ms(&mut self, span: u64) {
        for _ in 0..span / STEP_MS {
            self.step();
        }
    }

    /// Runs until `done` returns true, and returns the elapsed milliseconds.
    pub(crate) fn run_until(&mut self, limit: u64, done: impl Fn(&Self) -> bool) -> u64 {
        let began = self.now;
        while !done(self) {
            assert!(
                self.now - began < limit,
                "condition not met within {limit} ms"
            );
            self.step();
        }
        self.now - began
    }

    pub(crate) fn step(&mut self) {
        self.now += STEP_MS;
        for worker in self.workers.values_mut() {
            worker.tick(self.now);
        }
        self.update_suspicions();
        for scheduler in 0..self.schedulers.len() {
            if self.schedulers[scheduler].alive && !self.schedulers[scheduler].paused {
                self.run_scheduler(scheduler);
            }
        }
        self.assert_no_duplicate_tasks();
    }

    fn update_suspicions(&mut self) {
        let nodes: Vec<NodeId> = self
            .schedulers
            .iter()
            .map(|scheduler| scheduler.node.clone())
            .collect();
        for (index, node) in nodes.into_iter().enumerate() {
            let since = self.unreachable_since.get(&index);
            let suspected = since.is_some_and(|since| self.now >= since + self.suspicion_delay_ms);
            for other in &mut self.schedulers {
                if other.node != node && !other.paused {
                    other.core.set_suspected(&node, suspected);
                }
            }
        }
    }

    fn run_scheduler(&mut self, index: usize) {
        let (now, unix) = (Millis(self.now), UnixMillis(self.unix()));
        for (key, reply) in std::mem::take(&mut self.schedulers[index].pending_replies) {
            self.schedulers[index]
                .core
                .handle_reply(&key, reply, now, unix);
        }
        for action in self.schedulers[index].core.run_turn(now, unix, false) {
            match action {
                Action::Exchange(request) => self.exchange(index, &request),
                Action::RecordEnds(ends) => {
                    if self.log_is_up {
                        for end in ends {
                            Arc::make_mut(&mut self.log_state.submissions).remove(&end.job);
                            Arc::make_mut(&mut self.log_state.cancels).remove(&end.job);
                            Arc::make_mut(&mut self.log_state.ends)
                                .entry(end.job)
                                .or_insert(end);
                        }
                        self.publish_state();
                    }
                    self.schedulers[index].core.finish_recording_ends(now);
                }
                Action::Send { .. } | Action::DeliverReply { .. } => {}
            }
        }
    }

    fn exchange(&mut self, index: usize, request: &ExchangeRequest) {
        let delivery = (self.delivery)(index, request, self.now);
        let arrives = matches!(delivery, Delivery::Delivered | Delivery::ReplyLost);
        let unix = self.unix();
        let report = self
            .workers
            .get_mut(request.key.worker.as_str())
            .filter(|_| arrives)
            .map(|worker| worker.exchange(&request.body, self.now, unix));
        let reply = match (delivery, report) {
            (Delivery::Delivered, Some((true, report))) => Reply::Granted(report),
            (Delivery::Delivered, Some((false, report))) => Reply::Refused(report),
            (Delivery::NotSent, _) => Reply::Failed { in_doubt: false },
            _ => Reply::Failed { in_doubt: true },
        };
        self.schedulers[index]
            .pending_replies
            .push((request.key.clone(), reply));
    }

    fn assert_no_duplicate_tasks(&self) {
        let mut seen = BTreeSet::new();
        for worker in self.workers.values() {
            for task in worker.running() {
                let (index, _) = task.rsplit_once('.').expect("a task id has three parts");
                assert!(
                    seen.insert(index.to_owned()),
                    "task {index} runs twice at {} ms",
                    self.now
                );
            }
        }
    }

    pub(crate) fn running(&self) -> usize {
        self.workers
            .values()
            .map(|worker| worker.running().count())
            .sum()
    }

    pub(crate) fn starts(&self) -> usize {
        self.workers
            .values()
            .map(|worker| worker.starts.len())
            .sum()
    }
}

fn new_scheduler(node: &NodeId) -> SimulatedScheduler {
    SimulatedScheduler {
        core: Core::new(node.clone()),
        node: node.clone(),
        alive: true,
        paused: false,
        pending_replies: Vec::new(),
    }
}

fn member(node: &NodeId) -> Member {
    let address = "127.0.0.1:1".parse().expect("a valid address");
    Member {
        node: node.clone(),
        role: Role::Scheduler,
        site: Site::new("north", "north-1"),
        wire: address,
        http: address,
        admin: address,
    }
}

fn host(name: &str) -> Host {
    Host {
        name: name.to_owned(),
        kind: HostKind::Worker,
        state: HostState::Live,
        region: "north".into(),
        data_centre: "north-1".into(),
        rack: "rack-1".into(),
        address: "127.0.0.1:1".parse().expect("a valid address"),
    }
}
