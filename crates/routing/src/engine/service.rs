//! One service as a router knows it.

use kspan_model::{Millis, Name, NodeId};
use rustc_hash::FxHashMap;

use crate::{budget::RetryBudget, choice::Candidates, latency::Latency, queue::FairQueue};

/// Service time that is assumed before the first answer, in microseconds.
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
    /// Every runner of the service.
    pub(super) runners: Vec<u32>,
    /// Free slots of all runners, as counted last.
    pub(super) free: u32,
    pub(super) in_flight: u32,
    /// Other routers' unmet wishes.
    pub(super) asks: Vec<PendingAsk>,
    /// When each home was last asked for credits.
    pub(super) asked: FxHashMap<NodeId, Millis>,
    pub(super) counters: Counters,
}

/// What a router did for a service.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Counters {
    pub(super) dispatched: u64,
    pub(super) refused: u64,
    pub(super) retries: u64,
    pub(super) hedges: u64,
    pub(super) borrowed: u64,
    pub(super) lent: u64,
}

/// Another router's wish for credits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct PendingAsk {
    pub(super) from: NodeId,
    pub(super) seq: u64,
    pub(super) wanted: u32,
    pub(super) until: Millis,
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
            asks: Vec::new(),
            asked: FxHashMap::default(),
            counters: Counters::default(),
        }
    }

    /// Returns the mean service time.
    pub(super) fn mean_latency(&self) -> Millis {
        micros_to_millis(self.latency.mean_us(DEFAULT_LATENCY_US))
    }

    /// Returns how long a request waits that has `ahead` others before it, or none when this
    /// router has no slot to go by.
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
