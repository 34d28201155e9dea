//! Owners of the simulated cell: takeovers, ticks, and batches written to the store.

use std::collections::{BTreeMap, BTreeSet};

use kspan_jobs::{
    Engine,
    engine::{Order, Settings},
    record::{DurableState, RunnerRecord},
    runner::RunnerEntry,
};
use kspan_model::{Millis, Name};
use rand::Rng;

use super::{
    Event, Hazard, LEASE_MS, MAX_UNCONFIRMED_MS, Mutation, Owner, PREVIOUS_OWNER_TIMEOUT_MS, Sent,
    Simulation, gangs, hazards, number_of,
};

/// Maximum size of a record of the store, in bytes. So small that most jobs' progress is split.
const MAX_RECORD_BYTES: usize = 20_000;

/// The same where the progress of each job is in one record.
const MAX_WHOLE_RECORD_BYTES: usize = 262_144;

/// Number of fencing tokens from one claim to the next. An owner's heartbeats lie between them.
const FENCES_PER_OWNER: u64 = 1_000;

impl Owner {
    /// Raises the fencing token of the calls to a runner above all earlier ones, and returns it.
    pub(super) fn raise_fence(&mut self, runner_ix: usize) -> u64 {
        self.newest_fence += 1;
        self.call_fences.insert(runner_ix, self.newest_fence);
        self.newest_fence
    }

    /// Records that a runner has not answered a call with this fencing token.
    pub(super) fn record_doubt(&mut self, runner_ix: usize, fence: u64) {
        let doubted = self.doubted_fences.entry(runner_ix).or_default();
        *doubted = (*doubted).max(fence);
    }

    /// Returns whether a call with this fencing token may have been refused because of a later one of the
    /// same owner.
    pub(super) fn is_overtaken(&self, runner_ix: usize, fence: u64) -> bool {
        self.call_fences
            .get(&runner_ix)
            .is_some_and(|newest| fence < *newest)
    }
}

impl Simulation {
    /// Records a call that an owner sends to a runner now. Its fencing token is higher than those of calls to
    /// it without an answer.
    pub(super) fn sent<T>(&mut self, owner: usize, runner_ix: usize, call: T) -> Sent<T> {
        let cell = &mut self.owners[owner];
        let fence = cell.call_fences.get(&runner_ix).copied();
        let mut fence = fence.unwrap_or(cell.fence);
        if cell.doubted_fences.get(&runner_ix) >= Some(&fence) {
            fence = cell.raise_fence(runner_ix);
        }
        let at = self.now;
        Sent { call, at, fence }
    }

    /// Lets a new owner take over and recover.
    pub(super) fn take_over(&mut self) {
        let fence = self.next_fence;
        self.next_fence += FENCES_PER_OWNER;
        self.store_fence = fence;
        self.checks.fence = fence;
        let waits = self.mutation != Mutation::NoTakeoverWait;
        let cfg = Settings {
            lease: Millis(LEASE_MS),
            max_lease: Millis(super::runner::MAX_LEASE_MS),
            lease_margin: Millis(300),
            previous_owner_timeout: Millis(if waits { PREVIOUS_OWNER_TIMEOUT_MS } else { 0 }),
            max_record_bytes: if self.hazard == Hazard::UpgradedGangs {
                MAX_WHOLE_RECORD_BYTES
            } else {
                MAX_RECORD_BYTES
            },
            max_job_bytes: 1_000_000_000,
            ended_job_retention: Millis(600_000),
            cross_rack_slowdown: 3,
            gang_wait: if self.mutation == Mutation::GangWaitUnknown {
                Millis(3_600_000)
            } else {
                Millis(super::runner::GANG_WAIT_MS)
            },
        };
        let mut state = DurableState::default();
        for (key, value) in &self.store {
            state.add(key, value).expect("stored records decode");
        }
        if self.mutation == Mutation::RunnersNotRestored {
            state.runners.clear();
        }
        if self.mutation == Mutation::CrashesNotRestored {
            let progress = state.progress.values_mut();
            progress.for_each(|progress| progress.crashes.clear());
        }
        if self.hazard == Hazard::UpgradedGangs {
            let progress = state.progress.values_mut();
            progress.for_each(gangs::record_as_earlier_version);
        }
        let mut engine = Engine::recover(cfg, Millis(self.now), self.now, state);
        engine.configure(self.config());
        let known = engine.live_runners();
        let runners =
            known.map(|runner_ix| (runner_ix.0, number_of(&engine.runner(runner_ix).addr)));
        let runners = runners.collect();
        let number = self.owners.len();
        self.owners.push(Owner {
            engine,
            fence,
            alive: true,
            paused: false,
            working_since: Some(self.now),
            verified_since: None,
            confirmed: self.now,
            writing: None,
            calls_in_flight: BTreeSet::new(),
            runners,
            call_fences: BTreeMap::new(),
            doubted_fences: BTreeMap::new(),
            newest_fence: fence,
            starts: Vec::new(),
            start_outcomes: Vec::new(),
            start_clocks: Vec::new(),
            stops: Vec::new(),
            inventory_calls: BTreeMap::new(),
            inventory_outcomes: Vec::new(),
            open_calls: BTreeSet::new(),
            listed_since: BTreeMap::new(),
            callers: Vec::new(),
        });
        self.list_runners(number);
        self.owners[number]
            .engine
            .set_approval_hosts(&[Name::new("h1")]);
        self.owners[number]
            .engine
            .confirm_ownership(Millis(self.now));
        self.push(0, Event::Tick(number));
    }

    pub(super) fn newest(&self) -> usize {
        self.owners.len() - 1
    }

    pub(super) fn list_runners(&mut self, owner: usize) {
        let doubled = self.mutation == Mutation::CapacityDoubled;
        for number in 0..self.runners.len() {
            let listed = if self.hazard == Hazard::UnseenEnds {
                self.update_listing(owner, number)
            } else {
                let runner = &self.runners[number];
                // The host list drops a partitioned runner. Owners that know the runner keep calling
                // it.
                let is_listed =
                    runner.is_up && !runner.is_partitioned && runner.is_entry_written(self.now);
                is_listed.then_some(runner.incarnation)
            };
            let Some(started_unix_ms) = listed else {
                continue;
            };
            let runner = &self.runners[number];
            let mut capacity = runner.capacity;
            if self.mutation == Mutation::CapacityNotUpdated {
                capacity = hazards::full_capacity();
            }
            if doubled {
                capacity = capacity.saturating_add(capacity);
            }
            let entry = RunnerEntry {
                id: runner.id(),
                service: Name::new("s"),
                addr: Name::new(&format!("runner-{number}")),
                data_centre: Name::new("dc"),
                draining: false,
                capacity,
                labels: vec![Name::new("a"), Name::new("r1")],
                started_unix_ms,
            };
            let now = Millis(self.now);
            if let Some(runner_ix) = self.owners[owner].engine.upsert_runner(now, entry) {
                let cell = &mut self.owners[owner];
                cell.runners.insert(runner_ix.0, number);
                if self.hazard == Hazard::UnseenEnds {
                    // A new connection has the newest fencing token; calls on an earlier one had higher ones than
                    // the owner's first.
                    cell.call_fences.insert(runner_ix.0, cell.newest_fence);
                }
            }
        }
    }

    pub(super) fn tick(&mut self, owner: usize) {
        if !self.owners[owner].alive || self.owners[owner].paused {
            return;
        }
        self.list_runners(owner);
        self.check_ownership(owner);
        let now = Millis(self.now);
        let have_previous_ended = !self.owners[..owner].iter().any(|previous| previous.alive);
        let cell = &mut self.owners[owner];
        if have_previous_ended {
            cell.engine.record_previous_owners_ended(now);
        }
        if cell.engine.is_fenced() {
            cell.alive = false;
            return;
        }
        cell.engine.tick(now, self.now);
        if !cell.engine.has_unverified_runs() {
            cell.verified_since.get_or_insert(self.now);
        }
        let may_order = self.now - cell.confirmed < MAX_UNCONFIRMED_MS;
        if may_order {
            cell.engine.schedule(now);
        }
        for order in cell.engine.take_orders() {
            match order {
                Order::Start(order) => self.send_start(owner, order),
                Order::Stop(order) => self.send_stop(owner, order),
                Order::RequestApprovals(req) => self.issue_tickets(owner, req),
                Order::Throttle(_) => unreachable!("no task is best-effort"),
            }
        }
        if may_order {
            self.send_inventory_calls(owner);
        }
        self.write(owner);
        self.push(50, Event::Tick(owner));
    }

    /// Lets an owner that reaches the store find out at random intervals whether it still is the
    /// owner.
    fn check_ownership(&mut self, owner: usize) {
        if self.now < self.store_down_until || self.rng.random_range(0..5) > 0 {
            return;
        }
        let cell = &mut self.owners[owner];
        if cell.fence == self.store_fence {
            cell.confirmed = self.now;
            cell.engine.confirm_ownership(Millis(self.now));
        } else {
            cell.alive = false;
        }
    }

    fn write(&mut self, owner: usize) {
        let cell = &mut self.owners[owner];
        if cell.writing.is_some() {
            return;
        }
        cell.writing = cell.engine.take_batch();
        if let Some(batch) = &cell.writing {
            let batch = batch.number;
            self.push(5, Event::BatchWritten { owner, batch });
        }
    }

    /// Delivers a batch to the store. The writer resends it until it is answered.
    pub(super) fn batch_written(&mut self, owner: usize, batch: u64) {
        let now = self.now;
        let faulty = now < self.faults_until;
        if now < self.store_down_until || self.owners[owner].paused {
            return self.push(100, Event::BatchWritten { owner, batch });
        }
        if self.owners[owner].fence < self.store_fence {
            self.owners[owner].alive = false;
            return;
        }
        let Some(writing) = self.owners[owner].writing.clone() else {
            return;
        };
        if self.mutation != Mutation::WritesDropped {
            for record in &writing.records {
                let key = record.key.to_string();
                let kept = self.mutation == Mutation::TaskListKept
                    && key.starts_with('r')
                    && self.store.get(&key).is_some_and(|old| has_task_list(old));
                match &record.value {
                    Some(value) if kept && !has_task_list(value) => None,
                    Some(value) => self.store.insert(key, value.clone()),
                    None => self.store.remove(&key),
                };
            }
        }
        // The response is sometimes lost; the repeated write is idempotent.
        if faulty && self.rng.random_range(0..20) == 0 {
            return self.push(100, Event::BatchWritten { owner, batch });
        }
        let cell = &mut self.owners[owner];
        if !cell.alive {
            return;
        }
        cell.writing = None;
        cell.confirmed = now;
        cell.engine.confirm_ownership(Millis(now));
        cell.engine.mark_durable(batch);
        let acknowledged_callers: Vec<_> = cell
            .callers
            .extract_if(.., |(at, ..)| *at <= batch)
            .collect();
        for (_, job, cancels) in acknowledged_callers {
            if cancels {
                self.checks.record_cancellation(job, now);
            } else {
                self.checks.accepted.insert(job);
            }
        }
    }
}

/// Returns whether a stored record is that of a runner whose tasks are recorded.
fn has_task_list(value: &[u8]) -> bool {
    RunnerRecord::decode(value).is_ok_and(|record| record.tasks.is_some())
}
