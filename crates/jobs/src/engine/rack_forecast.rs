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
    job::Job,
    overrun::Ratio,
    rack_choice::RackPreference,
    rack_places::{Claim, Places, Shares, WHOLE_CLAIM},
    runner::Runner,
};
use crate::{config::Policy, id::StepId, spec::StepSpec};

/// Maximum number of places that are listed for one runner.
const MAX_PLACES_PER_RUNNER: u64 = 64;

/// Share of the capacity that may be used before a cell counts as full, in percent. Above it, tasks
/// queue in single racks although the cell has room.
const FULL_PERCENT: u64 = 70;

/// What tasks have in common that find the same places in a rack.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Shape {
    service: Name,
    label: Option<Name>,
    max_per_runner: Option<u32>,
    size: (u64, u64, u64),
}

impl Shape {
    fn new(spec: &StepSpec, policy: &Policy) -> Self {
        let size = spec.charged_resources();
        Self {
            service: policy.service.clone(),
            label: spec.label.clone(),
            max_per_runner: spec.max_per_runner,
            size: (size.cpu_milli, size.memory_mib, size.accelerators),
        }
    }
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
    pub(super) fn claim(
        &mut self,
        rack: Option<&Name>,
        spec: &StepSpec,
        run_time: Millis,
        count: usize,
    ) {
        let claim = Claim::new(spec, run_time, count);
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

impl Engine {
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

    /// Returns the rack for which the step's tasks wait in this pass although they could start in
    /// another one.
    pub(super) fn awaited_rack(&self, id: StepId) -> Option<&Name> {
        self.forecast.awaited_racks.get(&id)
    }

    /// Returns the rack in which `count` tasks can start at the same time soonest, and when. The
    /// order of the racks is kept for the pass. Claims only delay starts, so the first rack whose
    /// start has not changed since it was computed is the soonest.
    pub(super) fn soonest_rack(
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

    /// Returns the racks that a step may use.
    pub(super) fn racks(&self, id: StepId, job: &Job, forecast: &RackForecast) -> Vec<Name> {
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
    pub(super) fn with_places<T>(
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
    pub(super) fn places<'a>(
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
    pub(super) fn approved_places(
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
    pub(super) fn rack_ratio(&self, rack: &Name, forecast: &mut RackForecast) -> Ratio {
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
    pub(super) fn pressure(&self, service: &Name, forecast: &mut RackForecast, now: Millis) -> u64 {
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
}
