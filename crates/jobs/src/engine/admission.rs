//! Which entries of the host list are used.
//!
//! Failure pattern: another writer leaves an entry among those of the runners, under an id of its own or under
//! that of a runner. It must not be called, counted or recorded, and what the other entries say must hold.

use kspan_model::Name;
use rustc_hash::{FxHashMap, FxHashSet};

use super::{Engine, Event, RunnerIx};
use crate::{config::CellConfig, runner::RunnerEntry};

/// Maximum number of entries that wait for a configuration that names their service.
const MAX_WAITING_ENTRIES: usize = 10_000;

/// Services whose runners are used, and listed runners of others.
#[derive(Clone, Debug, Default)]
pub(super) struct Admission {
    /// Services that a configuration or an accepted job has named.
    services: FxHashSet<Name>,
    /// Whether a configuration has listed the services. Until then runners of any service are used.
    is_limited: bool,
    /// Entries of runners of other services, by id. A later configuration may name them.
    waiting: FxHashMap<Name, RunnerEntry>,
}

impl Admission {
    /// Adds the services that a configuration names. Those of earlier ones stay, as accepted jobs may need
    /// them.
    pub(super) fn name_services(&mut self, config: &CellConfig) {
        let Some(services) = &config.services else {
            return;
        };
        self.is_limited = true;
        let of_queues = config.queues.iter().map(|queue| &queue.policy.service);
        self.services
            .extend(services.iter().chain(of_queues).cloned());
    }

    /// Adds a service that an accepted job needs.
    pub(super) fn name_service(&mut self, service: &Name) {
        self.services.insert(service.clone());
    }

    /// Forgets the entry of an id.
    pub(super) fn forget(&mut self, id: &Name) {
        self.waiting.remove(id);
    }

    fn is_named(&self, service: &Name) -> bool {
        !self.is_limited || self.services.contains(service)
    }
}

impl Engine {
    /// Returns an entry if its service is known. Otherwise the entry waits until a configuration names the
    /// service, unless its id is that of a known runner, which belongs to another one.
    pub(super) fn admit(&mut self, entry: RunnerEntry) -> Option<RunnerEntry> {
        self.admission.forget(&entry.id);
        if self.admission.is_named(&entry.service) {
            return Some(entry);
        }
        let id = entry.id.clone();
        let is_full = self.admission.waiting.len() >= MAX_WAITING_ENTRIES;
        if !self.by_id.contains_key(&id) && !is_full {
            self.admission.waiting.insert(id.clone(), entry);
        }
        let what = "of an unknown service";
        self.events.push(Event::RunnerChanged { id, what });
        None
    }

    /// Removes and returns the listed entries whose service has become known.
    pub fn take_admitted_entries(&mut self) -> Vec<RunnerEntry> {
        let Admission {
            services, waiting, ..
        } = &mut self.admission;
        let is_named = |_: &Name, entry: &mut RunnerEntry| services.contains(&entry.service);
        waiting
            .extract_if(is_named)
            .map(|(_, entry)| entry)
            .collect()
    }

    /// Keeps a runner free of new work, because an entry under its id contradicts the known one.
    pub(super) fn dispute_entry(&mut self, runner_ix: RunnerIx, entry: RunnerEntry) {
        let id = entry.id.clone();
        self.runners[runner_ix.0].disputed_by = Some(entry);
        let what = "contradicted";
        self.events.push(Event::RunnerChanged { id, what });
    }
}
