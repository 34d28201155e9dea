//! Choice of the rack for steps with a preferred or shared rack, and their decisions to wait for it.

use kspan_model::{Millis, Name};
use rustc_hash::FxHashMap;

use super::{
    Engine, RunnerIx,
    job::{Job, Step},
    locality::{Decision, LocalityRule, Situation, Wait, decide},
    rack_forecast::RackForecast,
    rack_places::Places,
};
use crate::{id::StepId, spec::StepSpec};

/// The rack that a step prefers in this pass, and what is common to the decisions for its tasks.
#[derive(Debug)]
pub(super) struct RackPreference {
    pub(super) rack: Name,
    pub(super) situation: Situation,
    /// Places on approved runners, for a step that needs approvals.
    approved: Option<Places>,
}

impl RackPreference {
    /// Returns whether tasks are placed in the rack if it has room: unless they take longer there than
    /// elsewhere and nobody else needs the capacity elsewhere.
    pub(super) fn prefers_rack(&self, rule: LocalityRule) -> bool {
        let Situation {
            local_run_time,
            remote_run_time,
            pressure_percent,
            ..
        } = self.situation;
        rule != LocalityRule::Predicted || local_run_time < remote_run_time || pressure_percent > 0
    }

    /// Returns a wait that begins now.
    pub(super) fn wait(&self, until: Millis) -> Wait {
        let now = self.situation.now;
        Wait {
            rack: self.rack.clone(),
            began: now,
            predicted: self.situation.local_start.unwrap_or(until).max(now),
            until,
        }
    }
}

impl Engine {
    /// Selects how tasks wait for their rack.
    #[doc(hidden)]
    pub fn set_locality_rule(&mut self, rule: LocalityRule) {
        self.locality_rule = rule;
    }

    /// Returns whether the run time of a step's tasks depends on their rack.
    pub(super) fn has_locality(&self, spec: &StepSpec) -> bool {
        self.cfg.cross_rack_slowdown > 1
            && (spec.preferred_rack.is_some() || spec.same_rack && spec.count > 1)
    }

    /// Returns whether a runner is outside the rack that holds the step's data.
    pub(super) fn is_outside_preferred_rack(&self, runner_ix: RunnerIx, spec: &StepSpec) -> bool {
        let runner = &self.runners[runner_ix.0];
        self.has_locality(spec)
            && spec
                .preferred_rack
                .as_ref()
                .is_some_and(|rack| !runner.has_label(rack))
    }

    /// Returns the expected run time of a step's tasks, within the rack or outside it.
    pub(super) fn expected_run_time(&self, spec: &StepSpec, is_remote: bool) -> Millis {
        let local = self.run_times.expected(spec);
        if is_remote {
            local.saturating_mul(u64::from(self.cfg.cross_rack_slowdown))
        } else {
            local
        }
    }

    /// Returns the time at which a task of the step is expected to end if it starts now; `None` if it
    /// runs until it is stopped.
    pub(super) fn expected_end(
        &self,
        spec: &StepSpec,
        is_remote: bool,
        now: Millis,
    ) -> Option<Millis> {
        (!spec.long_running).then(|| now + self.expected_run_time(spec, is_remote))
    }

    /// Returns the runner's rack, which is its last label.
    pub(super) fn rack_of(&self, runner_ix: RunnerIx) -> Option<Name> {
        self.runners[runner_ix.0].entry.labels.last().cloned()
    }

    /// Returns the rack that holds the step's data, or else most of its running tasks.
    pub(super) fn settled_rack(&self, step: &Step, spec: &StepSpec) -> Option<Name> {
        if spec.preferred_rack.is_some() {
            return spec.preferred_rack.clone();
        }
        if !spec.same_rack || spec.gang {
            return None;
        }
        let mut tasks: FxHashMap<Name, u32> = FxHashMap::default();
        let used = step.tasks_by_runner.iter().filter(|(_, count)| **count > 0);
        for (runner_ix, count) in used {
            if let Some(rack) = self.rack_of(*runner_ix) {
                *tasks.entry(rack).or_default() += count;
            }
        }
        let most = tasks
            .into_iter()
            .max_by(|(rack, count), (other, others)| count.cmp(others).then(other.cmp(rack)));
        most.map(|(rack, _)| rack)
    }

    /// Returns whether a runner is outside the rack that holds the step's data or most of its tasks.
    pub(super) fn is_outside_settled_rack(
        &self,
        runner_ix: RunnerIx,
        step: &Step,
        spec: &StepSpec,
    ) -> bool {
        self.has_locality(spec)
            && self
                .settled_rack(step, spec)
                .is_some_and(|rack| !self.runners[runner_ix.0].has_label(&rack))
    }

    /// Returns how a gang waits for its rack. [`LocalityRule::Fixed`] makes it wait only for a
    /// rack that holds its data.
    pub(super) fn gang_rule(&self, spec: &StepSpec) -> LocalityRule {
        match self.locality_rule {
            LocalityRule::Fixed if spec.preferred_rack.is_none() => LocalityRule::Never,
            rule => rule,
        }
    }

    /// Returns what the decisions for the tasks of a step have in common; `None` if the step is
    /// indifferent to racks. `waiting` is the number of tasks that may start.
    pub(super) fn rack_preference(
        &self,
        id: StepId,
        job: &Job,
        waiting: usize,
        forecast: &mut RackForecast,
        now: Millis,
    ) -> Option<RackPreference> {
        let (step, spec) = job.step(id)?;
        if !self.has_locality(spec) {
            return None;
        }
        let rack = match self.settled_rack(step, spec) {
            Some(rack) => rack,
            // With this rule, the first task of a group chooses the rack.
            None if self.locality_rule == LocalityRule::Fixed => return None,
            None => self.best_group_rack(id, job, waiting, forecast, now)?,
        };
        let policy = &job.record.policy;
        let approved = policy
            .approval
            .map(|_| self.approved_places(id, &rack, job, forecast, now));
        Some(RackPreference {
            situation: self.situation(id, &rack, job, forecast, now)?,
            rack,
            approved,
        })
    }

    /// Returns the inputs of a step's decisions, except for those that differ between its tasks.
    pub(super) fn situation(
        &self,
        id: StepId,
        rack: &Name,
        job: &Job,
        forecast: &mut RackForecast,
        now: Millis,
    ) -> Option<Situation> {
        let (step, spec) = job.step(id)?;
        let run_time = self.run_times.expected(spec);
        let remote_run_time = self.expected_run_time(spec, true);
        let running = step.tasks.iter().enumerate().filter_map(|(index, task)| {
            let runner_ix = task.state.runner()?;
            let index = u32::try_from(index).ok()?;
            let key = (id.task(index), task.run);
            self.runners[runner_ix.0].runs.get(&key)?.expected_end
        });
        Some(Situation {
            now,
            waiting_since: now,
            local_run_time: self.rack_ratio(rack, forecast).scale(run_time),
            remote_run_time: self.overruns.overall().scale(remote_run_time),
            local_start: None,
            latest_end: (now + run_time).saturating_add(self.slack(job, now)),
            group_end: running.max().filter(|_| !spec.long_running),
            pressure_percent: self.pressure(&job.record.policy.service, forecast, now),
        })
    }

    /// Decides for one task that has no room in its rack but some elsewhere.
    pub(super) fn decide_for_task(
        &self,
        index: u32,
        id: StepId,
        job: &Job,
        near: &mut RackPreference,
        forecast: &mut RackForecast,
    ) -> Decision {
        let Some((step, spec)) = job.step(id) else {
            return Decision::Remote;
        };
        let now = near.situation.now;
        if step.tasks[index as usize].is_overdue(spec, now) {
            return Decision::Remote;
        }
        let local_start = match &near.approved {
            Some(places) => places.first(),
            None => self
                .places(&near.rack, spec, &job.record.policy, forecast, now)
                .and_then(|places| places.first()),
        };
        let task = &step.tasks[index as usize];
        near.situation.local_start = local_start;
        near.situation.waiting_since = task.state_since;
        let decision = decide(self.locality_rule, &near.situation, task.wait.as_ref());
        if matches!(decision, Decision::WaitUntil(_)) {
            let run_time = near.situation.local_run_time;
            forecast.claim(Some(&near.rack), spec, run_time, 1);
            if let Some(places) = &mut near.approved {
                places.take(spec, run_time);
            }
        }
        decision
    }

    /// Returns the rack in which all members of a gang start soonest, and when. `None` if no rack
    /// can hold them.
    pub(super) fn best_gang_rack(
        &self,
        id: StepId,
        job: &Job,
        forecast: &mut RackForecast,
        now: Millis,
    ) -> Option<(Millis, Name)> {
        let (step, spec) = job.step(id)?;
        let count = step.tasks.len();
        let policy = &job.record.policy;
        if spec.preferred_rack.is_none() && policy.approval.is_none() {
            return self.soonest_rack(count, spec, policy, forecast, now);
        }
        let racks = match &spec.preferred_rack {
            Some(rack) => vec![rack.clone()],
            None => self.racks(id, job, forecast),
        };
        let starts = racks.into_iter().filter_map(|rack| {
            let start = self.with_places(id, &rack, job, forecast, now, |places| {
                places.joint_start(count)
            })?;
            Some((start, rack))
        });
        starts.min()
    }

    /// Returns the rack in which the last of a group's tasks starts soonest.
    fn best_group_rack(
        &self,
        id: StepId,
        job: &Job,
        waiting: usize,
        forecast: &mut RackForecast,
        now: Millis,
    ) -> Option<Name> {
        let (_, spec) = job.step(id)?;
        let run_time = self.run_times.expected(spec);
        let racks = self.racks(id, job, forecast).into_iter();
        let starts = racks.filter_map(|rack| {
            let start = self.with_places(id, &rack, job, forecast, now, |places| {
                places.last_start(waiting, run_time)
            })?;
            Some((start, rack))
        });
        starts.min().map(|(_, rack)| rack)
    }
}
