//! What an engine wants done.

use std::{net::SocketAddr, sync::Arc};

use derive_more::Display;
use kspan_model::{Millis, Name, NodeId, RequestId, Site, TaskId};
use kspan_wire::message::routing::{ClaimDecision, Message};

use crate::ledger::Reading;

/// Names one dispatch of a request to a runner. A request that is retried or hedged has several.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DispatchId(pub u64);

/// One thing to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Dispatch a request now.
    Dispatch(Dispatch),
    /// Tell a caller that its request was not dispatched.
    Refuse {
        /// The request.
        request: RequestId,
        /// Why.
        refusal: Refusal,
    },
    /// Send a message to another router.
    Send {
        /// The receiver.
        to: NodeId,
        /// The message.
        message: Message,
    },
    /// Ask a runner for its health, and answer with [`crate::Engine::finish_health_check`].
    CheckHealth(HealthCheck),
    /// A verdict on a claim has come.
    ClaimDecided {
        /// The request.
        request: RequestId,
        /// Who decided.
        home: NodeId,
        /// The decision.
        ruling: ClaimDecision,
    },
}

/// Where a runner runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunnerLocation {
    /// Its worker.
    pub worker: Name,
    /// Its site.
    pub site: Site,
}

/// A request to dispatch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Dispatch {
    /// The request.
    pub request: RequestId,
    /// Names the dispatch when it ends.
    pub id: DispatchId,
    /// The runner.
    pub runner: TaskId,
    /// Where the runner answers.
    pub endpoint: SocketAddr,
    /// Where the runner runs.
    pub location: Arc<RunnerLocation>,
    /// Connections that this router may hold to the runner.
    pub connections: u32,
    /// Whether the runner stands in another region.
    pub remote: bool,
    /// When a second dispatch is worth while, counted from now.
    pub hedge_after: Option<Millis>,
}

/// A health question.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HealthCheck {
    /// The runner.
    pub runner: TaskId,
    /// Where it answers.
    pub endpoint: SocketAddr,
    /// Where the runner runs.
    pub location: Arc<RunnerLocation>,
    /// What was known when the question was sent.
    pub reading: Reading,
    /// Life of the account that the reading is for.
    pub generation: u64,
}

/// Why a request was not dispatched.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The reason.
    pub reason: RefusalReason,
    /// When the caller may try again.
    pub retry_after: Millis,
}

/// Reason of a refusal.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum RefusalReason {
    /// The service is not declared.
    #[display("no such service")]
    NoService,
    /// The service has no runner that takes work.
    #[display("no runner takes work")]
    NoRunner,
    /// Too many requests wait.
    #[display("the queue is full")]
    QueueFull,
    /// The request can't be served within its deadline.
    #[display("the deadline can't be met")]
    DeadlineUnreachable,
    /// The deadline passed while the request waited.
    #[display("the deadline passed")]
    Expired,
}

/// How a dispatch ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DispatchOutcome {
    /// The whole answer came.
    Answered {
        /// Time from dispatch to the last byte, in microseconds.
        micros: u64,
    },
    /// No connection could be made, so nothing was sent.
    Unsent,
    /// The request needed the slot no more, and nothing was sent.
    Unused,
    /// The answer was missing, late, cut short or not HTTP. The runner may still work on it.
    Abandoned,
}
