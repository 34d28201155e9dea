//! Ends that runners have listed, and what disturbs runners: an end that is listed while nothing does counts as
//! taken note of.

use kspan_jobs::{
    id::TaskId,
    runner::{EndKind, EndedTask},
};
use kspan_model::Name;

use super::Simulation;

/// Time before a listing in which nothing may have disturbed the runner, in milliseconds.
const CALM_BEFORE_MS: u64 = 3_000;

/// Time after a listing in which nothing may cut the runner off, in milliseconds. An owner whose answer was lost
/// learns of the end only after the longest timeout of an inventory call, 2,100 ms, by another call.
const CALM_AFTER_MS: u64 = 2_600;

/// A completion that a runner has listed.
struct Listed {
    runner: usize,
    incarnation: Name,
    task: TaskId,
    run: u32,
    at: u64,
}

/// Listings that may still turn out to be disturbed, and the latest disturbances.
pub(super) struct Listings {
    /// Time of the latest partition, restart, lost call or late call of each runner.
    disturbed_at: Vec<u64>,
    /// Time at which each runner was last down or partitioned.
    cut_off_at: Vec<u64>,
    /// Time at which no owner was at work, or the store was down.
    cell_disturbed_at: u64,
    pending: Vec<Listed>,
}

impl Listings {
    pub(super) fn new(runners: usize) -> Self {
        Self {
            disturbed_at: vec![0; runners],
            cut_off_at: vec![0; runners],
            cell_disturbed_at: 0,
            pending: Vec::new(),
        }
    }

    pub(super) fn record_disturbance(&mut self, runner: usize, now: u64) {
        self.disturbed_at[runner] = now;
    }

    fn is_calm_before(&self, runner: usize, now: u64) -> bool {
        let latest = self.disturbed_at[runner].max(self.cut_off_at[runner]);
        now > latest.max(self.cell_disturbed_at) + CALM_BEFORE_MS
    }

    /// Records the completions in an answer of a runner, if nothing has disturbed it.
    pub(super) fn record<'a>(
        &mut self,
        runner: usize,
        incarnation: &Name,
        ends: impl Iterator<Item = &'a EndedTask>,
        at: u64,
    ) {
        if !self.is_calm_before(runner, at) {
            return;
        }
        let done = ends.filter(|end| end.how == EndKind::Done);
        self.pending.extend(done.map(|end| Listed {
            runner,
            incarnation: incarnation.clone(),
            task: end.task,
            run: end.run,
            at,
        }));
    }
}

impl Simulation {
    /// Records which runners are cut off now, and the listings that count as taken note of.
    pub(super) fn observe_disturbances(&mut self) {
        let (now, listings) = (self.now, &mut self.listings);
        for (number, runner) in self.runners.iter().enumerate() {
            if !runner.is_up || runner.is_partitioned {
                listings.cut_off_at[number] = now;
            }
        }
        let newest = self.owners.last().expect("there is an owner");
        if !newest.alive || newest.paused || now < self.store_down_until {
            listings.cell_disturbed_at = now;
        }
        let due = |listed: &mut Listed| now >= listed.at + CALM_AFTER_MS;
        let due: Vec<Listed> = listings.pending.extract_if(.., due).collect();
        for listed in due {
            let cut_off_at = listings.cut_off_at[listed.runner];
            if cut_off_at.max(listings.cell_disturbed_at) < listed.at {
                self.checks
                    .record_listing(&listed.incarnation, listed.task, listed.run);
            }
        }
    }
}
