//! Specification of a job: its steps and their tasks.

use kspan_model::{Millis, Name, Resources};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};

/// Result of validating a specification.
pub type Result<T> = std::result::Result<T, SpecError>;

/// Maximum number of tasks in one step.
const MAX_TASKS_PER_STEP: u32 = 10_000;

/// Maximum number of steps of a job.
pub const MAX_STEPS: usize = 1_000;

/// Maximum number of tasks in all steps of a job. Each takes memory at the owner from the submission
/// on, and a request body has room for thousands of steps.
pub(crate) const MAX_TASKS: u64 = 100_000;

quick_error! {
    /// Reason why a specification is rejected.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum SpecError {
        /// The job has no step.
        NoSteps {
            display("invalid job: expected at least one step")
        }
        /// The number of tasks in a step is out of range.
        TaskCount(step: usize) {
            display("step {step}: number of tasks out of range: expected 1 to {MAX_TASKS_PER_STEP}")
        }
        /// The job has too many steps.
        StepCount {
            display("invalid job: expected at most {MAX_STEPS} steps")
        }
        /// The job has too many tasks in all its steps.
        TotalTasks {
            display("invalid job: expected at most {MAX_TASKS} tasks in all steps")
        }
        /// A step depends on itself or on a later step.
        Dependency(step: usize) {
            display("step {step}: invalid dependency: expected the index of an earlier step")
        }
    }
}

/// Requirements and scheduling options of a step's tasks.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StepSpec {
    /// Number of tasks.
    pub count: u32,
    /// Resources that each task requests.
    pub size: Resources,
    /// Run time of a task as estimated by the caller.
    pub estimate: Millis,
    /// Indexes of earlier steps that must be completed first.
    pub depends_on: Vec<u32>,
    /// Whether a task can resume from a checkpoint.
    pub saves_progress: bool,
    /// Whether the tasks form a gang, which makes progress only while all of them run.
    pub gang: bool,
    /// Whether the tasks should share a rack because they slow each other down across racks.
    pub same_rack: bool,
    /// Label required of the runner.
    pub label: Option<Name>,
    /// Rack that holds the step's data.
    pub preferred_rack: Option<Name>,
    /// Maximum number of the step's tasks on one runner.
    pub max_per_runner: Option<u32>,
    /// Whether several copies of a task may run concurrently.
    pub speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    pub long_running: bool,
    /// Image that the tasks execute; tasks of the same image are expected to have similar run
    /// times.
    pub image: Option<Name>,
    /// Objective for the tail latency of a task that serves requests.
    pub tail_latency_target: Option<Millis>,
    /// Whether the tasks are best-effort: they use only processor time that others leave idle.
    pub best_effort: bool,
    /// Maximum number of tasks of a long-running step that may be unavailable at a time.
    pub max_unavailable: u32,
}

impl StepSpec {
    /// Returns how the tasks share a runner with others.
    pub fn sharing(&self) -> Sharing {
        match (self.best_effort, self.tail_latency_target) {
            (true, _) => Sharing::BestEffort,
            (false, Some(_)) => Sharing::LatencySensitive,
            (false, None) => Sharing::Ordinary,
        }
    }

    /// Returns the resources that a task reserves on its runner. A best-effort task reserves no
    /// processor.
    pub fn charged_resources(&self) -> Resources {
        let mut size = self.size;
        if self.best_effort {
            size.cpu_milli = 0;
        }
        size
    }
}

/// How a task shares its runner with other tasks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Sharing {
    /// The task uses the resources that it requested.
    #[default]
    Ordinary,
    /// The task serves requests and has an objective for its tail latency.
    LatencySensitive,
    /// The task uses idle processor time, and degrades latency-sensitive tasks on the same runner.
    BestEffort,
}

/// Schedule of a job's recurring occurrences.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Timetable {
    /// Number of occurrences.
    pub times: u32,
    /// Due time of the first occurrence, in milliseconds since the Unix epoch.
    pub first_unix_ms: u64,
    /// Interval between consecutive occurrences.
    pub period: Millis,
}

impl Timetable {
    /// Returns the due time of an occurrence, in milliseconds since the Unix epoch.
    pub fn due_unix_ms(&self, occurrence: u32) -> u64 {
        let after = self.period.0.saturating_mul(u64::from(occurrence));
        self.first_unix_ms.saturating_add(after)
    }
}

/// Specification of a job.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Opaque text that is passed to the runners unchanged.
    pub text: Name,
    /// Steps of the job. A step may depend only on steps before it.
    pub steps: Vec<StepSpec>,
    /// Recurring occurrences; without a timetable the steps run once, immediately.
    pub timetable: Option<Timetable>,
}

impl JobSpec {
    /// Validates the specification: every step needs tasks within the allowed number, dependencies
    /// must point to earlier steps, and the numbers of steps and of tasks in all are limited.
    ///
    /// # Errors
    ///
    /// Returns the first violation found.
    pub fn validate(&self) -> Result<()> {
        self.validate_steps()?;
        if self.steps.len() > MAX_STEPS {
            return Err(SpecError::StepCount);
        }
        if self.tasks_per_occurrence() > MAX_TASKS {
            return Err(SpecError::TotalTasks);
        }
        Ok(())
    }

    /// Validates each step. Unlike the totals, these rules hold for every job that was ever
    /// accepted, so that stored jobs are checked by them too.
    ///
    /// # Errors
    ///
    /// Returns the first violation found.
    pub(crate) fn validate_steps(&self) -> Result<()> {
        if self.steps.is_empty() {
            return Err(SpecError::NoSteps);
        }
        for (number, step) in self.steps.iter().enumerate() {
            if step.count == 0 || step.count > MAX_TASKS_PER_STEP {
                return Err(SpecError::TaskCount(number));
            }
            if step.depends_on.iter().any(|&on| on as usize >= number) {
                return Err(SpecError::Dependency(number));
            }
        }
        Ok(())
    }

    /// Returns the number of occurrences.
    pub fn occurrences(&self) -> u32 {
        self.timetable.map_or(1, |table| table.times)
    }

    /// Returns the number of tasks in one occurrence.
    pub(crate) fn tasks_per_occurrence(&self) -> u64 {
        self.steps.iter().map(|step| u64::from(step.count)).sum()
    }

    /// Returns whether the job runs until it is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.long_running)
    }
}
