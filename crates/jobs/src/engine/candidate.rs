//! Runners on which the tasks of a step can be placed, and the best of them for a task.
//!
//! A task goes to the runner where it takes the least room from the large tasks in demand and then
//! leaves the least resources over, so that large tasks and gangs find empty runners when dissimilar
//! tasks share runners of different sizes. Tasks of a long-running step are spread over runners.

use kspan_model::{Millis, Name, Resources};

use super::{
    Engine, RunnerIx,
    evidence::{Isolation, MAX_SUSPECT_AGE},
    job::{Job, Step},
    rack_forecast::RackForecast,
    runner::Runner,
    task::{Task, TaskState},
};
use crate::{config::Policy, id::StepId, spec::StepSpec};

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

/// Penalty for a runner with a run that may crash it.
const ISOLATED_RUN_PENALTY: u64 = 2_000_000;

/// Penalty for each run beside a task that may crash the runner.
const NEIGHBOUR_PENALTY: u64 = 100_000;

/// Penalty, for such a task, for a runner that keeps crashing. Such a runner is empty most often, and
/// its next crash would be held against the task.
const CRASHING_RUNNER_PENALTY: u64 = 3_000_000;

/// Penalty for a runner with runs that the task interferes with.
const INTERFERENCE_PENALTY: u64 = 2_000_000;

/// Penalty for each best-effort run on such a runner. All of them slow down its latency-sensitive runs.
const BEST_EFFORT_PENALTY: u64 = 100_000;

/// How long a task waits for a runner without runs that it interferes with.
const MAX_SEPARATION_WAIT: Millis = Millis(1_000);

/// Maximum number of runners that a step examines in one decision.
const MAX_EXAMINED: usize = 400;

/// How long a step examines the same part of the runners.
const EXAMINATION_PERIOD: Millis = Millis(100);

/// Runners among which a task is placed.
#[derive(Clone, Copy, Debug)]
pub(super) enum Place<'a> {
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
pub(super) struct Candidate {
    pub(super) runner_ix: RunnerIx,
    free: Resources,
    /// Part of the free resources that the step may use.
    usable: Resources,
    /// Number of the step's tasks on the runner.
    step_tasks: u32,
    /// Number of further tasks of the step that the runner may take.
    remaining: u32,
    size: Resources,
    /// Whether the runner has runs that the step's tasks interfere with.
    interferes: bool,
    /// Whether the runner has a run that is kept from others.
    has_isolated_run: bool,
    /// Whether the runner is kept for tasks of the step that start alone.
    is_kept: bool,
    /// Number of tasks that were assigned to the runner in this decision.
    assigned: usize,
}

impl Candidate {
    /// Reserves resources for one task; returns whether the runner can take another.
    pub(super) fn reserve(&mut self, size: Resources, isolation: Isolation) -> bool {
        self.free = self.free.saturating_sub(size);
        self.usable = self.usable.saturating_sub(size);
        self.step_tasks += 1;
        self.remaining -= 1;
        self.assigned += 1;
        self.has_isolated_run |= isolation != Isolation::None;
        self.remaining > 0 && size.fits_in(self.usable) && isolation != Isolation::Alone
    }

    /// Returns whether a task that is kept from others may run on the runner.
    fn allows(&self, runner: &Runner, isolation: Isolation, now: Millis) -> bool {
        let recently = now.saturating_sub(MAX_SUSPECT_AGE);
        let is_quiet = || self.assigned == 0 && !runner.has_run_since(recently);
        isolation.may_join(self.is_kept, self.has_isolated_run)
            && (isolation != Isolation::Alone || is_quiet())
    }

    /// Returns the penalty for what a crash of the runner would cost: the work beside a task that may
    /// cause one.
    fn isolation_penalty(&self, runner: &Runner, isolation: Isolation) -> u64 {
        if isolation == Isolation::None {
            return if self.has_isolated_run {
                ISOLATED_RUN_PENALTY
            } else {
                0
            };
        }
        let neighbours = runner.runs.len() + self.assigned;
        let penalty = NEIGHBOUR_PENALTY.saturating_mul(neighbours as u64);
        if runner.keeps_crashing() {
            penalty.saturating_add(CRASHING_RUNNER_PENALTY)
        } else {
            penalty
        }
    }

    /// Returns the penalty for interference between best-effort and latency-sensitive runs.
    fn interference_penalty(&self, runner: &Runner) -> u64 {
        if !self.interferes {
            return 0;
        }
        let best_effort = runner.best_effort_runs + self.assigned;
        let penalty = BEST_EFFORT_PENALTY.saturating_mul(best_effort as u64);
        penalty.saturating_add(INTERFERENCE_PENALTY)
    }

    /// Returns the free resources left over after placing one more task.
    fn left(&self) -> Resources {
        self.free.saturating_sub(self.size)
    }
}

impl Task {
    /// Returns whether the task has waited so long that it may share a runner with runs that it
    /// interferes with.
    fn may_interfere(&self, now: Millis) -> bool {
        self.state == TaskState::Waiting
            && now.saturating_sub(self.state_since) >= MAX_SEPARATION_WAIT
    }
}

impl Step {
    /// Returns whether any of the tasks may share a runner with runs that it interferes with.
    fn may_interfere(&self, now: Millis) -> bool {
        self.tasks.iter().any(|task| task.may_interfere(now))
    }
}

impl Engine {
    /// Returns whether a runner has free resources for a task of the step and accepts it, apart
    /// from approvals and the limit per runner.
    pub(super) fn can_place(
        &self,
        runner: &Runner,
        step: &Step,
        spec: &StepSpec,
        policy: &Policy,
        now: Millis,
    ) -> bool {
        // Compares resources first: the check is cheap and rules out most runners of a full cell.
        spec.charged_resources().fits_in(runner.free())
            && self.accepts(runner, spec, policy, now)
            && (!runner.interferes_with(spec.sharing()) || step.may_interfere(now))
    }

    /// Returns whether a runner accepts tasks of the step, apart from free resources, approvals, the
    /// limit per runner and interference with its runs.
    pub(super) fn accepts(
        &self,
        runner: &Runner,
        spec: &StepSpec,
        policy: &Policy,
        now: Millis,
    ) -> bool {
        runner.health.is_available(now) && self.could_accept(runner, spec, policy, now)
    }

    /// Returns the same for a runner that may be paused.
    pub(super) fn could_accept(
        &self,
        runner: &Runner,
        spec: &StepSpec,
        policy: &Policy,
        now: Millis,
    ) -> bool {
        runner.could_accept_work(now, self.confirmed_at, self.batches.durable())
            && runner.entry.service == policy.service
            && spec
                .label
                .as_ref()
                .is_none_or(|label| runner.has_label(label))
    }

    /// Returns the runners on which a task of the step can be placed.
    pub(super) fn candidates(
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

    /// Returns whether no task of a step may start on a runner, because of a run that is alone there or is to be.
    pub(super) fn is_closed_to(&self, runner_ix: RunnerIx, id: StepId) -> bool {
        self.runners[runner_ix.0].has_run_alone() || self.is_kept_for_other(runner_ix, id)
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
        if self.is_closed_to(runner_ix, id) || !self.can_place(runner, step, spec, policy, now) {
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
            interferes: runner.interferes_with(spec.sharing()),
            has_isolated_run: runner.has_isolated_run(),
            is_kept: self.is_kept_for(runner_ix, id),
            assigned: 0,
        })
    }

    /// Adds the runners of a rack that are not among the candidates, because the step examines only
    /// a part of the runners.
    pub(super) fn add_candidates_in_rack(
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
    pub(super) fn best_candidate(
        &self,
        candidates: &[Candidate],
        spec: &StepSpec,
        task: &Task,
        place: Place,
        now: Millis,
    ) -> Option<usize> {
        let isolation = task.isolation(spec, now);
        let service = candidates.first().map(|candidate| {
            let runner = &self.runners[candidate.runner_ix.0];
            &runner.entry.service
        });
        let shapes = service.and_then(|service| self.demand.shapes(service));
        let scored = candidates.iter().enumerate().filter_map(|(at, candidate)| {
            let runner = &self.runners[candidate.runner_ix.0];
            let is_open = !candidate.interferes || task.may_interfere(now);
            if !is_open || !place.includes(runner) || !candidate.allows(runner, isolation, now) {
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
            score = score.saturating_add(candidate.isolation_penalty(runner, isolation));
            score = score.saturating_add(candidate.interference_penalty(runner));
            if spec.long_running {
                let penalty = SPREAD_PENALTY.saturating_mul(u64::from(candidate.step_tasks));
                score = score.saturating_add(penalty);
            }
            Some((score, at))
        });
        scored.min().map(|(_, at)| at)
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
