//! Placement of a step's waiting tasks, singly or as a gang.
//!
//! Tasks with a preferred or shared rack are placed there, wait for it or are placed elsewhere; see
//! `locality`. Among the remaining runners `candidate` chooses.

use kspan_model::{Millis, Name};

use super::{
    Engine, Event, Order, RunnerIx, StartOrder,
    candidate::{Candidate, Place},
    job::{Job, Step},
    locality::{Decision, Wait, decide},
    rack_forecast::RackForecast,
    runner::{Delivery, PlacedRun},
    stall::Progress,
    task::{Task, TaskState},
    throttle::RunSpeed,
};
use crate::{id::StepId, spec::StepSpec};

/// The runner chosen for a task.
#[derive(Clone, Copy, Debug)]
struct Choice {
    /// Index of the task.
    index: u32,
    runner_ix: RunnerIx,
    /// Whether the run takes longer because it is not in its rack.
    is_remote: bool,
}

/// Decisions for the waiting tasks of a step.
#[derive(Debug, Default)]
struct Placement {
    choices: Vec<Choice>,
    /// Indexes of the tasks that wait for their rack, and their waits.
    waits: Vec<(u32, Wait)>,
}

impl Placement {
    /// Starts tasks and lets none wait for its rack.
    fn start(choices: Vec<Choice>) -> Self {
        Self {
            choices,
            waits: Vec::new(),
        }
    }
}

impl Engine {
    pub(super) fn place_step(&mut self, id: StepId, all_verified: bool, now: Millis) {
        if self.tasks_within_cap(id) == 0 {
            return;
        }
        let mut forecast = std::mem::take(&mut self.forecast);
        let placement = self.placement(id, all_verified, &mut forecast, now);
        self.forecast = forecast;
        let Some(Placement { mut choices, waits }) = placement else {
            return;
        };
        self.record_waits(id, waits, now);
        choices.truncate(self.tasks_within_cap(id));
        if choices.is_empty() {
            return;
        }
        let Some((step, spec)) = self.jobs.get(&id.job).and_then(|job| job.step(id)) else {
            return;
        };
        let run = choices
            .iter()
            .map(|choice| next_run(&step.tasks[choice.index as usize]))
            .max();
        let gang_run = run.filter(|_| spec.gang);
        // The members of a gang start together, so they wait for the records of all.
        let is_gang_held = spec.gang && step.tasks.iter().any(|task| task.is_held());
        if let Some(run) = gang_run {
            self.emit_gang_ordered(id, run, &choices);
            self.live_gangs.insert(id);
        }
        for choice in choices {
            self.start_task(id, choice, gang_run, is_gang_held, now);
        }
        if gang_run.is_some() {
            self.settle_gang(id, now);
        }
    }

    fn emit_gang_ordered(&mut self, step: StepId, run: u32, choices: &[Choice]) {
        let ids = choices.iter().map(|choice| {
            let runner = &self.runners[choice.runner_ix.0];
            runner.entry.id.clone()
        });
        let runners = ids.collect();
        self.events.push(Event::GangOrdered { step, run, runners });
    }

    /// Decides for the waiting tasks of a step.
    fn placement(
        &self,
        id: StepId,
        all_verified: bool,
        forecast: &mut RackForecast,
        now: Millis,
    ) -> Option<Placement> {
        let job = self.jobs.get(&id.job)?;
        let (_, spec) = job.step(id)?;
        if spec.gang {
            self.place_gang(id, job, all_verified, forecast, now)
        } else {
            self.place_tasks(id, job, all_verified, forecast, now)
        }
    }

    /// Chooses a runner for each waiting task that can be placed.
    fn place_tasks(
        &self,
        id: StepId,
        job: &Job,
        all_verified: bool,
        forecast: &mut RackForecast,
        now: Millis,
    ) -> Option<Placement> {
        let (step, spec) = job.step(id)?;
        let size = spec.charged_resources();
        let mut candidates = self.candidates(id, step, spec, &job.record.policy, now);
        let may_start = |task: &Task| task.may_start(all_verified, now);
        let waiting = step.tasks.iter().filter(|task| may_start(task)).count();
        let mut near = self.rack_preference(id, job, waiting, forecast, now);
        if let Some(near) = &near {
            self.add_candidates_in_rack(&mut candidates, &near.rack, id, job, forecast, now);
        }
        let mut placement = Placement::default();
        let mut is_rack_full = false;
        let mut decided = 0;
        for (index, task) in (0..).zip(step.tasks.iter()) {
            if candidates.is_empty() {
                break;
            }
            if !may_start(task) {
                continue;
            }
            decided += 1;
            let mut at = None;
            if let Some(near) = near.as_mut() {
                if near.prefers_rack(self.locality_rule) {
                    if !is_rack_full {
                        let place = Place::Inside(&near.rack);
                        at = self.best_candidate(&candidates, spec, task, place, now);
                        is_rack_full = at.is_none();
                    }
                    if at.is_none()
                        && let Decision::WaitUntil(until) =
                            self.decide_for_task(index, id, job, near, forecast)
                    {
                        placement.waits.push((index, near.wait(until)));
                        continue;
                    }
                } else {
                    let place = Place::Outside(&near.rack);
                    at = self.best_candidate(&candidates, spec, task, place, now);
                }
            }
            let at = at.or_else(|| self.best_candidate(&candidates, spec, task, Place::Any, now));
            let Some(at) = at else {
                continue;
            };
            let runner_ix = candidates[at].runner_ix;
            let runner = &self.runners[runner_ix.0];
            placement.choices.push(Choice {
                index,
                runner_ix,
                is_remote: near
                    .as_ref()
                    .is_some_and(|near| !runner.has_label(&near.rack)),
            });
            if !candidates[at].reserve(size, task.isolation(spec, now)) {
                candidates.swap_remove(at);
            }
        }
        if let Some(near) = &near {
            forecast.claim_undecided(near, spec, waiting - decided);
            if !placement.waits.is_empty() {
                forecast.await_rack(id, &near.rack);
            }
        }
        Some(placement)
    }

    /// Chooses runners for all members of a gang, or for none.
    fn place_gang(
        &self,
        id: StepId,
        job: &Job,
        all_verified: bool,
        forecast: &mut RackForecast,
        now: Millis,
    ) -> Option<Placement> {
        let (step, spec) = job.step(id)?;
        if !step
            .tasks
            .iter()
            .all(|task| task.may_start(all_verified, now))
        {
            return None;
        }
        let mut all = self.candidates(id, step, spec, &job.record.policy, now);
        let has_locality = self.has_locality(spec);
        if !has_locality && !spec.same_rack {
            return Some(Placement::start(
                self.fill_gang(all, step, spec, false, now),
            ));
        }
        let mut racks: Vec<_> = match &spec.preferred_rack {
            Some(rack) => {
                self.add_candidates_in_rack(&mut all, rack, id, job, forecast, now);
                vec![rack.clone()]
            }
            None => all
                .iter()
                .filter_map(|candidate| self.rack_of(candidate.runner_ix))
                .collect(),
        };
        racks.sort_unstable();
        racks.dedup();
        let has_label = |candidate: &&Candidate, rack: &Name| {
            self.runners[candidate.runner_ix.0].has_label(rack)
        };
        let in_racks = racks.iter().map(|rack| {
            let in_rack = all.iter().filter(|candidate| has_label(candidate, rack));
            self.fill_gang(in_rack.cloned().collect(), step, spec, false, now)
        });
        let mut in_racks = in_racks.filter(|choices| !choices.is_empty());
        if let Some(choices) = in_racks.next() {
            return Some(Placement::start(choices));
        }
        let across = self.fill_gang(all, step, spec, has_locality, now);
        if !has_locality {
            return Some(Placement::start(across));
        }
        Some(self.wait_or_split(id, job, across, forecast, now))
    }

    /// Decides whether a gang that fits in no rack now waits for one or starts as `across` says,
    /// which is empty if it cannot start.
    fn wait_or_split(
        &self,
        id: StepId,
        job: &Job,
        across: Vec<Choice>,
        forecast: &mut RackForecast,
        now: Millis,
    ) -> Placement {
        let Some((step, spec)) = job.step(id) else {
            return Placement::default();
        };
        let best = self.best_gang_rack(id, job, forecast, now);
        let Some((start, rack)) = best else {
            return Placement::start(across);
        };
        let Some(mut situation) = self.situation(id, &rack, job, forecast, now) else {
            return Placement::start(across);
        };
        let first = &step.tasks[0];
        if first.is_overdue(spec, now) {
            return Placement::start(across);
        }
        situation.local_start = Some(start);
        situation.waiting_since = first.state_since;
        let decision = decide(self.gang_rule(spec), &situation, first.wait.as_ref());
        let Decision::WaitUntil(until) = decision else {
            return Placement::start(across);
        };
        forecast.claim_for_gang(id, spec, &rack, situation.local_run_time);
        if across.is_empty() {
            return Placement::default();
        }
        let wait = Wait {
            rack,
            began: now,
            predicted: start,
            until,
        };
        Placement {
            choices: Vec::new(),
            waits: vec![(0, wait)],
        }
    }

    fn fill_gang(
        &self,
        mut candidates: Vec<Candidate>,
        step: &Step,
        spec: &StepSpec,
        is_remote: bool,
        now: Millis,
    ) -> Vec<Choice> {
        let mut choices = Vec::new();
        for index in 0..spec.count {
            let task = &step.tasks[index as usize];
            let Some(at) = self.best_candidate(&candidates, spec, task, Place::Any, now) else {
                return Vec::new();
            };
            choices.push(Choice {
                index,
                runner_ix: candidates[at].runner_ix,
                is_remote,
            });
            if !candidates[at].reserve(spec.charged_resources(), task.isolation(spec, now)) {
                candidates.swap_remove(at);
            }
        }
        choices
    }

    /// Records the waits of tasks for their rack, and reports those that begin.
    fn record_waits(&mut self, id: StepId, waits: Vec<(u32, Wait)>, now: Millis) {
        let step = self.jobs.get_mut(&id.job).and_then(|job| job.step_mut(id));
        let Some((step, _)) = step else {
            return;
        };
        for (index, mut wait) in waits {
            let task = &mut step.tasks[index as usize];
            if let Some(known) = &task.wait {
                wait.began = known.began;
                // A group that waits for another rack now has another prediction.
                if known.rack == wait.rack {
                    wait.predicted = known.predicted;
                }
            } else {
                self.events.push(Event::RackWaitBegan {
                    task: id.task(index),
                    rack: wait.rack.clone(),
                    predicted: wait.predicted.saturating_sub(now),
                    limit: wait.until.saturating_sub(now),
                });
            }
            task.wait = Some(wait);
        }
    }

    fn start_task(
        &mut self,
        id: StepId,
        choice: Choice,
        gang_run: Option<u32>,
        is_gang_held: bool,
        now: Millis,
    ) {
        let (task, runner_ix) = (id.task(choice.index), choice.runner_ix);
        let Some(deadline) = self.runners[runner_ix.0].extend_lease(&self.cfg, now) else {
            return;
        };
        let Some(job) = self.jobs.get(&task.step.job) else {
            return;
        };
        let Some((_, spec)) = job.step(task.step) else {
            return;
        };
        let expected_end = self.expected_end(spec, choice.is_remote, now);
        let charge = Self::charge_of(job, spec);
        let gang_start_time = self.gang_start_time();
        let Some(job) = self.jobs.get_mut(&task.step.job) else {
            return;
        };
        let text = job.record.spec.text.clone();
        let Some((step, spec)) = job.step_mut(task.step) else {
            return;
        };
        let is_persistent = spec.gang && spec.count > 1;
        let max_validity = if is_persistent {
            gang_start_time
        } else {
            self.cfg.lease
        };
        let index = task.index as usize;
        let (size, sharing) = (spec.charged_resources(), spec.sharing());
        let slot = if spec.gang { 0 } else { index };
        let checkpoint = Some(step.tasks[slot].checkpoint.clone()).filter(|text| !text.is_empty());
        let ticket = step.approvals.valid_ticket(runner_ix, now);
        let ticket_validity = ticket.map(|(_, until)| until.saturating_sub(now));
        let valid_for = ticket_validity.map_or(max_validity, |left| left.min(max_validity));
        let ticket = ticket.map(|(ticket, _)| ticket.clone());
        let approved_sequence = step.approvals.sequence(runner_ix);
        let approval = step.approvals.record_use(runner_ix);
        let known = &mut step.tasks[index];
        let isolation = known.isolation(spec, now);
        let is_suspected = known.unaccounted || known.crashes.are_suspicious();
        let is_held = is_gang_held || known.is_held();
        let run = gang_run.unwrap_or_else(|| next_run(known));
        let waited = now.saturating_sub(known.state_since);
        known.run = run;
        known.skip_runs = 0;
        known.unverified = false;
        if let Some(wait) = known.wait.take() {
            self.events.push(Event::RackWaitEnded {
                task,
                how: wait.end(choice.is_remote, now),
                predicted: wait.predicted.saturating_sub(wait.began),
                waited: now.saturating_sub(wait.began),
                rack: wait.rack,
            });
        }
        step.set_state(index, TaskState::Starting(runner_ix), now);
        let placed = PlacedRun {
            size: Some(size),
            charge,
            sharing,
            settled_sequence: None,
            delivery: Delivery::with_approval(approved_sequence),
            stop_sent_at: None,
            expected_end,
            ordered_at: Some(now),
            known_since: now,
            isolation,
            is_remote: choice.is_remote,
            progress: Progress::default(),
            speed: RunSpeed::at_start(),
        };
        self.add_run(runner_ix, task, run, placed);
        let runner = &self.runners[runner_ix.0];
        self.events.push(Event::StartOrdered {
            task,
            run,
            runner: runner.entry.id.clone(),
            waited,
            left_milli: runner.free().cpu_milli,
            approval,
        });
        let order = StartOrder {
            runner_ix,
            task,
            run,
            text,
            deadline,
            checkpoint,
            ticket,
            valid_for,
            is_persistent,
        };
        if is_suspected {
            self.record_start(&order, isolation);
        }
        if is_held {
            self.hold_start(order, now);
        } else {
            self.orders.push_back(Order::Start(order));
        }
    }
}

fn next_run(task: &Task) -> u32 {
    task.run.saturating_add(1).saturating_add(task.skip_runs)
}
