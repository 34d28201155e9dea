//! Workers.
//!
//! `POST /v1/exchange` with [`Exchange`] answers [`Report`]. One exchange asks for or renews the
//! control lease, carries commands, and brings back what the worker runs. `409` with [`Report`]
//! refuses the control lease: nothing of the exchange was carried out.
//!
//! * The worker keeps the highest fence it has accepted. A lower fence is refused. An equal
//!   fence from the same owner renews. A higher fence is granted when the lease before it has
//!   lapsed or was released, or when the same owner name asks.
//! * Every granted exchange renews the leases of all running tasks to `task_lease_ms`. A task
//!   whose lease lapses is stopped by the worker.
//! * A start is idempotent by task id. A start that would exceed the capacity left by the sizes
//!   started and not yet ended is refused.
//! * An ended task stays in the inventory until a command forgets it.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Sizes on the border.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Size {
    /// Thousandths of a core.
    pub cpu_milli: u64,
    /// MiB.
    pub memory_mib: u64,
    /// Whole accelerators.
    pub accelerators: u64,
}

/// A fencing token on the border.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Token {
    /// Compared first.
    pub view: u64,
    /// Compared second.
    pub rank: u32,
}

/// What an owner sends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Exchange {
    /// Name and life of the owner, `name#incarnation`.
    pub owner: String,
    /// Its token.
    pub token: Token,
    /// How long the control lease is to last.
    pub control_lease_ms: u64,
    /// How long tasks keep running without another exchange.
    pub task_lease_ms: u64,
    /// Commands, carried out in order.
    pub commands: Vec<Command>,
    /// Last inventory version that the owner has; zero asks for everything.
    pub known_version: u64,
    /// Gives the control lease up after the commands are carried out.
    pub release: bool,
}

/// One command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "do")]
pub enum Command {
    /// Starts a task.
    Start(Start),
    /// Stops a task: gracefully first, then by force after the grace.
    Stop {
        /// Task id.
        task: String,
        /// Time that the task may take to finish what it has in flight.
        grace_ms: u64,
    },
    /// Checkpoints a task and ends it.
    Checkpoint {
        /// Task id.
        task: String,
    },
    /// Limits a task's processor time.
    Throttle {
        /// Task id.
        task: String,
        /// Limit in thousandths of a core.
        cpu_milli: u64,
    },
    /// Drops an ended task from the inventory.
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
    /// Name of the workload that declares it.
    pub workload: String,
    /// Declared size.
    pub size: Size,
    /// Declared run time; zero for a service's runner.
    pub run_time_ms: u64,
    /// The command is refused when it is carried out later than this after the owner sent it,
    /// measured by `sent_unix_ms`.
    pub not_after_ms: u64,
    /// When the owner sent the command.
    pub sent_unix_ms: u64,
    /// Requests that a runner works on at once; zero for other tasks.
    pub slots: u32,
    /// Connections that a runner accepts; zero for other tasks.
    pub connections: u32,
}

/// State of a task on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskState {
    /// Being set up.
    Starting,
    /// Running.
    Running,
    /// Asked to stop; finishing what it has in flight.
    Stopping,
    /// Ended well.
    Succeeded,
    /// Ended with a failure.
    Failed,
    /// Stopped on command.
    Stopped,
    /// Checkpointed and ended.
    Checkpointed,
    /// Stopped by the worker because its lease lapsed.
    LeaseLapsed,
}

impl TaskState {
    /// Returns whether the task has ended.
    pub const fn is_ended(self) -> bool {
        !matches!(self, Self::Starting | Self::Running | Self::Stopping)
    }
}

/// One task in an inventory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Task {
    /// Task id.
    pub task: String,
    /// Name of the workload.
    pub workload: String,
    /// Its state.
    pub state: TaskState,
    /// Size committed to it.
    pub size: Size,
    /// Usage some seconds ago.
    pub usage: Size,
    /// Where a runner answers requests.
    pub endpoint: Option<SocketAddr>,
    /// How long it has run.
    pub ran_ms: u64,
}

/// Answer to one command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommandResult {
    /// Task id.
    pub task: String,
    /// Why the command was refused; none where it was carried out.
    pub refused: Option<Refusal>,
}

/// Why a command was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// The worker lacks capacity.
    NoCapacity,
    /// The command came after its not-after time.
    TooLate,
    /// The worker knows no such task.
    NoSuchTask,
    /// The worker is leaving.
    Leaving,
}

/// What a worker answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Life of the worker; a new one has forgotten every task.
    pub incarnation: u64,
    /// Whether the control lease was granted.
    pub granted: bool,
    /// Highest token accepted.
    pub token: Token,
    /// How long the lease in force lasts from now.
    pub lease_left_ms: u64,
    /// What the worker has.
    pub capacity: Size,
    /// Whether the worker is leaving.
    pub leaving: bool,
    /// One answer for each command.
    pub results: Vec<CommandResult>,
    /// Inventory version.
    pub version: u64,
    /// Whether `tasks` is everything; else only what changed since the version asked from.
    pub full: bool,
    /// Tasks.
    pub tasks: Vec<Task>,
}
