//! The part of the operators' configuration that governs jobs.

use kspan_model::{Millis, Name};
use serde::{Deserialize, Serialize};

use crate::team::{Access, Team, Teams};

/// Cost and validity of approvals, for a queue whose steps may run only on approved runners.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ApprovalPolicy {
    /// Fixed duration of one approval call, in milliseconds.
    pub base_ms: f64,
    /// Additional duration for each runner in the call, in milliseconds.
    pub per_runner_ms: f64,
    /// How long an approval is valid.
    pub validity: Millis,
}

impl ApprovalPolicy {
    /// Returns the expected duration of a call that covers `runners` runners.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "a call takes milliseconds to seconds"
    )]
    pub fn call_time(&self, runners: usize) -> Millis {
        let ms = self.base_ms + self.per_runner_ms * runners as f64;
        Millis(ms.clamp(0.0, 60_000.0) as u64)
    }
}

/// Scheduling policy of a queue's jobs. A job keeps the policy in force when it was accepted.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Policy {
    /// Service whose runners execute the tasks.
    pub service: Name,
    /// Priority among queues; 0 is the highest.
    pub priority: u32,
    /// Number of failed runs after which a task fails its job.
    pub max_attempts: u32,
    /// Factor of the objective for the completion time, which is `stretch` times the critical path
    /// plus `slack`.
    pub stretch: f64,
    /// Constant part of the objective for the completion time.
    pub slack: Millis,
    /// Approval of runners; `None` where none is needed.
    pub approval: Option<ApprovalPolicy>,
}

/// A queue that callers submit jobs to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Queue {
    /// Name of the queue.
    pub name: Name,
    /// Host name that callers address.
    pub host: Name,
    /// Path prefix that callers address.
    pub prefix: Name,
    /// Scheduling policy of its jobs.
    pub policy: Policy,
    /// Whether calls need no key.
    pub is_public: bool,
}

/// Queue configuration of one cell, as declared by the operators.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CellConfig {
    /// Version of the configuration.
    pub version: u64,
    /// Configured queues.
    pub queues: Vec<Queue>,
    /// Names of the services; `None` if runners of any service are used.
    pub services: Option<Vec<Name>>,
    /// Declared teams; `None` if callers need no keys.
    pub teams: Option<Teams>,
}

impl CellConfig {
    /// Finds the queue that serves `host` and has the longest matching prefix of `path`. Returns it
    /// with the remainder of the path.
    pub fn find<'a>(&self, host: &str, path: &'a str) -> Option<(&Queue, &'a str)> {
        let of_host = self.queues.iter().filter(|queue| &**queue.host == host);
        let matching = of_host.filter(|queue| path.starts_with(&**queue.prefix));
        let queue = matching.max_by_key(|queue| queue.prefix.len())?;
        Some((queue, &path[queue.prefix.len()..]))
    }

    /// Checks the key of a call to a queue.
    pub fn access(&self, queue: &Queue, key: Option<&str>) -> Access {
        let Some(teams) = &self.teams else {
            return Access::Granted(None);
        };
        match key.and_then(|key| teams.find_by_key(key)) {
            Some(team) => Access::Granted(Some(team.name.clone())),
            None if queue.is_public => Access::Granted(None),
            None => Access::UnknownKey,
        }
    }

    /// Returns a declared team.
    pub fn team(&self, name: &Name) -> Option<&Team> {
        self.teams.as_ref()?.get(name)
    }
}
