//! The host list: runners that come, change and go.

use kspan_model::{Millis, Name};

use super::{Engine, Event, Runner, RunnerIx, job::TaskState};
use crate::{id::TaskId, runner::RunnerEntry};

/// Time between two ticks that shows that the owner stood still.
const LONGEST_GAP: Millis = Millis(500);

impl Engine {
    /// Returns whether the owner has been confirmed since it last stood still.
    pub(super) fn is_awake(&self) -> bool {
        self.confirmed >= self.woke
    }

    /// Takes in a runner's entry of the host list. Returns the index of a life that is new.
    pub fn upsert_runner(&mut self, now: Millis, entry: RunnerEntry) -> Option<RunnerIx> {
        if let Some(&runner_ix) = self.by_id.get(&entry.id) {
            let known = &mut self.runners[runner_ix.0];
            let reborn = entry.started_unix_ms != 0
                && known.entry.started_unix_ms != 0
                && entry.started_unix_ms != known.entry.started_unix_ms;
            if !reborn && !known.dead {
                let began_draining = entry.draining && !known.entry.draining;
                let started_unix_ms = known.entry.started_unix_ms;
                known.entry = entry;
                if known.entry.started_unix_ms == 0 {
                    known.entry.started_unix_ms = started_unix_ms;
                }
                known.missing_since = None;
                if began_draining {
                    let id = self.runners[runner_ix.0].entry.id.clone();
                    self.batches.add_runner(id);
                    self.evacuate(runner_ix, now);
                }
                return None;
            }
            if reborn && entry.started_unix_ms < known.entry.started_unix_ms {
                return None;
            }
            if !reborn {
                // A late entry of a life that has ended.
                return None;
            }
            self.end_life(runner_ix, now);
        }
        let id = entry.id.clone();
        let kept_with = self.batches.add_runner(id.clone());
        self.notes.push(Event::RunnerChanged { id, what: "listed" });
        Some(self.add_runner(now, entry, kept_with))
    }

    fn add_runner(&mut self, now: Millis, entry: RunnerEntry, kept_with: u64) -> RunnerIx {
        let runner_ix = RunnerIx(self.runners.len());
        self.by_id.insert(entry.id.clone(), runner_ix);
        self.runners.push(Runner::new(entry, now, kept_with));
        runner_ix
    }

    /// Adds a runner that an earlier owner knew.
    pub(super) fn recover_runner(&mut self, now: Millis, entry: RunnerEntry) {
        let runner_ix = self.add_runner(now, entry, self.batches.durable());
        self.runners[runner_ix.0].missing_since = Some(now);
    }

    /// Notes that the host list no longer shows a runner. It may still run what it has.
    pub fn unlist_runner(&mut self, now: Millis, id: &Name) {
        let Some(&runner_ix) = self.by_id.get(id) else {
            return;
        };
        let runner = &mut self.runners[runner_ix.0];
        if runner.missing_since.is_none() {
            runner.missing_since = Some(now);
            self.notes.push(Event::RunnerChanged {
                id: id.clone(),
                what: "unlisted",
            });
        }
    }

    /// Returns the ids of the runners that the host list shows.
    pub fn listed_runners(&self) -> Vec<Name> {
        let listed = self
            .runners
            .iter()
            .filter(|runner| runner.missing_since.is_none() && !runner.dead);
        listed.map(|runner| runner.entry.id.clone()).collect()
    }

    /// Ends a runner's life for certain: nothing that it had runs any more.
    pub(super) fn end_life(&mut self, runner_ix: RunnerIx, now: Millis) {
        let runner = &mut self.runners[runner_ix.0];
        if runner.dead {
            return;
        }
        runner.dead = true;
        let id = runner.entry.id.clone();
        self.batches.add_runner(id.clone());
        self.notes.push(Event::RunnerChanged { id, what: "ended" });
        self.lose_all(runner_ix, now);
    }

    /// Gives up every run on a runner that can't be alive any more.
    pub(super) fn lose_all(&mut self, runner_ix: RunnerIx, now: Millis) {
        let placed = &self.runners[runner_ix.0].placed;
        let mut runs: Vec<(TaskId, u32)> = placed.keys().copied().collect();
        runs.sort_unstable();
        for (task, run) in runs {
            self.run_vanished(runner_ix, task, run, now);
        }
    }

    /// Moves tasks away from a runner that leaves, where moving them loses no work.
    pub(super) fn evacuate(&mut self, runner_ix: RunnerIx, now: Millis) {
        let placed = &self.runners[runner_ix.0].placed;
        let mut runs: Vec<(TaskId, u32)> = placed.keys().copied().collect();
        runs.sort_unstable();
        for (task, run) in runs {
            let Some(job) = self.jobs.get(&task.step.job) else {
                continue;
            };
            let Some((step, spec)) = job.step(task.step) else {
                continue;
            };
            let state = step.tasks[task.index as usize].state;
            let moves = spec.long_running || spec.saves_progress;
            if moves && !spec.gang && state == TaskState::Running(runner_ix) {
                self.order_stop(runner_ix, task, run, now);
            }
        }
    }

    /// Does what is due with time alone: occurrences, lapses, repeated stops, old jobs. Is to be
    /// called several times a second; after a gap nothing is started until the ownership is
    /// confirmed anew, as others may have acted meanwhile.
    pub fn tick(&mut self, now: Millis, unix_ms: u64) {
        let since = now.saturating_sub(self.ticked.unwrap_or(now));
        if since > LONGEST_GAP {
            self.woke = now;
        }
        self.ticked = Some(now);
        let accounted = self.is_accounted(now);
        for id in &self.active {
            if let Some(job) = self.jobs.get_mut(id)
                && job.begin_due(now, unix_ms, accounted)
            {
                self.open.insert(*id);
            }
        }
        for ix in 0..self.runners.len() {
            self.check_lapse(RunnerIx(ix), now);
        }
        self.repeat_stops(now);
        self.drop_old(unix_ms);
    }

    fn check_lapse(&mut self, runner_ix: RunnerIx, now: Millis) {
        let runner = &self.runners[runner_ix.0];
        if runner.dead || runner.misses == 0 || !runner.has_lapsed(&self.cfg, now) {
            return;
        }
        // Another owner may have kept the lease alive: only a proof that is younger than the lapse
        // shows that there was none.
        let lapsed = *self.runners[runner_ix.0].lapsed.get_or_insert(now);
        if self.confirmed < lapsed {
            return;
        }
        if !self.runners[runner_ix.0].placed.is_empty() {
            let id = self.runners[runner_ix.0].entry.id.clone();
            self.notes.push(Event::RunnerChanged { id, what: "lapsed" });
            self.lose_all(runner_ix, now);
        }
        if self.runners[runner_ix.0].missing_since.is_some() {
            self.end_life(runner_ix, now);
        }
    }
}
