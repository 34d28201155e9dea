//! Failed attempts of tasks and gangs, which the maximum of their queue limits.
//!
//! A failure belongs to a run. Its runner reports it until it is acknowledged, to one owner after the
//! other, so each is recorded with the run number and the incarnation, and counts once. The members of
//! a gang share a run, and any number of them may fail in it: the run is one attempt of the gang,
//! whenever the failures are learned.
//!
//! Runs that end otherwise are no attempts: stopped, expired and lost ones, and those that a member's
//! end broke. Crashes of runners are counted by `crash`.

use rustc_hash::{FxHashMap, FxHashSet};

use super::{job::Step, task::Task};
use crate::{record::FailedRun, spec::StepSpec};

/// Failed runs of a gang.
///
/// Successive owners may give two runs of a gang the same number, if no runner told the later owner of
/// the earlier run. No member fails twice in one run, so the number stands for as many runs as the
/// largest number of failures that one member has with it.
#[derive(Clone, Debug, Default)]
pub(super) struct GangFailures {
    /// Number of failed runs, by run number.
    by_number: FxHashMap<u32, usize>,
    /// Number of failed runs in all.
    total: usize,
    /// Number of the first member's failures that were restored. Earlier versions recorded those of all members
    /// there, so that they don't tell how often the first member itself has failed.
    restored: usize,
}

impl GangFailures {
    /// Records that one member has failed `count` times in runs of a number.
    fn record(&mut self, run: u32, count: usize) {
        let known = self.by_number.entry(run).or_default();
        self.total += count.saturating_sub(*known);
        *known = count.max(*known);
    }

    /// Returns the numbers of the failed runs, each as often as it counts, in any order.
    fn runs(&self) -> impl Iterator<Item = u32> {
        let by_number = self.by_number.iter();
        by_number.flat_map(|(run, count)| std::iter::repeat_n(*run, *count))
    }
}

impl Task {
    /// Records a failure unless it was recorded before. Returns whether it is new.
    fn record_failure(&mut self, failed: FailedRun) -> bool {
        let is_new = !self.failures.contains(&failed);
        if is_new {
            self.failures.push(failed);
        }
        is_new
    }
}

impl Step {
    /// Records a failure of a task unless it was recorded before.
    pub(super) fn record_failure(&mut self, index: usize, failed: FailedRun, spec: &StepSpec) {
        let task = &mut self.tasks[index];
        let is_new = task.record_failure(failed);
        if is_new && spec.gang {
            self.count_failures_of_member(index, failed.run);
        }
    }

    /// Counts how often a member of a gang itself has failed in runs of a number.
    fn count_failures_of_member(&mut self, index: usize, run: u32) {
        let restored = if index == 0 {
            self.gang_failures.restored
        } else {
            0
        };
        let own = self.tasks[index].failures.iter().skip(restored);
        let count = own.filter(|failed| failed.run == run).count();
        self.gang_failures.record(run, count);
    }

    /// Returns the number of failed attempts of a task, or of the gang that it belongs to.
    pub(super) fn failed_attempts(&self, index: usize, spec: &StepSpec) -> usize {
        if spec.gang {
            self.gang_failures.total
        } else {
            self.tasks[index].failures.len()
        }
    }

    /// Returns the run numbers of these attempts in ascending order, each as often as it counts.
    pub(super) fn failed_runs(&self, index: usize, spec: &StepSpec) -> Vec<u32> {
        let mut runs: Vec<u32> = if spec.gang {
            self.gang_failures.runs().collect()
        } else {
            let failures = self.tasks[index].failures.iter();
            failures.map(|failed| failed.run).collect()
        };
        runs.sort_unstable();
        runs
    }

    /// Returns the number of failed attempts of all tasks, or of the gang that they are.
    pub(super) fn all_failed_attempts(&self, spec: &StepSpec) -> usize {
        if spec.gang {
            self.gang_failures.total
        } else {
            self.tasks.iter().map(|task| task.failures.len()).sum()
        }
    }

    /// Counts the failed runs of a restored gang. A run number counts once for all failures that are recorded
    /// for the first member, which may be those of any members.
    pub(super) fn restore_gang_failures(&mut self) {
        self.gang_failures.restored = self.tasks[0].failures.len();
        for index in 0..self.tasks.len() {
            let failures = self.tasks[index].failures.iter();
            let runs: FxHashSet<u32> = failures.map(|failed| failed.run).collect();
            for run in runs {
                self.gang_failures.record(run, 1);
                self.count_failures_of_member(index, run);
            }
        }
    }
}
