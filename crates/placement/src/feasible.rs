//! Jobs that can never run.
//!
//! A job is judged against empty workers: those that are known and those that the operators
//! declare. What is taken now makes a job wait; it never makes it impossible.

use kspan_model::Resources;

use crate::{
    spec::{ImpossibleReason, JobKind, JobSpec},
    state::Inner,
};

impl Inner {
    /// Returns why a job can never run, or `None` where it can.
    pub(crate) fn why_impossible(&self, spec: &JobSpec) -> Option<ImpossibleReason> {
        if spec.tasks == 0 && spec.kind != JobKind::Service {
            return Some(ImpossibleReason::NoTasks);
        }
        let team = self
            .teams
            .number(&spec.team)
            .map(|team| self.teams.get(team));
        let Some(team) = team.filter(|team| team.declared) else {
            return Some(ImpossibleReason::UnknownTeam(spec.team.clone()));
        };
        let at_once = needed_at_once(spec);
        if !team.borrow && !at_once.fits_in(team.quota) {
            return Some(ImpossibleReason::OverQuota {
                team: team.name.clone(),
                needed: at_once,
                quota: team.quota,
            });
        }
        self.why_no_room(spec)
    }

    fn why_no_room(&self, spec: &JobSpec) -> Option<ImpossibleReason> {
        let size = spec.shape.size;
        let shapes = self.expected_shapes();
        if shapes.is_empty() {
            return None;
        }
        if !shapes.iter().any(|(shape, _)| size.fits_in(*shape)) {
            return Some(nearest(size, &shapes));
        }
        if !matches!(spec.kind, JobKind::Gang { .. }) {
            return None;
        }
        let room = shapes
            .iter()
            .map(|&(shape, count)| times_fitting(size, shape).saturating_mul(u64::from(count)))
            .fold(0, u64::saturating_add);
        (room < u64::from(spec.tasks)).then_some(ImpossibleReason::GangTooLarge {
            tasks: spec.tasks,
            room,
        })
    }

    /// Returns the capacities of workers that are known or declared, with the larger count.
    fn expected_shapes(&self) -> Vec<(Resources, u32)> {
        let mut shapes: Vec<_> = self.workers.shapes().collect();
        for &(shape, count) in &self.fleet {
            match shapes.iter_mut().find(|(known, _)| *known == shape) {
                Some((_, known)) => *known = (*known).max(count),
                None => shapes.push((shape, count)),
            }
        }
        shapes
    }
}

/// Returns what must be committed at the same time for the job to get on.
fn needed_at_once(spec: &JobSpec) -> Resources {
    match spec.kind {
        JobKind::Gang { .. } => spec.shape.size.times(u64::from(spec.tasks)),
        JobKind::Service | JobKind::Batch => spec.shape.size,
    }
}

/// Returns how many tasks of a size fit in an amount.
pub(crate) fn times_fitting(size: Resources, room: Resources) -> u64 {
    let ratio = |part: u64, whole: u64| whole.checked_div(part).unwrap_or(u64::MAX);
    ratio(size.cpu_milli, room.cpu_milli)
        .min(ratio(size.memory_mib, room.memory_mib))
        .min(ratio(size.accelerators, room.accelerators))
}

fn nearest(needed: Resources, shapes: &[(Resources, u32)]) -> ImpossibleReason {
    let most = shapes.iter().map(|(shape, _)| shape.accelerators).max();
    let most = most.unwrap_or(0);
    if needed.accelerators > most {
        return ImpossibleReason::NotEnoughAccelerators {
            needed: needed.accelerators,
            most,
        };
    }
    let largest = shapes
        .iter()
        .map(|&(shape, _)| shape)
        .filter(|shape| shape.accelerators >= needed.accelerators)
        .min_by(|a, b| f64::total_cmp(&needed.dominant_share(*a), &needed.dominant_share(*b)));
    ImpossibleReason::NoWorkerLargeEnough {
        needed,
        largest: largest.unwrap_or(Resources::ZERO),
    }
}
