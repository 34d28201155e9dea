//! Commands: which workers are to be exchanged with now.

use kspan_model::{Millis, UnixMillis};

use super::{ExchangeKey, ExchangeRequest, Phase, Shard};
use crate::{
    lease::Purpose,
    timing::{MIN_EXCHANGE_PERIOD, PROBE_PERIOD, exchange_period},
    worker::Worker,
};

impl Shard {
    /// Returns the exchanges that are due, each noted as sent.
    pub fn due_exchanges(&mut self, now: Millis, unix: UnixMillis) -> Vec<ExchangeRequest> {
        let period = exchange_period(self.workers.len());
        let phase = self.phase;
        let mut requests = Vec::new();
        for (name, worker) in &mut self.workers {
            let Some(purpose) = due_purpose(worker, phase, period, now) else {
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

/// Returns what an exchange with the worker would be for, if one is due.
fn due_purpose(worker: &Worker, phase: Phase, period: Millis, now: Millis) -> Option<Purpose> {
    if worker.lease.has_exchange_in_flight() {
        return None;
    }
    match phase {
        Phase::Probing => worker
            .lease
            .is_due(now, PROBE_PERIOD)
            .then_some(Purpose::Probe),
        // The flag tells here that the worker has answered the release.
        Phase::Releasing { .. } => (!worker.claimable).then_some(Purpose::Renew),
        Phase::Recovering | Phase::Active => due_purpose_while_owned(worker, period, now),
    }
}

fn due_purpose_while_owned(worker: &Worker, period: Millis, now: Millis) -> Option<Purpose> {
    let purpose = worker.lease.next_purpose();
    let is_due = match purpose {
        Purpose::Probe => worker.lease.is_due(now, MIN_EXCHANGE_PERIOD),
        Purpose::Renew if worker.lease.is_control_lease_held(now) => {
            worker.queue.has_ready_order(now) || worker.lease.is_due(now, period)
        }
        // Another owner's lease may still be in force there.
        Purpose::Renew => worker.lease.is_due(now, PROBE_PERIOD),
    };
    is_due.then_some(purpose)
}
