//! Orders to runners and what became of them.
//!
//! A start that was not answered may be carried out seconds later. Its room stays taken, and the
//! task waits, until the runner lists it, a stop of that run is answered (which bars the run), or
//! the order's own deadline has passed on the runner's clock.

use kspan_model::{Millis, Name};

use super::{Engine, Note, Order, RunnerIx, StopOrder, job::TaskState};
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
    pub fn start_ended(
        &mut self,
        now: Millis,
        on: RunnerIx,
        task: TaskId,
        run: u32,
        outcome: StartOutcome,
    ) {
        let event = self.next_event();
        if self.runners[on.0].dead {
            return;
        }
        match outcome {
            StartOutcome::Started(clock) => {
                let runner = &mut self.runners[on.0];
                runner.heard(clock, now);
                if let Some(placed) = runner.placed.get_mut(&(task, run)) {
                    placed.proved = Some(event);
                }
                self.mark_running(on, task, run, now);
            }
            StartOutcome::Refused(why) => self.start_refused(on, task, run, why, now),
            StartOutcome::OtherLife => self.end_life(on, now),
            StartOutcome::Unknown => {
                self.note_not_started(on, task, run, "no answer");
                self.runners[on.0].health.pause_for(now, NO_ROOM_PAUSE);
                if self.runners[on.0].placed.contains_key(&(task, run)) {
                    self.order_stop(on, task, run, now);
                }
            }
        }
    }

    /// Takes in what became of a stop.
    pub fn stop_ended(
        &mut self,
        on: RunnerIx,
        task: TaskId,
        run: u32,
        outcome: OrderOutcome,
        now: Millis,
    ) {
        let event = self.next_event();
        match outcome {
            OrderOutcome::Done => {
                if let Some(placed) = self.runners[on.0].placed.get_mut(&(task, run)) {
                    placed.proved = Some(event);
                    placed.stop_sent = None;
                }
            }
            OrderOutcome::Fenced => self.fenced = true,
            OrderOutcome::OtherLife => self.end_life(on, now),
            // The stop is sent again after a while.
            OrderOutcome::Refused | OrderOutcome::Unknown => {}
        }
    }

    /// Takes in an answer about approvals, or that there was none.
    pub fn advised(
        &mut self,
        now: Millis,
        order: &super::AdviseOrder,
        answer: Option<(&[(Name, Name)], Millis)>,
    ) {
        self.advisors.finished(&order.via, answer.is_some(), now);
        let rows = answer.map(|(rows, validity)| {
            let known = rows.iter().filter_map(|(id, ticket)| {
                let on = self.by_id.get(id)?;
                Some((*on, ticket.clone()))
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
    pub(super) fn order_stop(&mut self, on: RunnerIx, task: TaskId, run: u32, now: Millis) {
        let Some(placed) = self.runners[on.0].placed.get_mut(&(task, run)) else {
            return;
        };
        placed.stop_sent = Some(now);
        self.orders
            .push_back(Order::Stop(StopOrder { on, task, run }));
        let Some(job) = self.jobs.get_mut(&task.step.job) else {
            return;
        };
        let Some((step, _)) = job.step_mut(task.step) else {
            return;
        };
        let index = task.index as usize;
        let known = &step.tasks[index];
        let alive =
            matches!(known.state, TaskState::Starting(at) | TaskState::Running(at) if at == on);
        if alive && known.run == run {
            step.enter(index, TaskState::Stopping(on), now);
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
                        on: RunnerIx(ix),
                        task: *task,
                        run: *run,
                    }));
                }
            }
        }
    }

    fn mark_running(&mut self, on: RunnerIx, task: TaskId, run: u32, now: Millis) {
        let Some(job) = self.jobs.get_mut(&task.step.job) else {
            return;
        };
        job.started = true;
        let Some((step, _)) = job.step_mut(task.step) else {
            return;
        };
        let index = task.index as usize;
        let known = &step.tasks[index];
        if known.run == run && known.state == TaskState::Starting(on) {
            step.enter(index, TaskState::Running(on), now);
        }
    }

    fn start_refused(&mut self, on: RunnerIx, task: TaskId, run: u32, why: Refusal, now: Millis) {
        let reason = match why {
            Refusal::Fenced => "fenced",
            Refusal::OldRun => "a run as high has ended there",
            Refusal::Late => "late",
            Refusal::NoRoom => "no room",
            Refusal::Ticket => "approval not valid",
            Refusal::Unhealthy => "runner unhealthy",
            Refusal::Malformed => "not understood",
        };
        self.note_not_started(on, task, run, reason);
        let health = &mut self.runners[on.0].health;
        match why {
            Refusal::Fenced => self.fenced = true,
            Refusal::NoRoom | Refusal::Malformed => health.pause_for(now, NO_ROOM_PAUSE),
            Refusal::Unhealthy => health.pause_for(now, UNHEALTHY_PAUSE),
            Refusal::OldRun => return self.await_inventory(on, task, run),
            Refusal::Ticket => self.expire_ticket(on, task),
            Refusal::Late => {}
        }
        self.run_vanished(on, task, run, now);
    }

    /// Leaves a run to the next inventory: it may have started and ended before its start was
    /// sent again.
    fn await_inventory(&mut self, on: RunnerIx, task: TaskId, run: u32) {
        let event = self.next_event();
        if let Some(placed) = self.runners[on.0].placed.get_mut(&(task, run)) {
            placed.proved = Some(event);
        }
        let job = self.jobs.get_mut(&task.step.job);
        if let Some((step, _)) = job.and_then(|job| job.step_mut(task.step)) {
            step.tasks[task.index as usize].skip_runs = SKIPPED_RUNS;
        }
    }

    fn expire_ticket(&mut self, on: RunnerIx, task: TaskId) {
        let job = self.jobs.get_mut(&task.step.job);
        if let Some((step, _)) = job.and_then(|job| job.step_mut(task.step)) {
            step.approvals.expire(on);
        }
    }

    fn note_not_started(&mut self, on: RunnerIx, task: TaskId, run: u32, why: &'static str) {
        let on = self.runners[on.0].entry.id.clone();
        self.notes.push(Note::NotStarted { task, run, on, why });
    }
}
