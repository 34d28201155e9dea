//! Handling of workers' replies.
//!
//! Replies may be lost, which leaves orders in doubt: a start stays committed until it is resolved
//! by the worker's inventory, by a refusal after which no late copy can be executed, or by the
//! expiry of the leases.

use std::collections::BTreeSet;

use kspan_contract::protocol::worker::{Refusal, Report, Task};
use kspan_model::{Fence, Millis, Name, TaskId, UnixMillis};
use kspan_placement::{AdoptOutcome, End, InventoryEntry, StartRefusal, WorkerSpec};

use super::{Phase, Reply, Shard, tasks::PlacementEvent};
use crate::{
    commands::{Order, OrderResult},
    conversion,
    lease::Purpose,
    timing::{MAX_CLOCK_SKEW, PROBE_INTERVAL, START_VALIDITY},
    worker::{ActiveTask, EndedTask, Worker},
};

impl Shard {
    /// Handles the reply to an exchange with a worker. Returns the token that the worker reported,
    /// if it is higher than this owner's.
    pub fn handle_reply(
        &mut self,
        name: &Name,
        reply: Reply,
        now: Millis,
        unix: UnixMillis,
    ) -> Option<Fence> {
        // A reply without an exchange in flight is a duplicate.
        if !self.workers.get(name)?.lease.has_exchange_in_flight() {
            return None;
        }
        // Removed from the map so that the worker and placement can be borrowed mutably at the same
        // time.
        let mut worker = self.workers.remove(name)?;
        let mut events = Vec::new();
        let mut superseded = None;
        let purpose = worker.lease.purpose_in_flight();
        match reply {
            Reply::Failed { in_doubt } => {
                self.handle_failure(&mut worker, in_doubt, now, &mut events)
            }
            Reply::Refused(report) => {
                superseded = self.handle_refusal(&mut worker, &report, now);
            }
            Reply::Granted(report) if purpose == Some(Purpose::Probe) => {
                worker.lease.record_granted(now);
                worker.claimable = true;
                superseded = self.superseding_fence(&report);
            }
            Reply::Granted(report) => {
                worker.lease.record_granted(now);
                self.handle_grant(&mut worker, &report, now, &mut events);
            }
        }
        if matches!(self.phase, Phase::Releasing { .. }) {
            worker.claimable = std::mem::take(&mut worker.release_in_flight);
        }
        self.workers.insert(name.clone(), worker);
        self.apply_placement_events(events, now, unix);
        self.sync_worker_states();
        superseded
    }

    fn handle_failure(
        &mut self,
        worker: &mut Worker,
        in_doubt: bool,
        now: Millis,
        events: &mut Vec<PlacementEvent>,
    ) {
        worker.lease.record_failed(now, in_doubt);
        worker.claimable = false;
        if in_doubt {
            for pending in worker.queue.in_flight() {
                if let Some(active) = worker.active_tasks.get_mut(&pending.task)
                    && matches!(pending.order, Order::Start(_))
                {
                    active.start_in_doubt_at = Some(now);
                    self.cell.record_unresolved_start(pending.task);
                }
            }
        }
        worker.queue.requeue_unanswered(now, in_doubt);
        if worker.lease.is_silent() {
            for task in worker.queue.withdraw_unsent_starts() {
                worker.active_tasks.remove(&task);
                events.push(PlacementEvent::Refused(task, StartRefusal::TooLate));
            }
        }
    }

    fn handle_refusal(&self, worker: &mut Worker, report: &Report, now: Millis) -> Option<Fence> {
        let seen = conversion::to_fence(report.token);
        let is_own = seen == self.fence || seen == self.claim_token;
        worker.claimable = report.lease_left_ms == 0 || is_own;
        worker.lease.record_refused();
        worker.queue.requeue_unanswered(now, false);
        self.superseding_fence(report)
    }

    fn superseding_fence(&self, report: &Report) -> Option<Fence> {
        let seen = conversion::to_fence(report.token);
        (seen > self.fence).then_some(seen)
    }

    fn handle_grant(
        &mut self,
        worker: &mut Worker,
        report: &Report,
        now: Millis,
        events: &mut Vec<PlacementEvent>,
    ) {
        self.update_worker_spec(worker, report);
        let has_restarted = worker
            .incarnation
            .replace(report.incarnation)
            .is_some_and(|known| known != report.incarnation);
        if has_restarted {
            log::warn!(
                "scheduler: worker {} has restarted; {} tasks lost",
                worker.address.name,
                worker.active_tasks.len()
            );
        }
        // Tasks started by this exchange; a report of changes may omit them.
        let mut started = BTreeSet::new();
        for result in worker.queue.record_results(&report.results) {
            if result.is_start_done() {
                started.insert(result.pending.task);
            }
            apply_order_result(worker, result, now, events);
        }
        for row in &report.tasks {
            self.apply_inventory_row(worker, row, now, events);
        }
        if report.full || has_restarted {
            drop_unlisted_tasks(worker, report, started, events);
        }
        worker.inventory_version = if has_restarted && !report.full {
            0
        } else {
            report.version
        };
        worker.resolved |= report.full;
        worker.throttle_excess(now);
    }

    fn update_worker_spec(&mut self, worker: &mut Worker, report: &Report) {
        worker.capacity = conversion::to_resources(report.capacity);
        worker.reports_leaving = report.leaving;
        self.cell.upsert_worker(WorkerSpec {
            name: worker.address.name.clone(),
            rack: worker.rack.clone(),
            site: self.site.clone(),
            capacity: worker.capacity,
        });
    }

    fn apply_inventory_row(
        &mut self,
        worker: &mut Worker,
        row: &Task,
        now: Millis,
        events: &mut Vec<PlacementEvent>,
    ) {
        let Some(task) = TaskId::parse(&row.task) else {
            log::warn!(
                "scheduler: worker {} reports {:?}, which is not a task id; ignoring it",
                worker.address.name,
                row.task
            );
            return;
        };
        if let Some(end) = conversion::to_end(row.state) {
            record_task_end(worker, task, end, now, events);
            return;
        }
        let Some(state) = conversion::active_state(row.state) else {
            return;
        };
        if let Some(active) = worker.active_tasks.get_mut(&task) {
            active.state = state;
            active.endpoint = row.endpoint;
            active.usage = conversion::to_resources(row.usage);
            if state == kspan_placement::TaskState::Running {
                self.cell.record_start(task, now);
            }
            self.cell.record_usage(task, active.usage);
            return;
        }
        self.adopt_task(worker, task, row, state, now);
    }

    fn adopt_task(
        &mut self,
        worker: &mut Worker,
        task: TaskId,
        row: &Task,
        state: kspan_placement::TaskState,
        now: Millis,
    ) {
        let size = conversion::to_resources(row.size);
        let found = InventoryEntry {
            task,
            size,
            state,
            started: now.saturating_sub(Millis(row.ran_ms)),
        };
        let adopted = self.cell.adopt(&worker.address.name, found);
        let active = ActiveTask {
            workload: Name::new(&row.workload),
            state,
            size,
            endpoint: row.endpoint,
            end_requested: adopted == AdoptOutcome::Superseded,
            usage: conversion::to_resources(row.usage),
            throttled: false,
            start_in_doubt_at: None,
        };
        worker.active_tasks.insert(task, active);
        if adopted == AdoptOutcome::Superseded {
            log::warn!("scheduler: task {task} is superseded by another placement; stopping it");
            worker.queue.push(
                task,
                Order::Stop {
                    grace: Millis::ZERO,
                },
                now,
            );
        }
    }
}

/// Applies the result of one order.
fn apply_order_result(
    worker: &mut Worker,
    result: OrderResult,
    now: Millis,
    events: &mut Vec<PlacementEvent>,
) {
    let OrderResult { pending, refused } = result;
    let task = pending.task;
    match (&pending.order, refused) {
        (Order::Start(_), None) => {
            if let Some(active) = worker.active_tasks.get_mut(&task) {
                active.start_in_doubt_at = active.start_in_doubt_at.or(pending.in_doubt_at);
            }
        }
        (Order::Start(_), Some(refusal)) => {
            if pending.earlier_copies_expired(now) {
                worker.active_tasks.remove(&task);
                events.push(PlacementEvent::Refused(
                    task,
                    conversion::to_start_refusal(refusal),
                ));
            } else {
                let mut pending = pending;
                pending.not_before = now + PROBE_INTERVAL;
                worker.queue.requeue(pending);
            }
        }
        (Order::Forget, _) => {
            worker.ended_tasks.remove(&task);
        }
        (Order::Stop { .. } | Order::Checkpoint, Some(Refusal::NoSuchTask))
            if !worker.queue.has_pending_start(task)
                && worker.active_tasks.remove(&task).is_some() =>
        {
            events.push(PlacementEvent::Ended(task, End::Lost));
        }
        _ => {}
    }
}

fn record_task_end(
    worker: &mut Worker,
    task: TaskId,
    end: End,
    now: Millis,
    events: &mut Vec<PlacementEvent>,
) {
    let active = worker.active_tasks.remove(&task);
    let in_doubt_at = active.and_then(|active| active.start_in_doubt_at);
    let retain_until = in_doubt_at.map_or(now, |failed| {
        failed + START_VALIDITY + MAX_CLOCK_SKEW + MAX_CLOCK_SKEW
    });
    let known = worker.ended_tasks.insert(
        task,
        EndedTask {
            end,
            retain_until,
            forget_requested: false,
        },
    );
    if known.is_none() {
        events.push(PlacementEvent::Ended(task, end));
    }
}

/// Removes tasks that a full inventory does not list and reports them as lost, except those that
/// were started by the same exchange or whose start is still pending.
fn drop_unlisted_tasks(
    worker: &mut Worker,
    report: &Report,
    started: BTreeSet<TaskId>,
    events: &mut Vec<PlacementEvent>,
) {
    let rows = report.tasks.iter();
    let mut listed = started;
    listed.extend(rows.filter_map(|row| TaskId::parse(&row.task)));
    let queue = &worker.queue;
    worker.active_tasks.retain(|task, _| {
        let stays = listed.contains(task) || queue.has_pending_start(*task);
        if !stays {
            events.push(PlacementEvent::Ended(*task, End::Lost));
        }
        stays
    });
    worker.ended_tasks.retain(|task, _| listed.contains(task));
}
