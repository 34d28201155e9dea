//! One worker as its shard's owner knows it: leases, commands, and what it runs.

use std::{collections::BTreeMap, net::SocketAddr, ops::RangeInclusive};

use kspan_contract::{
    border::worker::{Exchange, Token},
    worker::WorkerAddress,
};
use kspan_model::{Fence, JobId, Millis, Name, Resources, TaskId, UnixMillis};
use kspan_placement::{End, TaskState, WorkerState};

use crate::{
    commands::{CommandQueue, Order},
    conversion,
    lease::{Purpose, WorkerLease},
    timing::{CONTROL_LEASE, TASK_LEASE},
};

/// Share of a worker's processors in use from which tasks are held to what they declare.
const THROTTLE_CPU_PERCENT: u64 = 90;

/// What is known of a task that holds a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ActiveTask {
    /// The workload that declares it.
    pub workload: Name,
    /// Its state.
    pub state: TaskState,
    /// What is committed to it.
    pub size: Resources,
    /// Where a runner answers requests.
    pub endpoint: Option<SocketAddr>,
    /// Whether it was asked to end.
    pub end_requested: bool,
    /// What it used some seconds ago.
    pub usage: Resources,
    /// Whether it was limited to its declared size.
    pub throttled: bool,
    /// Last time that a start was sent without an answer.
    pub start_in_doubt_at: Option<Millis>,
}

impl ActiveTask {
    /// Creates a task that is about to be started.
    pub const fn starting(workload: Name, size: Resources) -> Self {
        Self {
            workload,
            state: TaskState::Starting,
            size,
            endpoint: None,
            end_requested: false,
            usage: Resources::ZERO,
            throttled: false,
            start_in_doubt_at: None,
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
    pub retain_until: Millis,
    /// Whether the worker was told to forget it.
    pub forget_requested: bool,
}

/// What the platform's host list and the operators say about a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HostStatus {
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
    pub host_status: HostStatus,
    /// Its leases.
    pub lease: WorkerLease,
    /// Its commands.
    pub queue: CommandQueue,
    /// Its life; none before it answered.
    pub incarnation: Option<u64>,
    /// Inventory version that is known; zero asks for everything.
    pub inventory_version: u64,
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
    pub release_in_flight: bool,
    /// Tasks that hold it.
    pub active_tasks: BTreeMap<TaskId, ActiveTask>,
    /// Tasks that have ended there.
    pub ended_tasks: BTreeMap<TaskId, EndedTask>,
}

impl Worker {
    /// Creates a worker of which nothing is known yet.
    pub fn new(address: WorkerAddress, rack: Name, now: Millis) -> Self {
        Self {
            address,
            rack,
            host_status: HostStatus::default(),
            lease: WorkerLease::new(now),
            queue: CommandQueue::default(),
            incarnation: None,
            inventory_version: 0,
            capacity: Resources::ZERO,
            reports_leaving: false,
            resolved: false,
            claimable: false,
            release_in_flight: false,
            active_tasks: BTreeMap::new(),
            ended_tasks: BTreeMap::new(),
        }
    }

    /// Returns whether its tasks are to be moved away.
    pub const fn is_leaving(&self) -> bool {
        self.host_status.leaving || self.host_status.drained || self.reports_leaving
    }

    /// Returns the state that decides whether it takes new tasks.
    pub const fn state(&self) -> WorkerState {
        if self.lease.is_silent() {
            WorkerState::Silent
        } else if self.is_leaving() || !self.host_status.listed {
            WorkerState::Draining
        } else {
            WorkerState::Available
        }
    }

    /// Lets the worker forget the ended tasks of a job.
    pub fn forget_job(&mut self, job: JobId, now: Millis) {
        for (task, ended) in self.ended_tasks.range_mut(task_id_range(job)) {
            if !std::mem::replace(&mut ended.forget_requested, true) {
                let not_before = now.max(ended.retain_until);
                self.queue.push(*task, Order::Forget, not_before);
            }
        }
    }

    /// Stops the tasks of a job at once.
    pub fn stop_job(&mut self, job: JobId, now: Millis) {
        for (task, active) in self.active_tasks.range_mut(task_id_range(job)) {
            if !std::mem::replace(&mut active.end_requested, true) {
                let grace = Millis::ZERO;
                self.queue.push(*task, Order::Stop { grace }, now);
            }
        }
    }

    /// Limits tasks that use more than they declare, once the worker's processors are nearly all
    /// in use, so that they don't starve the others.
    pub fn throttle_excess(&mut self, now: Millis) {
        let used: u64 = self
            .active_tasks
            .values()
            .map(|active| active.usage.cpu_milli)
            .sum();
        if used * 100 < self.capacity.cpu_milli * THROTTLE_CPU_PERCENT {
            return;
        }
        for (task, active) in &mut self.active_tasks {
            let cpu_milli = active.size.cpu_milli;
            if active.usage.cpu_milli > cpu_milli && !std::mem::replace(&mut active.throttled, true)
            {
                let order = Order::Throttle { cpu_milli };
                self.queue.push(*task, order, now);
            }
        }
    }

    /// Makes the next exchange and notes that it is sent.
    pub fn begin_exchange(
        &mut self,
        purpose: Purpose,
        owner: &str,
        fence: Fence,
        release: bool,
        now: Millis,
        unix: UnixMillis,
    ) -> Exchange {
        self.lease.record_sent(now, purpose);
        self.release_in_flight = release;
        match purpose {
            Purpose::Probe => probe_exchange(owner),
            Purpose::Renew => Exchange {
                owner: owner.to_owned(),
                token: conversion::to_token(fence),
                control_lease_ms: CONTROL_LEASE.0,
                task_lease_ms: TASK_LEASE.0,
                commands: self.queue.take_ready(now, unix),
                known_version: self.inventory_version,
                release,
            },
        }
    }
}

fn task_id_range(job: JobId) -> RangeInclusive<TaskId> {
    TaskId::new(job, 0, 0)..=TaskId::new(job, u32::MAX, u32::MAX)
}

/// Makes an exchange that workers refuse, for the sake of their answer. One that has never
/// accepted a token grants it, which changes nothing because the lease asked for has no length.
fn probe_exchange(owner: &str) -> Exchange {
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
