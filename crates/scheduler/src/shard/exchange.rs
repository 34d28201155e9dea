//! Selection of the workers with which an exchange is due.

use kspan_model::{Millis, UnixMillis};

use super::{ExchangeKey, ExchangeRequest, Phase, Shard};
use crate::{
    lease::Purpose,
    timing::{MIN_EXCHANGE_INTERVAL, PROBE_INTERVAL, exchange_interval},
    worker::Worker,
};

impl Shard {
    /// Returns the exchanges that are due and records each as sent.
    pub fn due_exchanges(&mut self, now: Millis, unix: UnixMillis) -> Vec<ExchangeRequest> {
        let interval = exchange_interval(self.workers.len());
        let phase = self.phase;
        let mut requests = Vec::new();
        for (name, worker) in &mut self.workers {
            let Some(purpose) = due_purpose(worker, phase, interval, now) else {
                continue;
            };
            let release = matches!(phase, Phase::Releasing { .. });
            let body = worker.begin_exchange(purpose, &self.owner, self.fence, release, now, unix);
            requests.push(ExchangeRequest {
                key: ExchangeKey {
                    shard: self.site.data_centre.clone(),
                    claim_token: self.claim_token,
                    worker: name.clone(),
                },
                to: worker.address.clone(),
                body,
            });
        }
        requests
    }
}

/// Returns the purpose of the exchange with the worker, if one is due.
fn due_purpose(worker: &Worker, phase: Phase, interval: Millis, now: Millis) -> Option<Purpose> {
    if worker.lease.has_exchange_in_flight() {
        return None;
    }
    match phase {
        Phase::Probing => worker
            .lease
            .is_due(now, PROBE_INTERVAL)
            .then_some(Purpose::Probe),
        // During a release, `claimable` says that the worker has acknowledged it.
        Phase::Releasing { .. } => (!worker.claimable).then_some(Purpose::Renew),
        Phase::Recovering | Phase::Active => due_purpose_while_owned(worker, interval, now),
    }
}

fn due_purpose_while_owned(worker: &Worker, interval: Millis, now: Millis) -> Option<Purpose> {
    let purpose = worker.lease.next_purpose();
    let is_due = match purpose {
        Purpose::Probe => worker.lease.is_due(now, MIN_EXCHANGE_INTERVAL),
        Purpose::Renew if worker.lease.is_control_lease_held(now) => {
            worker.queue.has_ready_order(now) || worker.lease.is_due(now, interval)
        }
        // Another owner's control lease may still be in force on the worker.
        Purpose::Renew => worker.lease.is_due(now, PROBE_INTERVAL),
    };
    is_due.then_some(purpose)
}
