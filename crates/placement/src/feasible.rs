//! Detection of jobs that can never run.
//!
//! A job is checked against empty workers, both known and declared by the operators. Capacity in
//! use makes a job wait, never impossible.

use kspan_model::Resources;

use crate::{
    spec::{ImpossibleReason, JobKind, JobSpec},
    state::Inner,
};

impl Inner {
    /// Returns the reason why a job can never run, or `None` if it can.
    pub(crate) fn impossible_reason(&self, spec: &JobSpec) -> Option<ImpossibleReason> {
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
        let needed = concurrent_need(spec);
        if !team.borrow && !needed.fits_in(team.quota) {
            return Some(ImpossibleReason::OverQuota {
                team: team.name.clone(),
                needed,
                quota: team.quota,
            });
        }
        self.capacity_reason(spec)
    }

    fn capacity_reason(&self, spec: &JobSpec) -> Option<ImpossibleReason> {
        let size = spec.shape.size;
        let shapes = self.expected_shapes();
        if shapes.is_empty() {
            return None;
        }
        if !shapes.iter().any(|(shape, _)| size.fits_in(*shape)) {
            return Some(too_small_reason(size, &shapes));
        }
        if !matches!(spec.kind, JobKind::Gang { .. }) {
            return None;
        }
        let room = shapes
            .iter()
            .map(|&(shape, count)| size.count_in(shape).saturating_mul(u64::from(count)))
            .fold(0, u64::saturating_add);
        (room < u64::from(spec.tasks)).then_some(ImpossibleReason::GangTooLarge {
            tasks: spec.tasks,
            room,
        })
    }

    /// Returns the capacities of known and declared workers, each with the larger of the two
    /// counts.
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

/// Returns the resources that must be committed at the same time for the job to make progress.
fn concurrent_need(spec: &JobSpec) -> Resources {
    match spec.kind {
        JobKind::Gang { .. } => spec.shape.size.saturating_mul(u64::from(spec.tasks)),
        JobKind::Service | JobKind::Batch => spec.shape.size,
    }
}

fn too_small_reason(needed: Resources, shapes: &[(Resources, u32)]) -> ImpossibleReason {
    let max = shapes.iter().map(|(shape, _)| shape.accelerators).max();
    let max = max.unwrap_or(0);
    if needed.accelerators > max {
        return ImpossibleReason::NotEnoughAccelerators {
            needed: needed.accelerators,
            max,
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
