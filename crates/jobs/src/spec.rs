//! What a caller asks for: a job's steps and their tasks.

use kspan_model::{Millis, Name, Resources};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};

/// Result of checking a specification.
pub type Result<T> = std::result::Result<T, SpecError>;

/// Most tasks of one step.
const MAX_TASKS: u32 = 10_000;

quick_error! {
    /// Why a specification is refused.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum SpecError {
        /// There is no step.
        NoStep {
            display("a job needs a step")
        }
        /// A step has no task, or more than are allowed.
        Count(step: usize) {
            display("step {step}: the number of tasks must be from 1 to {MAX_TASKS}")
        }
        /// A step depends on itself or on a later one.
        Dependency(step: usize) {
            display("step {step}: only earlier steps may be depended on")
        }
    }
}

/// What one step's tasks need and how they are treated.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StepSpec {
    /// Number of tasks.
    pub count: u32,
    /// Room that each task takes.
    pub size: Resources,
    /// The caller's rough estimate of a task's run time.
    pub estimate: Millis,
    /// Earlier steps whose tasks must all be done first.
    pub depends_on: Vec<u32>,
    /// Whether a task can resume from a checkpoint.
    pub saves_progress: bool,
    /// Whether the tasks work only while all of them run.
    pub gang: bool,
    /// Whether the tasks slow each other down across racks.
    pub same_rack: bool,
    /// Label that the runner must have.
    pub label: Option<Name>,
    /// Rack where the step's data lies.
    pub preferred_rack: Option<Name>,
    /// Most tasks of the step on one runner.
    pub max_per_runner: Option<u32>,
    /// Whether copies of a task may run side by side.
    pub speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    pub long_running: bool,
    /// What the tasks run; tasks of one image behave alike.
    pub image: Option<Name>,
    /// Bound on the tail of the response times of a serving task.
    pub tail_latency_target: Option<Millis>,
    /// Whether the tasks use only processor time that others leave.
    pub best_effort: bool,
    /// How many tasks of a long-running step may be taken away at a time.
    pub max_unavailable: u32,
}

impl StepSpec {
    /// Returns how a task meets others on its runner.
    pub fn sharing(&self) -> Sharing {
        match (self.best_effort, self.tail_latency_target) {
            (true, _) => Sharing::BestEffort,
            (false, Some(_)) => Sharing::LatencySensitive,
            (false, None) => Sharing::Ordinary,
        }
    }

    /// Returns the room that a task takes from a runner's capacity.
    pub fn charged_resources(&self) -> Resources {
        let mut size = self.size;
        if self.best_effort {
            size.cpu_milli = 0;
        }
        size
    }
}

/// How a task's use of its runner meets that of others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Sharing {
    /// It takes the room that it asked for.
    #[default]
    Ordinary,
    /// It serves users of its own, within a bound on their response times.
    LatencySensitive,
    /// It uses what others leave, and disturbs those that serve.
    BestEffort,
}

/// Occurrences of a job in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Timetable {
    /// How often the steps run.
    pub times: u32,
    /// When the first occurrence is due, in milliseconds since 1970.
    pub first_unix_ms: u64,
    /// Time from one occurrence to the next.
    pub period: Millis,
}

impl Timetable {
    /// Returns when an occurrence is due, in milliseconds since 1970.
    pub fn due_unix_ms(&self, occurrence: u32) -> u64 {
        let after = self.period.0.saturating_mul(u64::from(occurrence));
        self.first_unix_ms.saturating_add(after)
    }
}

/// What a job consists of.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Text that is handed to the runners as it is.
    pub text: Name,
    /// Steps in order.
    pub steps: Vec<StepSpec>,
    /// Occurrences in time; without it the steps run once, at once.
    pub timetable: Option<Timetable>,
}

impl JobSpec {
    /// Checks what no runner could carry out.
    ///
    /// # Errors
    ///
    /// Returns the first fault found.
    pub fn check(&self) -> Result<()> {
        if self.steps.is_empty() {
            return Err(SpecError::NoStep);
        }
        for (number, step) in self.steps.iter().enumerate() {
            if step.count == 0 || step.count > MAX_TASKS {
                return Err(SpecError::Count(number));
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

    /// Returns whether the job runs until it is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.long_running)
    }
}
