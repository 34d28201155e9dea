//! Records of starts that a runner may carry out late, for later owners.
//!
//! Failure pattern: a runner crashes behind a partition, and a start that it doesn't answer is carried out by its
//! next incarnation, seconds later. The owner that sent the order waits for that. One that takes over meanwhile
//! can't know of the order, finds the runner silent, and starts the task elsewhere.
//!
//! The owner therefore records which starts came into doubt, as soon as an attempt got no answer, and the next one
//! judges their tasks by the record: until the runner answers, they wait for as long as the last order of a
//! previous owner may arrive and its lease last. What was answered needs no record.

use kspan_model::{Millis, Name};
use rustc_hash::{FxHashMap, FxHashSet};

use super::{
    Engine, Event, RunnerIx,
    job::{MAX_RUN, Step},
    runner::{MAX_CALL_DELAY, longest_inherited_lease},
    task::TaskState,
};
use crate::{
    record::{self, DoubtedRun, Record, RecordKey},
    spec::StepSpec,
};

/// What previous owners recorded of starts without an answer.
#[derive(Clone, Debug, Default)]
pub(super) struct FormerDoubts {
    /// Runs that a runner may have, or start late, by the index of the runner that has not answered since.
    runs: FxHashMap<RunnerIx, Vec<DoubtedRun>>,
    /// Time of the takeover.
    since: Millis,
    /// Time at which the last of them is over.
    until: Millis,
}

impl FormerDoubts {
    /// Returns the time of the takeover, and the one at which the last doubt is over.
    pub(super) fn times(&self) -> (Millis, Millis) {
        (self.since, self.until)
    }
}

impl Engine {
    /// Records the runs of a runner whose start has come into doubt, if any is not recorded yet.
    pub(super) fn record_doubts(&mut self, runner_ix: RunnerIx) {
        let id = &self.runners[runner_ix.0].entry.id;
        let recorded = self.recorded_doubts.get(id).map_or(&[][..], Vec::as_slice);
        let doubted = self.doubted_runs(runner_ix);
        if doubted.iter().any(|run| !recorded.contains(run)) {
            self.batches.add_doubts(id.clone());
        }
    }

    /// Writes the records of doubts again that are over.
    pub(super) fn withdraw_doubts(&mut self) {
        let recorded = self.recorded_doubts.iter();
        let changed = recorded.filter(|(id, runs)| self.doubted_runs_of(id) != **runs);
        let changed: Vec<Name> = changed.map(|(id, _)| id.clone()).collect();
        for id in changed {
            self.batches.add_doubts(id);
        }
    }

    /// Returns the records of doubts that have changed, or came up on the `doubted` runners.
    pub(super) fn doubt_records(&mut self, doubted: FxHashSet<Name>) -> Vec<Record> {
        let recorded = self.recorded_doubts.keys().cloned();
        let ids: FxHashSet<Name> = recorded.chain(doubted).collect();
        let mut records = Vec::new();
        for id in ids {
            let runs = self.doubted_runs_of(&id);
            if self.recorded_doubts.get(&id).map_or(&[][..], Vec::as_slice) == runs {
                continue;
            }
            let value = (!runs.is_empty()).then(|| record::encode(&runs));
            if runs.is_empty() {
                self.recorded_doubts.remove(&id);
            } else {
                self.recorded_doubts.insert(id.clone(), runs);
            }
            let key = RecordKey::Doubts(id);
            records.push(Record { key, value });
        }
        records
    }

    fn doubted_runs_of(&self, id: &Name) -> Vec<DoubtedRun> {
        let runner_ix = self.by_id.get(id).copied();
        runner_ix.map_or_else(Vec::new, |runner_ix| self.doubted_runs(runner_ix))
    }

    /// Returns the runs whose start the runner may carry out late, by this owner's order or that of a previous one.
    fn doubted_runs(&self, runner_ix: RunnerIx) -> Vec<DoubtedRun> {
        let runner = &self.runners[runner_ix.0];
        if runner.dead {
            return Vec::new();
        }
        let now = self.last_tick.unwrap_or_default();
        let own = runner.runs_beyond_lease(&self.cfg, now).into_iter();
        let own = own.map(|(task, run)| DoubtedRun { task, run });
        let former = self.former_doubts.runs.get(&runner_ix);
        let mut runs: Vec<DoubtedRun> = former.into_iter().flatten().copied().chain(own).collect();
        runs.sort_unstable();
        runs.dedup();
        runs
    }

    /// Lets the tasks wait that previous owners recorded to be in doubt.
    pub(super) fn restore_doubts(&mut self, doubts: FxHashMap<Name, Vec<DoubtedRun>>, now: Millis) {
        // The timeout is that of its last order, and the lease that it grants.
        let latest_order = (now + self.cfg.previous_owner_timeout).saturating_sub(self.cfg.lease);
        self.former_doubts.since = now;
        self.former_doubts.until = self.doubt_end(latest_order);
        for (id, runs) in &doubts {
            let Some(&runner_ix) = self.by_id.get(id) else {
                continue;
            };
            for doubted in runs {
                if let Some(task) = self.task_mut(doubted.task) {
                    task.is_doubted = true;
                    task.run = task.run.max(doubted.run.min(MAX_RUN));
                    task.crashes.mark_in_doubt(doubted.run);
                }
            }
            self.former_doubts.runs.insert(runner_ix, runs.clone());
        }
        self.recorded_doubts = doubts;
    }

    /// Returns whether a step can't start because of a start in doubt: all its waiting tasks have one, or a member of
    /// its gang.
    pub(super) fn waits_for_former_start(step: &Step, spec: &StepSpec) -> bool {
        let waiting = step.tasks.iter();
        let mut waiting = waiting.filter(|task| task.state == TaskState::Waiting);
        if spec.gang {
            waiting.any(|task| task.is_doubted)
        } else {
            waiting.all(|task| task.is_doubted)
        }
    }

    /// Records that no previous owner gives orders from now on.
    pub(super) fn record_latest_former_order(&mut self, now: Millis) {
        self.former_doubts.until = self.former_doubts.until.min(self.doubt_end(now));
    }

    /// Returns the time from which on no run can be alive that an order sent by `latest_order` started late.
    fn doubt_end(&self, latest_order: Millis) -> Millis {
        latest_order + MAX_CALL_DELAY + longest_inherited_lease(&self.cfg)
    }

    /// Ends the doubts of previous owners about a runner that has shown what it has.
    pub(super) fn end_former_doubts(&mut self, runner_ix: RunnerIx, now: Millis) {
        if let Some(runs) = self.former_doubts.runs.remove(&runner_ix) {
            self.end_doubts(runner_ix, &runs, true, now);
        }
    }

    fn end_doubts(
        &mut self,
        runner_ix: RunnerIx,
        runs: &[DoubtedRun],
        is_answered: bool,
        now: Millis,
    ) {
        for DoubtedRun { task, run } in runs.iter().copied() {
            let others = self.former_doubts.runs.values().flatten();
            let is_doubted = others.map(|other| other.task).any(|other| other == task);
            if let Some(known) = self.task_mut(task) {
                known.is_doubted = is_doubted;
                self.schedulable.insert(task.step.job);
            }
            self.events.push(Event::DoubtEnded {
                task,
                run,
                runner: self.runners[runner_ix.0].entry.id.clone(),
                waited: now.saturating_sub(self.former_doubts.since),
                is_answered,
            });
        }
    }

    /// Returns whether any task may wait for a start that a previous owner ordered.
    pub(super) fn has_former_doubts(&self) -> bool {
        !self.former_doubts.runs.is_empty()
    }

    /// Passes the doubts about an incarnation on to the next one, which has answered but may not have listed all.
    pub(super) fn pass_former_doubts(&mut self, from: RunnerIx, to: RunnerIx) {
        if let Some(runs) = self.former_doubts.runs.remove(&from) {
            self.former_doubts.runs.insert(to, runs);
        }
    }

    /// Ends the doubts of previous owners whose orders can't be carried out any more.
    pub(super) fn expire_former_doubts(&mut self, now: Millis) {
        if now < self.former_doubts.until {
            return;
        }
        for (runner_ix, runs) in std::mem::take(&mut self.former_doubts.runs) {
            self.end_doubts(runner_ix, &runs, false, now);
        }
    }
}
