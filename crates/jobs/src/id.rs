//! Identifiers of jobs, steps and tasks.

use std::{fmt, str::FromStr};

use derive_more::Display;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};

/// Result of parsing an id.
pub type Result<T> = std::result::Result<T, IdError>;

/// Number of hexadecimal digits in a job id.
const JOB_ID_DIGITS: usize = 16;

quick_error! {
    /// Reason why a text is not a valid id.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum IdError {
        /// The job id is not exactly 16 lower-case hexadecimal digits.
        Job {
            display("invalid job id: expected 16 lower-case hexadecimal digits")
        }
        /// The task id does not have the form `JOB.OCCURRENCE.STEP.INDEX`.
        Task {
            display("invalid task id: expected JOB.OCCURRENCE.STEP.INDEX")
        }
    }
}

/// Id of a job, chosen by its caller.
///
/// # Examples
///
/// ```
/// use kspan_jobs::id::JobId;
///
/// let id: JobId = "5c0e7a21d94b36f8".parse().unwrap();
/// assert_eq!(id.to_string(), "5c0e7a21d94b36f8");
/// assert!("5C0E".parse::<JobId>().is_err());
/// ```
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{_0:016x}")]
pub struct JobId(pub u64);

impl FromStr for JobId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self> {
        let lower = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
        if text.len() != JOB_ID_DIGITS || !text.bytes().all(lower) {
            return Err(IdError::Job);
        }
        let id = u64::from_str_radix(text, 16).map_err(|_| IdError::Job)?;
        Ok(Self(id))
    }
}

/// Id of a step in one occurrence of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StepId {
    /// Job that the step belongs to.
    pub job: JobId,
    /// Occurrence number; 0 for a job without a timetable.
    pub occurrence: u32,
    /// Index of the step within the job.
    pub step: u32,
}

impl StepId {
    /// Returns the id of the step's task with the given index.
    pub fn task(self, index: u32) -> TaskId {
        TaskId { step: self, index }
    }
}

impl fmt::Display for StepId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.occurrence, self.step)
    }
}

/// Id of a task.
///
/// # Examples
///
/// ```
/// use kspan_jobs::id::TaskId;
///
/// let id: TaskId = "5c0e7a21d94b36f8.0.1.17".parse().unwrap();
/// assert_eq!((id.step.step, id.index), (1, 17));
/// assert_eq!(id.to_string(), "5c0e7a21d94b36f8.0.1.17");
/// ```
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{step}.{index}")]
pub struct TaskId {
    /// Step that the task belongs to.
    pub step: StepId,
    /// Index of the task within the step.
    pub index: u32,
}

impl FromStr for TaskId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self> {
        let mut parts = text.split('.');
        let job = parts.next().ok_or(IdError::Task)?.parse()?;
        let mut number = || -> Result<u32> {
            let part = parts.next().ok_or(IdError::Task)?;
            part.parse().map_err(|_| IdError::Task)
        };
        let step = StepId {
            job,
            occurrence: number()?,
            step: number()?,
        };
        let id = step.task(number()?);
        match parts.next() {
            None => Ok(id),
            Some(_) => Err(IdError::Task),
        }
    }
}
