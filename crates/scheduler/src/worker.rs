//! State that a shard's owner keeps of one worker: leases, commands and tasks.

use std::{collections::BTreeMap, net::SocketAddr, ops::RangeInclusive};

use kspan_contract::{
    protocol::worker::{Exchange, Token},
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

/// CPU usage of a worker, in per cent, from which tasks that exceed their declared size are
/// throttled.
const THROTTLE_CPU_PERCENT: u64 = 90;

/// A task that occupies a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ActiveTask {
    /// The workload that declares it.
    pub workload: Name,
    /// Its state.
    pub state: TaskState,
    /// Resources committed to it.
    pub size: Resources,
    /// Address at which a runner serves requests.
    pub endpoint: Option<SocketAddr>,
    /// Whether it was ordered to stop or to checkpoint.
    pub end_requested: bool,
    /// Last reported resource usage.
    pub usage: Resources,
    /// Whether its CPU time was limited to its declared size.
    pub throttled: bool,
    /// When an exchange that carried its start last failed without a reply.
    pub start_in_doubt_at: Option<Millis>,
}

impl ActiveTask {
    /// Creates the entry of a task whose start is being queued.
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

    /// Returns whether the worker reported the task as running.
    pub fn is_running(&self) -> bool {
        self.state == TaskState::Running
    }
}

/// A task that has ended and that the worker's inventory still lists.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndedTask {
    /// How it ended.
    pub end: End,
    /// The worker must keep it until then, because a late copy of its start would run it again.
    pub retain_until: Millis,
    /// Whether an order to forget it was queued.
    pub forget_requested: bool,
}

/// A worker's status by the platform's host list and by operators' drains.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HostStatus {
    /// Whether the host list contains it.
    pub listed: bool,
    /// Whether the host list marks it as leaving.
    pub leaving: bool,
    /// Whether operators are draining it.
    pub drained: bool,
}

/// One worker of a shard.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Its address.
    pub address: WorkerAddress,
    /// Its rack.
    pub rack: Name,
    /// Its status by the host list and operators.
    pub host_status: HostStatus,
    /// Its leases.
    pub lease: WorkerLease,
    /// Its commands.
    pub queue: CommandQueue,
    /// Its incarnation; `None` before its first reply.
    pub incarnation: Option<u64>,
    /// Last known version of its inventory; zero requests a full inventory.
    pub inventory_version: u64,
    /// Its capacity.
    pub capacity: Resources,
    /// Whether its own report marks it as leaving.
    pub reports_leaving: bool,
    /// Whether its tasks are known, from a full inventory or from the expiry of its leases.
    pub resolved: bool,
    /// Whether a probe found that it can be claimed. While the shard is being released: whether the
    /// worker has acknowledged the release.
    pub claimable: bool,
    /// Whether the exchange in flight releases the leases.
    pub release_in_flight: bool,
    /// Tasks that occupy it.
    pub active_tasks: BTreeMap<TaskId, ActiveTask>,
    /// Ended tasks that its inventory still lists.
    pub ended_tasks: BTreeMap<TaskId, EndedTask>,
}

impl Worker {
    /// Creates a worker with unknown state.
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

    /// Returns whether its tasks should be moved to other workers.
    pub const fn is_leaving(&self) -> bool {
        self.host_status.leaving || self.host_status.drained || self.reports_leaving
    }

    /// Returns the state by which placement decides whether it may take new tasks.
    pub const fn state(&self) -> WorkerState {
        if self.lease.is_silent() {
            WorkerState::Silent
        } else if self.is_leaving() || !self.host_status.listed {
            WorkerState::Draining
        } else {
            WorkerState::Available
        }
    }

    /// Queues orders to forget the ended tasks of a job.
    pub fn forget_job(&mut self, job: JobId, now: Millis) {
        for (task, ended) in self.ended_tasks.range_mut(task_id_range(job)) {
            if !std::mem::replace(&mut ended.forget_requested, true) {
                let not_before = now.max(ended.retain_until);
                self.queue.push(*task, Order::Forget, not_before);
            }
        }
    }

    /// Queues orders to stop the tasks of a job without a grace period.
    pub fn stop_job(&mut self, job: JobId, now: Millis) {
        for (task, active) in self.active_tasks.range_mut(task_id_range(job)) {
            if !std::mem::replace(&mut active.end_requested, true) {
                let grace = Millis::ZERO;
                self.queue.push(*task, Order::Stop { grace }, now);
            }
        }
    }

    /// Queues orders that limit tasks which use more than they declare, once nearly all of the
    /// worker's CPU is in use, so that they do not starve the other tasks.
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

    /// Builds the next exchange and records that it is sent.
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

/// Builds an exchange that a worker refuses, which proves that it replies. A worker that has never accepted a token
/// grants it, which has no effect because the requested lease has zero duration.
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
