//! Orders to runners and what became of them.
//!
//! A start that was not answered may be carried out seconds later. Its room stays taken, and the
//! task waits, until the runner lists it, a stop of that run is answered (which bars the run), or
//! the order's own deadline has passed on the runner's clock.

use kspan_model::{Millis, Name};

use super::{Engine, Event, Order, RunnerIx, StopOrder, job::TaskState};
use crate::{
    id::TaskId,
    runner::{OrderOutcome, Refusal, StartOutcome},
};

/// Time after which an unanswered stop is sent again.
const STOP_REPEAT: Millis = Millis(600);

/// How long a runner that said it is unhealthy is left alone.
const UNHEALTHY_PAUSE: Millis = Millis(700);

/// How long a runner that had no room, against expectation, is left alone.
const NO_ROOM_PAUSE: Millis = Millis(250);

/// Runs that are skipped where a runner knows a higher one.
const SKIPPED_RUNS: u32 = 100;

impl Engine {
    /// Takes in what became of a start.
    pub fn record_start_outcome(
        &mut self,
        now: Millis,
        runner_ix: RunnerIx,
        task: TaskId,
        run: u32,
        outcome: StartOutcome,
    ) {
        let event = self.next_event();
        if self.runners[runner_ix.0].dead {
            return;
        }
        match outcome {
            StartOutcome::Started(clock) => {
                let runner = &mut self.runners[runner_ix.0];
                runner.heard(clock, now);
                if let Some(placed) = runner.placed.get_mut(&(task, run)) {
                    placed.proved = Some(event);
                }
                self.mark_running(runner_ix, task, run, now);
            }
            StartOutcome::Refused(why) => self.start_refused(runner_ix, task, run, why, now),
            StartOutcome::OtherIncarnation => self.end_life(runner_ix, now),
            StartOutcome::Unknown => {
                self.note_not_started(runner_ix, task, run, "no answer");
                self.runners[runner_ix.0]
                    .health
                    .pause_for(now, NO_ROOM_PAUSE);
                if self.runners[runner_ix.0].placed.contains_key(&(task, run)) {
                    self.order_stop(runner_ix, task, run, now);
                }
            }
        }
    }

    /// Takes in what became of a stop.
    pub fn record_stop_outcome(
        &mut self,
        runner_ix: RunnerIx,
        task: TaskId,
        run: u32,
        outcome: OrderOutcome,
        now: Millis,
    ) {
        let event = self.next_event();
        match outcome {
            OrderOutcome::Done => {
                if let Some(placed) = self.runners[runner_ix.0].placed.get_mut(&(task, run)) {
                    placed.proved = Some(event);
                    placed.stop_sent = None;
                }
            }
            OrderOutcome::Fenced => self.fenced = true,
            OrderOutcome::OtherIncarnation => self.end_life(runner_ix, now),
            // The stop is sent again after a while.
            OrderOutcome::Refused | OrderOutcome::Unknown => {}
        }
    }

    /// Takes in an answer about approvals, or that there was none.
    pub fn record_approvals(
        &mut self,
        now: Millis,
        order: &super::ApprovalRequest,
        answer: Option<(&[(Name, Name)], Millis)>,
    ) {
        self.advisors.finished(&order.host, answer.is_some(), now);
        let rows = answer.map(|(rows, validity)| {
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
        step.approvals.asking = false;
        let Some((approved, validity)) = rows else {
            return;
        };
        step.approvals
            .learn(&order.runners, &approved, now + validity);
        self.approval_rates
            .learn(&queue, order.runners.len(), approved.len());
    }

    /// Orders a stop; the run's room stays taken until it is proved to be over.
    pub(super) fn order_stop(&mut self, runner_ix: RunnerIx, task: TaskId, run: u32, now: Millis) {
        let Some(placed) = self.runners[runner_ix.0].placed.get_mut(&(task, run)) else {
            return;
        };
        placed.stop_sent = Some(now);
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
        let known = &step.tasks[index];
        let alive = matches!(known.state, TaskState::Starting(at) | TaskState::Running(at) if at == runner_ix);
        if alive && known.run == run {
            step.enter(index, TaskState::Stopping(runner_ix), now);
        }
    }

    /// Sends stops again that were not answered.
    pub(super) fn repeat_stops(&mut self, now: Millis) {
        for (ix, runner) in self.runners.iter_mut().enumerate() {
            if runner.dead {
                continue;
            }
            for ((task, run), placed) in &mut runner.placed {
                let due = placed
                    .stop_sent
                    .is_some_and(|sent| now >= sent + STOP_REPEAT);
                if due {
                    placed.stop_sent = Some(now);
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
            step.enter(index, TaskState::Running(runner_ix), now);
        }
    }

    fn start_refused(
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
        self.note_not_started(runner_ix, task, run, reason);
        let health = &mut self.runners[runner_ix.0].health;
        match why {
            Refusal::Fenced => self.fenced = true,
            Refusal::NoCapacity | Refusal::Malformed => health.pause_for(now, NO_ROOM_PAUSE),
            Refusal::Unhealthy => health.pause_for(now, UNHEALTHY_PAUSE),
            Refusal::StaleRun => return self.await_inventory(runner_ix, task, run),
            Refusal::InvalidTicket => self.expire_ticket(runner_ix, task),
            Refusal::DeadlinePassed => {}
        }
        self.run_vanished(runner_ix, task, run, now);
    }

    /// Leaves a run to the next inventory: it may have started and ended before its start was
    /// sent again.
    fn await_inventory(&mut self, runner_ix: RunnerIx, task: TaskId, run: u32) {
        let event = self.next_event();
        if let Some(placed) = self.runners[runner_ix.0].placed.get_mut(&(task, run)) {
            placed.proved = Some(event);
        }
        let job = self.jobs.get_mut(&task.step.job);
        if let Some((step, _)) = job.and_then(|job| job.step_mut(task.step)) {
            step.tasks[task.index as usize].skip_runs = SKIPPED_RUNS;
        }
    }

    fn expire_ticket(&mut self, runner_ix: RunnerIx, task: TaskId) {
        let job = self.jobs.get_mut(&task.step.job);
        if let Some((step, _)) = job.and_then(|job| job.step_mut(task.step)) {
            step.approvals.expire(runner_ix);
        }
    }

    fn note_not_started(&mut self, runner_ix: RunnerIx, task: TaskId, run: u32, why: &'static str) {
        let runner = self.runners[runner_ix.0].entry.id.clone();
        self.notes.push(Event::StartFailed {
            task,
            run,
            runner,
            why,
        });
    }
}
