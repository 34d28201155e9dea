//! What stand-ins and callers saw, as typed records.
//!
//! The checker judges these and nothing else: the system under test has no say in them. Records
//! are only ever added to or completed, each by the stand-in that made it.

use std::sync::{Arc, Mutex, MutexGuard};

use kspan_contract::protocol::worker::{TaskState, Token};
use kspan_model::{Name, Outcome, Resources, TaskId};
use serde::{Deserialize, Serialize};

use crate::clock::Micros;

/// One worker and what it has.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerInfo {
    /// Its name.
    pub name: Name,
    /// What it has.
    pub capacity: Resources,
}

/// One task's life on one worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRun {
    /// The worker.
    pub worker: Name,
    /// The task.
    pub task: TaskId,
    /// Its workload.
    pub workload: Name,
    /// Size committed to it.
    pub size: Resources,
    /// Token under which it was started.
    pub token: Token,
    /// When the worker took it.
    pub started: Micros,
    /// When it left the worker's capacity; none while it runs.
    pub ended: Option<Micros>,
    /// How it ended.
    pub end: Option<TaskState>,
}

/// A worker's control lease, granted to another owner than before.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// When.
    pub at: Micros,
    /// The worker.
    pub worker: Name,
    /// The owner's name and life.
    pub owner: String,
    /// The owner's token.
    pub token: Token,
}

impl Grant {
    /// Returns the owner's name without its life.
    pub fn owner_name(&self) -> &str {
        self.owner.split('#').next().unwrap_or(&self.owner)
    }
}

/// One execution of a request by a runner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Execution {
    /// The runner.
    pub task: TaskId,
    /// The caller's token of the request.
    pub token: u64,
    /// Idempotency key, where the caller sent one.
    pub key: Option<Name>,
    /// When it began.
    pub started: Micros,
    /// When the answer was handed over; none where it was cut.
    pub ended: Option<Micros>,
    /// Requests in work at the runner when it began, this one included.
    pub in_use: u32,
    /// Connections open at the runner when it began.
    pub connections: u32,
    /// Slots of the runner.
    pub slots: u32,
    /// Connections that the runner accepts.
    pub max_connections: u32,
}

/// One send of a request to one entry host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Send {
    /// The process that it was sent to.
    pub to: Name,
    /// Attempt number, from one.
    pub attempt: u32,
    /// When it was sent.
    pub sent: Micros,
    /// When its answer came or was given up.
    pub answered: Micros,
    /// What came back.
    pub answer: Answer,
}

/// What a caller got for one send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Answer {
    /// An answer with this outcome, and a body that fits the request.
    Told(Outcome),
    /// An answer that says `ran` with a body that is cut short or another request's.
    WrongBody,
    /// No connection could be made, so nothing was sent.
    NotConnected,
    /// The connection ended or the time ran out after the request was sent.
    Lost,
    /// An answer without an outcome.
    NoOutcome {
        /// HTTP status.
        status: u16,
    },
}

/// One request of a caller with all its sends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// Unique token; the runner's answer repeats it.
    pub token: u64,
    /// Service.
    pub service: Name,
    /// Request class.
    pub class: Name,
    /// Whether running it twice is harmless.
    pub idempotent: bool,
    /// Region of the caller.
    pub region: Name,
    /// Idempotency key, where it has one.
    pub key: Option<Name>,
    /// When the caller wanted it.
    pub wanted: Micros,
    /// When the caller stopped asking.
    pub settled: Micros,
    /// Its sends, in order.
    pub sends: Vec<Send>,
    /// What the caller holds in the end.
    pub outcome: Outcome,
}

/// How a submission went, as the caller saw it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobCall {
    /// Caller's key.
    pub key: String,
    /// Workload.
    pub workload: Name,
    /// Tasks that one run of it has.
    pub tasks: u32,
    /// Whether all tasks must start together.
    pub gang: bool,
    /// When it was first sent.
    pub sent: Micros,
    /// The job, once accepted.
    pub job: Option<kspan_model::JobId>,
    /// When it was accepted.
    pub accepted: Option<Micros>,
    /// When the caller asked to cancel it.
    pub cancelled: Option<Micros>,
    /// How it ended, as told.
    pub result: Option<kspan_model::JobResult>,
    /// When the end was told.
    pub ended: Option<Micros>,
}

/// Something that was done to the system.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// When.
    pub at: Micros,
    /// What.
    pub kind: EventKind,
}

/// What was done.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "what")]
pub enum EventKind {
    /// A process was started while the load went on.
    Started {
        /// The process.
        process: Name,
    },
    /// A process was told to stop in order.
    PlannedStop {
        /// The process.
        process: Name,
    },
    /// A process has ended.
    Exited {
        /// The process.
        process: Name,
    },
    /// A process was killed.
    Killed {
        /// The process.
        process: Name,
    },
    /// A runner told that it is leaving, or the platform or an operator told it.
    Leaving {
        /// The runner.
        task: TaskId,
    },
    /// A document was appended to the log.
    Published {
        /// Its version.
        version: u64,
    },
    /// Any other fault was begun or ended.
    Fault {
        /// What, in a few words.
        text: String,
    },
}

/// What one process said it had in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionSample {
    /// When.
    pub at: Micros,
    /// The process.
    pub process: Name,
    /// Life of the process, counted by the lab.
    pub life: u32,
    /// Document version.
    pub version: u64,
}

/// Everything that was seen.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Records {
    /// All workers.
    pub workers: Vec<WorkerInfo>,
    /// Tasks on workers.
    pub tasks: Vec<TaskRun>,
    /// Control leases, whenever the owner changes.
    pub grants: Vec<Grant>,
    /// Requests on runners.
    pub executions: Vec<Execution>,
    /// Requests of callers.
    pub calls: Vec<Call>,
    /// Submissions of callers.
    pub jobs: Vec<JobCall>,
    /// What was done to the system.
    pub events: Vec<Event>,
    /// Document versions in force.
    pub versions: Vec<VersionSample>,
    /// Starts that workers refused for want of capacity.
    pub refused_starts: u64,
    /// Exchanges that workers refused for their token.
    pub refused_tokens: u64,
}

/// Records shared by stand-ins and callers.
#[derive(Clone, Default)]
pub struct Book(Arc<Mutex<Records>>);

impl Book {
    /// Creates an empty book.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the records for reading or adding.
    ///
    /// # Panics
    ///
    /// Panics where a thread panicked while it wrote.
    pub fn records(&self) -> MutexGuard<'_, Records> {
        self.0.lock().expect("no writer of records panics")
    }

    /// Adds something that was done to the system.
    pub fn note(&self, kind: EventKind) {
        let at = crate::clock::now();
        log::info!("lab: {kind:?}");
        self.records().events.push(Event { at, kind });
    }
}
