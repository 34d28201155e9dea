//! Counts of requests by outcome, and the newest outcomes, for the dump and metrics.

use std::collections::{BTreeMap, VecDeque};

use kspan_model::{Millis, Name, Outcome, RequestId};
use serde::Serialize;
use serde_json::{Value, json};

/// Newest outcomes that are kept.
const RECENT: usize = 256;

/// How one request ended.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Ended {
    pub(crate) request: RequestId,
    pub(crate) service: Name,
    pub(crate) class: Name,
    pub(crate) outcome: Outcome,
    pub(crate) status: u16,
    pub(crate) took: Millis,
    pub(crate) reason: &'static str,
}

/// Counts by outcome.
#[derive(Clone, Copy, Debug, Default, Serialize)]
struct Counts {
    ran: u64,
    not_run: u64,
    unknown: u64,
}

/// What became of the requests so far.
#[derive(Debug, Default)]
pub(crate) struct Tally {
    open: u64,
    received: u64,
    by_class: BTreeMap<Name, BTreeMap<Name, Counts>>,
    recent: VecDeque<Ended>,
    remote_bytes: u64,
    replayed: u64,
}

impl Tally {
    /// Counts a request that came in.
    pub(crate) fn begin(&mut self) {
        self.open += 1;
        self.received += 1;
    }

    /// Counts a request that was answered.
    pub(crate) fn end(&mut self, ended: Ended) {
        self.open -= 1;
        let classes = self.by_class.entry(ended.service.clone()).or_default();
        let counts = classes.entry(ended.class.clone()).or_default();
        match ended.outcome {
            Outcome::Ran => counts.ran += 1,
            Outcome::NotRun => counts.not_run += 1,
            Outcome::Unknown => counts.unknown += 1,
        }
        if self.recent.len() == RECENT {
            self.recent.pop_front();
        }
        self.recent.push_back(ended);
    }

    /// Counts bytes that crossed between regions for a request.
    pub(crate) fn add_remote_bytes(&mut self, bytes: u64) {
        self.remote_bytes += bytes;
    }

    /// Counts an answer that was given again from the record of its key.
    pub(crate) fn add_replay(&mut self) {
        self.replayed += 1;
    }

    /// Returns how many requests are not answered.
    pub(crate) const fn open(&self) -> u64 {
        self.open
    }

    /// Publishes everything as metrics.
    pub(crate) fn publish(&self, queued: usize, in_flight: usize) {
        for (service, classes) in &self.by_class {
            for (class, counts) in classes {
                publish_class(service, class, *counts);
            }
        }
        metrics::counter!("kspan_router_requests_received_total").absolute(self.received);
        metrics::counter!("kspan_router_remote_bytes_total").absolute(self.remote_bytes);
        metrics::counter!("kspan_router_replays_total").absolute(self.replayed);
        metrics::gauge!("kspan_router_requests_open").set(self.open as f64);
        metrics::gauge!("kspan_router_requests_queued").set(queued as f64);
        metrics::gauge!("kspan_router_requests_in_flight").set(in_flight as f64);
    }

    /// Returns everything for the dump.
    pub(crate) fn dump(&self) -> Value {
        json!({
            "received": self.received,
            "open": self.open,
            "outcomes": self.by_class,
            "remote_bytes": self.remote_bytes,
            "replayed": self.replayed,
            "recent": self.recent,
        })
    }
}

fn publish_class(service: &Name, class: &Name, counts: Counts) {
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
