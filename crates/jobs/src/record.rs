//! What is durable about a job, and how it is encoded.
//!
//! A job has two keyed records: its specification, written once before the caller is told that
//! the job is accepted, and its progress, written before any end is acknowledged to a runner.
//! What runs is not recorded: the runners know it better. Which runners there are is: the host
//! list forgets runners that it doesn't hear, while what they run goes on.

use derive_more::Display;
use kspan_model::Name;
use quick_error::quick_error;
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

use crate::{config::Policy, id::JobId, runner::RunnerEntry, spec::JobSpec};

/// Result of decoding a record.
pub type Result<T> = std::result::Result<T, RecordError>;

quick_error! {
    /// Why a record was not decoded.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum RecordError {
        /// The key names nothing that is kept here.
        Key {
            display("unknown record key")
        }
        /// The value is no record of that kind.
        Value(err: postcard::Error) {
            from()
            display("unreadable record: {err}")
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
    /// Life of a runner, by the runner's id.
    #[display("r{_0}")]
    Runner(Name),
}

impl RecordKey {
    /// Parses a key.
    ///
    /// # Errors
    ///
    /// Returns an error for a key of another form.
    pub fn parse(text: &str) -> Result<Self> {
        let (kind, id) = text.split_at_checked(1).ok_or(RecordError::Key)?;
        let job = || id.parse().map_err(|_| RecordError::Key);
        match kind {
            "j" => Ok(Self::Job(job()?)),
            "p" => Ok(Self::Progress(job()?)),
            "r" => Ok(Self::Runner(Name::new(id))),
            _ => Err(RecordError::Key),
        }
    }
}

/// A record to be written; without a value its key is dropped.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// What the record is about.
    pub key: RecordKey,
    /// Encoded value.
    pub value: Option<Vec<u8>>,
}

/// Where a job stands as a whole.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// It has work left.
    #[default]
    Active,
    /// All tasks are done.
    Completed,
    /// A task failed too often.
    Failed,
    /// Its caller cancelled it.
    Cancelled,
}

/// A job as it was accepted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Queue that it was submitted to.
    pub queue: Name,
    /// How the queue's jobs were treated at that time.
    pub policy: Policy,
    /// When it was accepted, in milliseconds since 1970.
    pub accepted_unix_ms: u64,
    /// What it consists of.
    pub spec: JobSpec,
}

/// How far a job is.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ProgressRecord {
    /// Where it stands.
    pub phase: Phase,
    /// When it ended, in milliseconds since 1970; 0 while it is active.
    pub ended_unix_ms: u64,
    /// Number of occurrences that are done, counted from the first.
    pub occurrences_done: u32,
    /// Open occurrences that have begun.
    pub occurrences: Vec<OccurrenceProgress>,
}

/// How far an occurrence is.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct OccurrenceProgress {
    /// Number of the occurrence.
    pub number: u32,
    /// Tasks about which something is known.
    pub tasks: Vec<TaskProgress>,
}

/// What is known about a task that has ended at least once.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TaskProgress {
    /// Number of the step.
    pub step: u32,
    /// Number of the task within the step.
    pub index: u32,
    /// Whether it is done.
    pub done: bool,
    /// Highest run that was ordered.
    pub run: u32,
    /// Runs that failed. Ends may be seen in any order, and by one owner after the other.
    pub failures: Vec<FailedRun>,
    /// Newest checkpoint; empty where there is none.
    pub checkpoint: Name,
}

/// A run that failed, so that it is counted once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailedRun {
    /// Number of the start.
    pub run: u32,
    /// Hash of the id of the runner's life.
    pub incarnation: u64,
}

/// What earlier owners made durable.
#[derive(Clone, Debug, Default)]
pub struct DurableState {
    /// Jobs as they were accepted.
    pub jobs: Vec<(JobId, JobRecord)>,
    /// How far jobs are.
    pub progress: FxHashMap<JobId, ProgressRecord>,
    /// Runners that may have work, whether the host list shows them or not.
    pub runners: Vec<RunnerEntry>,
}

impl DurableState {
    /// Adds the newest record of a key.
    ///
    /// # Errors
    ///
    /// Returns an error for a key or value that can't be read, and adds nothing.
    pub fn add(&mut self, key: &str, value: &[u8]) -> Result<()> {
        match RecordKey::parse(key)? {
            RecordKey::Job(id) => self.jobs.push((id, decode(value)?)),
            RecordKey::Progress(id) => drop(self.progress.insert(id, decode(value)?)),
            RecordKey::Runner(_) => self.runners.push(decode(value)?),
        }
        Ok(())
    }
}

/// Encodes a record's value.
///
/// # Panics
///
/// Panics where memory is exhausted; plain data is always encoded.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(value).expect("plain data is always encoded")
}

/// Decodes a record's value.
///
/// # Errors
///
/// Returns an error for bytes that are no such value.
pub fn decode<T: for<'de> Deserialize<'de>>(bytes: &[u8]) -> Result<T> {
    Ok(postcard::from_bytes(bytes)?)
}
