//! Input of the engine: document, runner tables, views, leaving hosts and health checks.

use std::sync::Arc;

use kspan_model::{Millis, Name, TaskId, UnixMillis, View, document::Document};
use kspan_wire::message::{
    routing::Message,
    tasks::{Runner as TableRunner, RunnerTable},
};
use rustc_hash::FxHashSet;

use super::{
    Authority, Engine,
    effect::{Effect, HealthCheck, RunnerLocation},
    runner::{Runner, to_u32},
    service::Service,
};
use crate::{
    choice::Tier,
    health::Health,
    latency::Latency,
    ledger::{Ledger, Probe, TAKEOVER_WAIT},
};

impl Engine {
    /// Applies the document in force.
    pub fn set_document(&mut self, document: &Document) {
        for service in &mut self.services {
            service.declared = false;
        }
        for declared in &document.services {
            let index = self.find_or_add_service(&declared.name);
            let service = &mut self.services[index];
            service.declared = true;
            service.budget.set_fraction(declared.retry_budget);
        }
    }

    /// Applies the runner table of a shard. Returns whether it was newer than the known one.
    pub fn set_table(&mut self, table: &RunnerTable, now: Millis) -> bool {
        let newest = (table.fence, table.version);
        if self
            .table_versions
            .get(&table.shard)
            .is_some_and(|known| *known >= newest)
        {
            return false;
        }
        self.table_versions.insert(table.shard.clone(), newest);
        self.drop_missing(table, now);
        for runner in &table.runners {
            self.upsert_runner(table, runner, now);
        }
        self.dispatch_all_queued(now);
        true
    }

    /// Applies a membership view, unless it is not newer than the current one.
    pub fn set_view(&mut self, view: Arc<View>, now: Millis, unix: UnixMillis) {
        if view.number <= self.view.number {
            return;
        }
        self.detect_tick_gap(now);
        if self.may_have_missed_view {
            self.reset_homes();
        }
        let routers = view.with_role(kspan_model::Role::Router).count();
        self.routers = to_u32(routers.max(1));
        self.view = view;
        if self.authority.activated >= self.view.number {
            self.activated_at = now;
            self.record_active_view(unix);
        }
        self.update_homes(now);
    }

    /// Applies the state of this router's guard.
    pub fn set_authority(&mut self, authority: Authority, now: Millis, unix: UnixMillis) {
        if !authority.may_act {
            self.may_have_missed_view = true;
        }
        let activated = authority.activated > self.authority.activated;
        let changed = authority != self.authority;
        self.authority = authority;
        if activated && authority.activated >= self.view.number {
            self.activated_at = now;
            self.record_active_view(unix);
            self.update_homes(now);
        }
        if changed {
            self.recount_all_free_slots(now);
        }
    }

    /// Applies the names of the hosts that accept no new work.
    pub fn set_leaving_hosts(&mut self, hosts: FxHashSet<Name>, now: Millis) {
        if hosts == self.leaving_hosts {
            return;
        }
        self.leaving_hosts = hosts;
        for index in 0..self.runners.len() {
            let Some(runner) = &mut self.runners[index] else {
                continue;
            };
            let was_leaving = runner.is_leaving();
            runner.host_leaving = self.leaving_hosts.contains(&runner.location.worker);
            let starts_leaving = !was_leaving && runner.is_leaving();
            let index = to_u32(index);
            self.recount_free_slots(index, now);
            if starts_leaving {
                self.notify_borrowers(index);
            }
        }
        self.dispatch_all_queued(now);
    }

    /// Applies the result of a health check; `health` is `None` if the check failed.
    pub fn finish_health_check(
        &mut self,
        check: &HealthCheck,
        health: Option<RunnerHealth>,
        now: Millis,
    ) {
        let Some((index, runner)) = self.runner_mut(check.runner) else {
            return;
        };
        runner.health_check_pending = false;
        let Some(health) = health else {
            return;
        };
        let starts_leaving = health.draining && !runner.is_leaving();
        runner.draining = health.draining;
        if let Some(ledger) = &mut runner.ledger
            && runner.generation == check.generation
            && now >= ledger.not_before()
        {
            ledger.finish_probe(check.probe, health.in_use);
        }
        let service = runner.service;
        self.recount_free_slots(index, now);
        if starts_leaving {
            self.notify_borrowers(index);
        }
        self.serve_loan_requests(service, now);
        self.dispatch_queued(service, now);
    }

    pub(super) fn tick_runners(&mut self, now: Millis) {
        self.dropped_runners
            .retain(|_, dropped_at| now.saturating_sub(*dropped_at) <= TAKEOVER_WAIT);
        for index in 0..self.runners.len() {
            let Some(runner) = &mut self.runners[index] else {
                continue;
            };
            if let Some(ledger) = &mut runner.ledger {
                ledger.expire_loans(now);
            }
            if runner.needs_health_check(now) {
                let probe = runner.ledger.as_ref().map(Ledger::start_probe);
                runner.health_checked_at = Some(now);
                runner.health_check_pending = true;
                let check = probe.map(|probe| new_health_check(runner, probe));
                self.effects.extend(check.map(Effect::CheckHealth));
            }
            let index = to_u32(index);
            self.recount_free_slots(index, now);
        }
    }

    /// Recounts the free slots of a runner.
    pub(super) fn recount_free_slots(&mut self, index: u32, now: Millis) {
        let may_act = self.may_act(now);
        let Some(runner) = &mut self.runners[index as usize] else {
            return;
        };
        let free = runner.count_free_slots(may_act, now);
        let service = &mut self.services[runner.service];
        service.free = service.free - runner.free + free;
        runner.free = free;
        service.candidates.set(index, runner.tier, free > 0);
    }

    fn recount_all_free_slots(&mut self, now: Millis) {
        for index in 0..self.runners.len() {
            let index = to_u32(index);
            self.recount_free_slots(index, now);
        }
    }

    pub(super) fn find_or_add_service(&mut self, name: &Name) -> usize {
        if let Some(&index) = self.service_index.get(name) {
            return index;
        }
        let index = self.services.len();
        self.services.push(Service::new(name.clone()));
        self.service_index.insert(name.clone(), index);
        index
    }

    fn upsert_runner(&mut self, table: &RunnerTable, entry: &TableRunner, now: Millis) {
        let service = self.find_or_add_service(&entry.service);
        let host_leaving = self.leaving_hosts.contains(&entry.worker);
        let index = match self.runner_index.get(&entry.task) {
            Some(&index) => index,
            None => self.add_runner(new_runner(table, entry, service, self.tier_of(table), now)),
        };
        let Some(runner) = &mut self.runners[index as usize] else {
            return;
        };
        let was_leaving = runner.is_leaving();
        runner.table_leaving = entry.leaving;
        runner.host_leaving = host_leaving;
        runner.endpoint = entry.endpoint;
        runner.connections = entry.connections;
        if runner.slots != entry.slots {
            runner.slots = entry.slots;
            if let Some(ledger) = &mut runner.ledger {
                ledger.set_slots(entry.slots);
            }
        }
        let starts_leaving = !was_leaving && runner.is_leaving();
        self.update_home(index, now);
        self.recount_free_slots(index, now);
        if starts_leaving {
            self.notify_borrowers(index);
        }
    }

    fn add_runner(&mut self, runner: Runner) -> u32 {
        let index = self.runners.iter().position(Option::is_none);
        let index = index.unwrap_or_else(|| {
            self.runners.push(None);
            self.runners.len() - 1
        });
        let position = to_u32(index);
        self.runner_index.insert(runner.task, position);
        self.services[runner.service].runners.push(position);
        self.runners[index] = Some(runner);
        position
    }

    fn drop_missing(&mut self, table: &RunnerTable, now: Millis) {
        let listed: FxHashSet<TaskId> = table.runners.iter().map(|runner| runner.task).collect();
        for index in 0..self.runners.len() {
            let is_removed = self.runners[index].as_ref().is_some_and(|runner| {
                runner.shard == table.shard && !listed.contains(&runner.task)
            });
            if is_removed {
                let index = to_u32(index);
                self.drop_runner(index, now);
            }
        }
    }

    fn drop_runner(&mut self, index: u32, now: Millis) {
        if let Some(runner) = &mut self.runners[index as usize] {
            runner.table_leaving = true;
        }
        self.recount_free_slots(index, now);
        let Some(runner) = self.runners[index as usize].take() else {
            return;
        };
        self.runner_index.remove(&runner.task);
        self.dropped_runners.insert(runner.task, now);
        let service = &mut self.services[runner.service];
        service.runners.retain(|known| *known != index);
    }

    fn tier_of(&self, table: &RunnerTable) -> Tier {
        if table.site.region != self.cfg.site.region {
            Tier::Remote
        } else if table.site.data_centre != self.cfg.site.data_centre {
            Tier::Region
        } else {
            Tier::DataCentre
        }
    }

    fn update_homes(&mut self, now: Millis) {
        for index in 0..self.runners.len() {
            let index = to_u32(index);
            self.update_home(index, now);
            self.recount_free_slots(index, now);
        }
    }

    /// Determines the home of a runner. The ledger of a home that stays is kept; a new ledger may
    /// be used only after all loans of previous homes have expired.
    fn update_home(&mut self, index: u32, now: Millis) {
        let Some(runner) = &mut self.runners[index as usize] else {
            return;
        };
        runner.home = (self.cfg.runner_home)(&self.view, runner.task, &runner.location.site);
        let is_home = runner.home.as_ref() == Some(&self.cfg.me);
        if !is_home {
            runner.ledger = None;
            return;
        }
        let activated = self.authority.activated >= self.view.number;
        if runner.ledger.is_none() && activated {
            let dropped_at = self.dropped_runners.get(&runner.task).copied();
            let since = self.activated_at.max(dropped_at.unwrap_or_default());
            let not_before = since.saturating_add(TAKEOVER_WAIT);
            self.generation += 1;
            runner.generation = self.generation;
            runner.health_check_pending = false;
            runner.health_checked_at = None;
            runner.ledger = Some(Ledger::new(runner.slots, not_before.max(now)));
        }
    }

    fn reset_homes(&mut self) {
        self.may_have_missed_view = false;
        for runner in self.runners.iter_mut().flatten() {
            runner.ledger = None;
        }
        self.reset_home_history();
    }

    fn notify_borrowers(&mut self, index: u32) {
        let Some(runner) = &self.runners[index as usize] else {
            return;
        };
        let task = runner.task;
        let borrowers: FxHashSet<_> = match &runner.ledger {
            Some(ledger) => ledger.borrowers().cloned().collect(),
            None => return,
        };
        for to in borrowers {
            self.send(&to, Message::Leaving { runner: task });
        }
    }
}

/// The state of a runner as reported by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunnerHealth {
    /// Whether it accepts no new requests.
    pub draining: bool,
    /// Number of requests that it is processing.
    pub in_use: u32,
}

fn new_health_check(runner: &Runner, probe: Probe) -> HealthCheck {
    HealthCheck {
        runner: runner.task,
        endpoint: runner.endpoint,
        location: runner.location.clone(),
        probe,
        generation: runner.generation,
    }
}

fn new_runner(
    table: &RunnerTable,
    entry: &TableRunner,
    service: usize,
    tier: Tier,
    now: Millis,
) -> Runner {
    Runner {
        task: entry.task,
        service,
        shard: table.shard.clone(),
        endpoint: entry.endpoint,
        location: Arc::new(RunnerLocation {
            worker: entry.worker.clone(),
            site: table.site.clone(),
        }),
        tier,
        slots: entry.slots,
        connections: entry.connections,
        table_leaving: entry.leaving,
        host_leaving: false,
        draining: false,
        home: None,
        ledger: None,
        generation: 0,
        loans: Vec::new(),
        health: Health::new(now),
        latency: Latency::new(),
        in_flight: 0,
        free: 0,
        health_checked_at: None,
        health_check_pending: false,
    }
}
