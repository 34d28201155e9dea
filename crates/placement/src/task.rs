//! States of a task and the allowed transitions between them.
//!
//! Every change of a task's state in this crate is checked with [`TaskState::can_transition_to`].
//! The module does not decide when a transition is made.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// State of a task as recorded by the owner of its shard.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskState {
    /// Waiting for a worker.
    #[display("queued")]
    Queued,
    /// Waiting, with capacity reserved.
    #[display("reserved")]
    Reserved,
    /// A start was decided; whether its worker executed it is not known yet.
    #[display("starting")]
    Starting,
    /// Reported as running by its worker.
    #[display("running")]
    Running,
    /// Requested to write a checkpoint and end.
    #[display("checkpointing")]
    Checkpointing,
    /// Requested to stop.
    #[display("stopping")]
    Stopping,
    /// Ended; holds no capacity.
    #[display("ended")]
    Ended,
    /// Its worker is gone and its lease has expired; holds no capacity.
    #[display("lost")]
    Lost,
}

use TaskState::{Checkpointing, Ended, Lost, Queued, Reserved, Running, Starting, Stopping};

/// All allowed transitions.
pub const TRANSITIONS: &[(TaskState, TaskState)] = &[
    (Queued, Reserved),
    (Queued, Starting),
    (Queued, Running), // Adopted from an inventory.
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
    (Ended, Queued), // As a new attempt.
    (Lost, Queued),
];

impl TaskState {
    /// Returns whether [`TRANSITIONS`] allows the change to `next`.
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

    /// Returns whether a task in this state holds capacity on a worker.
    pub const fn holds_worker(self) -> bool {
        matches!(self, Starting | Running | Checkpointing | Stopping)
    }
}
