//! Messages between schedulers and routers, and among schedulers.

use std::net::SocketAddr;

use kspan_model::{Fence, Name, Site, TaskId};
use serde::{Deserialize, Serialize};

/// A message about tasks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// The runners of one shard, whole. Sent to every router on change and once a period.
    Runners(RunnerTable),
}

/// Every runner of one shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerTable {
    /// The shard: a data centre.
    pub shard: Name,
    /// Token of the shard's owner. A lower one than the last accepted is ignored.
    pub fence: Fence,
    /// Counts up under one token.
    pub version: u64,
    /// Where the shard stands.
    pub site: Site,
    /// The runners.
    pub runners: Vec<Runner>,
}

/// One runner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Runner {
    /// Its task.
    pub task: TaskId,
    /// Its service.
    pub service: Name,
    /// The worker that it runs on.
    pub worker: Name,
    /// Where it answers requests.
    pub endpoint: SocketAddr,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Connections that it accepts.
    pub connections: u32,
    /// Whether it is leaving: it takes no new work.
    pub leaving: bool,
}
