//! Durable records of jobs and runners, and their encoding.
//!
//! A job has two keyed records: its specification, written once before the submission is
//! acknowledged to the caller, and its progress, written before the end of a run is acknowledged to
//! a runner. Soon after the job's end a short record of the end replaces both. Running tasks are not
//! recorded, because the runners report them in their inventories. The set of runners is recorded: the host list drops a runner that is unreachable, while its
//! tasks may continue to run.

use derive_more::Display;
use kspan_model::Name;
use quick_error::quick_error;
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

use crate::{
    config::Policy,
    id::{JobId, TaskId},
    runner::RunnerEntry,
    spec::{JobSpec, SpecError},
};

/// Result of decoding a record.
pub type Result<T> = std::result::Result<T, RecordError>;

quick_error! {
    /// Reason why a record could not be decoded.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum RecordError {
        /// The key does not denote a known kind of record.
        UnknownKey {
            display("unknown record key: expected j, p, e or r followed by an id")
        }
        /// The record is of a job whose specification is invalid.
        InvalidSpec(err: SpecError) {
            from()
            display("stored job is invalid: {err}")
        }
        /// The value does not decode as a record of the kind that the key denotes.
        InvalidValue(err: postcard::Error) {
            from()
            display("cannot decode record value: {err}")
        }
    }
}

/// Key of a record.
///
/// # Examples
///
/// ```
/// use kspan_jobs::{id::JobId, record::RecordKey};
///
/// let key = RecordKey::Progress(JobId(10));
/// assert_eq!(key.to_string(), "p000000000000000a");
/// assert_eq!(RecordKey::parse("p000000000000000a"), Ok(key));
/// ```
#[derive(Clone, Debug, Display, PartialEq, Eq, Hash)]
pub enum RecordKey {
    /// Specification of a job.
    #[display("j{_0}")]
    Job(JobId),
    /// Progress of a job.
    #[display("p{_0}")]
    Progress(JobId),
    /// End of a job whose specification and progress are no longer needed.
    #[display("e{_0}")]
    Ended(JobId),
    /// One incarnation of a runner, by its id.
    #[display("r{_0}")]
    Runner(Name),
}

impl RecordKey {
    /// Parses a key.
    ///
    /// # Errors
    ///
    /// Returns an error if the text has no known key format.
    pub fn parse(text: &str) -> Result<Self> {
        let (kind, id) = text.split_at_checked(1).ok_or(RecordError::UnknownKey)?;
        let job = || id.parse().map_err(|_| RecordError::UnknownKey);
        match kind {
            "j" => Ok(Self::Job(job()?)),
            "p" => Ok(Self::Progress(job()?)),
            "e" => Ok(Self::Ended(job()?)),
            "r" => Ok(Self::Runner(Name::new(id))),
            _ => Err(RecordError::UnknownKey),
        }
    }
}

/// A record to be written; `None` as the value deletes the key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Key of the record.
    pub key: RecordKey,
    /// Encoded value.
    pub value: Option<Vec<u8>>,
}

/// Lifecycle phase of a job.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// The job has unfinished tasks.
    #[default]
    Active,
    /// All tasks completed.
    Completed,
    /// A task reached its maximum number of failed runs.
    Failed,
    /// The job was cancelled by its caller.
    Cancelled,
}

/// Durable specification of an accepted job.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct JobRecord {
    /// Queue that the job was submitted to.
    pub queue: Name,
    /// Policy of the queue when the job was accepted.
    pub policy: Policy,
    /// Time of acceptance, in milliseconds since the Unix epoch.
    pub accepted_unix_ms: u64,
    /// Specification of the job.
    pub spec: JobSpec,
    /// Team that submitted the job.
    pub team: Option<Name>,
    /// Whether the team submitted more than it is entitled to when it submitted the job.
    pub exceeds_rate: bool,
}

/// Job record without a team, as written by versions that knew no teams.
#[derive(Deserialize)]
struct JobRecordWithoutTeam {
    queue: Name,
    policy: Policy,
    accepted_unix_ms: u64,
    spec: JobSpec,
}

impl JobRecord {
    /// Decodes a record, also one of a version that knew no teams.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes do not encode a job record.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        let (old, rest) = postcard::take_from_bytes::<JobRecordWithoutTeam>(bytes)?;
        let (team, exceeds_rate) = if rest.is_empty() {
            (None, false)
        } else {
            postcard::from_bytes(rest)?
        };
        Ok(Self {
            queue: old.queue,
            policy: old.policy,
            accepted_unix_ms: old.accepted_unix_ms,
            spec: old.spec,
            team,
            exceeds_rate,
        })
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
        let has_started = if rest.is_empty() {
            old.shows_start() || !crashes.is_empty()
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
        })
    }
}

/// Durable record of a runner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunnerRecord {
    /// Latest entry of the runner in the host list.
    pub entry: RunnerEntry,
    /// Tasks that may be on the runner; `None` if it may have any. Written while the runner does not
    /// answer.
    pub tasks: Option<Vec<TaskId>>,
}

impl RunnerRecord {
    /// Decodes a record, also one of a version that wrote no tasks.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes do not encode a record of a runner.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        let (entry, rest) = postcard::take_from_bytes(bytes)?;
        let tasks = if rest.is_empty() {
            None
        } else {
            Some(postcard::from_bytes(rest)?)
        };
        Ok(Self { entry, tasks })
    }

    /// Encodes the record. Versions that know no tasks ignore them.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = encode(&self.entry);
        if let Some(tasks) = &self.tasks {
            bytes.extend(encode(tasks));
        }
        bytes
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

/// Durable end of a job. It replaces the job's specification and progress, which would only make a
/// takeover slower.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndedRecord {
    /// Queue that the job was submitted to.
    pub queue: Name,
    /// Team that submitted the job.
    pub team: Option<Name>,
    /// How the job ended.
    pub phase: Phase,
    /// Time at which the job ended, in milliseconds since the Unix epoch.
    pub ended_unix_ms: u64,
}

/// State that previous owners made durable.
#[derive(Clone, Debug, Default)]
pub struct DurableState {
    /// Accepted jobs.
    pub jobs: Vec<(JobId, JobRecord)>,
    /// Progress of the jobs.
    pub progress: FxHashMap<JobId, ProgressRecord>,
    /// Ends of jobs without a specification.
    pub ended: Vec<(JobId, EndedRecord)>,
    /// Runners that may have tasks, including those missing from the host list.
    pub runners: Vec<RunnerRecord>,
}

impl DurableState {
    /// Adds the latest record of a key.
    ///
    /// # Errors
    ///
    /// Returns an error, and adds nothing, if the key or the value cannot be decoded or the job
    /// has steps that are not valid.
    pub fn add(&mut self, key: &str, value: &[u8]) -> Result<()> {
        match RecordKey::parse(key)? {
            RecordKey::Job(id) => {
                let record = JobRecord::decode(value)?;
                record.spec.validate_steps()?;
                self.jobs.push((id, record));
            }
            RecordKey::Progress(id) => {
                self.progress.insert(id, ProgressRecord::decode(value)?);
            }
            RecordKey::Ended(id) => self.ended.push((id, decode(value)?)),
            RecordKey::Runner(_) => self.runners.push(RunnerRecord::decode(value)?),
        }
        Ok(())
    }
}

/// Encodes a record's value.
///
/// # Panics
///
/// Panics if the value cannot be serialised, which does not happen for plain data.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(value).expect("plain data always serialises")
}

/// Decodes a record's value.
///
/// # Errors
///
/// Returns an error if the bytes do not encode a value of type `T`.
pub fn decode<T: for<'de> Deserialize<'de>>(bytes: &[u8]) -> Result<T> {
    Ok(postcard::from_bytes(bytes)?)
}
