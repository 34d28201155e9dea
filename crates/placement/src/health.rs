//! Probation of workers on which tasks fail.
//!
//! A worker's recent outcomes are compared with the failure rate of the whole cell. Failures are
//! counted once per job, or once per task if the job succeeds elsewhere, so that one faulty job
//! does not put a worker on probation. The duration of probation doubles each time. Probation ends
//! with a trial: the worker runs one task at a time until one succeeds.

use std::collections::VecDeque;

use kspan_model::{Millis, TaskId};

/// Number of recent outcomes kept per worker.
const MAX_OUTCOMES: usize = 16;
/// Minimum number of independent failures before a worker is put on probation.
const MIN_INDEPENDENT_FAILURES: usize = 3;
/// Lower bound on the failure rate at which a worker is put on probation.
const MIN_RATE_LIMIT: f64 = 0.5;
/// Factor by which a worker's failure rate must exceed that of the cell.
const CELL_RATE_FACTOR: f64 = 3.0;
/// Upper bound on the failure rate at which a worker is put on probation, however high the cell's
/// own rate is.
const MAX_RATE_LIMIT: f64 = 0.95;
/// Duration of the first probation, doubled for each further one.
const INITIAL_PROBATION: Millis = Millis::from_secs(30);
/// Upper bound on the duration of probation.
const MAX_PROBATION: Millis = Millis::from_secs(3_600);
/// Consecutive successes after which the next probation is halved again.
const SUCCESSES_PER_PROBATION_STEP: u32 = 32;
/// Weight of the newest outcome in the cell's failure rate.
const CELL_RATE_WEIGHT: f64 = 1.0 / 1024.0;

/// Outcome of one attempt on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Outcome {
    pub(crate) task: TaskId,
    pub(crate) failed: bool,
    /// Whether a failure counts against the worker; false if the job fails on other workers too.
    pub(crate) is_evidence: bool,
    /// Whether other tasks of the job have succeeded, so that failures of different tasks are
    /// independent.
    pub(crate) job_has_successes: bool,
    /// Whether the failure was counted against the job.
    pub(crate) charged: bool,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum HealthState {
    #[default]
    Trusted,
    Probation,
    Trial,
}

/// Consequence of an outcome for the worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// The state does not change.
    Unchanged,
    /// The worker accepts no tasks for the duration. The listed failures no longer count against
    /// their jobs.
    Probation {
        duration: Millis,
        charged_failures: Vec<TaskId>,
    },
    /// The worker has passed its trial.
    Cleared,
}

/// Recent outcomes and probation state of one worker.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    state: HealthState,
    recent: VecDeque<Outcome>,
    probation_step: u32,
    consecutive_successes: u32,
}

impl Health {
    /// Returns whether new tasks may be placed on the worker.
    pub(crate) fn accepts_tasks(&self, is_empty: bool) -> bool {
        match self.state {
            HealthState::Trusted => true,
            HealthState::Probation => false,
            HealthState::Trial => is_empty,
        }
    }

    pub(crate) fn is_on_probation(&self) -> bool {
        self.state == HealthState::Probation
    }

    /// Returns whether a failure of the task should not count against its job: the worker is on
    /// trial, or a task of another job has failed on it since its last success.
    pub(crate) fn is_suspect(&self, task: TaskId) -> bool {
        if self.state != HealthState::Trusted {
            return true;
        }
        let since_success = self
            .recent
            .iter()
            .rev()
            .take_while(|outcome| outcome.failed);
        let mut evidence = since_success.filter(|outcome| outcome.is_evidence);
        evidence.any(|outcome| outcome.task.job != task.job)
    }

    /// Ends probation and begins the trial.
    pub(crate) fn begin_trial(&mut self) {
        if self.state == HealthState::Probation {
            self.state = HealthState::Trial;
        }
    }

    /// Records an outcome and decides whether the worker goes on probation.
    pub(crate) fn record(&mut self, outcome: Outcome, cell_rate: f64) -> Verdict {
        if self.recent.len() == MAX_OUTCOMES {
            self.recent.pop_front();
        }
        self.recent.push_back(outcome);
        if !outcome.failed {
            return self.record_success();
        }
        self.consecutive_successes = 0;
        let fails_trial = self.state == HealthState::Trial && outcome.is_evidence;
        if fails_trial
            || (self.state == HealthState::Trusted && self.is_above_rate_limit(cell_rate))
        {
            return self.begin_probation();
        }
        Verdict::Unchanged
    }

    fn record_success(&mut self) -> Verdict {
        self.consecutive_successes += 1;
        if self.consecutive_successes >= SUCCESSES_PER_PROBATION_STEP {
            self.consecutive_successes = 0;
            self.probation_step = self.probation_step.saturating_sub(1);
        }
        if self.state != HealthState::Trial {
            return Verdict::Unchanged;
        }
        self.state = HealthState::Trusted;
        self.recent.clear();
        Verdict::Cleared
    }

    fn is_above_rate_limit(&self, cell_rate: f64) -> bool {
        let counted = || {
            let recent = self.recent.iter();
            recent.filter(|outcome| !outcome.failed || outcome.is_evidence)
        };
        let failures = counted().filter(|outcome| outcome.failed).count();
        let rate = failures as f64 / counted().count().max(1) as f64;
        let limit = (cell_rate * CELL_RATE_FACTOR).clamp(MIN_RATE_LIMIT, MAX_RATE_LIMIT);
        rate >= limit && self.independent_failures() >= MIN_INDEPENDENT_FAILURES
    }

    fn independent_failures(&self) -> usize {
        let failures = || {
            let recent = self.recent.iter();
            recent.filter(|outcome| outcome.failed && outcome.is_evidence)
        };
        let is_first = |position: usize, outcome: &Outcome| {
            !failures()
                .take(position)
                .any(|earlier| is_same_evidence(earlier, outcome))
        };
        let all_failures = failures().enumerate();
        all_failures
            .filter(|(position, outcome)| is_first(*position, outcome))
            .count()
    }

    fn begin_probation(&mut self) -> Verdict {
        let duration =
            Millis(INITIAL_PROBATION.0 << self.probation_step.min(16)).min(MAX_PROBATION);
        self.state = HealthState::Probation;
        self.probation_step += 1;
        let charged = self.recent.iter().filter(|outcome| outcome.charged);
        let charged_failures = charged.map(|outcome| outcome.task).collect();
        self.recent.clear();
        Verdict::Probation {
            duration,
            charged_failures,
        }
    }
}

fn is_same_evidence(a: &Outcome, b: &Outcome) -> bool {
    let is_same_task = a.task.job == b.task.job && a.task.index == b.task.index;
    let each_task_counts = a.job_has_successes && b.job_has_successes;
    is_same_task || (a.task.job == b.task.job && !each_task_counts)
}

/// Exponentially weighted failure rate of the whole cell.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FailureRate(f64);

impl FailureRate {
    pub(crate) fn record(&mut self, failed: bool) {
        self.0 += (f64::from(failed) - self.0) * CELL_RATE_WEIGHT;
    }

    pub(crate) fn get(self) -> f64 {
        self.0
    }
}
