//! Request counts by outcome and the most recent outcomes, for metrics and the dump.

use std::collections::{BTreeMap, VecDeque};

use kspan_model::{Millis, Name, Outcome, RequestId};
use serde::Serialize;
use serde_json::{Value, json};

/// Maximum number of recent outcomes that are kept.
const MAX_RECENT: usize = 256;

/// A completed request.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct CompletedRequest {
    pub(crate) request: RequestId,
    pub(crate) service: Name,
    pub(crate) class: Name,
    pub(crate) outcome: Outcome,
    pub(crate) status: u16,
    pub(crate) took: Millis,
    pub(crate) reason: &'static str,
}

/// Request counts by outcome.
#[derive(Clone, Copy, Debug, Default, Serialize)]
struct OutcomeCounts {
    ran: u64,
    not_run: u64,
    unknown: u64,
}

/// Statistics of the requests received so far.
#[derive(Debug, Default)]
pub(crate) struct RequestStats {
    open: u64,
    received: u64,
    by_class: BTreeMap<Name, BTreeMap<Name, OutcomeCounts>>,
    recent: VecDeque<CompletedRequest>,
    remote_bytes: u64,
    replays: u64,
}

impl RequestStats {
    /// Records the arrival of a request.
    pub(crate) fn record_arrival(&mut self) {
        self.open += 1;
        self.received += 1;
    }

    /// Records the completion of a request.
    pub(crate) fn record_completion(&mut self, completed: CompletedRequest) {
        self.open -= 1;
        let classes = self.by_class.entry(completed.service.clone()).or_default();
        let counts = classes.entry(completed.class.clone()).or_default();
        match completed.outcome {
            Outcome::Ran => counts.ran += 1,
            Outcome::NotRun => counts.not_run += 1,
            Outcome::Unknown => counts.unknown += 1,
        }
        if self.recent.len() == MAX_RECENT {
            self.recent.pop_front();
        }
        self.recent.push_back(completed);
    }

    /// Adds bytes of a request that were transferred between regions.
    pub(crate) fn add_remote_bytes(&mut self, bytes: u64) {
        self.remote_bytes += bytes;
    }

    /// Records that a request was answered with the recorded answer of its idempotency key.
    pub(crate) fn record_replay(&mut self) {
        self.replays += 1;
    }

    /// Returns the number of open requests: those that have not completed, queued ones included.
    pub(crate) const fn open_count(&self) -> u64 {
        self.open
    }

    /// Publishes all metrics of the router.
    pub(crate) fn publish(&self, queued: usize, in_flight: usize) {
        for (service, classes) in &self.by_class {
            for (class, counts) in classes {
                publish_class_counts(service, class, *counts);
            }
        }
        metrics::counter!("kspan_router_requests_received_total").absolute(self.received);
        metrics::counter!("kspan_router_remote_bytes_total").absolute(self.remote_bytes);
        metrics::counter!("kspan_router_replays_total").absolute(self.replays);
        metrics::gauge!("kspan_router_requests_open").set(self.open as f64);
        metrics::gauge!("kspan_router_requests_queued").set(queued as f64);
        metrics::gauge!("kspan_router_requests_in_flight").set(in_flight as f64);
    }

    /// Returns the statistics as JSON for the dump.
    pub(crate) fn dump(&self) -> Value {
        json!({
            "received": self.received,
            "open": self.open,
            "outcomes": self.by_class,
            "remote_bytes": self.remote_bytes,
            "replayed": self.replays,
            "recent": self.recent,
        })
    }
}

fn publish_class_counts(service: &Name, class: &Name, counts: OutcomeCounts) {
    let outcomes = [
        (Outcome::Ran, counts.ran),
        (Outcome::NotRun, counts.not_run),
        (Outcome::Unknown, counts.unknown),
    ];
    for (outcome, count) in outcomes {
        metrics::counter!(
            "kspan_router_requests_total",
            "service" => service.to_string(),
            "class" => class.to_string(),
            "outcome" => outcome.to_string(),
        )
        .absolute(count);
    }
}
