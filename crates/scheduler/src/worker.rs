//! One worker as its shard's owner knows it: leases, commands, and what it runs.

use std::{collections::BTreeMap, net::SocketAddr, ops::RangeInclusive};

use kspan_contract::{
    protocol::worker::{Exchange, Token},
    worker::WorkerAddress,
};
use kspan_model::{Fence, JobId, Millis, Name, Resources, TaskId, UnixMillis};
use kspan_placement::{End, TaskState, WorkerState};

use crate::{
    border,
    commands::{CommandQueue, Order},
    lease::{Purpose, WorkerLease},
    times::{CONTROL_LEASE, TASK_LEASE},
};

/// Share of a worker's processors in use from which tasks are held to what they declare.
const CROWDED_PERCENT: u64 = 90;

/// What is known of a task that holds a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldTask {
    /// The workload that declares it.
    pub workload: Name,
    /// Its state.
    pub state: TaskState,
    /// What is committed to it.
    pub size: Resources,
    /// Where a runner answers requests.
    pub endpoint: Option<SocketAddr>,
    /// Whether it was asked to end.
    pub leaving: bool,
    /// What it used some seconds ago.
    pub usage: Resources,
    /// Whether it was limited to its declared size.
    pub throttled: bool,
    /// Last time that a start was sent without an answer.
    pub start_unanswered: Option<Millis>,
}

impl HeldTask {
    /// Creates a task that is about to be started.
    pub const fn starting(workload: Name, size: Resources) -> Self {
        Self {
            workload,
            state: TaskState::Starting,
            size,
            endpoint: None,
            leaving: false,
            usage: Resources::ZERO,
            throttled: false,
            start_unanswered: None,
        }
    }

    /// Returns whether the worker reported that it runs.
    pub fn is_running(&self) -> bool {
        self.state == TaskState::Running
    }
}

/// A task that has ended and that the worker still remembers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndedTask {
    /// How it ended.
    pub end: End,
    /// The worker must remember it until then, because a late copy of its start would run again.
    pub remember_until: Millis,
    /// Whether the worker was told to forget it.
    pub forgetting: bool,
}

/// What the platform's host list and the operators say about a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Standing {
    /// Whether the host list names it.
    pub listed: bool,
    /// Whether the host list calls it leaving.
    pub leaving: bool,
    /// Whether operators drain it.
    pub drained: bool,
}

/// One worker of a shard.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Where it is reached.
    pub address: WorkerAddress,
    /// Its rack.
    pub rack: Name,
    /// What others say about it.
    pub standing: Standing,
    /// Its leases.
    pub lease: WorkerLease,
    /// Its commands.
    pub queue: CommandQueue,
    /// Its life; none before it answered.
    pub incarnation: Option<u64>,
    /// Inventory version that is known; zero asks for everything.
    pub version: u64,
    /// What it has.
    pub capacity: Resources,
    /// Whether its report calls it leaving.
    pub reports_leaving: bool,
    /// Whether what it runs is known, or has provably ended.
    pub resolved: bool,
    /// Whether a probe found that it can be claimed; while a shard is given up, whether the
    /// worker has answered the release.
    pub claimable: bool,
    /// Whether the exchange in flight gives the leases up.
    pub releasing: bool,
    /// Tasks that hold it.
    pub held: BTreeMap<TaskId, HeldTask>,
    /// Tasks that have ended there.
    pub ended: BTreeMap<TaskId, EndedTask>,
}

impl Worker {
    /// Creates a worker of which nothing is known yet.
    pub fn new(address: WorkerAddress, rack: Name, now: Millis) -> Self {
        Self {
            address,
            rack,
            standing: Standing::default(),
            lease: WorkerLease::new(now),
            queue: CommandQueue::default(),
            incarnation: None,
            version: 0,
            capacity: Resources::ZERO,
            reports_leaving: false,
            resolved: false,
            claimable: false,
            releasing: false,
            held: BTreeMap::new(),
            ended: BTreeMap::new(),
        }
    }

    /// Returns whether its tasks are to be moved away.
    pub const fn is_leaving(&self) -> bool {
        self.standing.leaving || self.standing.drained || self.reports_leaving
    }

    /// Returns the state that decides whether it takes new tasks.
    pub const fn state(&self) -> WorkerState {
        if self.lease.is_silent() {
            WorkerState::Silent
        } else if self.is_leaving() || !self.standing.listed {
            WorkerState::Draining
        } else {
            WorkerState::Available
        }
    }

    /// Lets the worker forget the ended tasks of a job.
    pub fn forget_job(&mut self, job: JobId, now: Millis) {
        for (task, ended) in self.ended.range_mut(tasks_of(job)) {
            if !std::mem::replace(&mut ended.forgetting, true) {
                let not_before = now.max(ended.remember_until);
                self.queue.push(*task, Order::Forget, not_before);
            }
        }
    }

    /// Stops the tasks of a job at once.
    pub fn stop_job(&mut self, job: JobId, now: Millis) {
        for (task, held) in self.held.range_mut(tasks_of(job)) {
            if !std::mem::replace(&mut held.leaving, true) {
                let grace = Millis::ZERO;
                self.queue.push(*task, Order::Stop { grace }, now);
            }
        }
    }

    /// Limits tasks that use more than they declare, once the worker's processors are nearly all
    /// in use, so that they don't starve the others.
    pub fn throttle_excess(&mut self, now: Millis) {
        let used: u64 = self.held.values().map(|held| held.usage.cpu_milli).sum();
        if used * 100 < self.capacity.cpu_milli * CROWDED_PERCENT {
            return;
        }
        for (task, held) in &mut self.held {
            let cpu_milli = held.size.cpu_milli;
            if held.usage.cpu_milli > cpu_milli && !std::mem::replace(&mut held.throttled, true) {
                let order = Order::Throttle { cpu_milli };
                self.queue.push(*task, order, now);
            }
        }
    }

    /// Makes the next exchange and notes that it is sent.
    pub fn next_exchange(
        &mut self,
        purpose: Purpose,
        owner: &str,
        fence: Fence,
        release: bool,
        now: Millis,
        unix: UnixMillis,
    ) -> Exchange {
        self.lease.sent(now, purpose);
        self.releasing = release;
        match purpose {
            Purpose::Probe => probe(owner),
            Purpose::Renew => Exchange {
                owner: owner.to_owned(),
                token: border::token(fence),
                control_lease_ms: CONTROL_LEASE.0,
                task_lease_ms: TASK_LEASE.0,
                commands: self.queue.take(now, unix),
                known_version: self.version,
                release,
            },
        }
    }
}

fn tasks_of(job: JobId) -> RangeInclusive<TaskId> {
    TaskId::new(job, 0, 0)..=TaskId::new(job, u32::MAX, u32::MAX)
}

/// Makes an exchange that workers refuse, for the sake of their answer. One that has never
/// accepted a token grants it, which changes nothing because the lease asked for has no length.
fn probe(owner: &str) -> Exchange {
    Exchange {
        owner: owner.to_owned(),
        token: Token::default(),
        control_lease_ms: 0,
        task_lease_ms: TASK_LEASE.0,
        commands: Vec::new(),
        known_version: u64::MAX,
        release: false,
    }
}
