//! Prediction of when racks have room, for steps with a preferred or shared rack.
//!
//! A forecast holds for one scheduling pass. It lists the expected places for tasks of a size in a
//! rack once, however many steps ask for them. Steps are placed in order of urgency, and each claims
//! places for the tasks that it leaves waiting; later steps find the places that remain.

use std::{cmp::Reverse, collections::BinaryHeap};

use kspan_model::{Millis, Name, Resources};
use rustc_hash::FxHashMap;

use super::{
    Engine, RunnerIx,
    job::{Job, Step},
    locality::{Decision, LocalityRule, Situation, Wait, decide},
    overrun::Ratio,
    runner::Runner,
};
use crate::{
    config::Policy,
    id::StepId,
    spec::{Sharing, StepSpec},
};

/// Maximum number of places that are listed for a rack and size.
const MAX_PLACES: usize = 512;

/// Maximum number of places that are listed for one runner.
const MAX_PLACES_PER_RUNNER: u64 = 64;

/// Claims are applied to a list until each place is claimed this many times, which puts its next
/// free place beyond any wait that pays off.
const MAX_CLAIMS_PER_PLACE: usize = 4;

/// Share of the capacity that may be used before a cell counts as full, in percent. Above it, tasks
/// queue in single racks although the cell has room.
const FULL_PERCENT: u64 = 70;

/// One task's worth of a claim.
const WHOLE_CLAIM: u64 = 1_000;

/// What tasks have in common that find the same places in a rack.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Shape {
    service: Name,
    label: Option<Name>,
    is_best_effort: bool,
    is_latency_sensitive: bool,
    max_per_runner: Option<u32>,
    size: (u64, u64, u64),
}

impl Shape {
    fn new(spec: &StepSpec, policy: &Policy) -> Self {
        let size = spec.charged_resources();
        Self {
            service: policy.service.clone(),
            label: spec.label.clone(),
            is_best_effort: spec.sharing() == Sharing::BestEffort,
            is_latency_sensitive: spec.sharing() == Sharing::LatencySensitive,
            max_per_runner: spec.max_per_runner,
            size: (size.cpu_milli, size.memory_mib, size.accelerators),
        }
    }
}

/// Work that is expected to start before that of the steps which are placed later.
#[derive(Clone, Copy, Debug)]
struct Claim {
    size: Resources,
    run_time: Millis,
    count: u64,
}

/// Shares of claims that fall on a list of places, in thousandths.
#[derive(Clone, Copy, Debug)]
struct Shares {
    /// Share of the claims on the rack.
    rack: u64,
    /// Share of the claims on any rack.
    general: u64,
}

/// Expected places for tasks of one size in a rack.
#[derive(Clone, Debug, Default)]
pub(super) struct Places {
    /// Times at which a place is free, in ascending order.
    times: Vec<Millis>,
    /// Number of the rack's claims that have been applied.
    rack_claims: usize,
    /// Number of the claims on any rack that have been applied.
    general_claims: usize,
    /// Part of a place that claims have taken, in thousandths.
    partial: u64,
    claimed: usize,
}

impl Places {
    fn new(mut times: Vec<Millis>) -> Self {
        times.sort_unstable();
        times.truncate(MAX_PLACES);
        Self {
            times,
            ..Self::default()
        }
    }

    /// Returns when the next task can start.
    fn first(&self) -> Option<Millis> {
        self.times.first().copied()
    }

    /// Returns when the last of `count` tasks can start if all places are used in turn.
    fn last_start(&self, count: usize, run_time: Millis) -> Option<Millis> {
        let last = count.checked_sub(1)?;
        let turns = last.checked_div(self.times.len())?;
        let turns = Millis(run_time.0.saturating_mul(turns as u64));
        Some(self.times[last % self.times.len()].saturating_add(turns))
    }

    /// Returns when `count` tasks can start at the same time; `None` if the rack cannot hold them.
    fn joint_start(&self, count: usize) -> Option<Millis> {
        self.times.get(count.checked_sub(1)?).copied()
    }

    /// Applies the claims that were made since the last time.
    fn apply_all(&mut self, rack: &[Claim], general: &[Claim], size: Resources, shares: Shares) {
        for claim in &rack[self.rack_claims..] {
            self.apply(*claim, size, shares.rack);
        }
        self.rack_claims = rack.len();
        for claim in &general[self.general_claims..] {
            self.apply(*claim, size, shares.general);
        }
        self.general_claims = general.len();
    }

    /// Takes the first place until the end of the claim's run, once for each of its tasks. `scale`
    /// is the share of the claim that falls on the list, in thousandths.
    fn apply(&mut self, claim: Claim, size: Resources, scale: u64) {
        let each = places_taken(claim.size, size).saturating_mul(scale) / WHOLE_CLAIM;
        self.partial = self
            .partial
            .saturating_add(each.saturating_mul(claim.count));
        let most = self.times.len() * MAX_CLAIMS_PER_PLACE;
        while self.partial >= WHOLE_CLAIM && self.claimed < most {
            self.partial -= WHOLE_CLAIM;
            self.claimed += 1;
            let free_again = self.times.remove(0).saturating_add(claim.run_time);
            let at = self.times.partition_point(|time| *time <= free_again);
            self.times.insert(at, free_again);
        }
    }
}

/// Returns how many places of a size a task of another size takes, in thousandths.
fn places_taken(claimed: Resources, size: Resources) -> u64 {
    let ratio = |part: u64, whole: u64| {
        part.saturating_mul(WHOLE_CLAIM)
            .checked_div(whole)
            .unwrap_or(0)
    };
    ratio(claimed.cpu_milli, size.cpu_milli)
        .max(ratio(claimed.memory_mib, size.memory_mib))
        .max(ratio(claimed.accelerators, size.accelerators))
}

/// Index of a rack in a forecast.
type RackIx = usize;

/// Racks by start time, the soonest first.
type RackOrder = BinaryHeap<Reverse<(Millis, RackIx)>>;

/// A rack, or another label that steps may prefer.
#[derive(Debug, Default)]
struct Rack {
    name: Name,
    runners: Vec<RunnerIx>,
    /// Whether the label is the last one of its runners, and not one of a zone.
    is_rack: bool,
    /// How much longer than expected runs take there; `None` until it is needed.
    ratio: Option<Ratio>,
    claims: Vec<Claim>,
}

/// Forecast of one scheduling pass; empty if no step in it depends on racks.
#[derive(Debug, Default)]
pub(super) struct RackForecast {
    racks: Vec<Rack>,
    by_name: FxHashMap<Name, RackIx>,
    /// Numbers of the shapes for which places are listed.
    shapes: FxHashMap<Shape, usize>,
    /// Places by rack and number of the shape.
    places: FxHashMap<(RackIx, usize), Places>,
    /// Claims that may fall on any rack.
    general_claims: Vec<Claim>,
    /// See [`Situation::pressure_percent`], by service.
    pressure: FxHashMap<Name, u64>,
    /// Racks by the time at which a number of tasks of a shape can start together, the soonest first.
    soonest_racks: FxHashMap<(Shape, usize), RackOrder>,
    /// Racks for which steps wait although their tasks could start elsewhere.
    awaited_racks: FxHashMap<StepId, Name>,
}

impl RackForecast {
    /// Returns whether the pass has a forecast.
    pub(super) fn is_active(&self) -> bool {
        !self.racks.is_empty()
    }

    /// Claims places for tasks of a step, in a rack or in any.
    fn claim(&mut self, rack: Option<&Name>, spec: &StepSpec, run_time: Millis, count: usize) {
        let claim = Claim {
            size: spec.charged_resources(),
            run_time,
            count: count as u64,
        };
        match rack {
            _ if count == 0 => {}
            Some(rack) => {
                if let Some(&rack_ix) = self.by_name.get(rack) {
                    self.racks[rack_ix].claims.push(claim);
                }
            }
            None => self.general_claims.push(claim),
        }
    }

    /// Claims places in the rack for tasks of a step that no decision was made for.
    pub(super) fn claim_undecided(&mut self, near: &RackPreference, spec: &StepSpec, count: usize) {
        self.claim(Some(&near.rack), spec, near.situation.local_run_time, count);
    }

    /// Claims places in a rack for a gang that waits for it.
    pub(super) fn claim_for_gang(
        &mut self,
        id: StepId,
        spec: &StepSpec,
        rack: &Name,
        run_time: Millis,
    ) {
        self.claim(Some(rack), spec, run_time, spec.count as usize);
        self.await_rack(id, rack);
    }

    /// Records that a step waits for a rack, so that it reserves runners only there.
    pub(super) fn await_rack(&mut self, id: StepId, rack: &Name) {
        self.awaited_racks.insert(id, rack.clone());
    }

    /// Returns the runners in a rack.
    pub(super) fn runners_in(&self, rack: &Name) -> &[RunnerIx] {
        let rack_ix = self.by_name.get(rack);
        rack_ix.map_or(&[], |rack_ix| &self.racks[*rack_ix].runners)
    }

    fn add_runner(&mut self, runner_ix: RunnerIx, labels: &[Name]) {
        for (at, label) in labels.iter().enumerate() {
            let rack_ix = *self.by_name.entry(label.clone()).or_insert_with(|| {
                self.racks.push(Rack {
                    name: label.clone(),
                    ..Rack::default()
                });
                self.racks.len() - 1
            });
            self.racks[rack_ix].runners.push(runner_ix);
            self.racks[rack_ix].is_rack |= at + 1 == labels.len();
        }
    }
}

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

    /// Claims places for the tasks of a step that it leaves waiting without a decision.
    pub(super) fn claim_for_waiting(&mut self, id: StepId) {
        let Some((step, spec)) = self.jobs.get(&id.job).and_then(|job| job.step(id)) else {
            return;
        };
        let rack = self
            .settled_rack(step, spec)
            .filter(|_| self.has_locality(spec));
        let run_time = self.run_times.expected(spec);
        self.forecast
            .claim(rack.as_ref(), spec, run_time, step.waiting);
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
            has_local_room: false,
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
                let claim = Claim {
                    size: spec.charged_resources(),
                    run_time,
                    count: 1,
                };
                places.apply(claim, claim.size, WHOLE_CLAIM);
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

    /// Returns the rack in which `count` tasks can start at the same time soonest, and when. The
    /// order of the racks is kept for the pass. Claims only delay starts, so the first rack whose
    /// start has not changed since it was computed is the soonest.
    fn soonest_rack(
        &self,
        count: usize,
        spec: &StepSpec,
        policy: &Policy,
        forecast: &mut RackForecast,
        now: Millis,
    ) -> Option<(Millis, Name)> {
        let key = (Shape::new(spec, policy), count);
        let known = forecast.soonest_racks.remove(&key);
        let mut order = known.unwrap_or_else(|| {
            let racks = forecast.racks.iter().enumerate();
            let racks = racks.filter(|(_, rack)| rack.is_rack);
            racks.map(|(ix, _)| Reverse((now, ix))).collect()
        });
        let mut soonest = None;
        while let Some(Reverse((known_start, rack_ix))) = order.pop() {
            let rack = forecast.racks[rack_ix].name.clone();
            let places = self.places(&rack, spec, policy, forecast, now);
            let Some(start) = places.and_then(|places| places.joint_start(count)) else {
                continue;
            };
            order.push(Reverse((start, rack_ix)));
            if start == known_start {
                soonest = Some((start, rack));
                break;
            }
        }
        forecast.soonest_racks.insert(key, order);
        soonest
    }

    /// Returns the rack for which the step's tasks wait in this pass although they could start in
    /// another one.
    pub(super) fn awaited_rack(&self, id: StepId) -> Option<&Name> {
        self.forecast.awaited_racks.get(&id)
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

    /// Returns the racks that a step may use.
    fn racks(&self, id: StepId, job: &Job, forecast: &RackForecast) -> Vec<Name> {
        let needs_approvals = job.record.policy.approval.is_some();
        let Some((step, _)) = job.step(id).filter(|_| needs_approvals) else {
            let racks = forecast.racks.iter().filter(|rack| rack.is_rack);
            return racks.map(|rack| rack.name.clone()).collect();
        };
        let approved = step.approvals.approved_runners();
        let mut racks: Vec<Name> = approved
            .filter_map(|runner_ix| self.rack_of(runner_ix))
            .collect();
        racks.sort_unstable();
        racks.dedup();
        racks
    }

    /// Passes the places of a step in a rack to `read`.
    fn with_places<T>(
        &self,
        id: StepId,
        rack: &Name,
        job: &Job,
        forecast: &mut RackForecast,
        now: Millis,
        read: impl FnOnce(&Places) -> Option<T>,
    ) -> Option<T> {
        let (_, spec) = job.step(id)?;
        let policy = &job.record.policy;
        if policy.approval.is_some() {
            return read(&self.approved_places(id, rack, job, forecast, now));
        }
        self.places(rack, spec, policy, forecast, now)
            .and_then(read)
    }

    /// Returns the places in a rack for tasks like those of a step, regardless of approvals.
    fn places<'a>(
        &self,
        rack: &Name,
        spec: &StepSpec,
        policy: &Policy,
        forecast: &'a mut RackForecast,
        now: Millis,
    ) -> Option<&'a Places> {
        let rack_ix = *forecast.by_name.get(rack)?;
        let next = forecast.shapes.len();
        let shape = Shape::new(spec, policy);
        let size = spec.charged_resources();
        let shape = *forecast.shapes.entry(shape).or_insert(next);
        let ratio = self.rack_ratio(rack, forecast);
        let rack = &forecast.racks[rack_ix];
        let places = forecast.places.entry((rack_ix, shape));
        let places = places.or_insert_with(|| {
            let max = spec.max_per_runner.unwrap_or(u32::MAX);
            let accepting = rack.runners.iter().filter(|runner_ix| {
                self.could_accept_when_empty(&self.runners[runner_ix.0], spec, policy, now)
            });
            let times = accepting
                .flat_map(|runner_ix| self.place_times(*runner_ix, ratio, None, size, max, now));
            Places::new(times.collect())
        });
        let shares = Shares {
            rack: WHOLE_CLAIM,
            general: self.share_of_service(rack.runners.len(), &policy.service),
        };
        places.apply_all(&rack.claims, &forecast.general_claims, size, shares);
        Some(places)
    }

    /// Returns the places in a rack on runners that are approved for a step.
    fn approved_places(
        &self,
        id: StepId,
        rack: &Name,
        job: &Job,
        forecast: &mut RackForecast,
        now: Millis,
    ) -> Places {
        let ratio = self.rack_ratio(rack, forecast);
        let Some((step, spec)) = job.step(id) else {
            return Places::default();
        };
        let policy = &job.record.policy;
        let call_time = Self::approval_time(step, policy);
        let approved: Vec<RunnerIx> = step
            .approvals
            .approved_runners()
            .filter(|runner_ix| {
                let runner = &self.runners[runner_ix.0];
                runner.has_label(rack) && self.could_accept_when_empty(runner, spec, policy, now)
            })
            .collect();
        let size = spec.charged_resources();
        let times = approved.iter().flat_map(|runner_ix| {
            let max = step.remaining_on(*runner_ix, spec);
            let times = self.place_times(*runner_ix, ratio, Some(id), size, max, now);
            times.into_iter().map(|room_at| {
                step.approvals
                    .earliest_start(*runner_ix, room_at, call_time, now)
            })
        });
        let mut places = Places::new(times.collect());
        let Some(rack_ix) = forecast.by_name.get(rack) else {
            return places;
        };
        let rack = &forecast.racks[*rack_ix];
        let shares = Shares {
            rack: approved.len() as u64 * WHOLE_CLAIM / rack.runners.len().max(1) as u64,
            general: self.share_of_service(approved.len(), &policy.service),
        };
        places.apply_all(&rack.claims, &forecast.general_claims, size, shares);
        places
    }

    /// Returns when a runner has room for tasks of a step. What is reserved for another step counts
    /// from the expected end of its tasks on.
    fn place_times(
        &self,
        runner_ix: RunnerIx,
        ratio: Ratio,
        id: Option<StepId>,
        size: Resources,
        max: u32,
        now: Millis,
    ) -> Vec<Millis> {
        let runner = &self.runners[runner_ix.0];
        let fitting = |room: Resources| {
            let count = size.count_in(room).min(MAX_PLACES_PER_RUNNER);
            max.min(u32::try_from(count).unwrap_or(u32::MAX))
        };
        let all = fitting(runner.entry.capacity);
        let mut times = runner.measured_slot_times(ratio, size, all, now);
        if let Some(reservation) = self.reservation_of_other(runner_ix, id) {
            let before = fitting(reservation.unreserved) as usize;
            for time in times.iter_mut().skip(before) {
                *time = reservation.ends_at.max(*time);
            }
        }
        times
    }

    /// Returns how much longer than expected runs in a rack take, from those that have ended and the
    /// progress of the others.
    fn rack_ratio(&self, rack: &Name, forecast: &mut RackForecast) -> Ratio {
        let ended = self.overruns.of_rack(rack);
        let Some(rack_ix) = forecast.by_name.get(rack) else {
            return ended;
        };
        let rack = &mut forecast.racks[*rack_ix];
        *rack.ratio.get_or_insert_with(|| {
            let runners = rack.runners.iter().map(|ix| &self.runners[ix.0]);
            ended.mixed_with(runners.flat_map(Runner::measured_ratios))
        })
    }

    /// Returns the part of a service's runners that `runners` of them are, in thousandths.
    fn share_of_service(&self, runners: usize, service: &Name) -> u64 {
        let all = self.runner_count(service).max(1);
        (runners as u64 * WHOLE_CLAIM / all as u64).min(WHOLE_CLAIM)
    }

    /// Returns how much work of a service runs or waits beyond [`FULL_PERCENT`], in percent of the
    /// capacity.
    fn pressure(&self, service: &Name, forecast: &mut RackForecast, now: Millis) -> u64 {
        if let Some(known) = forecast.pressure.get(service) {
            return *known;
        }
        let jobs = self.schedulable.iter().filter_map(|id| self.jobs.get(id));
        let of_service = jobs.filter(|job| job.record.policy.service == *service);
        let waiting: u64 = of_service
            .flat_map(|job| job.ready_steps().filter_map(|id| job.step(id)))
            .map(|(step, spec)| {
                let size = spec.charged_resources().cpu_milli;
                size.saturating_mul(step.waiting as u64)
            })
            .fold(0, u64::saturating_add);
        let durable = self.batches.durable();
        let accepting = self.runners.iter().filter(|runner| {
            runner.entry.service == *service && runner.accepts_work(now, self.confirmed_at, durable)
        });
        let (free, capacity) = accepting.fold((0_u64, 0_u64), |(free, capacity), runner| {
            (
                runner.free().cpu_milli.saturating_add(free),
                runner.entry.capacity.cpu_milli.saturating_add(capacity),
            )
        });
        let used = waiting.saturating_add(capacity).saturating_sub(free);
        let full = capacity / 100 * FULL_PERCENT;
        let excess = used.saturating_sub(full).saturating_mul(100);
        let percent = excess.checked_div(capacity).unwrap_or(0);
        forecast.pressure.insert(service.clone(), percent);
        percent
    }

    /// Begins the forecast of a pass.
    pub(super) fn new_forecast(&self) -> RackForecast {
        let mut forecast = RackForecast::default();
        for (ix, runner) in self.runners.iter().enumerate() {
            if !runner.dead {
                forecast.add_runner(RunnerIx(ix), &runner.entry.labels);
            }
        }
        forecast
    }
}
