//! Inventory calls: reconciliation of a runner's reported state with the owner's.

use kspan_model::Millis;
use rustc_hash::FxHashSet;

use super::{
    Engine, Event, LossReason, RunnerIx,
    end_log::{EndListing, ListedEnd, UnusualEnds},
    evidence::Isolation,
    job::MAX_RUN,
    reserve::ServiceRunners,
    runner::{Delivery, PlacedRun, UnackedEnd},
    stall::Progress,
    task::{OrphanRun, TaskState},
    throttle::RunSpeed,
};
use crate::{
    id::TaskId,
    record::Phase,
    runner::{Inventory, InventoryOutcome, RunningTask, is_usable_checkpoint},
    spec::StepSpec,
};

/// How long a runner may hold an inventory call open while it waits for the end of a run.
const MAX_POLL_WAIT: Millis = Millis(1_700);

/// The same while responses are being lost: ends in a lost response are seen only with the next
/// one.
const MAX_POLL_WAIT_ON_LOSS: Millis = Millis(200);

/// Maximum number of calls per second to all runners while responses are being lost. A large cell is
/// polled less often, because calls beyond it would make the owner itself too slow to answer.
const MAX_POLLS_PER_SECOND_ON_LOSS: u64 = 2_000;

/// The same while a run may be stalled, which is detected only by comparing inventories.
const MAX_POLL_WAIT_ON_SUSPICION: Millis = Millis(400);

/// The same while best-effort and latency-sensitive runs share the runner, whose tails change within
/// seconds.
const MAX_POLL_WAIT_WHEN_SHARED: Millis = Millis(400);

/// The same while a run may be there whose start got no answer. Its room is reserved until an inventory that was
/// requested after the stop doesn't list it.
const MAX_POLL_WAIT_ON_DOUBT: Millis = Millis(200);

/// How long after a lost response further losses are expected.
const LOSS_WINDOW: Millis = Millis(2_000);

/// An inventory call to be sent to a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InventoryCall {
    /// Sequence number of the call.
    pub sequence: u64,
    /// Lease granted by the call, as a deadline on the runner's clock; `None` grants no lease.
    pub deadline: Option<Millis>,
    /// Number up to which ends are acknowledged.
    pub ack: u64,
    /// How long the runner may wait for the end of a run before it answers.
    pub wait: Millis,
    /// Whether responses are being lost, so that a late one should be given up soon.
    pub expects_loss: bool,
}

impl Engine {
    /// Returns the next inventory call to a runner.
    pub fn next_inventory_call(&mut self, runner_ix: RunnerIx, now: Millis) -> InventoryCall {
        let sequence = self.next_sequence();
        let durable = self.batches.durable();
        let lost_at = self.last_lost_response;
        let has_recent_loss =
            lost_at.is_some_and(|lost_at| now.saturating_sub(lost_at) < LOSS_WINDOW);
        let wait_on_loss = self.max_poll_wait_on_loss();
        let runner = &mut self.runners[runner_ix.0];
        let wait = match (has_recent_loss, runner.has_suspected_stalls) {
            (true, _) => wait_on_loss,
            _ if runner.needs_proof() => MAX_POLL_WAIT_ON_DOUBT,
            (false, true) => MAX_POLL_WAIT_ON_SUSPICION,
            (false, false) if runner.is_shared() => MAX_POLL_WAIT_WHEN_SHARED,
            (false, false) => MAX_POLL_WAIT,
        };
        // A call without a response may still reach the runner, however late. If each retry
        // extended the lease, the lease could never be known to have expired.
        let is_answering = runner.is_incarnation_confirmed();
        // The runner may have restarted since its last response. Its next incarnation numbers its ends
        // anew, and would forget those up to the number.
        let cursor = if is_answering {
            runner.ack_cursor(durable)
        } else {
            0
        };
        let ack = runner.begin_acknowledgement(sequence, cursor);
        runner.unacked_ends.retain(|end| end.number > cursor);
        // A runner with unacknowledged ends answers immediately in any case. A runner whose clock
        // is not known yet must be called again soon, because its lease is extended only then.
        let answers_immediately = !runner.has_answered || !runner.unacked_ends.is_empty();
        let may_grant = is_answering && runner.may_be_granted_lease(durable);
        let deadline = may_grant
            .then(|| runner.extend_lease(&self.cfg, now))
            .flatten();
        if deadline.is_some() {
            runner.record_grant(now);
            runner.pending_grant = Some(now);
        }
        // The lease is extended by the next call after the withdrawal of the list at the earliest.
        let wait = if may_grant {
            wait
        } else {
            wait.min(wait_on_loss)
        };
        InventoryCall {
            sequence,
            deadline,
            ack,
            wait: if answers_immediately {
                Millis::ZERO
            } else {
                wait
            },
            expects_loss: has_recent_loss,
        }
    }

    /// Returns how long a runner may hold a call open while responses are being lost.
    fn max_poll_wait_on_loss(&self) -> Millis {
        let runners: usize = self.services.values().map(ServiceRunners::count).sum();
        let wait = Millis(runners as u64 * 1_000 / MAX_POLLS_PER_SECOND_ON_LOSS);
        wait.clamp(MAX_POLL_WAIT_ON_LOSS, MAX_POLL_WAIT)
    }

    /// Records the outcome of the inventory call with the given sequence number. Returns the index of
    /// the runner's next incarnation if the response shows that the runner has restarted.
    pub fn record_inventory(
        &mut self,
        now: Millis,
        unix_ms: u64,
        runner_ix: RunnerIx,
        sequence: u64,
        outcome: &InventoryOutcome,
    ) -> Option<RunnerIx> {
        if self.runners[runner_ix.0].dead {
            return self.record_call_to_ended(now, unix_ms, runner_ix, sequence, outcome);
        }
        match outcome {
            InventoryOutcome::Inventory(inventory) => {
                self.emit_answer_after_silence(runner_ix, inventory.ended.len(), now);
                if self.runners[runner_ix.0].has_restarted(inventory.started_unix_ms) {
                    return self.replace_incarnation(now, unix_ms, runner_ix, sequence, inventory);
                }
                self.record_own_answer(runner_ix, inventory.clock, now);
                self.apply_inventory(now, unix_ms, runner_ix, sequence, inventory);
            }
            InventoryOutcome::Fenced => self.fenced = true,
            InventoryOutcome::OtherIncarnation => {
                let runner = &mut self.runners[runner_ix.0];
                let addr = &runner.entry.addr;
                let elsewhere = runner
                    .unconfirmed_entry
                    .take_if(|entry| entry.addr != *addr);
                self.mark_dead(runner_ix, now);
                return elsewhere.and_then(|entry| self.upsert_runner(now, entry));
            }
            InventoryOutcome::NoResponse => {
                self.runners[runner_ix.0].record_miss(now);
                self.last_lost_response = Some(now);
                self.record_silence(runner_ix, now);
                self.record_doubts(runner_ix);
                self.record_task_list(runner_ix);
            }
        }
        None
    }

    pub(super) fn apply_inventory(
        &mut self,
        now: Millis,
        unix_ms: u64,
        runner_ix: RunnerIx,
        sequence: u64,
        inventory: &Inventory,
    ) {
        let runner = &mut self.runners[runner_ix.0];
        let may_have_restarted = runner.may_inherit_lease();
        if runner.entry.started_unix_ms == 0 {
            runner.entry.started_unix_ms = inventory.started_unix_ms;
        }
        // The runner says itself that it has not restarted.
        runner.unconfirmed_entry = None;
        let is_first = !runner.has_answered;
        if is_first && runner.inherited_lease_until.is_some() {
            runner.assume_inherited_lease(inventory.clock, &self.cfg, now);
        } else if is_first {
            runner.assume_longest_lease(inventory.clock, &self.cfg);
        }
        runner.record_response(inventory.clock, now);
        runner.record_answered_call(sequence);
        runner.record_proof_of_life(sequence, inventory.started_unix_ms);
        // Until all ends are listed, a task may have been completed there by an order of a previous owner.
        runner.has_answered |= !inventory.has_more_ends;
        runner.has_suspected_stalls = false;
        self.record_suspected_restart(runner_ix, may_have_restarted);
        if self.runners[runner_ix.0].has_answered {
            self.withdraw_task_list(runner_ix);
            self.end_former_doubts(runner_ix, now);
        }
        let runner = &self.runners[runner_ix.0];
        let is_leaving = is_first && runner.entry.draining;
        self.begin_reported_occurrences(inventory, now);
        let mut reported: FxHashSet<(TaskId, u32)> = FxHashSet::default();
        for row in &inventory.running {
            reported.insert((row.task, row.run));
            self.reconcile_run(runner_ix, row, now);
            self.check_progress(runner_ix, row, inventory.clock, now);
        }
        // Ends are acknowledged up to a number, so that one applied out of order would be skipped and
        // its run be taken for lost.
        let mut ended: Vec<_> = inventory.ended.iter().collect();
        ended.sort_by_key(|end| end.number);
        let expected_number = self.runners[runner_ix.0].expected_end_number();
        let mut unusual = UnusualEnds::default();
        for end in ended {
            reported.insert((end.task, end.run));
            let listed = ListedEnd::from(end);
            if end.number <= self.runners[runner_ix.0].last_end_number {
                // Until they are durable and acknowledged, ends are listed by each inventory.
                let again = self.runners[runner_ix.0].record_repeated_end(listed);
                unusual.again.extend(again);
                continue;
            }
            unusual.lowest_new.get_or_insert(end.number);
            if self.is_end_late(runner_ix, end) {
                unusual.late.push(listed);
            }
            self.runners[runner_ix.0].last_end_number = end.number;
            let number = end.number;
            self.apply_end(
                runner_ix,
                end,
                EndListing { sequence, number },
                now,
                unix_ms,
            );
            let batch = self.batches.add_end();
            let runner = &mut self.runners[runner_ix.0];
            runner.unacked_ends.push(UnackedEnd { number, batch });
            runner.unanswered_ends.push(listed);
        }
        self.emit_unusual_ends(runner_ix, sequence, inventory, expected_number, unusual);
        if !inventory.has_more_ends {
            self.remove_unreported_runs(runner_ix, sequence, &reported, now);
            self.forget_unreported_runs(runner_ix, &reported);
        }
        if is_leaving {
            let id = self.runners[runner_ix.0].entry.id.clone();
            self.batches.add_runner(id);
            self.move_tasks_away(runner_ix, now);
        }
        self.observe_tails(runner_ix, inventory, now);
        self.order_speeds_on(runner_ix, now);
    }

    fn emit_answer_after_silence(&mut self, runner_ix: RunnerIx, ends: usize, now: Millis) {
        let runner = &self.runners[runner_ix.0];
        let Some(since) = runner.silent_since else {
            return;
        };
        let id = runner.entry.id.clone();
        let silent = now.saturating_sub(since);
        self.events.push(Event::RunnerAnswered { id, silent, ends });
    }

    /// Begins occurrences that the runner reports and this owner has not begun.
    fn begin_reported_occurrences(&mut self, inventory: &Inventory, now: Millis) {
        let running = inventory.running.iter().map(|row| row.task);
        let ended = inventory.ended.iter().map(|end| end.task);
        for task in running.chain(ended) {
            let id = task.step.job;
            let job = self.jobs.get_mut(&id);
            if job.is_some_and(|job| job.begin_through(task.step.occurrence, now)) {
                self.schedulable.insert(id);
            }
        }
    }

    /// Removes the runs whose orders were settled before the call and that the inventory does not
    /// report.
    fn remove_unreported_runs(
        &mut self,
        runner_ix: RunnerIx,
        sequence: u64,
        reported: &FxHashSet<(TaskId, u32)>,
        now: Millis,
    ) {
        let placed = &self.runners[runner_ix.0].runs;
        let missing = placed.iter().filter(|(key, placed)| {
            placed
                .settled_sequence
                .is_some_and(|settled_sequence| settled_sequence < sequence)
                && !reported.contains(key)
        });
        let mut missing: Vec<(TaskId, u32)> = missing.map(|(key, _)| *key).collect();
        missing.sort_unstable();
        let reason = LossReason::NotListed;
        self.emit_runs_lost(runner_ix, &missing, reason, Some(sequence), now);
        for (task, run) in missing {
            self.remove_lost_run(runner_ix, task, run, reason, now);
        }
    }

    fn reconcile_run(&mut self, runner_ix: RunnerIx, row: &RunningTask, now: Millis) {
        let sequence = self.next_sequence();
        if let Some(placed) = self.runners[runner_ix.0].runs.get_mut(&(row.task, row.run)) {
            placed.settled_sequence = placed.settled_sequence.or(Some(sequence));
            placed.delivery.record_listing();
            return self.update_reported_run(runner_ix, row, now);
        }
        if self.adopt_run(runner_ix, row, now) {
            return;
        }
        let id = self.runners[runner_ix.0].entry.id.clone();
        let (task, run) = (row.task, row.run);
        self.events.push(Event::OrphanRunFound {
            task,
            run,
            runner: id,
        });
        self.charge_reported_run(runner_ix, task, run, now);
        self.order_stop(runner_ix, task, run, now);
        if let Some(known) = self.task_mut(task) {
            known.orphan = Some(OrphanRun { runner_ix, run });
        }
    }

    fn update_reported_run(&mut self, runner_ix: RunnerIx, row: &RunningTask, now: Millis) {
        let index = row.task.index as usize;
        let Some(job) = self.jobs.get_mut(&row.task.step.job) else {
            return;
        };
        let Some((step, spec)) = job.step_mut(row.task.step) else {
            return;
        };
        if index >= step.tasks.len() {
            return;
        }
        let slot = if spec.gang { 0 } else { index };
        if is_usable_checkpoint(&row.checkpoint) {
            step.tasks[slot].checkpoint = row.checkpoint.clone();
        }
        if spec.gang {
            step.record_adopted_progress(row);
        }
        let task = &mut step.tasks[index];
        if task.run == row.run {
            task.unaccounted = false;
        }
        if task.run == row.run && task.state == TaskState::Starting(runner_ix) {
            step.set_state(index, TaskState::Running(runner_ix), now);
            job.started = true;
        }
        self.clear_outlived_crashes(runner_ix, row.task, row.run, now);
    }

    /// Adopts a run ordered by a previous owner if its task is still waiting. Returns whether it
    /// did.
    fn adopt_run(&mut self, runner_ix: RunnerIx, row: &RunningTask, now: Millis) -> bool {
        let index = row.task.index as usize;
        let Some(job) = self.jobs.get_mut(&row.task.step.job) else {
            return false;
        };
        let active = job.phase == Phase::Active;
        let Some((step, spec)) = job.step_mut(row.task.step) else {
            return false;
        };
        let Some(task) = step.tasks.get_mut(index) else {
            return false;
        };
        let gang_restarted = spec.gang && !task.unverified;
        let is_unusable = row.run < task.run || row.run > MAX_RUN;
        if !active || task.state != TaskState::Waiting || is_unusable || gang_restarted {
            return false;
        }
        let is_of_gang = spec.gang;
        task.run = row.run;
        task.unverified = false;
        task.is_adopted = true;
        task.wait = None;
        if is_usable_checkpoint(&row.checkpoint) {
            let slot = if spec.gang { 0 } else { index };
            step.tasks[slot].checkpoint = row.checkpoint.clone();
        }
        step.set_state(index, TaskState::Running(runner_ix), now);
        if is_of_gang {
            step.record_adopted_member(row, now);
        }
        job.started = true;
        self.charge_reported_run(runner_ix, row.task, row.run, now);
        if is_of_gang {
            self.live_gangs.insert(row.task.step);
        }
        let runner = self.runners[runner_ix.0].entry.id.clone();
        let (task, run) = (row.task, row.run);
        self.events.push(Event::RunAdopted {
            task,
            run,
            runner,
            is_of_gang,
        });
        true
    }

    /// Reserves the resources of a run that the runner reported, as specified by its job, which may
    /// have ended already. If the job is unknown, the size of the run is unknown too.
    fn charge_reported_run(&mut self, runner_ix: RunnerIx, task: TaskId, run: u32, now: Millis) {
        let job = self.jobs.get(&task.step.job);
        let spec = job.and_then(|job| job.record.spec.steps.get(task.step.step as usize));
        let is_remote = spec.is_some_and(|spec| self.is_outside_preferred_rack(runner_ix, spec));
        let placed = PlacedRun {
            size: spec.map(StepSpec::charged_resources),
            charge: job
                .zip(spec)
                .and_then(|(job, spec)| Self::charge_of(job, spec)),
            sharing: spec.map(StepSpec::sharing).unwrap_or_default(),
            settled_sequence: Some(self.last_sequence),
            delivery: Delivery::default(),
            stop_sent_at: None,
            expected_end: spec.and_then(|spec| self.expected_end(spec, is_remote, now)),
            ordered_at: None,
            known_since: now,
            isolation: Isolation::None,
            is_remote,
            progress: Progress::default(),
            speed: RunSpeed::default(),
        };
        self.add_run(runner_ix, task, run, placed);
    }
}
