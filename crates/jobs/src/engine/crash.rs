//! Tasks under which runners crash.
//!
//! Failure pattern: a task crashes each runner that starts it. No runner reports the end of its runs,
//! so none counts as failed; without a count of crashes the task goes from runner to runner, and each
//! crash takes the work of other callers with it.
//!
//! A crash does not tell which run caused it, and most of those that it took did not. Whether a task
//! did is found out by where it runs next: tasks of a crashed runner start apart from each other, on
//! runners with little other work, and after further crashes alone. `evidence` weighs the crashes and
//! decides when a task is given up. One that outlives the crashes before it is cleared.
//!
//! The evidence is part of a job's durable progress, so that it outlasts the owner. A run that may
//! have crashed its runner is recorded before that is certain: when the runner stops answering, or at
//! its start if the task is suspected already. The owner that learns of the crash counts it.

use std::hash::BuildHasher;

use kspan_model::{Millis, Name};
use rustc_hash::{FxBuildHasher, FxHashMap, FxHashSet};

use super::{
    Engine, Event, FailureCause, LossReason, Order, RunnerIx, StartOrder,
    evidence::{Crashes, Isolation, MAX_SUSPECT_AGE},
    job::Job,
    runner::{PlacedRun, Runner},
    task::Task,
};
use crate::{
    id::TaskId,
    record::{CrashRecord, Phase},
};

/// How long a crash of a runner counts as recent.
const CRASH_MEMORY: Millis = Millis(60_000);

/// How long a start may wait for its record.
const MAX_RECORDING_TIME: Millis = Millis(1_000);

/// Number of calls without a response in a row after which a runner may have crashed.
const MISSES_BEFORE_RECORDING: u32 = 2;

/// Runs that may have crashed their runner, by the hash of its incarnation's id.
#[derive(Clone, Debug, Default)]
pub(super) struct OpenRecords(FxHashMap<u64, FxHashSet<TaskId>>);

impl OpenRecords {
    fn insert(&mut self, incarnation: u64, task: TaskId) {
        self.0.entry(incarnation).or_default().insert(task);
    }

    /// Removes a task. Returns whether it was recorded.
    fn remove(&mut self, incarnation: u64, task: TaskId) -> bool {
        let Some(tasks) = self.0.get_mut(&incarnation) else {
            return false;
        };
        let is_recorded = tasks.remove(&task);
        if tasks.is_empty() {
            self.0.remove(&incarnation);
        }
        is_recorded
    }
}

/// Crashes of runners by their address, which outlasts an incarnation.
#[derive(Clone, Debug, Default)]
pub(super) struct RunnerCrashes(FxHashMap<Name, RunnerCrash>);

/// Latest crash at an address.
#[derive(Clone, Copy, Debug)]
struct RunnerCrash {
    at: Millis,
    /// Number of crashes, each within [`CRASH_MEMORY`] of the one before.
    count: u32,
}

impl RunnerCrashes {
    /// Returns how many crashes at an address are recent.
    pub(super) fn recent(&self, addr: &Name, now: Millis) -> u32 {
        let latest = self.0.get(addr);
        let recent = latest.filter(|crash| now < crash.at + CRASH_MEMORY);
        recent.map_or(0, |crash| crash.count)
    }

    /// Records a crash.
    pub(super) fn record(&mut self, addr: Name, now: Millis) {
        let count = self.recent(&addr, now).saturating_add(1);
        self.0.insert(addr, RunnerCrash { at: now, count });
    }
}

/// A start order that waits for its record.
#[derive(Clone, Debug)]
pub(super) struct HeldStart {
    order: StartOrder,
    /// Batch that makes the record durable.
    batch: u64,
    held_since: Millis,
}

/// Returns the hash of an incarnation's id, by which records name it.
pub(super) fn incarnation_hash(id: &Name) -> u64 {
    FxBuildHasher.hash_one(&**id)
}

impl Engine {
    /// Records the runs of a runner that stopped answering as possible crashes.
    pub(super) fn record_silence(&mut self, runner_ix: RunnerIx, now: Millis) {
        let runner = &self.runners[runner_ix.0];
        if runner.missed_responses != MISSES_BEFORE_RECORDING || runner.entry.draining {
            return;
        }
        for (task, record) in self.crash_records(runner, false, now) {
            self.record_possible_crash(task, record);
        }
    }

    /// Records the run of a suspected task as a possible crash.
    pub(super) fn record_start(&mut self, order: &StartOrder, isolation: Isolation) {
        let record = CrashRecord {
            run: order.run,
            incarnation: incarnation_hash(&self.runners[order.runner_ix.0].entry.id),
            was_alone: isolation == Isolation::Alone,
            ..CrashRecord::default()
        };
        self.record_possible_crash(order.task, record);
    }

    /// Holds an order until what was recorded for its job is durable.
    pub(super) fn hold_start(&mut self, order: StartOrder, now: Millis) {
        self.held_starts.push(HeldStart {
            batch: self.batches.add_task_progress(order.task),
            held_since: now,
            order,
        });
    }

    /// Issues the held orders whose record is durable, and withdraws those that were held too long or
    /// whose runner has changed meanwhile.
    pub(super) fn release_held_starts(&mut self, now: Millis) {
        let durable = self.batches.durable();
        let is_due = |held: &mut HeldStart| {
            held.batch <= durable || now >= held.held_since + MAX_RECORDING_TIME
        };
        let due: Vec<HeldStart> = self.held_starts.extract_if(.., is_due).collect();
        for held in due {
            let (runner_ix, task, run) = (held.order.runner_ix, held.order.task, held.order.run);
            if !self.runners[runner_ix.0].runs.contains_key(&(task, run)) {
                continue;
            }
            if held.batch > durable || !self.may_release(&held.order) {
                self.remove_lost_run(runner_ix, task, run, LossReason::StartWithdrawn, now);
                continue;
            }
            self.orders.push_back(Order::Start(held.order));
        }
    }

    /// Returns whether a held order may still be sent: its run was not stopped, and its runner accepts
    /// work and has room for all its runs.
    fn may_release(&self, order: &StartOrder) -> bool {
        let runner = &self.runners[order.runner_ix.0];
        let placed = runner.runs.get(&(order.task, order.run));
        placed.is_some_and(|placed| placed.stop_sent_at.is_none())
            && !runner.entry.draining
            && runner.missed_responses == 0
            && runner.used.fits_in(runner.entry.capacity)
    }

    fn record_possible_crash(&mut self, task: TaskId, record: CrashRecord) {
        if let Some(known) = self.active_task_mut(task) {
            known.crashes.record(record);
            self.open_records.insert(record.incarnation, task);
            self.batches.add_task_progress(task);
        }
    }

    /// Removes the record of a run that is over and has not crashed its runner.
    pub(super) fn forget_run(&mut self, runner_ix: RunnerIx, task: TaskId, run: u32) {
        let incarnation = incarnation_hash(&self.runners[runner_ix.0].entry.id);
        if !self.open_records.remove(incarnation, task) {
            return;
        }
        let known = self.active_task_mut(task);
        if known.is_some_and(|known| known.crashes.forget(run, incarnation)) {
            self.batches.add_task_progress(task);
        }
    }

    /// Removes the records of runs that the runner's inventory shows to be over.
    pub(super) fn forget_unreported_runs(
        &mut self,
        runner_ix: RunnerIx,
        reported: &FxHashSet<(TaskId, u32)>,
    ) {
        let runner = &self.runners[runner_ix.0];
        let incarnation = incarnation_hash(&runner.entry.id);
        let Some(tasks) = self.open_records.0.get(&incarnation) else {
            return;
        };
        let is_over = |key: &(TaskId, u32)| {
            !reported.contains(key) && !self.runners[runner_ix.0].runs.contains_key(key)
        };
        let records = tasks.iter().flat_map(|task| {
            let known = self.active_task(*task);
            let records = known.map_or(&[][..], |known| known.crashes.records());
            let here = records
                .iter()
                .filter(|record| record.incarnation == incarnation && !record.is_certain);
            here.map(|record| (*task, record.run))
        });
        let over: Vec<(TaskId, u32)> = records.filter(is_over).collect();
        for (task, run) in over {
            self.forget_run(runner_ix, task, run);
        }
    }

    /// Removes the records of runs on a runner that has ended, if it has not crashed or they were not
    /// sent.
    pub(super) fn forget_uncounted_runs(&mut self, runner_ix: RunnerIx) {
        let incarnation = incarnation_hash(&self.runners[runner_ix.0].entry.id);
        self.open_records.0.remove(&incarnation);
        for id in &self.active {
            let job = self.jobs.get_mut(id);
            if job.is_some_and(|job| job.forget_possible_crashes_of(incarnation)) {
                self.batches.add_progress(*id);
            }
        }
    }

    /// Removes the crashes of a runner that was presumed to have ended and has not.
    pub(super) fn forget_incarnation(&mut self, runner_ix: RunnerIx) {
        let incarnation = incarnation_hash(&self.runners[runner_ix.0].entry.id);
        for id in &self.active {
            let job = self.jobs.get_mut(id);
            if job.is_some_and(|job| job.forget_crashes_of(incarnation)) {
                self.batches.add_progress(*id);
            }
        }
    }

    /// Returns the crash records of the runs that a runner took with it when it ended, and of those
    /// that were recorded as possible crashes before. A runner that had drained has not crashed.
    pub(super) fn take_crash_records(
        &mut self,
        runner_ix: RunnerIx,
        now: Millis,
    ) -> Vec<(TaskId, CrashRecord)> {
        let runner = &self.runners[runner_ix.0];
        let incarnation = incarnation_hash(&runner.entry.id);
        if runner.entry.draining {
            return Vec::new();
        }
        let mut records = self.crash_records(runner, true, now);
        let mut open = self.open_records.0.remove(&incarnation).unwrap_or_default();
        for held in &self.held_starts {
            if held.order.runner_ix == runner_ix {
                open.remove(&held.order.task);
            }
        }
        let recorded: FxHashSet<TaskId> = records.iter().map(|(task, _)| *task).collect();
        for task in open.difference(&recorded) {
            let known = self.active_task(*task);
            let possible = known.and_then(|known| {
                let mut records = known.crashes.records().iter();
                records.find(|record| record.incarnation == incarnation && !record.is_certain)
            });
            let certain = possible.map(|record| CrashRecord {
                is_certain: true,
                ..*record
            });
            records.extend(certain.map(|record| (*task, record)));
        }
        records.sort_unstable_by_key(|(task, _)| *task);
        records
    }

    /// Counts crashes against their tasks, and gives up those that caused them.
    pub(super) fn count_crashes(&mut self, records: Vec<(TaskId, CrashRecord)>) {
        for (task, record) in records {
            let Some(known) = self.active_task_mut(task) else {
                continue;
            };
            known.crashes.record(record);
            let (count, is_given_up) = (known.crashes.count(), known.is_given_up());
            self.batches.add_task_progress(task);
            self.events.push(Event::CrashCounted {
                task,
                run: record.run,
                count,
                was_alone: record.was_alone,
                age: record.age_ms.map(Millis),
                is_given_up,
            });
            if is_given_up {
                self.given_up.push(task);
            }
        }
    }

    /// Marks the tasks that may have been on a runner that ended between two owners. Their next starts
    /// are recorded, so that each task loses the evidence of one crash at most.
    pub(super) fn mark_unaccounted_tasks(&mut self, runner_ix: RunnerIx) {
        let runner = &self.runners[runner_ix.0];
        let is_unknown = !runner.has_answered && !runner.entry.draining;
        if self.unverified_until.is_some() && is_unknown {
            self.mark_unverified_tasks_unaccounted();
        }
    }

    /// Marks the unverified tasks as ones that may have been on a runner that crashed.
    pub(super) fn mark_unverified_tasks_unaccounted(&mut self) {
        for id in &self.active {
            let job = self.jobs.get_mut(id);
            if job.is_some_and(Job::mark_unaccounted) {
                self.batches.add_progress(*id);
            }
        }
    }

    /// Ends the jobs with a task that was given up.
    pub(super) fn end_given_up_jobs(&mut self, now: Millis, unix_ms: u64) {
        for task in std::mem::take(&mut self.given_up) {
            let cause = FailureCause::Crashes { task };
            self.fail_job(task.step.job, cause, now, unix_ms);
        }
    }

    /// Registers the crash records of a restored job.
    pub(super) fn register_crash_records(&mut self, job: &Job) {
        for (task, known) in job.tasks() {
            for record in known.crashes.records() {
                if !record.is_certain {
                    self.open_records.insert(record.incarnation, task);
                }
            }
            if known.is_given_up() {
                self.given_up.push(task);
            }
        }
    }

    /// Clears a task whose present run has outlived the crashes before it.
    pub(super) fn clear_outlived_crashes(
        &mut self,
        runner_ix: RunnerIx,
        task: TaskId,
        run: u32,
        now: Millis,
    ) {
        let Some(placed) = self.runners[runner_ix.0].runs.get(&(task, run)) else {
            return;
        };
        let age = now.saturating_sub(placed.known_since);
        let Some(known) = self.active_task_mut(task) else {
            return;
        };
        if known.crashes.are_outlived_at(age) {
            known.crashes = Crashes::default();
            self.batches.add_task_progress(task);
            self.runners[runner_ix.0].end_isolation(task, run);
        }
    }

    /// Returns the records of the runs that a runner had when it stopped answering, each as a certain
    /// or a possible crash. Starts that were ordered later, or were not sent yet, can't have reached
    /// it.
    fn crash_records(
        &self,
        runner: &Runner,
        is_certain: bool,
        now: Millis,
    ) -> Vec<(TaskId, CrashRecord)> {
        let silent_since = runner.silent_since.unwrap_or(now);
        let incarnation = incarnation_hash(&runner.entry.id);
        let is_held = |task: TaskId, run: u32| {
            let mut held = self.held_starts.iter().map(|held| &held.order);
            held.any(|order| order.task == task && order.run == run)
        };
        let runs = runner.runs.iter().filter(|((task, run), placed)| {
            placed.known_since <= silent_since && !is_held(*task, *run)
        });
        let youngest = youngest_two(runs.clone().map(|(_, placed)| placed));
        let records = runs.map(|((task, run), placed)| {
            let record = CrashRecord {
                run: *run,
                incarnation,
                is_certain,
                was_alone: is_only_cause(placed, youngest, silent_since),
                age_ms: Some(silent_since.saturating_sub(placed.known_since).0),
                is_start_in_doubt: placed.delivery.is_in_doubt(),
            };
            (*task, record)
        });
        records.collect()
    }

    fn active_task(&self, task: TaskId) -> Option<&Task> {
        let job = active(self.jobs.get(&task.step.job)?)?;
        job.step(task.step)?.0.tasks.get(task.index as usize)
    }

    fn active_task_mut(&mut self, task: TaskId) -> Option<&mut Task> {
        let job = self.jobs.get_mut(&task.step.job)?;
        active(job)?;
        let (step, _) = job.step_mut(task.step)?;
        step.tasks.get_mut(task.index as usize)
    }
}

fn active(job: &Job) -> Option<&Job> {
    (job.phase == Phase::Active).then_some(job)
}

/// Returns the latest two times from which runs are known.
fn youngest_two<'a>(runs: impl Iterator<Item = &'a PlacedRun>) -> [Option<Millis>; 2] {
    runs.fold([None, None], |[first, second], placed| {
        let since = Some(placed.known_since);
        if since >= first {
            [since, first]
        } else {
            [first, second.max(since)]
        }
    })
}

/// Returns whether no other run is a likely cause of a crash: each is older than this one, and old
/// enough not to be suspected.
fn is_only_cause(placed: &PlacedRun, youngest: [Option<Millis>; 2], silent_since: Millis) -> bool {
    let [first, second] = youngest;
    let is_youngest = first == Some(placed.known_since) && second < first;
    let is_old = |since: Millis| silent_since.saturating_sub(since) > MAX_SUSPECT_AGE;
    is_youngest && second.is_none_or(is_old)
}
