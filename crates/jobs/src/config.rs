//! The part of the operators' configuration that decides about jobs.

use kspan_model::{Millis, Name};
use serde::{Deserialize, Serialize};

/// How the runners of a queue are approved for a step.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ApprovalPolicy {
    /// Time of one call, whatever it asks about, in milliseconds.
    pub base_ms: f64,
    /// Further time for each runner asked about, in milliseconds.
    pub per_runner_ms: f64,
    /// How long an approval holds.
    pub validity: Millis,
}

impl ApprovalPolicy {
    /// Returns how long a call about `runners` takes.
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

/// How the jobs of a queue are treated. A job keeps the policy that it was accepted under.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Policy {
    /// Service whose runners run the tasks.
    pub service: Name,
    /// Rank among queues; 0 goes first.
    pub priority: u32,
    /// How often a task may fail.
    pub max_attempts: u32,
    /// Objective: this many times the longest chain of work ...
    pub stretch: f64,
    /// ... and this much more.
    pub slack: Millis,
    /// How runners are approved, where they have to be.
    pub approval: Option<ApprovalPolicy>,
}

/// A queue that callers submit jobs to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Queue {
    /// Name of the queue.
    pub name: Name,
    /// Host that callers address.
    pub host: Name,
    /// Start of the path that callers address.
    pub prefix: Name,
    /// How its jobs are treated.
    pub policy: Policy,
}

/// Everything that the operators declare about jobs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CellConfig {
    /// Version of the configuration.
    pub version: u64,
    /// Queues.
    pub queues: Vec<Queue>,
}

impl CellConfig {
    /// Finds the queue of a call: the longest prefix of `path` among those of `host`. Returns it
    /// with the rest of the path.
    pub fn find<'a>(&self, host: &str, path: &'a str) -> Option<(&Queue, &'a str)> {
        let of_host = self.queues.iter().filter(|queue| &**queue.host == host);
        let matching = of_host.filter(|queue| path.starts_with(&**queue.prefix));
        let queue = matching.max_by_key(|queue| queue.prefix.len())?;
        Some((queue, &path[queue.prefix.len()..]))
    }
}
