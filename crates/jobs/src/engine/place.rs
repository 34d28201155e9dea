//! Which waiting task starts where.
//!
//! Answers the load pattern in which unlike work shares uneven runners: tasks go where the least
//! room is left over, so that wide tasks and gangs find whole runners; tasks of a long-running
//! step are spread; work near its data stays there unless waiting costs more.

use kspan_model::{Millis, Resources};

use super::{
    Engine, Event, Order, RunnerIx, StartOrder,
    job::{Step, Task, TaskState},
    runner::{Placed, Runner},
    stall::Progress,
    urgency::Urgency,
};
use crate::{
    config::Policy,
    id::{StepId, TaskId},
    record::Phase,
    spec::StepSpec,
};

/// Memory that weighs as much as a thousandth of a core when room left over is compared, in MiB
/// to a thousand.
const MEMORY_PER_MILLICORE: u64 = 4;

/// Score that keeps work from a runner that failed lately.
const SUSPECT_SCORE: u64 = 1_000_000;

/// Score that keeps a task from the runner that it failed on.
const SHUN_SCORE: u64 = 4_000_000;

/// Score for each task of the same long-running step on a runner.
const SPREAD_SCORE: u64 = 100_000;

/// A task with the runner that it will start on.
type Choice = (u32, RunnerIx);

impl Engine {
    /// Starts what can start, in the order of urgency.
    pub fn schedule(&mut self, now: Millis) {
        if self.fenced || !self.is_awake() {
            return;
        }
        let accounted = self.is_accounted(now);
        self.reserved.clear();
        for (urgency, step, durable) in self.ready(now) {
            if durable {
                self.place_step(step, accounted, now);
            }
            self.ask_for_approvals(step, now);
            if urgency.is_overdue() {
                self.reserve(step, now);
            }
        }
        self.reserved.clear();
    }

    /// Returns the steps with waiting tasks, the most urgent first.
    fn ready(&mut self, now: Millis) -> Vec<(Urgency, StepId, bool)> {
        let most_free = self.most_free(now);
        let mut ready = Vec::new();
        let mut closed = Vec::new();
        for id in &self.open {
            let job = self.jobs.get(id).filter(|job| job.phase == Phase::Active);
            let Some(job) = job else {
                closed.push(*id);
                continue;
            };
            let mut steps = job.ready_steps().peekable();
            if steps.peek().is_none() {
                closed.push(*id);
                continue;
            }
            let durable = job.spec_batch <= self.batches.durable();
            let urgency = self.urgency(job, now);
            let fitting = steps.filter_map(|id| {
                let (step, spec) = job.step(id)?;
                let is_overdue = self.is_overdue(step, spec, now);
                let urgency = urgency.or_overdue(is_overdue);
                let fits = is_overdue || spec.charged_resources().fits_in(most_free);
                fits.then_some((urgency, id, durable))
            });
            ready.extend(fitting);
        }
        for id in closed {
            self.open.remove(&id);
        }
        ready.sort_unstable();
        ready
    }

    /// Returns the most of each resource that is free on any runner. What doesn't fit in it fits
    /// nowhere, so that a full cell is found out once and not for each step that waits.
    fn most_free(&self, now: Millis) -> Resources {
        let durable = self.batches.durable();
        let usable = self
            .runners
            .iter()
            .filter(|runner| runner.takes_work(now, self.confirmed, durable));
        usable.fold(Resources::ZERO, |most, runner| {
            let free = runner.free();
            Resources {
                cpu_milli: most.cpu_milli.max(free.cpu_milli),
                memory_mib: most.memory_mib.max(free.memory_mib),
                accelerators: most.accelerators.max(free.accelerators),
            }
        })
    }

    /// Returns whether a runner can take a task of the step now, approvals and counts aside.
    pub(super) fn fits(
        &self,
        runner: &Runner,
        spec: &StepSpec,
        policy: &Policy,
        now: Millis,
    ) -> bool {
        // Room goes first: in a full cell it rules most runners out, and is cheap to compare.
        spec.charged_resources().fits_in(runner.free()) && self.accepts(runner, spec, policy, now)
    }

    /// Returns whether a runner takes tasks of the step now, room, approvals and counts aside.
    pub(super) fn accepts(
        &self,
        runner: &Runner,
        spec: &StepSpec,
        policy: &Policy,
        now: Millis,
    ) -> bool {
        runner.takes_work(now, self.confirmed, self.batches.durable())
            && runner.suits(spec.sharing())
            && runner.entry.service == policy.service
            && spec
                .label
                .as_ref()
                .is_none_or(|label| runner.has_label(label))
    }

    fn place_step(&mut self, id: StepId, accounted: bool, now: Millis) {
        let Some(job) = self.jobs.get(&id.job) else {
            return;
        };
        let Some((step, spec)) = job.step(id) else {
            return;
        };
        let policy = &job.record.policy;
        let choices = if spec.gang {
            self.choose_gang(step, spec, policy, accounted, now)
        } else {
            self.choose_each(step, spec, policy, accounted, now)
        };
        if choices.is_empty() {
            return;
        }
        let run = choices
            .iter()
            .map(|(index, _)| next_run(&step.tasks[*index as usize]))
            .max();
        let gang_run = run.filter(|_| spec.gang);
        for (index, runner_ix) in choices {
            self.start(id.task(index), runner_ix, gang_run, now);
        }
    }

    /// Chooses a runner for each waiting task that finds one.
    fn choose_each(
        &self,
        step: &Step,
        spec: &StepSpec,
        policy: &Policy,
        accounted: bool,
        now: Millis,
    ) -> Vec<Choice> {
        let size = spec.charged_resources();
        let mut usable = self.usable(step, spec, policy, now);
        let mut choices = Vec::new();
        for (index, task) in (0..).zip(&step.tasks) {
            if usable.is_empty() {
                break;
            }
            if !task.may_start(accounted) {
                continue;
            }
            let Some(at) = self.best(&usable, step, spec, Some(task), now) else {
                continue;
            };
            choices.push((index, usable[at].runner_ix));
            if !usable[at].take(size) {
                usable.swap_remove(at);
            }
        }
        choices
    }

    /// Chooses runners for all members of a gang, or for none.
    fn choose_gang(
        &self,
        step: &Step,
        spec: &StepSpec,
        policy: &Policy,
        accounted: bool,
        now: Millis,
    ) -> Vec<Choice> {
        if !step.tasks.iter().all(|task| task.may_start(accounted)) {
            return Vec::new();
        }
        let all = self.usable(step, spec, policy, now);
        if spec.same_rack {
            let mut racks: Vec<_> = all
                .iter()
                .map(|usable| self.rack_of(usable.runner_ix))
                .collect();
            racks.sort_unstable();
            racks.dedup();
            for rack in racks {
                let there = all
                    .iter()
                    .filter(|usable| self.rack_of(usable.runner_ix) == rack);
                let choices = self.fill_gang(there.cloned().collect(), step, spec, now);
                if !choices.is_empty() {
                    return choices;
                }
            }
        }
        self.fill_gang(all, step, spec, now)
    }

    fn fill_gang(
        &self,
        mut usable: Vec<Usable>,
        step: &Step,
        spec: &StepSpec,
        now: Millis,
    ) -> Vec<Choice> {
        let mut choices = Vec::new();
        for index in 0..spec.count {
            let task = &step.tasks[index as usize];
            let Some(at) = self.best(&usable, step, spec, Some(task), now) else {
                return Vec::new();
            };
            choices.push((index, usable[at].runner_ix));
            if !usable[at].take(spec.charged_resources()) {
                usable.swap_remove(at);
            }
        }
        choices
    }

    /// Returns the runners that can take a task of the step now.
    fn usable(&self, step: &Step, spec: &StepSpec, policy: &Policy, now: Millis) -> Vec<Usable> {
        let usable = |runner_ix: RunnerIx| self.usable_one(runner_ix, step, spec, policy, now);
        if policy.approval.is_some() {
            // Few runners are approved for a step, of all that there are.
            return step.approvals.valid(now).filter_map(usable).collect();
        }
        (0..self.runners.len())
            .filter_map(|ix| usable(RunnerIx(ix)))
            .collect()
    }

    /// Returns what a runner can take of a step now, approvals aside; `None` for nothing.
    fn usable_one(
        &self,
        runner_ix: RunnerIx,
        step: &Step,
        spec: &StepSpec,
        policy: &Policy,
        now: Millis,
    ) -> Option<Usable> {
        let runner = &self.runners[runner_ix.0];
        if self.reserved.contains(&runner_ix) || !self.fits(runner, spec, policy, now) {
            return None;
        }
        let there = step.on_runner.get(&runner_ix).copied().unwrap_or(0);
        let more = spec.max_per_runner.unwrap_or(u32::MAX).checked_sub(there)?;
        (more > 0).then(|| Usable {
            runner_ix,
            free: runner.free(),
            there,
            more,
            size: spec.charged_resources(),
        })
    }

    /// Returns the place in `usable` where a task goes best.
    fn best(
        &self,
        usable: &[Usable],
        step: &Step,
        spec: &StepSpec,
        task: Option<&Task>,
        now: Millis,
    ) -> Option<usize> {
        let waited = task.map_or(Millis::ZERO, |task| now.saturating_sub(task.since));
        let patience =
            Millis(self.run_times.expect(spec).0 * u64::from(self.cfg.cross_rack_slowdown - 1));
        let used_rack = self.rack_in_use(step, spec);
        let scored = usable.iter().enumerate().filter_map(|(at, usable)| {
            let runner = &self.runners[usable.runner_ix.0];
            let wanted_rack = spec.preferred_rack.as_ref().or(used_rack.as_ref());
            let far = wanted_rack.is_some_and(|rack| !runner.has_label(rack));
            if far && waited < patience {
                return None;
            }
            let mut score = usable.left_over();
            if runner.health.is_suspect() {
                score += SUSPECT_SCORE;
            }
            if task.is_some_and(|task| task.shun == Some(usable.runner_ix)) {
                score += SHUN_SCORE;
            }
            if spec.long_running {
                score += SPREAD_SCORE * u64::from(usable.there);
            }
            Some((score, at))
        });
        scored.min().map(|(_, at)| at)
    }

    /// Returns the rack that a step which must stay together has begun on.
    fn rack_in_use(&self, step: &Step, spec: &StepSpec) -> Option<kspan_model::Name> {
        if !spec.same_rack || spec.gang {
            return None;
        }
        let used = step.on_runner.iter().filter(|(_, count)| **count > 0);
        let first = used.map(|(runner_ix, _)| *runner_ix).min()?;
        self.rack_of(first)
    }

    /// Returns the label that names a runner's rack: the last of its labels.
    fn rack_of(&self, runner_ix: RunnerIx) -> Option<kspan_model::Name> {
        self.runners[runner_ix.0].entry.labels.last().cloned()
    }

    fn start(&mut self, task: TaskId, runner_ix: RunnerIx, gang_run: Option<u32>, now: Millis) {
        let Some(deadline) = self.runners[runner_ix.0].next_deadline(&self.cfg, now) else {
            return;
        };
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
        let ticket = step.approvals.ticket(runner_ix, now).cloned();
        let known = &mut step.tasks[index];
        let run = gang_run.unwrap_or_else(|| next_run(known));
        let waited = now.saturating_sub(known.since);
        known.run = run;
        known.skip_runs = 0;
        known.unaccounted = false;
        step.enter(index, TaskState::Starting(runner_ix), now);
        let runner = &mut self.runners[runner_ix.0];
        runner.place(
            task,
            run,
            Placed {
                size: Some(size),
                sharing,
                proved: None,
                stop_sent: None,
                progress: Progress::default(),
            },
        );
        self.notes.push(Event::StartOrdered {
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
        }));
    }
}

/// A runner that can take tasks of a step, while they are dealt out.
#[derive(Clone, Debug)]
struct Usable {
    runner_ix: RunnerIx,
    free: Resources,
    /// Tasks of the step that are there.
    there: u32,
    /// Tasks of the step that may come.
    more: u32,
    size: Resources,
}

impl Usable {
    /// Takes room for one task; returns whether there is some for another.
    fn take(&mut self, size: Resources) -> bool {
        self.free = self.free.checked_sub(size).unwrap_or_default();
        self.there += 1;
        self.more -= 1;
        self.more > 0 && size.fits_in(self.free)
    }

    /// Returns the room that is left over with one task more, in thousandths of a core.
    fn left_over(&self) -> u64 {
        let left = self.free.checked_sub(self.size).unwrap_or_default();
        left.cpu_milli + left.memory_mib / MEMORY_PER_MILLICORE
    }
}

fn next_run(task: &Task) -> u32 {
    task.run + 1 + task.skip_runs
}
