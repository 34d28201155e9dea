//! What a router is told: the document, runner tables, views, leaving hosts, health answers.

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
    runner::{Runner, number},
    service::Service,
};
use crate::{
    choice::Tier,
    health::Health,
    latency::Latency,
    ledger::{Ledger, Reading, TAKEOVER_WAIT},
};

impl Engine {
    /// Takes the document in force.
    pub fn set_document(&mut self, document: &Document) {
        for service in &mut self.services {
            service.declared = false;
        }
        for declared in &document.services {
            let index = self.service_slot(&declared.name);
            let service = &mut self.services[index];
            service.declared = true;
            service.budget.set_fraction(declared.retry_budget);
        }
    }

    /// Takes a shard's runners. Returns whether the table was newer than the one before.
    pub fn set_table(&mut self, table: &RunnerTable, now: Millis) -> bool {
        let newest = (table.fence, table.version);
        if self
            .shards
            .get(&table.shard)
            .is_some_and(|known| *known >= newest)
        {
            return false;
        }
        self.shards.insert(table.shard.clone(), newest);
        self.drop_missing(table, now);
        for runner in &table.runners {
            self.put_runner(table, runner, now);
        }
        self.pump_all(now);
        true
    }

    /// Takes a membership view.
    pub fn set_view(&mut self, view: Arc<View>, now: Millis, unix: UnixMillis) {
        if view.number <= self.view.number {
            return;
        }
        self.observe(now);
        if self.lapsed {
            self.forget_homes();
        }
        let routers = view.with_role(kspan_model::Role::Router).count();
        self.routers = number(routers.max(1));
        self.view = view;
        if self.authority.activated >= self.view.number {
            self.activated_at = now;
            self.activate_keys(unix);
        }
        self.rank_homes(now);
    }

    /// Takes the state of this router's guard.
    pub fn set_authority(&mut self, authority: Authority, now: Millis, unix: UnixMillis) {
        if !authority.may_act {
            self.lapsed = true;
        }
        let activated = authority.activated > self.authority.activated;
        let changed = authority != self.authority;
        self.authority = authority;
        if activated && authority.activated >= self.view.number {
            self.activated_at = now;
            self.activate_keys(unix);
            self.rank_homes(now);
        }
        if changed {
            self.refresh_all(now);
        }
    }

    /// Takes the names of the hosts that take no new work.
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
            let leaves = !was_leaving && runner.is_leaving();
            let index = number(index);
            self.refresh(index, now);
            if leaves {
                self.tell_borrowers(index);
            }
        }
        self.pump_all(now);
    }

    /// Takes a runner's health; `health` is none when it could not be had.
    pub fn finish_health_check(
        &mut self,
        read: &HealthCheck,
        health: Option<RunnerHealth>,
        now: Millis,
    ) {
        let Some((index, runner)) = self.runner_mut(read.runner) else {
            return;
        };
        runner.reading = false;
        let Some(health) = health else {
            return;
        };
        let leaves = health.draining && !runner.is_leaving();
        runner.draining = health.draining;
        if let Some(ledger) = &mut runner.ledger
            && runner.generation == read.generation
            && now >= ledger.not_before()
        {
            ledger.finish_reading(read.reading, health.in_use);
        }
        let service = runner.service;
        self.refresh(index, now);
        if leaves {
            self.tell_borrowers(index);
        }
        self.serve_asks(service, now);
        self.pump(service, now);
    }

    pub(super) fn tick_runners(&mut self, now: Millis) {
        self.dropped
            .retain(|_, dropped| now.saturating_sub(*dropped) <= TAKEOVER_WAIT);
        for index in 0..self.runners.len() {
            let Some(runner) = &mut self.runners[index] else {
                continue;
            };
            if let Some(ledger) = &mut runner.ledger {
                ledger.lapse(now);
            }
            if runner.wants_reading(now) {
                let reading = runner.ledger.as_ref().map(Ledger::begin_reading);
                runner.read_at = Some(now);
                runner.reading = true;
                let read = reading.map(|reading| new_read(runner, reading));
                self.effects.extend(read.map(Effect::CheckHealth));
            }
            let index = number(index);
            self.refresh(index, now);
        }
    }

    /// Counts a runner's free slots anew.
    pub(super) fn refresh(&mut self, index: u32, now: Millis) {
        let may_act = self.may_act(now);
        let Some(runner) = &mut self.runners[index as usize] else {
            return;
        };
        let free = runner.count_free(may_act, now);
        let service = &mut self.services[runner.service];
        service.free = service.free - runner.free + free;
        runner.free = free;
        service.candidates.set(index, runner.tier, free > 0);
    }

    fn refresh_all(&mut self, now: Millis) {
        for index in 0..self.runners.len() {
            let index = number(index);
            self.refresh(index, now);
        }
    }

    pub(super) fn service_slot(&mut self, name: &Name) -> usize {
        if let Some(&index) = self.service_index.get(name) {
            return index;
        }
        let index = self.services.len();
        self.services.push(Service::new(name.clone()));
        self.service_index.insert(name.clone(), index);
        index
    }

    fn put_runner(&mut self, table: &RunnerTable, told: &TableRunner, now: Millis) {
        let service = self.service_slot(&told.service);
        let host_leaving = self.leaving_hosts.contains(&told.worker);
        let index = match self.runner_index.get(&told.task) {
            Some(&index) => index,
            None => self.add_runner(new_runner(table, told, service, self.tier_of(table), now)),
        };
        let Some(runner) = &mut self.runners[index as usize] else {
            return;
        };
        let was_leaving = runner.is_leaving();
        runner.table_leaving = told.leaving;
        runner.host_leaving = host_leaving;
        runner.endpoint = told.endpoint;
        runner.connections = told.connections;
        if runner.slots != told.slots {
            runner.slots = told.slots;
            if let Some(ledger) = &mut runner.ledger {
                ledger.set_slots(told.slots);
            }
        }
        let leaves = !was_leaving && runner.is_leaving();
        self.rank_home(index, now);
        self.refresh(index, now);
        if leaves {
            self.tell_borrowers(index);
        }
    }

    fn add_runner(&mut self, runner: Runner) -> u32 {
        let index = self.runners.iter().position(Option::is_none);
        let index = index.unwrap_or_else(|| {
            self.runners.push(None);
            self.runners.len() - 1
        });
        let position = number(index);
        self.runner_index.insert(runner.task, position);
        self.services[runner.service].runners.push(position);
        self.runners[index] = Some(runner);
        position
    }

    fn drop_missing(&mut self, table: &RunnerTable, now: Millis) {
        let kept: FxHashSet<TaskId> = table.runners.iter().map(|runner| runner.task).collect();
        for index in 0..self.runners.len() {
            let gone = self.runners[index]
                .as_ref()
                .is_some_and(|runner| runner.shard == table.shard && !kept.contains(&runner.task));
            if gone {
                let index = number(index);
                self.drop_runner(index, now);
            }
        }
    }

    fn drop_runner(&mut self, index: u32, now: Millis) {
        if let Some(runner) = &mut self.runners[index as usize] {
            runner.table_leaving = true;
        }
        self.refresh(index, now);
        let Some(runner) = self.runners[index as usize].take() else {
            return;
        };
        self.runner_index.remove(&runner.task);
        self.dropped.insert(runner.task, now);
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

    fn rank_homes(&mut self, now: Millis) {
        for index in 0..self.runners.len() {
            let index = number(index);
            self.rank_home(index, now);
            self.refresh(index, now);
        }
    }

    /// Ranks a runner's home. An account that goes on is kept; one that begins waits until every
    /// earlier home's loans have lapsed.
    fn rank_home(&mut self, index: u32, now: Millis) {
        let Some(runner) = &mut self.runners[index as usize] else {
            return;
        };
        runner.home = (self.cfg.runner_home)(&self.view, runner.task, &runner.location.site);
        let mine = runner.home.as_ref() == Some(&self.cfg.me);
        if !mine {
            runner.ledger = None;
            return;
        }
        let activated = self.authority.activated >= self.view.number;
        if runner.ledger.is_none() && activated {
            let dropped = self.dropped.get(&runner.task).copied();
            let since = self.activated_at.max(dropped.unwrap_or_default());
            let not_before = since.saturating_add(TAKEOVER_WAIT);
            self.generation += 1;
            runner.generation = self.generation;
            runner.reading = false;
            runner.read_at = None;
            runner.ledger = Some(Ledger::new(runner.slots, not_before.max(now)));
        }
    }

    fn forget_homes(&mut self) {
        self.lapsed = false;
        for runner in self.runners.iter_mut().flatten() {
            runner.ledger = None;
        }
        self.forget_tenure();
    }

    fn tell_borrowers(&mut self, index: u32) {
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

/// A runner's own word on its state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunnerHealth {
    /// Whether it takes new requests no more.
    pub draining: bool,
    /// Requests that it works on.
    pub in_use: u32,
}

fn new_read(runner: &Runner, reading: Reading) -> HealthCheck {
    HealthCheck {
        runner: runner.task,
        endpoint: runner.endpoint,
        location: runner.location.clone(),
        reading,
        generation: runner.generation,
    }
}

fn new_runner(
    table: &RunnerTable,
    told: &TableRunner,
    service: usize,
    tier: Tier,
    now: Millis,
) -> Runner {
    Runner {
        task: told.task,
        service,
        shard: table.shard.clone(),
        endpoint: told.endpoint,
        location: Arc::new(RunnerLocation {
            worker: told.worker.clone(),
            site: table.site.clone(),
        }),
        tier,
        slots: told.slots,
        connections: told.connections,
        table_leaving: told.leaving,
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
        read_at: None,
        reading: false,
    }
}
