//! Commands: the platform's host list and the operators' drains.

use std::collections::BTreeSet;

use kspan_contract::{
    protocol::hosts::{Host, HostKind, HostState},
    worker::WorkerAddress,
};
use kspan_model::{Millis, Name};

use super::Shard;
use crate::{times::SUPERSEDED_STOP, worker::Worker};

impl Shard {
    /// Takes in the platform's host list. Workers that it no longer names are kept until nothing
    /// can run there.
    pub fn set_hosts(&mut self, hosts: &[Host], now: Millis) {
        let data_centre = self.site.data_centre.clone();
        let mine = hosts.iter().filter(|host| {
            host.kind == HostKind::Worker && host.data_centre == data_centre.as_str()
        });
        let mut named = BTreeSet::new();
        for host in mine {
            named.insert(Name::new(&host.name));
            self.set_host(host, now);
        }
        for (name, worker) in &mut self.workers {
            if !named.contains(name) {
                worker.standing.listed = false;
            }
        }
        self.follow_standing();
    }

    fn set_host(&mut self, host: &Host, now: Millis) {
        let name = Name::new(&host.name);
        let address = WorkerAddress {
            name: name.clone(),
            region: Name::new(&host.region),
            data_centre: Name::new(&host.data_centre),
            address: host.address,
        };
        let majority_since = self.majority_since;
        let worker = self.workers.entry(name).or_insert_with(|| {
            let mut worker = Worker::new(address.clone(), Name::new(&host.rack), now);
            if let Some(since) = majority_since {
                worker.lease.renewed_by_others(since + SUPERSEDED_STOP);
            }
            worker
        });
        worker.address = address;
        worker.standing.listed = true;
        worker.standing.leaving = host.state == HostState::Leaving;
    }

    /// Brings what placement knows of each worker up to date, and forgets workers that have left.
    pub(super) fn follow_standing(&mut self) {
        for (name, worker) in &mut self.workers {
            worker.standing.drained = self.fold.drains.contains(name);
            self.cell.set_worker_state(name, worker.state());
        }
        let cell = &mut self.cell;
        self.workers.retain(|name, worker| {
            let has_left = !worker.standing.listed
                && worker.lease.is_silent()
                && worker.resolved
                && worker.held.is_empty();
            if has_left {
                cell.remove_worker(name);
            }
            !has_left
        });
    }
}
