//! Durable progress of jobs.
//!
//! The record of a job's progress holds the progress of its tasks as well, unless there may be so many
//! that it would not fit into one record. It then says how many tasks a part has, and each part with any
//! progress has a record of its own. A part without one has none.

use std::str::FromStr;

use derive_more::Display;
use kspan_model::Name;
use serde::{Deserialize, Serialize};

use super::{Phase, RecordError, Result, decode};
use crate::id::JobId;

/// Key of a part of a job's progress.
///
/// Tasks are numbered in the order of their occurrences, steps and indices. The size is in the key, so
/// that parts of another size are never taken for each other.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{job}.{tasks:x}.{number:x}")]
pub struct PartKey {
    /// Job.
    pub job: JobId,
    /// Number of tasks that a part has.
    pub tasks: u32,
    /// Number of the part; it has the tasks from `number * tasks` on.
    pub number: u64,
}

impl FromStr for PartKey {
    type Err = RecordError;

    fn from_str(text: &str) -> Result<Self> {
        let unknown = || RecordError::UnknownKey;
        let (job, rest) = text.split_once('.').ok_or_else(unknown)?;
        let (tasks, number) = rest.split_once('.').ok_or_else(unknown)?;
        Ok(Self {
            job: job.parse().map_err(|_| unknown())?,
            tasks: u32::from_str_radix(tasks, 16).map_err(|_| unknown())?,
            number: u64::from_str_radix(number, 16).map_err(|_| unknown())?,
        })
    }
}

/// Durable progress of the tasks of one part of a job.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PartRecord {
    /// Occurrences that have begun and are not completed, with the tasks of the part.
    pub occurrences: Vec<OccurrenceProgress>,
    /// Crashes of the runners of these tasks, and runs that may turn out to be some.
    pub crashes: Vec<TaskCrash>,
    /// Those of the tasks that may have been on a runner that crashed while no owner knew what it ran.
    pub unaccounted: Vec<TaskRef>,
}

impl PartRecord {
    /// Decodes a record.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes do not encode a part of a job's progress.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        decode(bytes)
    }

    /// Returns whether no task of the part has any progress.
    pub fn is_empty(&self) -> bool {
        let has_tasks = self.occurrences.iter().any(|occ| !occ.tasks.is_empty());
        !has_tasks && self.crashes.is_empty() && self.unaccounted.is_empty()
    }
}

/// Durable progress of a job.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ProgressRecord {
    /// Phase of the job.
    pub phase: Phase,
    /// Time at which the job ended, in milliseconds since the Unix epoch; 0 while it is active.
    pub ended_unix_ms: u64,
    /// Number of completed occurrences.
    pub occurrences_done: u32,
    /// Occurrences that have begun and are not completed.
    pub occurrences: Vec<OccurrenceProgress>,
    /// Crashes of the runners of tasks in these occurrences, and runs that may turn out to be some.
    pub crashes: Vec<TaskCrash>,
    /// Tasks that may have been on a runner that crashed while no owner knew what it ran.
    pub unaccounted: Vec<TaskRef>,
    /// Whether the owner that wrote the record knew of a start of any task.
    pub has_started: bool,
    /// Number of tasks of a part of the progress; 0 if this record has all tasks. Otherwise only the
    /// records of parts of that size have tasks, and the occurrences here have none.
    pub tasks_per_part: u32,
}

/// Progress record without crashes, as written by versions that did not count them.
#[derive(Deserialize)]
struct ProgressRecordWithoutCrashes {
    phase: Phase,
    ended_unix_ms: u64,
    occurrences_done: u32,
    occurrences: Vec<OccurrenceProgress>,
}

impl ProgressRecordWithoutCrashes {
    /// Returns whether a task is known to have started. A record of a job whose tasks all wait may list
    /// its occurrences too.
    fn shows_start(&self) -> bool {
        let mut tasks = self.occurrences.iter().flat_map(|occ| &occ.tasks);
        self.occurrences_done > 0 || tasks.any(|task| task.done || task.run > 0)
    }
}

impl ProgressRecord {
    /// Decodes a record, also one of a version that did not count crashes, or did not write whether the
    /// job has started.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes do not encode a progress record.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        let (old, rest) = postcard::take_from_bytes::<ProgressRecordWithoutCrashes>(bytes)?;
        let ((crashes, unaccounted), rest) = if rest.is_empty() {
            Default::default()
        } else {
            postcard::take_from_bytes::<(Vec<TaskCrash>, Vec<TaskRef>)>(rest)?
        };
        let (has_started, tasks_per_part) = if rest.is_empty() {
            (old.shows_start() || !crashes.is_empty(), 0)
        } else {
            postcard::from_bytes(rest)?
        };
        Ok(Self {
            phase: old.phase,
            ended_unix_ms: old.ended_unix_ms,
            occurrences_done: old.occurrences_done,
            occurrences: old.occurrences,
            crashes,
            unaccounted,
            has_started,
            tasks_per_part,
        })
    }
}

/// A task within the progress record of its job.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRef {
    /// Number of the occurrence.
    pub occurrence: u32,
    /// Index of the step within the job.
    pub step: u32,
    /// Index of the task within the step.
    pub index: u32,
}

/// A crash of the runner of one task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskCrash {
    /// Task.
    pub task: TaskRef,
    /// The crash.
    pub crash: CrashRecord,
}

/// A run during which its runner crashed, or may have.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRecord {
    /// Run number.
    pub run: u32,
    /// Hash of the id of the runner's incarnation.
    pub incarnation: u64,
    /// Whether the runner is known to have ended. If not, only an owner that learns of its end
    /// counts the crash.
    pub is_certain: bool,
    /// Whether no other run on the runner was a likely cause.
    pub was_alone: bool,
    /// Longest time for which the run can have been alive, in milliseconds; `None` if it is not
    /// known.
    pub age_ms: Option<u64>,
    /// Whether the runner neither answered the order nor listed the run, so that it may not have begun.
    /// Not stored: for the next owner it counts as one that has.
    #[serde(skip)]
    pub is_start_in_doubt: bool,
}

/// Durable progress of one occurrence.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct OccurrenceProgress {
    /// Occurrence number.
    pub number: u32,
    /// Tasks that are done, have failed runs or have a checkpoint.
    pub tasks: Vec<TaskProgress>,
}

/// Durable progress of one task.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TaskProgress {
    /// Index of the step within the job.
    pub step: u32,
    /// Index of the task within the step.
    pub index: u32,
    /// Whether the task is done.
    pub done: bool,
    /// Highest run number that was ordered.
    pub run: u32,
    /// Failed runs. The list holds each failure once, since its end may be reported in any order
    /// and to successive owners.
    pub failures: Vec<FailedRun>,
    /// Latest checkpoint; empty if there is none.
    pub checkpoint: Name,
}

/// Identity of a failed run, which prevents counting the same failure twice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailedRun {
    /// Run number.
    pub run: u32,
    /// Hash of the id of the runner's incarnation.
    pub incarnation: u64,
}
