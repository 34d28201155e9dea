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
//! The caller addresses the new incarnation with a higher fencing token than the one before. Once it has
//! answered such a call, it refuses all orders for the one before, however late they arrive.

use kspan_model::{Millis, Name};

use super::{Engine, Event, RunnerIx, job::TaskState, runner::PlacedRun};
use crate::{
    id::TaskId,
    record::{self, Record, RecordKey},
    runner::{Inventory, RunnerEntry},
};

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
        let (found, missing): (Vec<_>, Vec<_>) = in_doubt
            .into_iter()
            .partition(|(task, run)| inventory.reports(*task, *run));
        // A run that the new incarnation has can't have crashed the one before.
        let mut inherited = self.detach_runs(runner_ix, &found);
        for (task, run) in found {
            self.forget_run(runner_ix, task, run);
        }
        let (entry, is_listed) = self.successor_entry(runner_ix, inventory.started_unix_ms);
        self.end_incarnation(runner_ix, &missing, now);
        inherited.extend(self.detach_runs(runner_ix, &missing));
        let successor_ix = self.add_successor(entry, is_listed, inventory.clock, now);
        self.runners[successor_ix.0].is_known_from_start = self.runners[runner_ix.0].has_answered;
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

    /// Adds the incarnation of an entry, which gets no work until the host list has it.
    fn add_successor(
        &mut self,
        entry: RunnerEntry,
        is_listed: bool,
        clock: Millis,
        now: Millis,
    ) -> RunnerIx {
        let id = entry.id.clone();
        let record_batch = self.batches.add_runner(id.clone());
        let what = "restarted";
        self.events.push(Event::RunnerChanged { id, what });
        let successor_ix = self.add_runner(now, entry, record_batch);
        let successor = &mut self.runners[successor_ix.0];
        successor.awaits_entry = !is_listed;
        successor.assume_inherited_lease(clock, &self.cfg, now);
        successor_ix
    }

    /// Applies an entry that names a later incarnation at another address, now that the runner does not
    /// answer: no answer from its address could confirm it. Returns the index of that incarnation.
    pub(super) fn apply_entry_of_other_address(
        &mut self,
        runner_ix: RunnerIx,
        now: Millis,
    ) -> Option<RunnerIx> {
        let runner = &mut self.runners[runner_ix.0];
        let addr = &runner.entry.addr;
        let elsewhere = runner
            .unconfirmed_entry
            .take_if(|entry| entry.addr != *addr)?;
        self.upsert_runner(now, elsewhere)
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
