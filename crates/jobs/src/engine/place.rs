//! Placement of waiting tasks on runners.
//!
//! Placement is best-fit: a task goes to the runner where it takes the least room from the large
//! tasks in demand and then leaves the least resources over, so that large tasks and gangs find
//! empty runners when dissimilar tasks share runners of different sizes.
//! Tasks of a long-running step are spread over runners. Tasks with a preferred or shared rack are
//! placed there, wait for it or are placed elsewhere; see `locality`.

use kspan_model::{Millis, Name, Resources};

use super::{
    Engine, Event, Order, RunnerIx, StartOrder,
    job::{Job, Step, Task, TaskState},
    locality::{Decision, Wait, decide},
    rack_forecast::RackForecast,
    runner::{PlacedRun, Runner},
    stall::Progress,
    urgency::Urgency,
};
use crate::{
    config::Policy,
    id::{JobId, StepId},
    record::Phase,
    spec::StepSpec,
};

/// Memory that counts as one thousandth of a core in the comparison of left-over resources, in MiB.
const MEMORY_MIB_PER_MILLICORE: u64 = 4;

/// Thousandths of a core that count as much as one accelerator in the same comparison.
const MILLICORES_PER_ACCELERATOR: u64 = 8_000;

/// Weight of the room lost for large tasks, which precedes differences of left-over resources.
const LOSS_WEIGHT: u64 = 500;

/// Penalty for a runner with recent failures, added to the score of its left-over resources like
/// the penalties below.
const SUSPECT_PENALTY: u64 = 1_000_000;

/// Penalty for the runner on which the task's latest run failed or stalled.
const FAILED_RUNNER_PENALTY: u64 = 4_000_000;

/// Penalty for each task of the same long-running step on the runner.
const SPREAD_PENALTY: u64 = 100_000;

/// Maximum number of runners that a step examines in one decision.
const MAX_EXAMINED: usize = 400;

/// How long a step examines the same part of the runners.
const EXAMINATION_PERIOD: Millis = Millis(100);

/// A step with waiting tasks whose dependencies are completed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ReadyStep {
    urgency: Urgency,
    step: StepId,
    /// Whether the specification of the job is durable.
    is_durable: bool,
    /// Whether runners are reserved for the step while its tasks wait.
    is_reservable: bool,
    /// Whether the run time of the tasks depends on their rack.
    has_locality: bool,
}

/// The ready steps of a scheduling pass.
#[derive(Debug)]
struct ReadySteps {
    /// The steps, the most urgent first.
    steps: Vec<ReadyStep>,
    /// Steps that are about to become ready, the most urgent first.
    upcoming: Vec<(Urgency, StepId)>,
    /// Steps without room on any runner, the most urgent first.
    without_room: Vec<ReadyStep>,
    /// A job that can no longer meet its objective and was not reported yet.
    late_job: Option<JobId>,
}

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

impl Engine {
    /// Starts waiting tasks where resources allow, in order of urgency.
    pub fn schedule(&mut self, now: Millis) {
        if self.fenced || !self.is_confirmed_since_gap() {
            return;
        }
        let all_verified = self.are_all_runs_verified(now);
        self.update_unknown_usage(all_verified, now);
        self.reserved.clear();
        let ReadySteps {
            steps: ready_steps,
            upcoming,
            without_room,
            late_job,
        } = self.ranked_ready_steps(all_verified, now);
        self.open_runners = self.runners_with_room(&ready_steps, now);
        if ready_steps.iter().any(|ready| ready.has_locality) {
            self.forecast = self.new_forecast();
        }
        let mut without_room = without_room.into_iter().peekable();
        for ready in ready_steps {
            if self.forecast.is_active() {
                while let Some(ahead) = without_room.next_if(|ahead| *ahead < ready) {
                    self.claim_for_waiting(ahead.step);
                }
            }
            if ready.is_durable {
                self.place_step(ready.step, all_verified, now);
            }
            if self.is_blocked_by_cap(ready.step) {
                // Runners and approvals would be kept from steps that may start.
                self.mark_blocked_by_cap(ready.step);
                continue;
            }
            if self.forecast.is_active() && !ready.has_locality {
                self.claim_for_waiting(ready.step);
            }
            if ready.urgency.is_overdue() {
                self.reserve_for_overdue(ready.step, now);
            } else if ready.is_reservable {
                self.reserve_for_large(ready.step, now);
            }
            self.request_approvals(ready.step, now);
        }
        for (_, step) in upcoming {
            if !self.is_blocked_by_cap(step) {
                self.request_approvals(step, now);
            }
        }
        self.reserved.clear();
        self.report_blocked_teams();
        self.forecast = RackForecast::default();
        self.report_late_job(late_job, now);
    }

    /// Returns the ready steps with waiting tasks, the most urgent first. Also removes jobs without
    /// such steps from the schedulable set. Steps whose tasks may all be running under a previous
    /// owner, or that the cap of their team blocks, are left out: they would keep runners and approval
    /// calls from steps that may start.
    fn ranked_ready_steps(&mut self, all_verified: bool, now: Millis) -> ReadySteps {
        let max_free = self.max_free(now);
        let share_unit = self.share_unit();
        let mut ready = Vec::new();
        let mut upcoming = Vec::new();
        let mut without_room = Vec::new();
        let mut blocked = Vec::new();
        let mut late_job = None;
        let mut exhausted = Vec::new();
        for id in &self.schedulable {
            let job = self.jobs.get(id).filter(|job| job.phase == Phase::Active);
            let Some(job) = job else {
                exhausted.push(*id);
                continue;
            };
            let mut steps = job.ready_steps().peekable();
            let mut later = job.upcoming_steps().peekable();
            if steps.peek().is_none() && later.peek().is_none() {
                exhausted.push(*id);
                continue;
            }
            let is_durable = job.spec_batch <= self.batches.durable();
            let urgency = self.urgency(job, share_unit, now);
            if later.peek().is_some() {
                upcoming.extend(self.upcoming_steps(job, urgency, now));
            }
            if urgency.misses_objective() && !job.reported_late {
                late_job = Some(*id);
            }
            let policy = &job.record.policy;
            for id in steps {
                let Some((step, spec)) = job.step(id) else {
                    continue;
                };
                if !all_verified && !step.tasks.iter().any(|task| task.may_start(false)) {
                    continue;
                }
                if self.is_blocked_by_cap(id) {
                    blocked.push(id);
                    continue;
                }
                let is_overdue = self.is_overdue(step, spec, now);
                let is_reservable = self.is_reservable(spec, policy);
                let fits = spec.charged_resources().fits_in(max_free);
                let steps = if fits || is_overdue || is_reservable {
                    &mut ready
                } else {
                    &mut without_room
                };
                steps.push(ReadyStep {
                    urgency: urgency
                        .with_overdue(is_overdue)
                        .with_repeated_failures(step.fails_repeatedly()),
                    step: id,
                    is_durable,
                    is_reservable,
                    has_locality: self.has_locality(spec),
                });
            }
        }
        for id in exhausted {
            self.schedulable.remove(&id);
        }
        for id in blocked {
            self.mark_blocked_by_cap(id);
        }
        ready.sort_unstable();
        upcoming.sort_unstable();
        if ready.iter().any(|ready| ready.has_locality) {
            without_room.sort_unstable();
        }
        ReadySteps {
            steps: ready,
            upcoming,
            without_room,
            late_job,
        }
    }

    /// Returns the component-wise maximum of the free resources over all runners. A task that does
    /// not fit in it fits on no runner, so that a full cell is detected once rather than for each
    /// waiting step.
    fn max_free(&self, now: Millis) -> Resources {
        let durable = self.batches.durable();
        let accepting = self
            .runners
            .iter()
            .filter(|runner| runner.accepts_work(now, self.confirmed_at, durable));
        accepting.fold(Resources::ZERO, |max, runner| {
            max.component_max(runner.free())
        })
    }

    /// Returns the runners that accept work and have free resources for a task of at least one of the
    /// steps. In a full cell these are few, so that the steps need not look at all others.
    fn runners_with_room(&self, ready_steps: &[ReadyStep], now: Millis) -> Vec<RunnerIx> {
        let sizes = ready_steps.iter().filter_map(|ready| {
            let (_, spec) = self.jobs.get(&ready.step.job)?.step(ready.step)?;
            Some(spec.charged_resources())
        });
        let Some(smallest) = sizes.reduce(Resources::component_min) else {
            return Vec::new();
        };
        let durable = self.batches.durable();
        let has_room = |runner_ix: &RunnerIx| {
            let runner = &self.runners[runner_ix.0];
            smallest.fits_in(runner.free()) && runner.accepts_work(now, self.confirmed_at, durable)
        };
        (0..self.runners.len())
            .map(RunnerIx)
            .filter(has_room)
            .collect()
    }

    /// Returns whether a runner has free resources for a task of the step and accepts it, apart
    /// from approvals and the limit per runner.
    pub(super) fn can_place(
        &self,
        runner: &Runner,
        spec: &StepSpec,
        policy: &Policy,
        now: Millis,
    ) -> bool {
        // Compares resources first: the check is cheap and rules out most runners of a full cell.
        spec.charged_resources().fits_in(runner.free()) && self.accepts(runner, spec, policy, now)
    }

    /// Returns whether a runner accepts tasks of the step, apart from free resources, approvals and
    /// the limit per runner.
    pub(super) fn accepts(
        &self,
        runner: &Runner,
        spec: &StepSpec,
        policy: &Policy,
        now: Millis,
    ) -> bool {
        runner.accepts_work(now, self.confirmed_at, self.batches.durable())
            && runner.allows_sharing(spec.sharing())
            && runner.entry.service == policy.service
            && spec
                .label
                .as_ref()
                .is_none_or(|label| runner.has_label(label))
    }

    fn place_step(&mut self, id: StepId, all_verified: bool, now: Millis) {
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
        for choice in choices {
            self.start_task(id, choice, gang_run, now);
        }
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
        let may_start = |task: &Task| task.may_start(all_verified);
        let waiting = step.tasks.iter().filter(|task| may_start(task)).count();
        let mut near = self.rack_preference(id, job, waiting, forecast, now);
        if let Some(near) = &near {
            self.add_candidates_in_rack(&mut candidates, &near.rack, id, job, forecast, now);
        }
        let mut placement = Placement::default();
        let mut is_rack_full = false;
        let mut decided = 0;
        for (index, task) in (0..).zip(&step.tasks) {
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
                        at = self.best_candidate(&candidates, spec, task, place);
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
                    at = self.best_candidate(&candidates, spec, task, place);
                }
            }
            let at = at.or_else(|| self.best_candidate(&candidates, spec, task, Place::Any));
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
            if !candidates[at].reserve(size) {
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
        if !step.tasks.iter().all(|task| task.may_start(all_verified)) {
            return None;
        }
        let mut all = self.candidates(id, step, spec, &job.record.policy, now);
        let has_locality = self.has_locality(spec);
        if !has_locality && !spec.same_rack {
            return Some(Placement {
                choices: self.fill_gang(all, step, spec, false),
                waits: Vec::new(),
            });
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
            self.fill_gang(in_rack.cloned().collect(), step, spec, false)
        });
        let mut in_racks = in_racks.filter(|choices| !choices.is_empty());
        if let Some(choices) = in_racks.next() {
            return Some(Placement {
                choices,
                waits: Vec::new(),
            });
        }
        let across = self.fill_gang(all, step, spec, has_locality);
        if !has_locality {
            return Some(Placement {
                choices: across,
                waits: Vec::new(),
            });
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
        let split = |choices| Placement {
            choices,
            waits: Vec::new(),
        };
        let Some((step, spec)) = job.step(id) else {
            return Placement::default();
        };
        let best = self.best_gang_rack(id, job, forecast, now);
        let Some((start, rack)) = best else {
            return split(across);
        };
        let Some(mut situation) = self.situation(id, &rack, job, forecast, now) else {
            return split(across);
        };
        let first = &step.tasks[0];
        situation.local_start = Some(start);
        situation.waiting_since = first.state_since;
        let decision = decide(self.gang_rule(spec), &situation, first.wait.as_ref());
        let Decision::WaitUntil(until) = decision else {
            return split(across);
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
    ) -> Vec<Choice> {
        let mut choices = Vec::new();
        for index in 0..spec.count {
            let task = &step.tasks[index as usize];
            let Some(at) = self.best_candidate(&candidates, spec, task, Place::Any) else {
                return Vec::new();
            };
            choices.push(Choice {
                index,
                runner_ix: candidates[at].runner_ix,
                is_remote,
            });
            if !candidates[at].reserve(spec.charged_resources()) {
                candidates.swap_remove(at);
            }
        }
        choices
    }

    /// Returns the runners on which a task of the step can be placed.
    fn candidates(
        &self,
        id: StepId,
        step: &Step,
        spec: &StepSpec,
        policy: &Policy,
        now: Millis,
    ) -> Vec<Candidate> {
        let candidate =
            |runner_ix: RunnerIx| self.candidate(runner_ix, id, step, spec, policy, now);
        if policy.approval.is_some() {
            // Only a small share of the runners is approved for a step.
            return step
                .approvals
                .valid_runners(now)
                .filter_map(candidate)
                .collect();
        }
        examined(self.open_runners.len(), id, now)
            .filter_map(|at| candidate(self.open_runners[at]))
            .collect()
    }

    /// Returns the runner as a candidate for tasks of the step, regardless of approvals; `None` if
    /// it cannot take any.
    fn candidate(
        &self,
        runner_ix: RunnerIx,
        id: StepId,
        step: &Step,
        spec: &StepSpec,
        policy: &Policy,
        now: Millis,
    ) -> Option<Candidate> {
        let runner = &self.runners[runner_ix.0];
        if !self.can_place(runner, spec, policy, now) {
            return None;
        }
        let size = spec.charged_resources();
        let usable = self.usable_resources(runner_ix, id, spec, now);
        let remaining = step.remaining_on(runner_ix, spec);
        (remaining > 0 && size.fits_in(usable)).then(|| Candidate {
            runner_ix,
            free: runner.free(),
            usable,
            step_tasks: step.tasks_by_runner.get(&runner_ix).copied().unwrap_or(0),
            remaining,
            size,
        })
    }

    /// Adds the runners of a rack that are not among the candidates, because the step examines only
    /// a part of the runners.
    fn add_candidates_in_rack(
        &self,
        candidates: &mut Vec<Candidate>,
        rack: &Name,
        id: StepId,
        job: &Job,
        forecast: &RackForecast,
        now: Millis,
    ) {
        let policy = &job.record.policy;
        let Some((step, spec)) = job.step(id) else {
            return;
        };
        if policy.approval.is_some() || self.open_runners.len() <= MAX_EXAMINED {
            return;
        }
        for runner_ix in forecast.runners_in(rack) {
            if candidates.iter().all(|known| known.runner_ix != *runner_ix) {
                candidates.extend(self.candidate(*runner_ix, id, step, spec, policy, now));
            }
        }
    }

    /// Returns the index of the best candidate for a task.
    fn best_candidate(
        &self,
        candidates: &[Candidate],
        spec: &StepSpec,
        task: &Task,
        place: Place,
    ) -> Option<usize> {
        let service = candidates.first().map(|candidate| {
            let runner = &self.runners[candidate.runner_ix.0];
            &runner.entry.service
        });
        let shapes = service.and_then(|service| self.demand.shapes(service));
        let scored = candidates.iter().enumerate().filter_map(|(at, candidate)| {
            let runner = &self.runners[candidate.runner_ix.0];
            if !place.includes(runner) {
                return None;
            }
            let left = candidate.left();
            let loss = shapes.map_or(0, |shapes| shapes.loss(candidate.free, left));
            let mut score = leftover_score(left).saturating_add(loss.saturating_mul(LOSS_WEIGHT));
            if runner.health.is_suspect() {
                score = score.saturating_add(SUSPECT_PENALTY);
            }
            if task.last_failed_on == Some(candidate.runner_ix) {
                score = score.saturating_add(FAILED_RUNNER_PENALTY);
            }
            if spec.long_running {
                let penalty = SPREAD_PENALTY.saturating_mul(u64::from(candidate.step_tasks));
                score = score.saturating_add(penalty);
            }
            Some((score, at))
        });
        scored.min().map(|(_, at)| at)
    }

    /// Returns the runner's rack, which is its last label.
    pub(super) fn rack_of(&self, runner_ix: RunnerIx) -> Option<Name> {
        self.runners[runner_ix.0].entry.labels.last().cloned()
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

    fn start_task(&mut self, id: StepId, choice: Choice, gang_run: Option<u32>, now: Millis) {
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
        let Some(job) = self.jobs.get_mut(&task.step.job) else {
            return;
        };
        let text = job.record.spec.text.clone();
        let Some((step, spec)) = job.step_mut(task.step) else {
            return;
        };
        let index = task.index as usize;
        let (size, sharing) = (spec.charged_resources(), spec.sharing());
        let slot = if spec.gang { 0 } else { index };
        let checkpoint = Some(step.tasks[slot].checkpoint.clone()).filter(|text| !text.is_empty());
        let ticket = step.approvals.valid_ticket(runner_ix, now);
        let ticket_validity = ticket.map(|(_, until)| until.saturating_sub(now));
        let valid_for = ticket_validity.map_or(self.cfg.lease, |left| left.min(self.cfg.lease));
        let ticket = ticket.map(|(ticket, _)| ticket.clone());
        let known = &mut step.tasks[index];
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
            stop_sent_at: None,
            expected_end,
            ordered_at: Some(now),
            is_remote: choice.is_remote,
            progress: Progress::default(),
        };
        self.add_run(runner_ix, task, run, placed);
        let runner = &self.runners[runner_ix.0];
        self.events.push(Event::StartOrdered {
            task,
            run,
            runner: runner.entry.id.clone(),
            waited,
            left_milli: runner.free().cpu_milli,
        });
        self.orders.push_back(Order::Start(StartOrder {
            runner_ix,
            task,
            run,
            text,
            deadline,
            checkpoint,
            ticket,
            valid_for,
        }));
    }
}

/// Runners among which a task is placed.
#[derive(Clone, Copy, Debug)]
enum Place<'a> {
    /// All runners.
    Any,
    /// Those in the rack.
    Inside(&'a Name),
    /// Those outside the rack.
    Outside(&'a Name),
}

impl Place<'_> {
    fn includes(self, runner: &Runner) -> bool {
        match self {
            Self::Any => true,
            Self::Inside(rack) => runner.has_label(rack),
            Self::Outside(rack) => !runner.has_label(rack),
        }
    }
}

/// A runner that can take tasks of a step, with the resources left during the assignment.
#[derive(Clone, Debug)]
struct Candidate {
    runner_ix: RunnerIx,
    free: Resources,
    /// Part of the free resources that the step may use.
    usable: Resources,
    /// Number of the step's tasks on the runner.
    step_tasks: u32,
    /// Number of further tasks of the step that the runner may take.
    remaining: u32,
    size: Resources,
}

impl Candidate {
    /// Reserves resources for one task; returns whether the runner can take another.
    fn reserve(&mut self, size: Resources) -> bool {
        self.free = self.free.saturating_sub(size);
        self.usable = self.usable.saturating_sub(size);
        self.step_tasks += 1;
        self.remaining -= 1;
        self.remaining > 0 && size.fits_in(self.usable)
    }

    /// Returns the free resources left over after placing one more task.
    fn left(&self) -> Resources {
        self.free.saturating_sub(self.size)
    }
}

/// Returns which of `count` runners a step examines now, as indices below `count`. In a large cell
/// each step examines a part, so that a decision takes the same time however large the cell is.
/// Steps begin at different places, so that they do not all choose the same runners, and a step that
/// keeps waiting moves on to the next part.
pub(super) fn examined(count: usize, id: StepId, now: Millis) -> impl Iterator<Item = usize> {
    let parts_passed = now.0 / EXAMINATION_PERIOD.0;
    let step = id.job.0.wrapping_add(u64::from(id.step));
    let first = step.wrapping_add(parts_passed * MAX_EXAMINED as u64) % count.max(1) as u64;
    let first = usize::try_from(first).unwrap_or(0);
    (0..count.min(MAX_EXAMINED)).map(move |offset| (first + offset) % count)
}

/// Returns a score for left-over resources, in thousandths of a core.
fn leftover_score(left: Resources) -> u64 {
    let accelerators = left.accelerators.saturating_mul(MILLICORES_PER_ACCELERATOR);
    left.cpu_milli
        .saturating_add(left.memory_mib / MEMORY_MIB_PER_MILLICORE)
        .saturating_add(accelerators)
}

fn next_run(task: &Task) -> u32 {
    task.run.saturating_add(1).saturating_add(task.skip_runs)
}
