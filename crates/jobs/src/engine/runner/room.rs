//! What is free on a runner, now and when its runs are expected to end.

use kspan_model::{Millis, Resources};

use super::{PlacedRun, Runner};
use crate::engine::overrun::Ratio;

/// Minimum remaining time that is assumed for a run that has exceeded its expected run time.
const MIN_OVERRUN: Millis = Millis(200);

/// Returns what is left of a capacity; nothing of any kind if more of one is used.
fn free_beside(used: Resources, capacity: Resources) -> Resources {
    capacity.checked_sub(used).unwrap_or_default()
}

/// Returns the time at which a run is expected to end, as seen `now`. A run that has exceeded its
/// expected run time is assumed to exceed it by as much again.
fn remaining_end(expected_end: Millis, now: Millis) -> Millis {
    let overrun = now.saturating_sub(expected_end);
    if expected_end > now {
        return expected_end;
    }
    now + overrun.max(MIN_OVERRUN)
}

impl Runner {
    /// Returns the resources that are not reserved; none of any kind if more of one is used than a
    /// capacity that has shrunk.
    pub(in crate::engine) fn free(&self) -> Resources {
        free_beside(self.used, self.entry.capacity)
    }

    /// Returns the resources that are expected to be free at a later time if nothing else starts.
    pub(in crate::engine) fn free_at(&self, at: Millis) -> Resources {
        let ending = self
            .runs
            .values()
            .filter(|run| run.expected_end.is_some_and(|end| end <= at));
        let sizes = ending.filter_map(|run| run.size);
        let used = sizes.fold(self.used, Resources::saturating_sub);
        free_beside(used, self.entry.capacity)
    }

    /// Returns the expected times, in ascending order, at which the runner has free resources for
    /// one, two and more tasks of a size, up to `max` tasks. Tasks that could start immediately
    /// have the time `now`.
    pub(in crate::engine) fn slot_times(
        &self,
        size: Resources,
        max: u32,
        now: Millis,
    ) -> Vec<Millis> {
        self.slot_times_by(|run| run.expected_end, size, max, now)
    }

    /// Returns the same from the measured progress of the runs. Runs without measured progress take
    /// the given multiple of their expected run times.
    pub(in crate::engine) fn measured_slot_times(
        &self,
        ratio: Ratio,
        size: Resources,
        max: u32,
        now: Millis,
    ) -> Vec<Millis> {
        let end = |run: &PlacedRun| {
            let scaled = run.ordered_at.zip(run.expected_run_time());
            let scaled = scaled.map(|(at, expected)| at + ratio.scale(expected));
            run.progress.measured_end().or(scaled).or(run.expected_end)
        };
        self.slot_times_by(end, size, max, now)
    }

    fn slot_times_by(
        &self,
        end: impl Fn(&PlacedRun) -> Option<Millis>,
        size: Resources,
        max: u32,
        now: Millis,
    ) -> Vec<Millis> {
        let mut ends: Vec<(Millis, Resources)> = self
            .runs
            .values()
            .filter_map(|run| Some((remaining_end(end(run)?, now), run.size?)))
            .collect();
        ends.sort_unstable();
        let mut times = Vec::new();
        // What is used may exceed a capacity that has shrunk.
        let (mut used, mut at) = (self.used, now);
        let mut ends = ends.into_iter();
        loop {
            while times.len() < max as usize {
                let with_one_more = used.saturating_add(size);
                if !with_one_more.fits_in(self.entry.capacity) {
                    break;
                }
                used = with_one_more;
                times.push(at);
            }
            let Some((end, freed)) = ends.next().filter(|_| times.len() < max as usize) else {
                return times;
            };
            used = used.saturating_sub(freed);
            at = end;
        }
    }

    /// Returns the expected time at which the runner has free resources for a task of a size, if
    /// nothing else starts; the latest representable time if its runs are not expected to leave enough.
    pub(in crate::engine) fn room_at(&self, size: Resources, now: Millis) -> Millis {
        let times = self.slot_times(size, 1, now);
        times.first().copied().unwrap_or(Millis(u64::MAX))
    }

    /// Returns by how much the runs take longer than expected, for those with measured progress.
    pub(in crate::engine) fn measured_ratios(&self) -> impl Iterator<Item = Ratio> {
        self.runs.values().filter_map(|run| {
            let measured = run.progress.measured_end()?.saturating_sub(run.ordered_at?);
            Some(Ratio::new(measured, run.expected_run_time()?))
        })
    }
}
