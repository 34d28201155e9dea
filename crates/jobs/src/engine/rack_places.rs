//! Expected places for tasks of one size, and the claims that take them.

use kspan_model::{Millis, Resources};

use crate::spec::StepSpec;

/// Maximum number of places that are listed for a rack and size.
const MAX_PLACES: usize = 512;

/// Claims are applied to a list until each place is claimed this many times, which puts its next
/// free place beyond any wait that pays off.
const MAX_CLAIMS_PER_PLACE: usize = 4;

/// One task's worth of a claim.
pub(super) const WHOLE_CLAIM: u64 = 1_000;

/// Work that is expected to start before that of the steps which are placed later.
#[derive(Clone, Copy, Debug)]
pub(super) struct Claim {
    size: Resources,
    run_time: Millis,
    count: u64,
}

/// Shares of claims that fall on a list of places, in thousandths.
#[derive(Clone, Copy, Debug)]
pub(super) struct Shares {
    /// Share of the claims on the rack.
    pub(super) rack: u64,
    /// Share of the claims on any rack.
    pub(super) general: u64,
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

impl Claim {
    pub(super) fn new(spec: &StepSpec, run_time: Millis, count: usize) -> Self {
        Self {
            size: spec.charged_resources(),
            run_time,
            count: count as u64,
        }
    }
}

impl Places {
    pub(super) fn new(mut times: Vec<Millis>) -> Self {
        times.sort_unstable();
        times.truncate(MAX_PLACES);
        Self {
            times,
            ..Self::default()
        }
    }

    /// Returns when the next task can start.
    pub(super) fn first(&self) -> Option<Millis> {
        self.times.first().copied()
    }

    /// Returns when the last of `count` tasks can start if all places are used in turn.
    pub(super) fn last_start(&self, count: usize, run_time: Millis) -> Option<Millis> {
        let last = count.checked_sub(1)?;
        let turns = last.checked_div(self.times.len())?;
        let turns = Millis(run_time.0.saturating_mul(turns as u64));
        Some(self.times[last % self.times.len()].saturating_add(turns))
    }

    /// Returns when `count` tasks can start at the same time; `None` if the rack cannot hold them.
    pub(super) fn joint_start(&self, count: usize) -> Option<Millis> {
        self.times.get(count.checked_sub(1)?).copied()
    }

    /// Applies the claims that were made since the last time.
    pub(super) fn apply_all(
        &mut self,
        rack: &[Claim],
        general: &[Claim],
        size: Resources,
        shares: Shares,
    ) {
        for claim in &rack[self.rack_claims..] {
            self.apply(*claim, size, shares.rack);
        }
        self.rack_claims = rack.len();
        for claim in &general[self.general_claims..] {
            self.apply(*claim, size, shares.general);
        }
        self.general_claims = general.len();
    }

    /// Takes a place for one task of the step that the list was made for.
    pub(super) fn take(&mut self, spec: &StepSpec, run_time: Millis) {
        let claim = Claim::new(spec, run_time, 1);
        self.apply(claim, claim.size, WHOLE_CLAIM);
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
