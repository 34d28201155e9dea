//! Placement of waiting tasks on runners.
//!
//! Placement is best-fit: a task goes to the runner where it takes the least room from the large
//! tasks in demand and then leaves the least resources over, so that large tasks and gangs find
//! empty runners when dissimilar tasks share runners of different sizes.
//! Tasks of a long-running step are spread over runners. Tasks with a preferred rack stay there
//! unless waiting for it takes longer than running elsewhere.

use kspan_model::{Millis, Resources};

use super::{
    Engine, Event, Order, RunnerIx, StartOrder,
    job::{Step, Task, TaskState},
    runner::{PlacedRun, Runner},
    stall::Progress,
    urgency::Urgency,
};
use crate::{
    config::Policy,
    id::{JobId, StepId, TaskId},
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
}

/// The ready steps of a scheduling pass.
#[derive(Debug)]
struct ReadySteps {
    /// The steps, the most urgent first.
    steps: Vec<ReadyStep>,
    /// Steps that are about to become ready, the most urgent first.
    upcoming: Vec<(Urgency, StepId)>,
    /// A job that can no longer meet its objective and was not reported yet.
    late_job: Option<JobId>,
}

/// Index of a task, and the runner chosen for it.
type Choice = (u32, RunnerIx);

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
            late_job,
        } = self.ranked_ready_steps(all_verified, now);
        self.open_runners = self.runners_with_room(&ready_steps, now);
        for ready in ready_steps {
            if ready.is_durable {
                self.place_step(ready.step, all_verified, now);
            }
            if self.is_blocked_by_cap(ready.step) {
                // Runners and approvals would be kept from steps that may start.
                self.mark_blocked_by_cap(ready.step);
                continue;
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
        self.report_late_job(late_job, now);
    }

    /// Returns the ready steps with waiting tasks, the most urgent first. Also removes jobs without
    /// such steps from the schedulable set. Steps whose tasks may all be running under a previous
    /// owner are left out, because their approval calls would delay those of others.
    fn ranked_ready_steps(&mut self, all_verified: bool, now: Millis) -> ReadySteps {
        let max_free = self.max_free(now);
        let share_unit = self.share_unit();
        let mut ready = Vec::new();
        let mut upcoming = Vec::new();
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
            let fitting = steps.filter_map(|id| {
                let (step, spec) = job.step(id)?;
                if !all_verified && !step.tasks.iter().any(|task| task.may_start(false)) {
                    return None;
                }
                let is_overdue = self.is_overdue(step, spec, now);
                let is_reservable = self.is_reservable(spec, policy);
                let fits = spec.charged_resources().fits_in(max_free);
                (fits || is_overdue || is_reservable).then_some(ReadyStep {
                    urgency: urgency
                        .with_overdue(is_overdue)
                        .with_repeated_failures(step.fails_repeatedly()),
                    step: id,
                    is_durable,
                    is_reservable,
                })
            });
            ready.extend(fitting);
        }
        for id in exhausted {
            self.schedulable.remove(&id);
        }
        ready.sort_unstable();
        upcoming.sort_unstable();
        ReadySteps {
            steps: ready,
            upcoming,
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
        let Some(job) = self.jobs.get(&id.job) else {
            return;
        };
        let Some((step, spec)) = job.step(id) else {
            return;
        };
        let policy = &job.record.policy;
        let max_tasks = self.tasks_within_cap(id);
        if max_tasks == 0 {
            return;
        }
        let mut choices = if spec.gang {
            self.choose_gang(id, step, spec, policy, all_verified, now)
        } else {
            self.choose_runners(id, step, spec, policy, all_verified, now)
        };
        choices.truncate(max_tasks);
        if choices.is_empty() {
            return;
        }
        let run = choices
            .iter()
            .map(|(index, _)| next_run(&step.tasks[*index as usize]))
            .max();
        let gang_run = run.filter(|_| spec.gang);
        for (index, runner_ix) in choices {
            self.start_task(id.task(index), runner_ix, gang_run, now);
        }
    }

    /// Chooses a runner for each waiting task that can be placed.
    fn choose_runners(
        &self,
        id: StepId,
        step: &Step,
        spec: &StepSpec,
        policy: &Policy,
        all_verified: bool,
        now: Millis,
    ) -> Vec<Choice> {
        let size = spec.charged_resources();
        let mut candidates = self.candidates(id, step, spec, policy, now);
        let mut choices = Vec::new();
        for (index, task) in (0..).zip(&step.tasks) {
            if candidates.is_empty() {
                break;
            }
            if !task.may_start(all_verified) {
                continue;
            }
            let Some(at) = self.best_candidate(&candidates, step, spec, Some(task), now) else {
                continue;
            };
            choices.push((index, candidates[at].runner_ix));
            if !candidates[at].reserve(size) {
                candidates.swap_remove(at);
            }
        }
        choices
    }

    /// Chooses runners for all members of a gang, or for none.
    fn choose_gang(
        &self,
        id: StepId,
        step: &Step,
        spec: &StepSpec,
        policy: &Policy,
        all_verified: bool,
        now: Millis,
    ) -> Vec<Choice> {
        if !step.tasks.iter().all(|task| task.may_start(all_verified)) {
            return Vec::new();
        }
        let all = self.candidates(id, step, spec, policy, now);
        if spec.same_rack {
            let mut racks: Vec<_> = all
                .iter()
                .map(|candidate| self.rack_of(candidate.runner_ix))
                .collect();
            racks.sort_unstable();
            racks.dedup();
            for rack in racks {
                let in_rack = all
                    .iter()
                    .filter(|candidate| self.rack_of(candidate.runner_ix) == rack);
                let choices = self.fill_gang(in_rack.cloned().collect(), step, spec, now);
                if !choices.is_empty() {
                    return choices;
                }
            }
        }
        self.fill_gang(all, step, spec, now)
    }

    fn fill_gang(
        &self,
        mut candidates: Vec<Candidate>,
        step: &Step,
        spec: &StepSpec,
        now: Millis,
    ) -> Vec<Choice> {
        let mut choices = Vec::new();
        for index in 0..spec.count {
            let task = &step.tasks[index as usize];
            let Some(at) = self.best_candidate(&candidates, step, spec, Some(task), now) else {
                return Vec::new();
            };
            choices.push((index, candidates[at].runner_ix));
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

    /// Returns the index of the best candidate for a task.
    fn best_candidate(
        &self,
        candidates: &[Candidate],
        step: &Step,
        spec: &StepSpec,
        task: Option<&Task>,
        now: Millis,
    ) -> Option<usize> {
        let waited = task.map_or(Millis::ZERO, |task| now.saturating_sub(task.state_since));
        let slowdown = u64::from(self.cfg.cross_rack_slowdown.saturating_sub(1));
        let locality_wait = self.run_times.expected(spec).saturating_mul(slowdown);
        let current_rack = self.rack_in_use(step, spec);
        let service = candidates.first().map(|candidate| {
            let runner = &self.runners[candidate.runner_ix.0];
            &runner.entry.service
        });
        let shapes = service.and_then(|service| self.demand.shapes(service));
        let scored = candidates.iter().enumerate().filter_map(|(at, candidate)| {
            let runner = &self.runners[candidate.runner_ix.0];
            let target_rack = spec.preferred_rack.as_ref().or(current_rack.as_ref());
            let off_rack = target_rack.is_some_and(|rack| !runner.has_label(rack));
            if off_rack && waited < locality_wait {
                return None;
            }
            let left = candidate.left();
            let loss = shapes.map_or(0, |shapes| shapes.loss(candidate.free, left));
            let mut score = leftover_score(left).saturating_add(loss.saturating_mul(LOSS_WEIGHT));
            if runner.health.is_suspect() {
                score = score.saturating_add(SUSPECT_PENALTY);
            }
            if task.is_some_and(|task| task.last_failed_on == Some(candidate.runner_ix)) {
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

    /// Returns the rack in use by a step whose tasks should share one.
    fn rack_in_use(&self, step: &Step, spec: &StepSpec) -> Option<kspan_model::Name> {
        if !spec.same_rack || spec.gang {
            return None;
        }
        let used = step.tasks_by_runner.iter().filter(|(_, count)| **count > 0);
        let first = used.map(|(runner_ix, _)| *runner_ix).min()?;
        self.rack_of(first)
    }

    /// Returns the runner's rack, which is its last label.
    fn rack_of(&self, runner_ix: RunnerIx) -> Option<kspan_model::Name> {
        self.runners[runner_ix.0].entry.labels.last().cloned()
    }

    fn start_task(
        &mut self,
        task: TaskId,
        runner_ix: RunnerIx,
        gang_run: Option<u32>,
        now: Millis,
    ) {
        let Some(deadline) = self.runners[runner_ix.0].extend_lease(&self.cfg, now) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&task.step.job) else {
            return;
        };
        let text = job.record.spec.text.clone();
        let charge = job
            .step(task.step)
            .and_then(|(_, spec)| Self::charge_of(job, spec));
        let Some((step, spec)) = job.step_mut(task.step) else {
            return;
        };
        let index = task.index as usize;
        let (size, sharing) = (spec.charged_resources(), spec.sharing());
        let expected_end = self.run_times.expected_end(spec, now);
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
        step.set_state(index, TaskState::Starting(runner_ix), now);
        let placed = PlacedRun {
            size: Some(size),
            charge,
            sharing,
            settled_sequence: None,
            stop_sent_at: None,
            expected_end,
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
