//! The platform's host list and operators' drains.

use std::collections::BTreeSet;

use kspan_contract::{
    protocol::hosts::{Host, HostKind, HostState},
    worker::WorkerAddress,
};
use kspan_model::{Millis, Name};

use super::Shard;
use crate::{timing::SUPERSEDED_RENEWAL_BOUND, worker::Worker};

impl Shard {
    /// Applies the platform's host list. Workers that it no longer contains are kept until no task
    /// can be running on them.
    pub fn set_hosts(&mut self, hosts: &[Host], now: Millis) {
        let data_centre = self.site.data_centre.clone();
        let shard_hosts = hosts.iter().filter(|host| {
            host.kind == HostKind::Worker && host.data_centre == data_centre.as_str()
        });
        let mut listed_names = BTreeSet::new();
        for host in shard_hosts {
            listed_names.insert(Name::new(&host.name));
            self.set_host(host, now);
        }
        for (name, worker) in &mut self.workers {
            if !listed_names.contains(name) {
                worker.host_status.listed = false;
            }
        }
        self.sync_worker_states();
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
                worker
                    .lease
                    .extend_possible_renewal(since + SUPERSEDED_RENEWAL_BOUND);
            }
            worker
        });
        worker.address = address;
        worker.host_status.listed = true;
        worker.host_status.leaving = host.state == HostState::Leaving;
    }

    /// Updates placement's state of each worker, and removes workers that have left.
    pub(super) fn sync_worker_states(&mut self) {
        for (name, worker) in &mut self.workers {
            worker.host_status.drained = self.log_state.drains.contains(name);
            self.cell.set_worker_state(name, worker.state());
        }
        let cell = &mut self.cell;
        self.workers.retain(|name, worker| {
            let has_left = !worker.host_status.listed
                && worker.lease.is_silent()
                && worker.resolved
                && worker.active_tasks.is_empty();
            if has_left {
                cell.remove_worker(name);
            }
            !has_left
        });
    }
}
