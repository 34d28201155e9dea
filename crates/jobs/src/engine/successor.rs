//! Runners that start again under the id that they had.
//!
//! Failure pattern: a runner restarts while start orders for it are on their way. An order names the
//! runner's id and not its incarnation, so that the new incarnation executes it. If the owner takes the
//! tasks for lost with the old incarnation and starts them elsewhere, they run twice.
//!
//! The new incarnation therefore inherits the runs whose order it may have received. The inventory that
//! shows the restart is also the first one of the new incarnation: a run that it lists goes on, and one
//! that it does not list is stopped, after which the runner refuses its start.
//!
//! An entry of the host list that names a later start proves nothing, as any writer can leave one. At the
//! runner's address its own answer decides. If the entry names another address and the runner is silent, both
//! addresses are called, and the answer of an incarnation that names that start itself decides.
//!
//! The caller addresses the new incarnation with a higher fencing token than the one before. Once it has
//! answered such a call, it refuses all orders for the one before, however late they arrive.

use kspan_model::{Millis, Name};

use super::{Engine, Event, RunnerIx, runner::PlacedRun, task::TaskState};
use crate::{
    id::TaskId,
    record::{self, Record, RecordKey},
    runner::{Inventory, InventoryOutcome, RunnerEntry},
};

/// How long a runner is called after its end was presumed.
const PRESUMED_END_CALLS: Millis = Millis(10_000);

/// A call to the address that the host list names for another incarnation of a runner. It extends no lease and
/// acknowledges no ends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallElsewhere {
    /// Sequence number of the call.
    pub sequence: u64,
    /// Address to call.
    pub addr: Name,
    /// Start time of the incarnation that is to answer.
    started_unix_ms: u64,
}

impl CallElsewhere {
    fn is_for(&self, entry: &RunnerEntry) -> bool {
        (&self.addr, self.started_unix_ms) == (&entry.addr, entry.started_unix_ms)
    }
}

impl Engine {
    /// Replaces an incarnation by the one whose inventory this is, and applies the inventory to it.
    /// Returns its index.
    pub(super) fn replace_incarnation(
        &mut self,
        now: Millis,
        unix_ms: u64,
        runner_ix: RunnerIx,
        sequence: u64,
        inventory: &Inventory,
    ) -> Option<RunnerIx> {
        let in_doubt = self.runners[runner_ix.0].runs_for_successor();
        let (found, mut missing): (Vec<_>, Vec<_>) = in_doubt
            .into_iter()
            .partition(|(task, run)| inventory.reports(*task, *run));
        missing.retain(|(task, run)| !self.runners[runner_ix.0].is_bound(*task, *run));
        // A run that the new incarnation has can't have crashed the one before.
        let mut inherited = self.detach_runs(runner_ix, &found);
        for (task, run) in found {
            self.forget_run(runner_ix, task, run);
        }
        let (entry, is_listed) = self.successor_entry(runner_ix, inventory.started_unix_ms);
        self.end_incarnation(runner_ix, &missing, now);
        inherited.extend(self.detach_runs(runner_ix, &missing));
        let is_known_from_start = self.runners[runner_ix.0].has_answered;
        let successor_ix = self.add_successor(entry, "restarted", inventory.clock, now);
        let successor = &mut self.runners[successor_ix.0];
        successor.awaits_entry = !is_listed;
        successor.is_known_from_start = is_known_from_start;
        self.pass_former_doubts(runner_ix, successor_ix);
        for run in &inherited {
            self.attach_run(runner_ix, successor_ix, *run, now);
        }
        self.apply_inventory(now, unix_ms, successor_ix, sequence, inventory);
        self.runners[successor_ix.0].bars_former_orders = false;
        for run in inherited.iter().filter(|run| !run.is_wanted(inventory)) {
            self.order_stop(successor_ix, run.task, run.run, now);
        }
        Some(successor_ix)
    }

    /// Returns whether a runner is called: its incarnation has not ended, or that is presumed alone and it may
    /// answer again. The host list may have it again later than the calls reach it.
    pub fn is_called(&self, runner_ix: RunnerIx, now: Millis) -> bool {
        let runner = &self.runners[runner_ix.0];
        let is_recent = runner
            .ended_at
            .is_none_or(|at| now < at + PRESUMED_END_CALLS);
        !runner.dead || (is_recent && self.is_presumed_end_in_force(runner_ix))
    }

    /// Returns whether the end of an incarnation is only presumed, and no other one has followed it.
    fn is_presumed_end_in_force(&self, runner_ix: RunnerIx) -> bool {
        let runner = &self.runners[runner_ix.0];
        runner.presumed_dead && self.by_id.get(&runner.entry.id) == Some(&runner_ix)
    }

    /// Records the outcome of a call to a runner that counts as ended. Returns its new index if it answers after a
    /// presumed end.
    pub(super) fn record_call_to_ended(
        &mut self,
        now: Millis,
        unix_ms: u64,
        runner_ix: RunnerIx,
        sequence: u64,
        outcome: &InventoryOutcome,
    ) -> Option<RunnerIx> {
        match outcome {
            InventoryOutcome::Inventory(inventory) => {
                let revived = self.revive_runner(now, unix_ms, runner_ix, sequence, inventory);
                if revived.is_none() {
                    self.emit_ignored_ends(runner_ix, sequence, inventory);
                }
                return revived;
            }
            InventoryOutcome::Fenced => self.fenced = true,
            // The end is certain now.
            InventoryOutcome::OtherIncarnation => {
                self.runners[runner_ix.0].presumed_dead = false;
            }
            InventoryOutcome::NoResponse => {}
        }
        None
    }

    /// Takes up a runner again that was presumed to have ended, and answers. What it lists is applied as that of
    /// a runner that is new. Returns its index.
    fn revive_runner(
        &mut self,
        now: Millis,
        unix_ms: u64,
        runner_ix: RunnerIx,
        sequence: u64,
        inventory: &Inventory,
    ) -> Option<RunnerIx> {
        if !self.is_presumed_end_in_force(runner_ix) {
            return None;
        }
        let runner = &self.runners[runner_ix.0];
        let has_restarted = runner.has_restarted(inventory.started_unix_ms);
        if !has_restarted {
            self.forget_incarnation(runner_ix);
        }
        let runner = &self.runners[runner_ix.0];
        let missing_since = runner.missing_since;
        let (entry, is_listed) = self.successor_entry(runner_ix, inventory.started_unix_ms);
        let what = "answers after its presumed end";
        let revived_ix = self.add_successor(entry, what, inventory.clock, now);
        let revived = &mut self.runners[revived_ix.0];
        revived.missing_since = missing_since;
        revived.awaits_entry = has_restarted && !is_listed;
        self.apply_inventory(now, unix_ms, revived_ix, sequence, inventory);
        self.runners[revived_ix.0].bars_former_orders = false;
        Some(revived_ix)
    }

    /// Records the first answer of a runner to a call with its own fencing token. Orders for the incarnation
    /// before have granted their last lease, and started what the inventory lists.
    pub(super) fn record_own_answer(&mut self, runner_ix: RunnerIx, clock: Millis, now: Millis) {
        let runner = &mut self.runners[runner_ix.0];
        if runner.bars_former_orders {
            return;
        }
        runner.bars_former_orders = true;
        runner.assume_inherited_lease(clock, &self.cfg, now);
        for placed in runner.runs.values_mut() {
            placed.settled_sequence.get_or_insert(0);
        }
    }

    /// Adds the runner of an entry, which has answered with this reading of its clock. Orders for it, or for the
    /// incarnation before, may have granted the longest lease.
    fn add_successor(
        &mut self,
        entry: RunnerEntry,
        what: &'static str,
        clock: Millis,
        now: Millis,
    ) -> RunnerIx {
        let id = entry.id.clone();
        let record_batch = self.batches.add_runner(id.clone());
        self.events.push(Event::RunnerChanged { id, what });
        let successor_ix = self.add_runner(now, entry, record_batch);
        self.runners[successor_ix.0].assume_inherited_lease(clock, &self.cfg, now);
        successor_ix
    }

    /// Returns the next call to the address that the host list names for another incarnation of a silent
    /// runner, whose own address can't confirm it; `None` if the runner answers or there is no such address.
    pub fn next_call_elsewhere(&mut self, runner_ix: RunnerIx) -> Option<CallElsewhere> {
        let runner = &self.runners[runner_ix.0];
        if runner.dead || runner.missed_responses == 0 {
            return None;
        }
        let entry = runner.unconfirmed_entry.as_ref();
        let elsewhere = entry.filter(|entry| entry.addr != runner.entry.addr)?;
        let (addr, started_unix_ms) = (elsewhere.addr.clone(), elsewhere.started_unix_ms);
        Some(CallElsewhere {
            sequence: self.next_sequence(),
            addr,
            started_unix_ms,
        })
    }

    /// Records the outcome of a call to the address of another incarnation. Returns the index of that
    /// incarnation if it answered for itself: ids are unique, so that the one before has ended. Without such
    /// an answer the silent runner may be cut off, and its runs stay until its lease has expired.
    pub fn record_call_elsewhere(
        &mut self,
        now: Millis,
        unix_ms: u64,
        runner_ix: RunnerIx,
        call: &CallElsewhere,
        outcome: &InventoryOutcome,
    ) -> Option<RunnerIx> {
        let runner = &mut self.runners[runner_ix.0];
        let entry = runner.unconfirmed_entry.as_ref();
        let is_current = entry.is_some_and(|entry| call.is_for(entry));
        if runner.dead || !is_current {
            return None;
        }
        match outcome {
            InventoryOutcome::Inventory(inventory)
                if inventory.started_unix_ms == call.started_unix_ms =>
            {
                return self.replace_incarnation(now, unix_ms, runner_ix, call.sequence, inventory);
            }
            InventoryOutcome::OtherIncarnation => {
                let may_have_restarted = runner.may_inherit_lease();
                runner.unconfirmed_entry = None;
                self.record_suspected_restart(runner_ix, may_have_restarted);
            }
            // A refusal for the fence may come from any other process at a false address.
            InventoryOutcome::Inventory(_)
            | InventoryOutcome::Fenced
            | InventoryOutcome::NoResponse => {}
        }
        None
    }

    /// Returns the record of a runner's restart to be written now, or deleted; `None` if there is nothing to
    /// write. It exists while the runner may hold a lease that it inherited, also before its own answer
    /// confirms the restart.
    pub(super) fn restart_record(&mut self, id: &Name) -> Option<Record> {
        let runner_ix = *self.by_id.get(id)?;
        let runner = &self.runners[runner_ix.0];
        let is_inheriting = !runner.dead && runner.may_inherit_lease();
        let value = is_inheriting.then(|| record::encode(&runner.entry.started_unix_ms));
        let is_changed = if is_inheriting {
            self.recorded_restarts.insert(id.clone());
            true
        } else {
            self.recorded_restarts.remove(id)
        };
        let key = RecordKey::Restart(id.clone());
        is_changed.then_some(Record { key, value })
    }

    /// Records that a runner may have restarted, or has not, if that has changed. `before` tells whether it
    /// might have before.
    pub(super) fn record_suspected_restart(&mut self, runner_ix: RunnerIx, before: bool) {
        let runner = &self.runners[runner_ix.0];
        if runner.may_inherit_lease() != before {
            self.batches.add_runner(runner.entry.id.clone());
        }
    }

    /// Ends the inherited leases of runners that have not answered since a takeover, once none can last any
    /// longer.
    pub(super) fn end_unverified_leases(&mut self, now: Millis) {
        for runner in &mut self.runners {
            if !runner.has_answered && runner.inherited_lease_until.is_some() {
                runner.inherited_lease_until = Some(now);
            }
        }
    }

    /// Ends the state of runners whose inherited lease must have expired or been replaced by one on their
    /// own clock.
    pub(super) fn end_inherited_leases(&mut self, now: Millis) {
        for runner in &mut self.runners {
            let is_over = runner
                .inherited_lease_until
                .is_some_and(|until| now >= until);
            if is_over {
                runner.inherited_lease_until = None;
                self.batches.add_runner(runner.entry.id.clone());
            }
        }
    }

    /// Returns the entry of the incarnation that started at a time, and whether the host list has it. If
    /// not, it is assumed to be like the one before.
    fn successor_entry(
        &mut self,
        runner_ix: RunnerIx,
        started_unix_ms: u64,
    ) -> (RunnerEntry, bool) {
        let runner = &mut self.runners[runner_ix.0];
        let listed = runner.unconfirmed_entry.take();
        let listed = listed.filter(|entry| entry.started_unix_ms == started_unix_ms);
        let is_listed = listed.is_some();
        let entry = listed.unwrap_or_else(|| RunnerEntry {
            draining: false,
            started_unix_ms,
            ..runner.entry.clone()
        });
        (entry, is_listed)
    }

    /// Removes runs from an incarnation, for the next one.
    fn detach_runs(&mut self, runner_ix: RunnerIx, keys: &[(TaskId, u32)]) -> Vec<InheritedRun> {
        let mut detached = Vec::new();
        for (task, run) in keys.iter().copied() {
            let placed = self.runners[runner_ix.0].runs.get(&(task, run)).copied();
            self.remove_run(runner_ix, task, run);
            detached.extend(placed.map(|placed| InheritedRun { task, run, placed }));
        }
        detached
    }

    /// Adds a run to the next incarnation, as one whose order is in doubt.
    fn attach_run(&mut self, from: RunnerIx, to: RunnerIx, inherited: InheritedRun, now: Millis) {
        let InheritedRun {
            task,
            run,
            mut placed,
        } = inherited;
        placed.settled_sequence = None;
        placed.delivery.forget_incarnation();
        placed.speed.forget();
        self.add_run(to, task, run, placed);
        let job = self.jobs.get_mut(&task.step.job);
        let Some((step, _)) = job.and_then(|job| job.step_mut(task.step)) else {
            return;
        };
        let index = task.index as usize;
        let Some(known) = step.tasks.get(index).filter(|known| known.run == run) else {
            return;
        };
        let state = match known.state {
            TaskState::Starting(at) | TaskState::Running(at) if at == from => {
                TaskState::Starting(to)
            }
            TaskState::Stopping(at) if at == from => TaskState::Stopping(to),
            _ => return,
        };
        step.set_state(index, state, now);
    }
}

/// A run that passes from one incarnation of its runner to the next.
#[derive(Clone, Copy, Debug)]
struct InheritedRun {
    task: TaskId,
    run: u32,
    placed: PlacedRun,
}

impl InheritedRun {
    /// Returns whether the run is to go on: the new incarnation has it, and it was not being stopped.
    fn is_wanted(&self, inventory: &Inventory) -> bool {
        self.placed.stop_sent_at.is_none() && inventory.reports(self.task, self.run)
    }
}
