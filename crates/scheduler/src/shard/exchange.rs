//! Commands: which workers are to be exchanged with now.

use kspan_model::{Millis, UnixMillis};

use super::{ExchangeOrder, Phase, Shard, Ticket};
use crate::{
    lease::Purpose,
    times::{MIN_EXCHANGE_PERIOD, PROBE_PERIOD, exchange_period},
    worker::Worker,
};

impl Shard {
    /// Returns the exchanges that are due, each noted as sent.
    pub fn due_exchanges(&mut self, now: Millis, unix: UnixMillis) -> Vec<ExchangeOrder> {
        let period = exchange_period(self.workers.len());
        let phase = self.phase;
        let mut orders = Vec::new();
        for (name, worker) in &mut self.workers {
            let Some(purpose) = due(worker, phase, period, now) else {
                continue;
            };
            let release = matches!(phase, Phase::Releasing { .. });
            let body = worker.next_exchange(purpose, &self.owner, self.fence, release, now, unix);
            orders.push(ExchangeOrder {
                ticket: Ticket {
                    shard: self.site.data_centre.clone(),
                    claim: self.claim,
                    worker: name.clone(),
                },
                to: worker.address.clone(),
                body,
            });
        }
        orders
    }
}

/// Returns what an exchange with the worker would be for, if one is due.
fn due(worker: &Worker, phase: Phase, period: Millis, now: Millis) -> Option<Purpose> {
    if worker.lease.in_flight() {
        return None;
    }
    match phase {
        Phase::Probing => worker
            .lease
            .is_due(now, PROBE_PERIOD)
            .then_some(Purpose::Probe),
        // The flag tells here that the worker has answered the release.
        Phase::Releasing { .. } => (!worker.claimable).then_some(Purpose::Renew),
        Phase::Recovering | Phase::Active => due_while_owned(worker, period, now),
    }
}

fn due_while_owned(worker: &Worker, period: Millis, now: Millis) -> Option<Purpose> {
    let purpose = worker.lease.purpose();
    let is_due = match purpose {
        Purpose::Probe => worker.lease.is_due(now, MIN_EXCHANGE_PERIOD),
        Purpose::Renew if worker.lease.is_controlled(now) => {
            worker.queue.is_ready(now) || worker.lease.is_due(now, period)
        }
        // Another owner's lease may still be in force there.
        Purpose::Renew => worker.lease.is_due(now, PROBE_PERIOD),
    };
    is_due.then_some(purpose)
}
