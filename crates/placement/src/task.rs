//! States of a task and the only moves between them.
//!
//! Every change of a task's state anywhere in this crate goes through [`TaskState::can_transition_to`],
//! so that this table is the whole truth about a task's life. It does not decide when a move is
//! made.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// State of one task as its shard's owner sees it.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskState {
    /// Waits for a worker.
    #[display("queued")]
    Queued,
    /// Waits while capacity is held for it.
    #[display("reserved")]
    Reserved,
    /// A start was decided; its answer is not known yet.
    #[display("starting")]
    Starting,
    /// The worker reported that it runs.
    #[display("running")]
    Running,
    /// Asked to write a checkpoint and end.
    #[display("checkpointing")]
    Checkpointing,
    /// Asked to stop.
    #[display("stopping")]
    Stopping,
    /// Ended; holds nothing.
    #[display("ended")]
    Ended,
    /// Its worker is gone and its lease has provably lapsed; holds nothing.
    #[display("lost")]
    Lost,
}

use TaskState::{Checkpointing, Ended, Lost, Queued, Reserved, Running, Starting, Stopping};

/// Every allowed move. What is not listed is not allowed.
pub const TRANSITIONS: &[(TaskState, TaskState)] = &[
    (Queued, Reserved),
    (Queued, Starting),
    (Queued, Running), // Found running in an inventory.
    (Queued, Checkpointing),
    (Queued, Stopping),
    (Queued, Ended),
    (Reserved, Queued),
    (Reserved, Starting),
    (Reserved, Running),
    (Reserved, Stopping),
    (Reserved, Ended),
    (Starting, Running),
    (Starting, Checkpointing),
    (Starting, Stopping),
    (Starting, Ended),
    (Starting, Lost),
    (Running, Checkpointing),
    (Running, Stopping),
    (Running, Ended),
    (Running, Lost),
    (Checkpointing, Stopping),
    (Checkpointing, Ended),
    (Checkpointing, Lost),
    (Stopping, Ended),
    (Stopping, Lost),
    (Ended, Queued), // A new attempt.
    (Lost, Queued),
];

impl TaskState {
    /// Returns whether the table allows the move.
    ///
    /// # Examples
    ///
    /// ```
    /// use kspan_placement::TaskState;
    ///
    /// assert!(TaskState::Queued.can_transition_to(TaskState::Starting));
    /// assert!(!TaskState::Ended.can_transition_to(TaskState::Running));
    /// ```
    pub fn can_transition_to(self, next: Self) -> bool {
        TRANSITIONS.contains(&(self, next))
    }

    /// Returns whether a task in this state holds capacity of a worker.
    pub const fn holds_worker(self) -> bool {
        matches!(self, Starting | Running | Checkpointing | Stopping)
    }
}
