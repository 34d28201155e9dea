//! Durable records of jobs and runners, and their encoding.
//!
//! A job has a keyed record of its specification, written once before the submission is acknowledged to
//! the caller, and one of its progress, written before the end of a run is acknowledged to a runner.
//! The progress of a job of many tasks is split into parts with a record each. Soon after the job's end a
//! short record of the end replaces all of them. Running tasks are not
//! recorded, because the runners report them in their inventories. The set of runners is recorded: the host list drops a runner that is unreachable, while its
//! tasks may continue to run.

mod progress;

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

pub use self::progress::{
    CrashRecord, FailedRun, OccurrenceProgress, PartKey, PartRecord, ProgressRecord, TaskCrash,
    TaskProgress, TaskRef,
};

/// Result of decoding a record.
pub type Result<T> = std::result::Result<T, RecordError>;

quick_error! {
    /// Reason why a record could not be decoded.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum RecordError {
        /// The key does not denote a known kind of record.
        UnknownKey {
            display("unknown record key: expected j, p, t, e, r, s or d followed by an id")
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
    /// Part of the progress of a job of many tasks.
    #[display("t{_0}")]
    Part(PartKey),
    /// End of a job whose specification and progress are no longer needed.
    #[display("e{_0}")]
    Ended(JobId),
    /// One incarnation of a runner, by its id.
    #[display("r{_0}")]
    Runner(Name),
    /// Restart of a runner under its id, by that id, while its lease may be one of the incarnation before.
    #[display("s{_0}")]
    Restart(Name),
    /// Runs whose start a runner may carry out late, by the runner's id.
    #[display("d{_0}")]
    Doubts(Name),
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
            "t" => Ok(Self::Part(id.parse()?)),
            "e" => Ok(Self::Ended(job()?)),
            "r" => Ok(Self::Runner(Name::new(id))),
            "s" => Ok(Self::Restart(Name::new(id))),
            "d" => Ok(Self::Doubts(Name::new(id))),
            _ => Err(RecordError::UnknownKey),
        }
    }
}

impl RecordKey {
    /// Returns the job whose progress the record has.
    pub fn progress_of(&self) -> Option<JobId> {
        match self {
            Self::Progress(id) | Self::Part(PartKey { job: id, .. }) => Some(*id),
            Self::Job(_)
            | Self::Ended(_)
            | Self::Runner(_)
            | Self::Restart(_)
            | Self::Doubts(_) => None,
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

/// Durable record of a runner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunnerRecord {
    /// Latest entry of the runner in the host list.
    pub entry: RunnerEntry,
    /// Tasks that may be on the runner; `None` if it may have any. Written while the runner gets no new
    /// work: while it does not answer, and while it is draining.
    pub tasks: Option<Vec<TaskId>>,
    /// Whether the owner grants the runner no lease while the record is in force.
    pub has_no_grants: bool,
}

impl RunnerRecord {
    /// Creates the record of a runner that may have any task.
    pub fn without_tasks(entry: RunnerEntry) -> Self {
        Self {
            entry,
            tasks: None,
            has_no_grants: false,
        }
    }

    /// Decodes a record, also one of a version that wrote no tasks, or went on granting leases.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes do not encode a record of a runner.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        let (entry, rest) = postcard::take_from_bytes(bytes)?;
        if rest.is_empty() {
            return Ok(Self::without_tasks(entry));
        }
        let (tasks, rest) = postcard::take_from_bytes(rest)?;
        let has_no_grants = !rest.is_empty() && postcard::from_bytes(rest)?;
        Ok(Self {
            entry,
            tasks: Some(tasks),
            has_no_grants,
        })
    }

    /// Encodes the record in up to `max_bytes` bytes. A list of tasks that doesn't fit is left out, so that
    /// the runner may have any task.
    pub fn encode_within(&self, max_bytes: usize) -> Vec<u8> {
        let bytes = self.encode();
        if bytes.len() <= max_bytes {
            return bytes;
        }
        encode(&self.entry)
    }

    /// Encodes the record. Versions that know no tasks, or no more than these, ignore the rest.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = encode(&self.entry);
        if let Some(tasks) = &self.tasks {
            bytes.extend(encode(tasks));
            bytes.extend(encode(&self.has_no_grants));
        }
        bytes
    }
}

/// A run whose start order a runner may carry out late, for as long as it doesn't show otherwise.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct DoubtedRun {
    /// Task of the run.
    pub task: TaskId,
    /// Run number.
    pub run: u32,
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
    /// Parts of the progress of jobs of many tasks.
    pub parts: FxHashMap<JobId, Vec<(PartKey, PartRecord)>>,
    /// Ends of jobs without a specification.
    pub ended: Vec<(JobId, EndedRecord)>,
    /// Runners that may have tasks, including those missing from the host list.
    pub runners: Vec<RunnerRecord>,
    /// Runners that restarted under their id, with the start time of the incarnation, in milliseconds since
    /// the Unix epoch. Their lease may be one that the incarnation before was granted.
    pub restarts: FxHashMap<Name, u64>,
    /// Runs whose start a runner may carry out late, by the runner's id.
    pub doubts: FxHashMap<Name, Vec<DoubtedRun>>,
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
            RecordKey::Part(key) => {
                let part = PartRecord::decode(value)?;
                self.parts.entry(key.job).or_default().push((key, part));
            }
            RecordKey::Ended(id) => self.ended.push((id, decode(value)?)),
            RecordKey::Runner(_) => self.runners.push(RunnerRecord::decode(value)?),
            RecordKey::Restart(id) => {
                self.restarts.insert(id, decode(value)?);
            }
            RecordKey::Doubts(id) => {
                self.doubts.insert(id, decode(value)?);
            }
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
