//! Probation of workers that fail what they start.
//!
//! A worker is judged by its own recent outcomes against the failure rate of the whole cell.
//! Evidence is counted once a job, or once a task where the job does well elsewhere, so that one
//! bad job condemns nobody. Probation doubles each time and ends in a trial: one task at a time
//! until one succeeds.

use std::collections::VecDeque;

use kspan_model::{Millis, TaskId};

/// Outcomes remembered of each worker.
const REMEMBERED: usize = 16;
/// Independent failures without which no worker is condemned.
const LEAST_EVIDENCE: usize = 3;
/// Failure rate below which no worker is condemned.
const LEAST_RATE: f64 = 0.5;
/// A worker is condemned only if its rate exceeds the cell's by this factor.
const TIMES_CELL_RATE: f64 = 3.0;
/// Highest failure rate that is asked for, however badly the cell does.
const HIGHEST_RATE: f64 = 0.95;
/// First probation; each further one doubles it.
const FIRST_PROBATION: Millis = Millis::from_secs(30);
/// Longest probation.
const LONGEST_PROBATION: Millis = Millis::from_secs(3_600);
/// Successes in a row that take back one doubling.
const SUCCESSES_TO_FORGIVE: u32 = 32;
/// Weight of the newest outcome in the cell's failure rate.
const RATE_WEIGHT: f64 = 1.0 / 1024.0;

/// What an outcome says about a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Outcome {
    pub(crate) task: TaskId,
    pub(crate) failed: bool,
    /// Whether the failure counts against the worker; not where the job fails everywhere.
    pub(crate) is_evidence: bool,
    /// Whether other tasks of the job have succeeded, so that each task is evidence of its own.
    pub(crate) job_does_well: bool,
    /// Whether the failure was charged to the job.
    pub(crate) charged: bool,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Trust {
    #[default]
    Trusted,
    Probation,
    Trial,
}

/// What follows from an outcome.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// The worker goes on as before.
    Unchanged,
    /// The worker takes no tasks for the span. The charged failures are to be taken back.
    Probation {
        span: Millis,
        take_back: Vec<TaskId>,
    },
    /// The worker's trial has succeeded.
    Cleared,
}

/// What is known of one worker's failures.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    trust: Trust,
    recent: VecDeque<Outcome>,
    doublings: u32,
    successes: u32,
}

impl Health {
    /// Returns whether new tasks may be placed on the worker.
    pub(crate) fn takes_tasks(&self, is_empty: bool) -> bool {
        match self.trust {
            Trust::Trusted => true,
            Trust::Probation => false,
            Trust::Trial => is_empty,
        }
    }

    pub(crate) fn is_on_probation(&self) -> bool {
        self.trust == Trust::Probation
    }

    /// Returns whether a further failure should not count against the job: the worker is on
    /// trial, or the last that it did for another job failed.
    pub(crate) fn is_suspect(&self, task: TaskId) -> bool {
        if self.trust != Trust::Trusted {
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

    /// Ends the probation; the worker is on trial from now on.
    pub(crate) fn begin_trial(&mut self) {
        if self.trust == Trust::Probation {
            self.trust = Trust::Trial;
        }
    }

    /// Records an outcome and judges the worker by it.
    pub(crate) fn record(&mut self, outcome: Outcome, cell_rate: f64) -> Verdict {
        if self.recent.len() == REMEMBERED {
            self.recent.pop_front();
        }
        self.recent.push_back(outcome);
        if !outcome.failed {
            return self.record_success();
        }
        self.successes = 0;
        let fails_trial = self.trust == Trust::Trial && outcome.is_evidence;
        if fails_trial || (self.trust == Trust::Trusted && self.is_condemned(cell_rate)) {
            return self.begin_probation();
        }
        Verdict::Unchanged
    }

    fn record_success(&mut self) -> Verdict {
        self.successes += 1;
        if self.successes >= SUCCESSES_TO_FORGIVE {
            self.successes = 0;
            self.doublings = self.doublings.saturating_sub(1);
        }
        if self.trust != Trust::Trial {
            return Verdict::Unchanged;
        }
        self.trust = Trust::Trusted;
        self.recent.clear();
        Verdict::Cleared
    }

    fn is_condemned(&self, cell_rate: f64) -> bool {
        let judged = || {
            let recent = self.recent.iter();
            recent.filter(|outcome| !outcome.failed || outcome.is_evidence)
        };
        let failures = judged().filter(|outcome| outcome.failed).count();
        let rate = failures as f64 / judged().count().max(1) as f64;
        let asked = (cell_rate * TIMES_CELL_RATE).clamp(LEAST_RATE, HIGHEST_RATE);
        rate >= asked && self.independent_failures() >= LEAST_EVIDENCE
    }

    fn independent_failures(&self) -> usize {
        let failures = || {
            let recent = self.recent.iter();
            recent.filter(|outcome| outcome.failed && outcome.is_evidence)
        };
        let first_of_kind = |position: usize, outcome: &Outcome| {
            !failures()
                .take(position)
                .any(|earlier| is_same_evidence(earlier, outcome))
        };
        let kinds = failures().enumerate();
        kinds
            .filter(|(position, outcome)| first_of_kind(*position, outcome))
            .count()
    }

    fn begin_probation(&mut self) -> Verdict {
        let span = Millis(FIRST_PROBATION.0 << self.doublings.min(16)).min(LONGEST_PROBATION);
        self.trust = Trust::Probation;
        self.doublings += 1;
        let charged = self.recent.iter().filter(|outcome| outcome.charged);
        let take_back = charged.map(|outcome| outcome.task).collect();
        self.recent.clear();
        Verdict::Probation { span, take_back }
    }
}

fn is_same_evidence(a: &Outcome, b: &Outcome) -> bool {
    let is_same_task = a.task.job == b.task.job && a.task.index == b.task.index;
    let each_task_counts = a.job_does_well && b.job_does_well;
    is_same_task || (a.task.job == b.task.job && !each_task_counts)
}

/// Failure rate over the whole cell, the newest outcomes weighing most.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FailureRate(f64);

impl FailureRate {
    pub(crate) fn record(&mut self, failed: bool) {
        self.0 += (f64::from(failed) - self.0) * RATE_WEIGHT;
    }

    pub(crate) fn get(self) -> f64 {
        self.0
    }
}
