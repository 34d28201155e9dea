//! Schedulers' cores, fake workers and a log that is a value, on a clock that tests move.
//!
//! After every step it is checked that no task runs in two places.

#![allow(dead_code)] // Each test file uses its own part.

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
    shard::{ExchangeOrder, Reply},
};

use kspan_wire::message::tasks::{Message, ShardSummary, TeamUsage};

pub(crate) use worker::FakeWorker;

/// Milliseconds of one step.
pub(crate) const STEP: u64 = 50;

/// What becomes of one exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Passage {
    /// It arrives, and so does its answer.
    Both,
    /// It never arrives; no connection came about.
    NotSent,
    /// It never arrives, but its sender can't know.
    RequestLost,
    /// It arrives, but its answer doesn't.
    AnswerLost,
}

/// Decides what becomes of an exchange of a seat with a worker at a time.
pub(crate) type Rule = Box<dyn FnMut(usize, &ExchangeOrder, u64) -> Passage>;

pub(crate) struct Seat {
    pub(crate) core: Core,
    pub(crate) node: NodeId,
    pub(crate) alive: bool,
    pub(crate) paused: bool,
    inbox: Vec<(kspan_scheduler::shard::Ticket, Reply)>,
}

pub(crate) struct Bench {
    pub(crate) now: u64,
    pub(crate) seats: Vec<Seat>,
    pub(crate) workers: BTreeMap<String, FakeWorker>,
    pub(crate) fold: State,
    pub(crate) log_is_up: bool,
    pub(crate) hosts: HostList,
    /// Decides what becomes of an exchange of a seat with a worker.
    pub(crate) passage: Rule,
    /// Delay between a process's silence and the others' belief in it.
    pub(crate) detect_ms: u64,
    silent_since: BTreeMap<usize, u64>,
}

fn declared(runners: u32) -> State {
    let mut fold = State::default();
    fold.document = Some(Arc::new(document(runners)));
    fold.document_version = 2;
    fold
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
            task: shape(),
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
            task: shape(),
            run_time: Millis(2_000),
            retries: 1,
            priority: kspan_model::Priority::Normal,
            regions: vec![],
        }],
        ..Document::default()
    }
}

fn shape() -> TaskShape {
    TaskShape {
        size: Resources::new(1_000, 1_000, 0),
        checkpoint: false,
    }
}

impl Bench {
    /// Creates `schedulers` that follow `workers`, with `runners` of a service declared.
    pub(crate) fn new(schedulers: usize, workers: usize, runners: u32) -> Self {
        let nodes: Vec<NodeId> = (0..schedulers)
            .map(|i| NodeId::new(format!("entry-{i}"), 1))
            .collect();
        let names: Vec<String> = (0..workers).map(|i| format!("worker-{i}")).collect();
        let hosts = names.iter().map(|name| host(name)).collect();
        let mut bench = Self {
            now: 1_000,
            seats: nodes.iter().map(seat).collect(),
            workers: names
                .iter()
                .map(|name| (name.clone(), FakeWorker::new(name)))
                .collect(),
            fold: declared(runners),
            log_is_up: true,
            hosts: HostList { hosts },
            passage: Box::new(|_, _, _| Passage::Both),
            detect_ms: 1_500,
            silent_since: BTreeMap::new(),
        };
        bench.set_view(1);
        bench.spread();
        bench
    }

    pub(crate) fn set_view(&mut self, number: u64) {
        let members = self.seats.iter().filter(|seat| seat.alive);
        self.fold.view = Arc::new(View {
            number,
            members: members.map(|seat| member(&seat.node)).collect(),
        });
    }

    pub(crate) fn unix(&self) -> u64 {
        1_700_000_000_000 + self.now
    }

    /// Tells every live process what is in force.
    pub(crate) fn spread(&mut self) {
        let (now, unix) = (Millis(self.now), UnixMillis(self.unix()));
        let fold = Arc::new(self.fold.clone());
        let hosts = Arc::new(self.hosts.clone());
        for seat in self
            .seats
            .iter_mut()
            .filter(|seat| seat.alive && !seat.paused)
        {
            seat.core.set_view(Arc::clone(&fold.view));
            seat.core.set_hosts(&hosts, now);
            seat.core.set_fold(&fold, now, unix);
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
        Arc::make_mut(&mut self.fold.submissions).insert(job, submission);
        self.spread();
        job
    }

    /// Tells every process what the team holds in another shard.
    pub(crate) fn tell_held_elsewhere(&mut self, held: Resources) {
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
        for seat in &mut self.seats {
            let message = Message::Summary(summary.clone());
            seat.core.message(&from, message, Millis(self.now));
        }
        self.spread();
    }

    pub(crate) fn cancel(&mut self, job: JobId) {
        Arc::make_mut(&mut self.fold.cancels).insert(job);
        self.spread();
    }

    pub(crate) fn result(&self, job: JobId) -> Option<JobResult> {
        self.fold.ends.get(&job).map(|end| end.result)
    }

    pub(crate) fn kill(&mut self, seat: usize) {
        self.seats[seat].alive = false;
        self.silent_since.insert(seat, self.now);
    }

    pub(crate) fn pause(&mut self, seat: usize) {
        self.seats[seat].paused = true;
        self.silent_since.insert(seat, self.now);
    }

    pub(crate) fn resume(&mut self, seat: usize) {
        self.seats[seat].paused = false;
        self.silent_since.remove(&seat);
    }

    /// Returns the seat whose exchanges the workers obey.
    pub(crate) fn owner(&self) -> Option<usize> {
        self.seats.iter().position(|seat| {
            let dump = seat.core.dump();
            seat.alive && !seat.paused && dump.shards.iter().any(|shard| shard.phase == "Active")
        })
    }

    pub(crate) fn run_ms(&mut self, span: u64) {
        for _ in 0..span / STEP {
            self.step();
        }
    }

    /// Runs until `done`, and returns how long it took.
    pub(crate) fn run_until(&mut self, limit: u64, done: impl Fn(&Self) -> bool) -> u64 {
        let began = self.now;
        while !done(self) {
            assert!(self.now - began < limit, "not done after {limit} ms");
            self.step();
        }
        self.now - began
    }

    pub(crate) fn step(&mut self) {
        self.now += STEP;
        for worker in self.workers.values_mut() {
            worker.tick(self.now);
        }
        self.tell_silence();
        for seat in 0..self.seats.len() {
            if self.seats[seat].alive && !self.seats[seat].paused {
                self.turn(seat);
            }
        }
        self.check();
    }

    fn tell_silence(&mut self) {
        let nodes: Vec<NodeId> = self.seats.iter().map(|seat| seat.node.clone()).collect();
        for (index, seat) in nodes.into_iter().enumerate() {
            let since = self.silent_since.get(&index);
            let silent = since.is_some_and(|since| self.now >= since + self.detect_ms);
            for other in &mut self.seats {
                if other.node != seat && !other.paused {
                    other.core.set_silent(&seat, silent);
                }
            }
        }
    }

    fn turn(&mut self, index: usize) {
        let (now, unix) = (Millis(self.now), UnixMillis(self.unix()));
        for (ticket, reply) in std::mem::take(&mut self.seats[index].inbox) {
            self.seats[index].core.answered(&ticket, reply, now, unix);
        }
        for action in self.seats[index].core.turn(now, unix, false) {
            match action {
                Action::Exchange(order) => self.exchange(index, &order),
                Action::RecordEnds(ends) => {
                    if self.log_is_up {
                        for end in ends {
                            Arc::make_mut(&mut self.fold.submissions).remove(&end.job);
                            Arc::make_mut(&mut self.fold.cancels).remove(&end.job);
                            Arc::make_mut(&mut self.fold.ends)
                                .entry(end.job)
                                .or_insert(end);
                        }
                        self.spread();
                    }
                    self.seats[index].core.ends_recorded(now);
                }
                Action::Send { .. } | Action::Answered { .. } => {}
            }
        }
    }

    fn exchange(&mut self, index: usize, order: &ExchangeOrder) {
        let passage = (self.passage)(index, order, self.now);
        let arrives = matches!(passage, Passage::Both | Passage::AnswerLost);
        let unix = self.unix();
        let answer = self
            .workers
            .get_mut(order.ticket.worker.as_str())
            .filter(|_| arrives)
            .map(|worker| worker.exchange(&order.body, self.now, unix));
        let reply = match (passage, answer) {
            (Passage::Both, Some((true, report))) => Reply::Granted(report),
            (Passage::Both, Some((false, report))) => Reply::Refused(report),
            (Passage::NotSent, _) => Reply::Failed { ambiguous: false },
            _ => Reply::Failed { ambiguous: true },
        };
        self.seats[index].inbox.push((order.ticket.clone(), reply));
    }

    fn check(&self) {
        let mut seen = BTreeSet::new();
        for worker in self.workers.values() {
            for task in worker.running() {
                let (index, _) = task.rsplit_once('.').expect("a task id has three parts");
                assert!(
                    seen.insert(index.to_owned()),
                    "{index} runs twice at {}",
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

fn seat(node: &NodeId) -> Seat {
    Seat {
        core: Core::new(node.clone()),
        node: node.clone(),
        alive: true,
        paused: false,
        inbox: Vec::new(),
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
