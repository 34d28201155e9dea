//! State of one task of a step.

use kspan_model::{Millis, Name};

use super::{
    evidence::{Crashes, Isolation, MAX_SETTLING_TIME},
    locality::Wait,
    runner::RunnerIx,
};
use crate::{record::FailedRun, spec::StepSpec};

/// State of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TaskState {
    /// No run that this owner ordered can be alive.
    Waiting,
    /// A start was ordered and has not been confirmed.
    Starting(RunnerIx),
    /// A runner has the task.
    Running(RunnerIx),
    /// A stop was ordered and the run may still be alive.
    Stopping(RunnerIx),
    /// The task is done.
    Done,
}

impl TaskState {
    /// Returns the runner of a run that is to go on.
    pub(super) fn active_runner(self) -> Option<RunnerIx> {
        match self {
            Self::Starting(ix) | Self::Running(ix) => Some(ix),
            Self::Waiting | Self::Stopping(_) | Self::Done => None,
        }
    }

    /// Returns the runner that may have the task.
    pub(super) fn runner(self) -> Option<RunnerIx> {
        match self {
            Self::Starting(ix) | Self::Running(ix) | Self::Stopping(ix) => Some(ix),
            Self::Waiting | Self::Done => None,
        }
    }
}

#[derive(Clone, Debug)]
pub(super) struct Task {
    pub(super) state: TaskState,
    /// Latest run number.
    pub(super) run: u32,
    /// Failed runs. Not recorded for long-running tasks, whose failures are unlimited.
    pub(super) failures: Vec<FailedRun>,
    pub(super) checkpoint: Name,
    /// Time at which the task entered its state.
    pub(super) state_since: Millis,
    /// Runner on which the latest run failed or stalled.
    pub(super) last_failed_on: Option<RunnerIx>,
    /// Crashes of the runners of its runs.
    pub(super) crashes: Crashes,
    /// Number of runs stopped as stalled.
    pub(super) stall_count: u32,
    /// Run numbers to skip at the next start, if a runner has seen higher ones.
    pub(super) skip_runs: u32,
    /// Whether a run ordered by a previous owner may exist on a runner that has not answered.
    pub(super) unverified: bool,
    /// Whether a run of a previous owner was adopted before all runners have answered. The previous owner may have
    /// learned of its end too, and started the task on a runner that has not.
    pub(super) is_adopted: bool,
    /// Whether a runner may still carry out a start that a previous owner ordered.
    pub(super) is_doubted: bool,
    /// Whether a run ordered by a previous owner may have been on a runner that crashed.
    pub(super) unaccounted: bool,
    /// A run that should not exist and is being stopped.
    pub(super) orphan: Option<OrphanRun>,
    /// The task's wait for its rack, or that of its gang if the task is the first member.
    pub(super) wait: Option<Wait>,
}

/// A run of a task that a runner lists although the task has another one, or none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct OrphanRun {
    pub(super) runner_ix: RunnerIx,
    pub(super) run: u32,
}

impl Task {
    pub(super) fn new(now: Millis) -> Self {
        Self {
            state: TaskState::Waiting,
            run: 0,
            failures: Vec::new(),
            checkpoint: Name::default(),
            state_since: now,
            last_failed_on: None,
            crashes: Crashes::default(),
            stall_count: 0,
            skip_runs: 0,
            unverified: false,
            is_adopted: false,
            is_doubted: false,
            unaccounted: false,
            orphan: None,
            wait: None,
        }
    }

    /// Returns whether the task is waiting and may start. A run of a previous owner that may exist unseen
    /// blocks it until `all_verified`, a start of one that may be carried out late until it can't, and an orphan
    /// run until it has ended.
    pub(super) fn may_start(&self, all_verified: bool, now: Millis) -> bool {
        self.state == TaskState::Waiting
            && self.orphan.is_none()
            && !self.is_doubted
            && (all_verified || !self.may_run_unseen())
            && self.crashes_allow_start(now)
    }

    /// Returns whether the task has no run and is not done.
    pub(super) fn is_waiting(&self) -> bool {
        self.state == TaskState::Waiting
    }

    /// Returns the time until which it may wait for what its earlier runs did to their runners.
    pub(super) fn latest_settling(&self) -> Millis {
        self.state_since + MAX_SETTLING_TIME
    }

    /// Returns whether a previous owner may have ordered a run of the task that no runner has listed.
    pub(super) fn may_run_unseen(&self) -> bool {
        self.unverified || self.is_adopted
    }

    /// Records that no such run can be alive.
    pub(super) fn verify(&mut self) {
        self.unverified = false;
        self.is_adopted = false;
    }

    /// Returns whether the task may start as far as crashes are concerned.
    pub(super) fn crashes_allow_start(&self, now: Millis) -> bool {
        let waited = now.saturating_sub(self.state_since);
        self.crashes.allow_start(waited)
    }

    /// Returns whether the task crashes the runners that start it.
    pub(super) fn is_given_up(&self) -> bool {
        self.crashes.are_conclusive()
    }

    /// Returns whether the task's next start is held until it is recorded.
    pub(super) fn is_held(&self) -> bool {
        self.unaccounted || self.crashes.are_certainly_suspicious()
    }

    /// Returns how far the task's next run is kept from others.
    pub(super) fn isolation(&self, spec: &StepSpec, now: Millis) -> Isolation {
        let waited = now.saturating_sub(self.state_since);
        let has_other_members = spec.gang && spec.count > 1;
        self.crashes.isolation(waited, has_other_members)
    }

    /// Sets the state and the time of its change.
    pub(super) fn set_state(&mut self, state: TaskState, now: Millis) {
        self.state = state;
        self.state_since = now;
    }

    pub(super) fn has_progress(&self) -> bool {
        self.state == TaskState::Done
            || !self.failures.is_empty()
            || self.unaccounted
            || !self.crashes.records().is_empty()
            || !self.checkpoint.is_empty()
    }
}
