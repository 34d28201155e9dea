//! Commands: what workers answer.
//!
//! Answers may be lost, and what they prove is then kept open: a start stays committed until the
//! worker's inventory, a refusal that can't be outrun by a late copy, or the lapse of the leases
//! settles it.

use std::collections::BTreeSet;

use kspan_contract::protocol::worker::{Refusal, Report, Task};
use kspan_model::{Fence, Millis, Name, TaskId, UnixMillis};
use kspan_placement::{AdoptOutcome, End, InventoryEntry, StartRefusal, WorkerSpec};

use super::{Phase, Reply, Shard, tasks::Note};
use crate::{
    border,
    commands::{Order, Settled},
    lease::Purpose,
    times::{CLOCK_SKEW, PROBE_PERIOD, START_NOT_AFTER},
    worker::{EndedTask, HeldTask, Worker},
};

impl Shard {
    /// Takes in what came of an exchange with a worker. Returns a higher token that the worker
    /// obeys, if it told one.
    pub fn answered(
        &mut self,
        name: &Name,
        reply: Reply,
        now: Millis,
        unix: UnixMillis,
    ) -> Option<Fence> {
        // A reply without an exchange in flight is a doubled one.
        if !self.workers.get(name)?.lease.in_flight() {
            return None;
        }
        // Taken out, so that the worker and placement can be changed side by side.
        let mut worker = self.workers.remove(name)?;
        let mut notes = Vec::new();
        let mut superseded = None;
        let purpose = worker.lease.purpose_in_flight();
        match reply {
            Reply::Failed { ambiguous } => self.failed(&mut worker, ambiguous, now, &mut notes),
            Reply::Refused(report) => {
                superseded = self.refused(&mut worker, &report, now);
            }
            Reply::Granted(report) if purpose == Some(Purpose::Probe) => {
                worker.lease.granted(now);
                worker.claimable = true;
                superseded = self.higher(&report);
            }
            Reply::Granted(report) => {
                worker.lease.granted(now);
                self.granted(&mut worker, &report, now, &mut notes);
            }
        }
        if matches!(self.phase, Phase::Releasing { .. }) {
            worker.claimable = std::mem::take(&mut worker.releasing);
        }
        self.workers.insert(name.clone(), worker);
        self.tell(notes, now, unix);
        self.follow_standing();
        superseded
    }

    fn failed(&mut self, worker: &mut Worker, ambiguous: bool, now: Millis, notes: &mut Vec<Note>) {
        worker.lease.failed(now, ambiguous);
        worker.claimable = false;
        if ambiguous {
            for pending in worker.queue.flying() {
                if let Some(held) = worker.held.get_mut(&pending.task)
                    && matches!(pending.order, Order::Start(_))
                {
                    held.start_unanswered = Some(now);
                    self.cell.record_unresolved_start(pending.task);
                }
            }
        }
        worker.queue.unanswered(now, ambiguous);
        if worker.lease.is_silent() {
            for task in worker.queue.withdraw_unsent_starts() {
                worker.held.remove(&task);
                notes.push(Note::Refused(task, StartRefusal::TooLate));
            }
        }
    }

    fn refused(&self, worker: &mut Worker, report: &Report, now: Millis) -> Option<Fence> {
        let seen = border::fence(report.token);
        let is_own = seen == self.fence || seen == self.claim;
        worker.claimable = report.lease_left_ms == 0 || is_own;
        worker.lease.refused();
        worker.queue.unanswered(now, false);
        self.higher(report)
    }

    fn higher(&self, report: &Report) -> Option<Fence> {
        let seen = border::fence(report.token);
        (seen > self.fence).then_some(seen)
    }

    fn granted(
        &mut self,
        worker: &mut Worker,
        report: &Report,
        now: Millis,
        notes: &mut Vec<Note>,
    ) {
        self.describe(worker, report);
        let is_reborn = worker
            .incarnation
            .replace(report.incarnation)
            .is_some_and(|known| known != report.incarnation);
        if is_reborn {
            log::warn!(
                "scheduler: worker {} has a new life, {} tasks lost",
                worker.address.name,
                worker.held.len()
            );
        }
        // Started by this very exchange, although a report of changes may leave them out.
        let mut started = BTreeSet::new();
        for settled in worker.queue.settle(&report.results) {
            if settled.is_start_done() {
                started.insert(settled.pending.task);
            }
            settle(worker, settled, now, notes);
        }
        for row in &report.tasks {
            self.read_row(worker, row, now, notes);
        }
        if report.full || is_reborn {
            drop_missing(worker, report, started, notes);
        }
        worker.version = if is_reborn && !report.full {
            0
        } else {
            report.version
        };
        worker.resolved |= report.full;
        worker.throttle_excess(now);
    }

    fn describe(&mut self, worker: &mut Worker, report: &Report) {
        worker.capacity = border::resources(report.capacity);
        worker.reports_leaving = report.leaving;
        self.cell.upsert_worker(WorkerSpec {
            name: worker.address.name.clone(),
            rack: worker.rack.clone(),
            site: self.site.clone(),
            capacity: worker.capacity,
        });
    }

    fn read_row(&mut self, worker: &mut Worker, row: &Task, now: Millis, notes: &mut Vec<Note>) {
        let Some(task) = border::task_id(&row.task) else {
            log::warn!(
                "scheduler: worker {} runs {}, which is no task of this system",
                worker.address.name,
                row.task
            );
            return;
        };
        if let Some(end) = border::end(row.state) {
            read_end(worker, task, end, now, notes);
            return;
        }
        let Some(state) = border::held_state(row.state) else {
            return;
        };
        if let Some(held) = worker.held.get_mut(&task) {
            held.state = state;
            held.endpoint = row.endpoint;
            held.usage = border::resources(row.usage);
            if state == kspan_placement::TaskState::Running {
                self.cell.record_start(task, now);
            }
            self.cell.record_usage(task, held.usage);
            return;
        }
        self.adopt(worker, task, row, state, now);
    }

    fn adopt(
        &mut self,
        worker: &mut Worker,
        task: TaskId,
        row: &Task,
        state: kspan_placement::TaskState,
        now: Millis,
    ) {
        let size = border::resources(row.size);
        let found = InventoryEntry {
            task,
            size,
            state,
            started: now.saturating_sub(Millis(row.ran_ms)),
        };
        let adopted = self.cell.adopt(&worker.address.name, found);
        let held = HeldTask {
            workload: Name::new(&row.workload),
            state,
            size,
            endpoint: row.endpoint,
            leaving: adopted == AdoptOutcome::Superseded,
            usage: border::resources(row.usage),
            throttled: false,
            start_unanswered: None,
        };
        worker.held.insert(task, held);
        if adopted == AdoptOutcome::Superseded {
            log::warn!("scheduler: task {task} is not wanted where it runs, stopping it");
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

/// Takes in the answer to one order.
fn settle(worker: &mut Worker, settled: Settled, now: Millis, notes: &mut Vec<Note>) {
    let Settled { pending, refused } = settled;
    let task = pending.task;
    match (&pending.order, refused) {
        (Order::Start(_), None) => {
            if let Some(held) = worker.held.get_mut(&task) {
                held.start_unanswered = held.start_unanswered.or(pending.unanswered);
            }
        }
        (Order::Start(_), Some(refusal)) => {
            if pending.has_expired(now) {
                worker.held.remove(&task);
                notes.push(Note::Refused(task, border::start_refusal(refusal)));
            } else {
                let mut pending = pending;
                pending.not_before = now + PROBE_PERIOD;
                worker.queue.put_back(pending);
            }
        }
        (Order::Forget, _) => {
            worker.ended.remove(&task);
        }
        (Order::Stop { .. } | Order::Checkpoint, Some(Refusal::NoSuchTask))
            if !worker.queue.is_starting(task) && worker.held.remove(&task).is_some() =>
        {
            notes.push(Note::Ended(task, End::Lost));
        }
        _ => {}
    }
}

fn read_end(worker: &mut Worker, task: TaskId, end: End, now: Millis, notes: &mut Vec<Note>) {
    let held = worker.held.remove(&task);
    let unanswered = held.and_then(|held| held.start_unanswered);
    let remember_until =
        unanswered.map_or(now, |sent| sent + START_NOT_AFTER + CLOCK_SKEW + CLOCK_SKEW);
    let known = worker.ended.insert(
        task,
        EndedTask {
            end,
            remember_until,
            forgetting: false,
        },
    );
    if known.is_none() {
        notes.push(Note::Ended(task, end));
    }
}

/// Gives up tasks that an inventory doesn't list. Those that were started just now, or whose
/// start is still to be sent, are none of them.
fn drop_missing(
    worker: &mut Worker,
    report: &Report,
    started: BTreeSet<TaskId>,
    notes: &mut Vec<Note>,
) {
    let rows = report.tasks.iter();
    let mut listed = started;
    listed.extend(rows.filter_map(|row| border::task_id(&row.task)));
    let queue = &worker.queue;
    worker.held.retain(|task, _| {
        let stays = listed.contains(task) || queue.is_starting(*task);
        if !stays {
            notes.push(Note::Ended(*task, End::Lost));
        }
        stays
    });
    worker.ended.retain(|task, _| listed.contains(task));
}
