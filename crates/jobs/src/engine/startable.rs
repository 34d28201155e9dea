//! Waiting tasks of a step that may start now, and the runners where they can.
//!
//! Load pattern: many runners crash, and their tasks are suspected. A step of such tasks finds room on many runners
//! and may use few of them. If it requests approvals by room alone, it gets them all and starts nothing, again and
//! again, while sound steps wait for the hosts that make the calls. Requests are therefore judged by what a start
//! will be judged by.

use kspan_model::Millis;

use super::{Engine, RunnerIx, evidence::Isolation, job::Step};
use crate::{id::StepId, spec::StepSpec};

/// Number of the waiting tasks of a step that may start now, by how far they are kept from others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Startable {
    /// Those that may run beside any other.
    beside_any: u64,
    /// Those that don't run beside others that are isolated.
    apart: u64,
    /// Those that start where nothing else does.
    alone: u64,
}

impl Startable {
    /// Counts the tasks of a step.
    pub(super) fn new(step: &Step, spec: &StepSpec, all_verified: bool, now: Millis) -> Self {
        let mut counts = Self::default();
        let may_start = step
            .tasks
            .iter()
            .filter(|task| task.may_start(all_verified, now));
        for task in may_start {
            match task.isolation(spec, now) {
                Isolation::None => counts.beside_any += 1,
                Isolation::Apart => counts.apart += 1,
                Isolation::Alone => counts.alone += 1,
            }
        }
        counts
    }

    /// Returns the number of tasks.
    pub(super) fn count(self) -> u64 {
        self.beside_any + self.apart + self.alone
    }

    /// Returns whether each task needs a runner of its own.
    pub(super) fn are_all_isolated(self) -> bool {
        self.beside_any == 0
    }

    /// Returns how many of the tasks a runner takes that has room for `fitting`.
    pub(super) fn max_on_runner(self, fitting: u64) -> u64 {
        if self.are_all_isolated() {
            fitting.min(1)
        } else {
            fitting
        }
    }

    /// Returns whether any of the tasks may join the runs on a runner.
    fn may_join(self, is_kept: bool, has_isolated_run: bool) -> bool {
        let counts = [
            (self.beside_any, Isolation::None),
            (self.apart, Isolation::Apart),
            (self.alone, Isolation::Alone),
        ];
        let mut present = counts.into_iter().filter(|(count, _)| *count > 0);
        present.any(|(_, isolation)| isolation.may_join(is_kept, has_isolated_run))
    }
}

impl Engine {
    /// Returns whether a task of a step may start on a runner, as far as runs are kept from others there.
    pub(super) fn is_open_for(
        &self,
        runner_ix: RunnerIx,
        id: StepId,
        startable: Startable,
    ) -> bool {
        let has_isolated_run = self.runners[runner_ix.0].has_isolated_run();
        !self.is_closed_to(runner_ix, id)
            && startable.may_join(self.is_kept_for(runner_ix, id), has_isolated_run)
    }
}
