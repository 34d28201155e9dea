//! Workers.
//!
//! `POST /v1/exchange` with [`Exchange`] returns [`Report`]. One exchange acquires or renews the
//! control lease, sends commands, and returns the worker's inventory. `409` with [`Report`] means
//! that the control lease was refused and no part of the exchange was carried out.
//!
//! * The worker remembers the highest fencing token it has accepted. It refuses a lower token,
//!   renews the lease for an equal token from the same owner, and grants a lease for a higher token
//!   if the previous lease has expired or was released, or if the owner name is the same.
//! * Every granted exchange extends the leases of all running tasks to `task_lease_ms`. The worker
//!   stops a task whose lease expires.
//! * A start is idempotent by task id. It is refused if the sizes of all tasks that were started
//!   and have not ended would exceed the worker's capacity.
//! * An ended task stays in the inventory until a [`Command::Forget`] removes it.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Resources of a task or worker, as encoded in the worker protocol.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Size {
    /// CPU in thousandths of a core.
    pub cpu_milli: u64,
    /// Memory in MiB.
    pub memory_mib: u64,
    /// Number of accelerators.
    pub accelerators: u64,
}

/// A fencing token, as encoded in the worker protocol.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Token {
    /// View number, compared first.
    pub view: u64,
    /// Rank within the view, compared second.
    pub rank: u32,
}

/// Request of an owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Exchange {
    /// Name and incarnation of the owner, as `name#incarnation`.
    pub owner: String,
    /// Fencing token of the owner.
    pub token: Token,
    /// Requested duration of the control lease.
    pub control_lease_ms: u64,
    /// Requested duration of task leases, after which tasks stop without a further exchange.
    pub task_lease_ms: u64,
    /// Commands, executed in order.
    pub commands: Vec<Command>,
    /// Latest inventory version that the owner has; zero requests the full inventory.
    pub known_version: u64,
    /// Whether to release the control lease after the commands are executed.
    pub release: bool,
}

/// A command to a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "do")]
pub enum Command {
    /// Starts a task.
    Start(Start),
    /// Stops a task gracefully, and kills it after the grace period.
    Stop {
        /// Task id.
        task: String,
        /// Grace period in which the task may finish its work in flight.
        grace_ms: u64,
    },
    /// Checkpoints a task and then ends it.
    Checkpoint {
        /// Task id.
        task: String,
    },
    /// Limits a task's CPU usage.
    Throttle {
        /// Task id.
        task: String,
        /// CPU limit in thousandths of a core.
        cpu_milli: u64,
    },
    /// Removes an ended task from the inventory.
    Forget {
        /// Task id.
        task: String,
    },
}

/// A task to start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// Task id, `job.index.attempt`.
    pub task: String,
    /// Name of the workload that declares the task.
    pub workload: String,
    /// Declared size.
    pub size: Size,
    /// Declared run time; zero for a service's runner.
    pub run_time_ms: u64,
    /// Time after `sent_unix_ms` from which the worker refuses to execute the command.
    pub not_after_ms: u64,
    /// Time at which the owner sent the command, in milliseconds since the Unix epoch.
    pub sent_unix_ms: u64,
    /// Maximum number of concurrent requests of a runner; zero for other tasks.
    pub slots: u32,
    /// Maximum number of connections of a runner; zero for other tasks.
    pub connections: u32,
}

/// State of a task on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskState {
    /// Starting up.
    Starting,
    /// Running.
    Running,
    /// Stopping gracefully; finishing its work in flight.
    Stopping,
    /// Ended successfully.
    Succeeded,
    /// Ended in failure.
    Failed,
    /// Stopped by a command.
    Stopped,
    /// Checkpointed and ended.
    Checkpointed,
    /// Stopped by the worker because its lease expired.
    LeaseLapsed,
}

impl TaskState {
    /// Returns whether the task has ended.
    pub const fn is_ended(self) -> bool {
        !matches!(self, Self::Starting | Self::Running | Self::Stopping)
    }
}

/// A task in a worker's inventory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Task {
    /// Task id.
    pub task: String,
    /// Name of the workload that declares the task.
    pub workload: String,
    /// State of the task.
    pub state: TaskState,
    /// Resources committed to the task.
    pub size: Size,
    /// Measured resource usage, a few seconds old.
    pub usage: Size,
    /// Address on which a runner accepts requests.
    pub endpoint: Option<SocketAddr>,
    /// Time for which the task has run.
    pub ran_ms: u64,
}

/// Result of one command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommandResult {
    /// Task id.
    pub task: String,
    /// Reason for the refusal; `None` if the command was executed.
    pub refused: Option<Refusal>,
}

/// Reason for which a command was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// The worker has too little free capacity.
    NoCapacity,
    /// The command arrived after its `not_after_ms`.
    TooLate,
    /// The worker has no task with this id.
    NoSuchTask,
    /// The worker is draining.
    Leaving,
}

/// Response of a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Incarnation of the worker. A new incarnation starts with an empty inventory.
    pub incarnation: u64,
    /// Whether the control lease was granted.
    pub granted: bool,
    /// Highest fencing token that the worker has accepted.
    pub token: Token,
    /// Remaining duration of the current control lease.
    pub lease_left_ms: u64,
    /// Total resources of the worker.
    pub capacity: Size,
    /// Whether the worker is draining.
    pub leaving: bool,
    /// One result for each command.
    pub results: Vec<CommandResult>,
    /// Inventory version.
    pub version: u64,
    /// Whether `tasks` is the full inventory. If not, it holds only the changes since
    /// `known_version` of the request.
    pub full: bool,
    /// Tasks of the inventory.
    pub tasks: Vec<Task>,
}
