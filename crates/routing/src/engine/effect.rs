//! Effects of the engine that the program carries out.

use std::{net::SocketAddr, sync::Arc};

use derive_more::Display;
use kspan_model::{Millis, Name, NodeId, RequestId, Site, TaskId};
use kspan_wire::message::routing::{ClaimDecision, Message};

use crate::ledger::Probe;

/// Identifies one dispatch of a request to a runner. A request that is retried or hedged has
/// several dispatches.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DispatchId(pub u64);

/// An action for the program to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Dispatch a request.
    Dispatch(Dispatch),
    /// Refuse a request that was not dispatched.
    Refuse {
        /// The request.
        request: RequestId,
        /// The refusal.
        refusal: Refusal,
    },
    /// Send a message to another router.
    Send {
        /// The receiver.
        to: NodeId,
        /// The message.
        message: Message,
    },
    /// Check the health of a runner and report it with [`crate::Engine::finish_health_check`].
    CheckHealth(HealthCheck),
    /// A claim on a key was decided.
    ClaimDecided {
        /// The request.
        request: RequestId,
        /// The home that decided.
        home: NodeId,
        /// The decision.
        decision: ClaimDecision,
    },
}

/// The place where a runner runs.
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
    /// Identifies the dispatch when its outcome is reported.
    pub id: DispatchId,
    /// The runner.
    pub runner: TaskId,
    /// Address of the runner.
    pub endpoint: SocketAddr,
    /// Location of the runner.
    pub location: Arc<RunnerLocation>,
    /// Maximum number of connections of this router to the runner.
    pub connections: u32,
    /// Whether the runner is in another region.
    pub remote: bool,
    /// Delay after which a hedge of this dispatch is worthwhile, if it can be estimated.
    pub hedge_after: Option<Millis>,
}

/// A health check of a runner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HealthCheck {
    /// The runner.
    pub runner: TaskId,
    /// Address of the runner.
    pub endpoint: SocketAddr,
    /// Location of the runner.
    pub location: Arc<RunnerLocation>,
    /// The probe of the runner's ledger that the health check answers.
    pub probe: Probe,
    /// Generation of the ledger that the probe belongs to.
    pub generation: u64,
}

/// Why a request was not dispatched.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The reason.
    pub reason: RefusalReason,
    /// Time after which the caller may retry.
    pub retry_after: Millis,
}

/// Reason of a refusal.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display("{}", self.text())]
pub enum RefusalReason {
    /// The service is not declared.
    NoService,
    /// The service has no runner that accepts requests.
    NoRunner,
    /// Too many requests are queued.
    QueueFull,
    /// The request can't be served within its deadline.
    DeadlineUnreachable,
    /// The deadline passed while the request was queued.
    Expired,
}

impl RefusalReason {
    /// Returns the text that the caller receives.
    pub const fn text(self) -> &'static str {
        match self {
            Self::NoService => "service is not declared",
            Self::NoRunner => "no runner of the service accepts requests",
            Self::QueueFull => "queue of the service is full",
            Self::DeadlineUnreachable => "deadline can't be met",
            Self::Expired => "deadline passed while the request was queued",
        }
    }
}

/// Outcome of a dispatch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DispatchOutcome {
    /// The complete answer was received.
    Answered {
        /// Time from dispatch to the last byte, in microseconds.
        micros: u64,
    },
    /// No connection could be established, so nothing was sent.
    Unsent,
    /// The request no longer needed the slot, and nothing was sent.
    Unused,
    /// The answer was missing, late, truncated or not HTTP. The runner may still process the
    /// request.
    Abandoned,
}
