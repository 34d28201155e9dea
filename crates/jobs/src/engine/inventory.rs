//! Inventory calls: what a runner has against what it should have.

use kspan_model::Millis;
use rustc_hash::FxHashSet;

use super::{
    Engine, Event, RunnerIx,
    job::TaskState,
    runner::{Placed, UnackedEnd},
    stall::Progress,
};
use crate::{
    id::TaskId,
    record::Phase,
    runner::{Inventory, InventoryOutcome, RunningTask},
    spec::StepSpec,
};

/// How long a runner waits for an end before it answers.
const WAIT: Millis = Millis(1_700);

/// The same while answers are being lost: ends behind a lost answer are seen only after it.
const WAIT_IN_TROUBLE: Millis = Millis(350);

/// The same while runs may stand still, which is seen only by comparing answers.
const WAIT_WITH_SUSPECTS: Millis = Millis(400);

/// How long after a lost answer more losses are expected.
const TROUBLE_SPAN: Millis = Millis(2_000);

/// An inventory call to be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InventoryCall {
    /// Event at which the call was made.
    pub sequence: u64,
    /// Time on the runner's clock until which its runs may go on.
    pub deadline: Option<Millis>,
    /// Number up to which ends are acknowledged.
    pub ack: u64,
    /// How long the runner may wait for an end before it answers.
    pub wait: Millis,
}

impl Engine {
    /// Returns the inventory call to make now.
    pub fn next_inventory_call(&mut self, runner_ix: RunnerIx, now: Millis) -> InventoryCall {
        let event = self.next_event();
        let durable = self.batches.durable();
        let lost = self.answer_lost;
        let lately = lost.is_some_and(|lost| now.saturating_sub(lost) < TROUBLE_SPAN);
        let runner = &mut self.runners[runner_ix.0];
        let wait = match (lately, runner.has_suspects) {
            (true, _) => WAIT_IN_TROUBLE,
            (false, true) => WAIT_WITH_SUSPECTS,
            (false, false) => WAIT,
        };
        let ack = runner.ack_cursor(durable);
        runner.unacked.retain(|end| end.number > ack);
        // A runner that does not answer may still get the call, however late: its lease would
        // never be known to have lapsed if each try extended it.
        let answers = runner.misses == 0;
        // A runner with ends that aren't acknowledged answers at once anyway; one whose clock is not
        // known yet is to be called again soon, so that its lease is extended.
        let at_once = !runner.held || !runner.unacked.is_empty();
        let deadline = answers
            .then(|| runner.next_deadline(&self.cfg, now))
            .flatten();
        InventoryCall {
            sequence: event,
            deadline,
            ack,
            wait: if at_once { Millis::ZERO } else { wait },
        }
    }

    /// Takes in what became of an inventory call that was made at `event`.
    pub fn record_inventory(
        &mut self,
        now: Millis,
        unix_ms: u64,
        runner_ix: RunnerIx,
        event: u64,
        outcome: &InventoryOutcome,
    ) {
        if self.runners[runner_ix.0].dead {
            return;
        }
        match outcome {
            InventoryOutcome::Inventory(inventory) => {
                self.take_inventory(now, unix_ms, runner_ix, event, inventory)
            }
            InventoryOutcome::Fenced => self.fenced = true,
            InventoryOutcome::OtherIncarnation => self.end_life(runner_ix, now),
            InventoryOutcome::NoAnswer => {
                self.runners[runner_ix.0].misses += 1;
                self.answer_lost = Some(now);
            }
        }
    }

    fn take_inventory(
        &mut self,
        now: Millis,
        unix_ms: u64,
        runner_ix: RunnerIx,
        event: u64,
        inventory: &Inventory,
    ) {
        let runner = &mut self.runners[runner_ix.0];
        let reborn = inventory.started_unix_ms != 0
            && runner.entry.started_unix_ms != 0
            && inventory.started_unix_ms != runner.entry.started_unix_ms;
        if reborn {
            return self.end_life(runner_ix, now);
        }
        if runner.entry.started_unix_ms == 0 {
            runner.entry.started_unix_ms = inventory.started_unix_ms;
        }
        let is_first = !runner.held;
        if is_first {
            runner.inherit_lease(inventory.clock, &self.cfg);
        }
        runner.heard(inventory.clock, now);
        runner.held = true;
        runner.has_suspects = false;
        let leaves = is_first && runner.entry.draining;
        self.begin_seen(inventory, now);
        let mut listed: FxHashSet<(TaskId, u32)> = FxHashSet::default();
        for row in &inventory.running {
            listed.insert((row.task, row.run));
            self.take_running(runner_ix, row, now);
            self.watch_progress(runner_ix, row, inventory.clock, now);
        }
        for end in &inventory.ended {
            listed.insert((end.task, end.run));
            if end.number <= self.runners[runner_ix.0].last_end {
                continue;
            }
            self.runners[runner_ix.0].last_end = end.number;
            self.take_end(runner_ix, end, now, unix_ms);
            let batch = self.batches.add_end();
            let number = end.number;
            self.runners[runner_ix.0]
                .unacked
                .push(UnackedEnd { number, batch });
        }
        self.drop_unlisted(runner_ix, event, &listed, now);
        if leaves {
            self.evacuate(runner_ix, now);
        }
    }

    /// Begins occurrences that the runner has had and this owner has not begun.
    fn begin_seen(&mut self, inventory: &Inventory, now: Millis) {
        let running = inventory.running.iter().map(|row| row.task);
        let ended = inventory.ended.iter().map(|end| end.task);
        for task in running.chain(ended) {
            let id = task.step.job;
            let job = self.jobs.get_mut(&id);
            if job.is_some_and(|job| job.begin_seen(task.step.occurrence, now)) {
                self.open.insert(id);
            }
        }
    }

    /// Gives up the runs that were proved to be settled before the call and that it did not list.
    fn drop_unlisted(
        &mut self,
        runner_ix: RunnerIx,
        event: u64,
        listed: &FxHashSet<(TaskId, u32)>,
        now: Millis,
    ) {
        let placed = &self.runners[runner_ix.0].placed;
        let missing = placed.iter().filter(|(key, placed)| {
            placed.proved.is_some_and(|proved| proved < event) && !listed.contains(key)
        });
        let mut missing: Vec<(TaskId, u32)> = missing.map(|(key, _)| *key).collect();
        missing.sort_unstable();
        for (task, run) in missing {
            self.run_vanished(runner_ix, task, run, now);
        }
    }

    fn take_running(&mut self, runner_ix: RunnerIx, row: &RunningTask, now: Millis) {
        let event = self.next_event();
        if let Some(placed) = self.runners[runner_ix.0]
            .placed
            .get_mut(&(row.task, row.run))
        {
            placed.proved = placed.proved.or(Some(event));
            return self.confirm_running(runner_ix, row, now);
        }
        if self.adopt(runner_ix, row, now) {
            return;
        }
        let id = self.runners[runner_ix.0].entry.id.clone();
        let (task, run) = (row.task, row.run);
        self.notes.push(Event::OrphanRunFound {
            task,
            run,
            runner: id,
        });
        self.take_room(runner_ix, task, run);
        self.order_stop(runner_ix, task, run, now);
    }

    fn confirm_running(&mut self, runner_ix: RunnerIx, row: &RunningTask, now: Millis) {
        let index = row.task.index as usize;
        let Some(job) = self.jobs.get_mut(&row.task.step.job) else {
            return;
        };
        let Some((step, spec)) = job.step_mut(row.task.step) else {
            return;
        };
        let slot = if spec.gang { 0 } else { index };
        if !row.checkpoint.is_empty() {
            step.tasks[slot].checkpoint = row.checkpoint.clone();
        }
        let task = &step.tasks[index];
        if task.run == row.run && task.state == TaskState::Starting(runner_ix) {
            step.enter(index, TaskState::Running(runner_ix), now);
            job.started = true;
        }
    }

    /// Lets a run go on that an earlier owner ordered, where the task still waits.
    fn adopt(&mut self, runner_ix: RunnerIx, row: &RunningTask, now: Millis) -> bool {
        let index = row.task.index as usize;
        let Some(job) = self.jobs.get_mut(&row.task.step.job) else {
            return false;
        };
        let active = job.phase == Phase::Active;
        let Some((step, spec)) = job.step_mut(row.task.step) else {
            return false;
        };
        let Some(task) = step.tasks.get_mut(index) else {
            return false;
        };
        let gang_elsewhere = spec.gang && !task.unaccounted;
        if !active || task.state != TaskState::Waiting || task.run > row.run || gang_elsewhere {
            return false;
        }
        task.run = row.run;
        task.unaccounted = false;
        if !row.checkpoint.is_empty() {
            let slot = if spec.gang { 0 } else { index };
            step.tasks[slot].checkpoint = row.checkpoint.clone();
        }
        step.enter(index, TaskState::Running(runner_ix), now);
        job.started = true;
        self.take_room(runner_ix, row.task, row.run);
        let id = self.runners[runner_ix.0].entry.id.clone();
        let (task, run) = (row.task, row.run);
        self.notes.push(Event::RunAdopted {
            task,
            run,
            runner: id,
        });
        true
    }

    /// Counts the room of a run that the runner listed, from what its job asked for. The job may
    /// have ended long ago; one that isn't known at all leaves the size open.
    fn take_room(&mut self, runner_ix: RunnerIx, task: TaskId, run: u32) {
        let job = self.jobs.get(&task.step.job);
        let spec = job.and_then(|job| job.record.spec.steps.get(task.step.step as usize));
        let placed = Placed {
            size: spec.map(StepSpec::charged_resources),
            sharing: spec.map(StepSpec::sharing).unwrap_or_default(),
            proved: Some(self.events),
            stop_sent: None,
            progress: Progress::default(),
        };
        self.runners[runner_ix.0].place(task, run, placed);
    }
}
