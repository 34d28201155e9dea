//! Typed records of what stand-ins and callers observed.
//!
//! The checker uses only these records; the system under test does not contribute to them. A
//! record is only added, or completed by the stand-in that made it, and never removed.

use std::sync::{Arc, Mutex, MutexGuard};

use kspan_contract::protocol::worker::{TaskState, Token};
use kspan_model::{Name, Outcome, Resources, TaskId};
use serde::{Deserialize, Serialize};

use crate::clock::Micros;

/// A worker and its capacity.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerInfo {
    /// Name of the worker.
    pub name: Name,
    /// Total resources of the worker.
    pub capacity: Resources,
}

/// One execution of a task on a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRun {
    /// The worker.
    pub worker: Name,
    /// The task.
    pub task: TaskId,
    /// Workload of the task.
    pub workload: Name,
    /// Resources committed to the task.
    pub size: Resources,
    /// Fencing token of the owner that started it.
    pub token: Token,
    /// Time at which the worker accepted the task.
    pub started: Micros,
    /// Time at which its resources were released; `None` while the task runs.
    pub ended: Option<Micros>,
    /// Final state, once the task has ended.
    pub end: Option<TaskState>,
}

/// A worker's grant of its control lease to a new owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Time of the grant.
    pub at: Micros,
    /// The worker.
    pub worker: Name,
    /// The owner's name and incarnation, separated by `#`.
    pub owner: String,
    /// The owner's fencing token.
    pub token: Token,
}

impl Grant {
    /// Returns the owner's name without its incarnation.
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
    /// Idempotency key, if the caller sent one.
    pub key: Option<Name>,
    /// Start time of the execution.
    pub started: Micros,
    /// Time at which the answer was complete; `None` if the execution was aborted.
    pub ended: Option<Micros>,
    /// Requests in flight at the runner at the start, including this one.
    pub in_use: u32,
    /// Connections open at the runner at the start.
    pub connections: u32,
    /// Request slots of the runner.
    pub slots: u32,
    /// Maximum number of connections to the runner.
    pub max_connections: u32,
}

/// One send of a request to a router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SendRecord {
    /// The process that it was sent to.
    pub to: Name,
    /// Attempt number, starting at 1.
    pub attempt: u32,
    /// Time at which it was sent.
    pub sent: Micros,
    /// Time at which the answer arrived or the caller stopped waiting.
    pub answered: Micros,
    /// Result of the send.
    pub answer: Answer,
}

/// Result of one send, as the caller observed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Answer {
    /// An answer with this outcome and a body that matches the request.
    Told(Outcome),
    /// An answer with outcome `ran` whose body is truncated or belongs to another request.
    WrongBody,
    /// The connection could not be established, so nothing was sent.
    NotConnected,
    /// The connection ended or the timeout expired after the request was sent.
    Lost,
    /// An answer without an outcome.
    NoOutcome {
        /// HTTP status.
        status: u16,
    },
}

/// A caller's request with all of its sends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// Unique token, which determines the expected answer.
    pub token: u64,
    /// Service.
    pub service: Name,
    /// Request class.
    pub class: Name,
    /// Whether the request may be executed more than once.
    pub idempotent: bool,
    /// Region of the caller.
    pub region: Name,
    /// Idempotency key, if the request has one.
    pub key: Option<Name>,
    /// Time at which the caller created the request.
    pub wanted: Micros,
    /// Time at which the caller received the final outcome or stopped retrying.
    pub settled: Micros,
    /// Its sends, in order.
    pub sends: Vec<SendRecord>,
    /// Final outcome, as the caller knows it.
    pub outcome: Outcome,
}

/// A job submission, as the caller observed it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobCall {
    /// Idempotency key of the submission.
    pub key: String,
    /// Workload.
    pub workload: Name,
    /// Number of tasks of the job.
    pub tasks: u32,
    /// Whether all tasks must start together.
    pub gang: bool,
    /// Time of the first send.
    pub sent: Micros,
    /// The job's id, once accepted.
    pub job: Option<kspan_model::JobId>,
    /// Time of the acceptance.
    pub accepted: Option<Micros>,
    /// Time at which the caller requested the cancellation.
    pub cancelled: Option<Micros>,
    /// Result that the scheduler reported.
    pub result: Option<kspan_model::JobResult>,
    /// Time at which the result was reported.
    pub ended: Option<Micros>,
}

/// An action of the lab on the system under test.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Time of the action.
    pub at: Micros,
    /// Kind of the action.
    pub kind: EventKind,
}

/// Kind of an [`Event`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "what")]
pub enum EventKind {
    /// A process was restarted during the experiment.
    Started {
        /// The process.
        process: Name,
    },
    /// The graceful shutdown of a process was requested.
    PlannedStop {
        /// The process.
        process: Name,
    },
    /// A process has exited.
    Exited {
        /// The process.
        process: Name,
    },
    /// A process was killed.
    Killed {
        /// The process.
        process: Name,
    },
    /// A runner, the platform or an operator announced that the runner is leaving.
    Leaving {
        /// The runner.
        task: TaskId,
    },
    /// A document was appended to the log.
    Published {
        /// Its version.
        version: u64,
    },
    /// Any other fault was injected or ended.
    Fault {
        /// Description of the fault.
        text: String,
    },
}

/// The document version that a process reported to be in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionSample {
    /// Time of the sample.
    pub at: Micros,
    /// The process.
    pub process: Name,
    /// Incarnation of the process: the number of times that the lab started it.
    pub life: u32,
    /// Document version.
    pub version: u64,
}

/// All records of an experiment.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Records {
    /// All workers.
    pub workers: Vec<WorkerInfo>,
    /// Executions of tasks on workers.
    pub tasks: Vec<TaskRun>,
    /// Control leases, one record for each change of owner.
    pub grants: Vec<Grant>,
    /// Executions of requests by runners.
    pub executions: Vec<Execution>,
    /// Callers' requests.
    pub calls: Vec<Call>,
    /// Callers' job submissions.
    pub jobs: Vec<JobCall>,
    /// Actions of the lab on the system.
    pub events: Vec<Event>,
    /// Document versions in force.
    pub versions: Vec<VersionSample>,
    /// Starts that workers refused for lack of capacity.
    pub refused_starts: u64,
    /// Exchanges that workers refused because of their fencing token.
    pub refused_tokens: u64,
}

/// A shared, growing set of [`Records`], written by stand-ins and callers.
#[derive(Clone, Default)]
pub struct Recorder(Arc<Mutex<Records>>);

impl Recorder {
    /// Creates a recorder without records.
    pub fn new() -> Self {
        Self::default()
    }

    /// Locks the records for reading or adding.
    ///
    /// # Panics
    ///
    /// Panics if a thread panicked while it held the lock.
    pub fn records(&self) -> MutexGuard<'_, Records> {
        self.0
            .lock()
            .expect("no thread panics while it holds the records")
    }

    /// Logs and records an action on the system.
    pub fn record_event(&self, kind: EventKind) {
        let at = crate::clock::now();
        log::info!("lab: {kind:?}");
        self.records().events.push(Event { at, kind });
    }
}
