//! State of one service in a router.

use kspan_model::{Millis, Name, NodeId};
use rustc_hash::FxHashMap;

use crate::{budget::RetryBudget, choice::Candidates, latency::Latency, queue::FairQueue};

/// Service time assumed before the first answer, in microseconds.
const DEFAULT_LATENCY_US: f64 = 5_000.0;

/// One service.
#[derive(Clone, Debug)]
pub(super) struct Service {
    pub(super) name: Name,
    /// Whether the document in force declares it.
    pub(super) declared: bool,
    pub(super) queue: FairQueue,
    pub(super) budget: RetryBudget,
    pub(super) latency: Latency,
    pub(super) candidates: Candidates,
    /// Numbers of all runners of the service.
    pub(super) runners: Vec<u32>,
    /// Sum of the free slots of all runners.
    pub(super) free: u32,
    pub(super) in_flight: u32,
    /// Open loan requests of other routers.
    pub(super) loan_requests: Vec<LoanRequest>,
    /// When each home was last asked for a loan.
    pub(super) last_asked: FxHashMap<NodeId, Millis>,
    pub(super) counters: Counters,
}

/// Totals of a router's operations for a service.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Counters {
    pub(super) dispatched: u64,
    pub(super) refused: u64,
    pub(super) retries: u64,
    pub(super) hedges: u64,
    pub(super) borrowed: u64,
    pub(super) lent: u64,
}

/// A request of another router for slot credits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct LoanRequest {
    pub(super) from: NodeId,
    pub(super) seq: u64,
    pub(super) wanted: u32,
    pub(super) expires_at: Millis,
}

impl Service {
    pub(super) fn new(name: Name) -> Self {
        Self {
            name,
            declared: false,
            queue: FairQueue::new(),
            budget: RetryBudget::new(0.0),
            latency: Latency::new(),
            candidates: Candidates::new(),
            runners: Vec::new(),
            free: 0,
            in_flight: 0,
            loan_requests: Vec::new(),
            last_asked: FxHashMap::default(),
            counters: Counters::default(),
        }
    }

    /// Returns the mean service time.
    pub(super) fn mean_latency(&self) -> Millis {
        micros_to_millis(self.latency.mean_us(DEFAULT_LATENCY_US))
    }

    /// Estimates how long a request waits behind `ahead` others. Returns `None` while this router
    /// has no slots from which to estimate.
    pub(super) fn estimate_wait(&self, ahead: usize) -> Option<Millis> {
        let slots = self.in_flight + self.free;
        if slots == 0 {
            return None;
        }
        let turns = (ahead + 1).saturating_sub(self.free as usize) as f64 / f64::from(slots);
        Some(micros_to_millis(
            turns * self.latency.mean_us(DEFAULT_LATENCY_US),
        ))
    }
}

// Latency samples are clamped to an hour, which leaves both conversions in range.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn micros_to_millis(micros: f64) -> Millis {
    Millis((micros / 1_000.0).ceil() as u64)
}
