//! Outcomes of orders to runners.
//!
//! A start that was not answered is in doubt: the runner may execute it seconds later. Its
//! resources stay reserved and the task is not started elsewhere until the runner lists the run, a
//! stop of the run is answered (after which the runner refuses the start), or the deadline of the
//! order has passed on the runner's clock.

use kspan_model::{Millis, Name};

use super::{Engine, Event, LossReason, Order, RunnerIx, StartOrder, StopOrder, task::TaskState};
use crate::{
    id::TaskId,
    runner::{Inventory, OrderOutcome, Refusal, StartOutcome},
};

/// Time after which an unanswered stop is resent.
const STOP_RETRY_INTERVAL: Millis = Millis(600);

/// How long no work is sent to a runner that reported itself unhealthy.
const UNHEALTHY_PAUSE: Millis = Millis(700);

/// How long no work is sent to a runner that refused a start for lack of resources, could not parse
/// it, or did not answer it.
const NO_CAPACITY_PAUSE: Millis = Millis(250);

/// Number of run numbers to skip when a runner has seen a higher one.
const RUN_NUMBER_SKIP: u32 = 100;

impl Engine {
    /// Returns whether a start order may be sent, and records that it is. While the order waited, its run
    /// may have been stopped, or the runner's incarnation may have ended.
    pub fn begin_start(&mut self, order: &StartOrder) -> bool {
        let StartOrder {
            runner_ix,
            task,
            run,
            ..
        } = *order;
        if !self.is_start_wanted(runner_ix, task, run) {
            return false;
        }
        // Ticks are frequent, and no time precedes the order itself.
        let latest_tick = self.last_tick;
        let durable = self.batches.durable();
        let runner = &mut self.runners[runner_ix.0];
        if !runner.may_be_granted_lease(durable) {
            return false;
        }
        let Some(placed) = runner.runs.get_mut(&(task, run)) else {
            return false;
        };
        let sent_at = latest_tick.unwrap_or_default().max(placed.known_since);
        let unanswered = placed.delivery.record_attempt(sent_at);
        runner.record_grant(sent_at);
        runner.record_doubted_grant(unanswered);
        if unanswered.is_some() {
            self.record_doubts(runner_ix);
        }
        true
    }

    /// Returns the sequence number of an inventory call that the runner has to answer before the order is sent;
    /// `None` if it needs none. Its approval may be one of an incarnation that nobody has heard, so that a
    /// start without an answer would be in doubt for long, and a runner that was just lost gets no start.
    pub fn next_proof_call(&mut self, order: &StartOrder) -> Option<u64> {
        let runner = &self.runners[order.runner_ix.0];
        let placed = runner.runs.get(&(order.task, order.run))?;
        let is_needed = placed
            .delivery
            .needs_proof_of_life(runner.answered_sequence);
        is_needed.then(|| self.next_sequence())
    }

    /// Records the answer to such a call. What it lists is left to the runner's next inventory.
    pub fn record_proof_of_life(
        &mut self,
        now: Millis,
        runner_ix: RunnerIx,
        sequence: u64,
        inventory: &Inventory,
    ) {
        let runner = &mut self.runners[runner_ix.0];
        if runner.dead {
            return;
        }
        if !runner.has_restarted(inventory.started_unix_ms) {
            runner.record_proof_of_life(sequence, inventory.started_unix_ms);
            return self.record_order_clock(runner_ix, inventory.clock, now);
        }
        let may_have_restarted = runner.may_inherit_lease();
        runner.record_restart_shown();
        self.record_suspected_restart(runner_ix, may_have_restarted);
        self.record_doubts(runner_ix);
    }

    fn is_start_wanted(&self, runner_ix: RunnerIx, task: TaskId, run: u32) -> bool {
        let job = self.jobs.get(&task.step.job);
        let step = job.and_then(|job| job.step(task.step));
        let known = step.and_then(|(step, _)| step.tasks.get(task.index as usize));
        known.is_some_and(|known| {
            let is_there = known.state.active_runner() == Some(runner_ix);
            is_there && known.run == run && !self.runners[runner_ix.0].dead
        })
    }

    /// Returns whether a stop order is still needed: its runner's incarnation has not ended, and the run
    /// may be there.
    pub fn is_stop_needed(&self, order: &StopOrder) -> bool {
        let runner = &self.runners[order.runner_ix.0];
        !runner.dead && runner.runs.contains_key(&(order.task, order.run))
    }

    /// Records the outcome of a start order.
    pub fn record_start_outcome(
        &mut self,
        now: Millis,
        runner_ix: RunnerIx,
        task: TaskId,
        run: u32,
        outcome: StartOutcome,
    ) {
        let sequence = self.next_sequence();
        if self.runners[runner_ix.0].dead {
            return;
        }
        match outcome {
            StartOutcome::Started(clock) => {
                let runner = &mut self.runners[runner_ix.0];
                let may_have_restarted = runner.may_inherit_lease();
                let is_by_known = runner.is_own_clock(clock, now);
                runner.record_clock(clock, now);
                if let Some(placed) = runner.runs.get_mut(&(task, run)) {
                    placed.settled_sequence = Some(sequence);
                    placed.delivery.record_answer(is_by_known);
                }
                self.record_suspected_restart(runner_ix, may_have_restarted);
                if !is_by_known {
                    self.record_doubts(runner_ix);
                }
                self.mark_running(runner_ix, task, run, now);
            }
            StartOutcome::Refused(why) => self.handle_refusal(runner_ix, task, run, why, now),
            StartOutcome::OtherIncarnation => self.mark_dead(runner_ix, now),
            StartOutcome::Withdrawn => {
                self.remove_lost_run(runner_ix, task, run, LossReason::StartWithdrawn, now);
            }
            StartOutcome::InDoubt => self.handle_doubt(runner_ix, task, run, now),
        }
    }

    /// Stops a run whose order was not answered, unless an inventory has shown that it is there.
    fn handle_doubt(&mut self, runner_ix: RunnerIx, task: TaskId, run: u32, now: Millis) {
        let runner = &mut self.runners[runner_ix.0];
        runner.health.pause_for(now, NO_CAPACITY_PAUSE);
        let placed = runner.runs.get(&(task, run)).copied();
        runner.record_doubted_grant(placed.and_then(|placed| placed.delivery.latest_attempt()));
        if placed.is_some_and(|placed| placed.delivery.is_shown()) {
            return;
        }
        let is_placed = placed.is_some();
        self.record_doubts(runner_ix);
        self.emit_start_failed(runner_ix, task, run, "no answer");
        if is_placed {
            self.order_stop(runner_ix, task, run, now);
        }
    }

    /// Records the reading of a runner's clock in the answer to a stop or throttle order, or in the refusal of a
    /// start. It may be that of the next incarnation, which nobody has heard.
    pub fn record_order_clock(&mut self, runner_ix: RunnerIx, clock: Millis, now: Millis) {
        let runner = &mut self.runners[runner_ix.0];
        if runner.dead {
            return;
        }
        let may_have_restarted = runner.may_inherit_lease();
        runner.record_clock(clock, now);
        self.record_suspected_restart(runner_ix, may_have_restarted);
    }

    /// Records the outcome of a stop order.
    pub fn record_stop_outcome(
        &mut self,
        runner_ix: RunnerIx,
        task: TaskId,
        run: u32,
        outcome: OrderOutcome,
        now: Millis,
    ) {
        let sequence = self.next_sequence();
        if self.runners[runner_ix.0].dead {
            return;
        }
        match outcome {
            OrderOutcome::Done => {
                if let Some(placed) = self.runners[runner_ix.0].runs.get_mut(&(task, run)) {
                    placed.settled_sequence = Some(sequence);
                    placed.stop_sent_at = None;
                }
            }
            OrderOutcome::Fenced => self.fenced = true,
            OrderOutcome::OtherIncarnation => self.mark_dead(runner_ix, now),
            // `resend_stops` sends it again.
            OrderOutcome::Refused | OrderOutcome::InDoubt => {}
        }
    }

    /// Records the response to an approval request, or `None` if there was none.
    pub fn record_approvals(
        &mut self,
        now: Millis,
        order: &super::ApprovalRequest,
        response: Option<(&[(Name, Name)], Millis)>,
    ) {
        let sequence = self.next_sequence();
        self.approval_hosts
            .record_call(&order.host, response.is_some(), now);
        let rows = response.map(|(rows, validity)| {
            let known = rows.iter().filter_map(|(id, ticket)| {
                let runner_ix = self.by_id.get(id)?;
                Some((*runner_ix, ticket.clone()))
            });
            (known.collect::<Vec<_>>(), validity)
        });
        let Some(job) = self.jobs.get_mut(&order.step.job) else {
            return;
        };
        let queue = job.record.queue.clone();
        let Some((step, _)) = job.step_mut(order.step) else {
            return;
        };
        step.approvals.pending = None;
        let Some((approved, validity)) = rows else {
            return;
        };
        step.approvals
            .record_response(&order.runners, &approved, now + validity, sequence);
        self.approval_rates
            .record(&queue, order.runners.len(), approved.len());
    }

    /// Orders a stop. The run's resources stay reserved until it is proven to be over.
    pub(super) fn order_stop(&mut self, runner_ix: RunnerIx, task: TaskId, run: u32, now: Millis) {
        let Some(placed) = self.runners[runner_ix.0].runs.get_mut(&(task, run)) else {
            return;
        };
        placed.stop_sent_at = Some(now);
        self.orders.push_back(Order::Stop(StopOrder {
            runner_ix,
            task,
            run,
        }));
        let Some(job) = self.jobs.get_mut(&task.step.job) else {
            return;
        };
        let Some((step, _)) = job.step_mut(task.step) else {
            return;
        };
        let index = task.index as usize;
        // The run may be one that a runner reported, with any index.
        let Some(known) = step.tasks.get(index) else {
            return;
        };
        if known.state.active_runner() == Some(runner_ix) && known.run == run {
            step.set_state(index, TaskState::Stopping(runner_ix), now);
        }
    }

    /// Resends stops that have not been answered in time.
    pub(super) fn resend_stops(&mut self, now: Millis) {
        for (ix, runner) in self.runners.iter_mut().enumerate() {
            if runner.dead {
                continue;
            }
            for ((task, run), placed) in &mut runner.runs {
                let due = placed
                    .stop_sent_at
                    .is_some_and(|sent| now >= sent + STOP_RETRY_INTERVAL);
                if due {
                    placed.stop_sent_at = Some(now);
                    self.orders.push_back(Order::Stop(StopOrder {
                        runner_ix: RunnerIx(ix),
                        task: *task,
                        run: *run,
                    }));
                }
            }
        }
    }

    fn mark_running(&mut self, runner_ix: RunnerIx, task: TaskId, run: u32, now: Millis) {
        let Some(job) = self.jobs.get_mut(&task.step.job) else {
            return;
        };
        job.started = true;
        let Some((step, _)) = job.step_mut(task.step) else {
            return;
        };
        let index = task.index as usize;
        let known = &step.tasks[index];
        if known.run == run && known.state == TaskState::Starting(runner_ix) {
            step.set_state(index, TaskState::Running(runner_ix), now);
        }
    }

    fn handle_refusal(
        &mut self,
        runner_ix: RunnerIx,
        task: TaskId,
        run: u32,
        why: Refusal,
        now: Millis,
    ) {
        let reason = match why {
            Refusal::Fenced => "fenced",
            Refusal::StaleRun => "a run as high has ended there",
            Refusal::DeadlinePassed => "late",
            Refusal::NoCapacity => "no room",
            Refusal::InvalidTicket => "approval not valid",
            Refusal::Unhealthy => "runner unhealthy",
            Refusal::Malformed => "not understood",
        };
        self.emit_start_failed(runner_ix, task, run, reason);
        let health = &mut self.runners[runner_ix.0].health;
        match why {
            Refusal::Fenced => self.fenced = true,
            Refusal::NoCapacity | Refusal::Malformed => health.pause_for(now, NO_CAPACITY_PAUSE),
            Refusal::Unhealthy => health.pause_for(now, UNHEALTHY_PAUSE),
            Refusal::StaleRun => return self.defer_to_inventory(runner_ix, task, run),
            Refusal::InvalidTicket => self.invalidate_ticket(runner_ix, task),
            Refusal::DeadlinePassed => {}
        }
        self.remove_lost_run(runner_ix, task, run, LossReason::StartRefused, now);
    }

    /// Defers the decision about a run to the next inventory, because it may have started and ended
    /// before its start was resent.
    fn defer_to_inventory(&mut self, runner_ix: RunnerIx, task: TaskId, run: u32) {
        let sequence = self.next_sequence();
        if let Some(placed) = self.runners[runner_ix.0].runs.get_mut(&(task, run)) {
            placed.settled_sequence = Some(sequence);
        }
        let job = self.jobs.get_mut(&task.step.job);
        if let Some((step, _)) = job.and_then(|job| job.step_mut(task.step)) {
            step.tasks[task.index as usize].skip_runs = RUN_NUMBER_SKIP;
        }
    }

    fn invalidate_ticket(&mut self, runner_ix: RunnerIx, task: TaskId) {
        let job = self.jobs.get_mut(&task.step.job);
        if let Some((step, _)) = job.and_then(|job| job.step_mut(task.step)) {
            step.approvals.invalidate(runner_ix);
        }
    }

    fn emit_start_failed(
        &mut self,
        runner_ix: RunnerIx,
        task: TaskId,
        run: u32,
        why: &'static str,
    ) {
        let runner = self.runners[runner_ix.0].entry.id.clone();
        self.events.push(Event::StartFailed {
            task,
            run,
            runner,
            why,
        });
    }
}
