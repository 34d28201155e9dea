//! Changes of the host list, draining and lease expiry of runners, and periodic work.

use kspan_model::{Millis, Name};
use rustc_hash::FxHashMap;

use super::{Engine, Event, LossReason, Runner, RunnerIx, silence::TaskList, task::TaskState};
use crate::{id::TaskId, record::RunnerRecord, runner::RunnerEntry};

/// Interval between two ticks above which the process is assumed to have been suspended.
const MAX_TICK_GAP: Millis = Millis(500);

impl Engine {
    /// Returns whether ownership has been confirmed since the latest gap between ticks.
    pub(super) fn is_confirmed_since_gap(&self) -> bool {
        self.confirmed_at >= self.last_gap_end
    }

    /// Adds or updates a runner from its entry in the host list. Returns the index of a new
    /// incarnation.
    pub fn upsert_runner(&mut self, now: Millis, entry: RunnerEntry) -> Option<RunnerIx> {
        let entry = self.admit(entry)?;
        let mut follows_another = false;
        let mut is_known_from_start = false;
        if let Some(&runner_ix) = self.by_id.get(&entry.id) {
            let known = &mut self.runners[runner_ix.0];
            let restarted = entry.started_unix_ms != 0
                && known.entry.started_unix_ms != 0
                && entry.started_unix_ms != known.entry.started_unix_ms;
            if !restarted && !known.dead && known.is_contradicted_by(&entry) {
                if !known.has_answered && entry.addr != known.entry.addr {
                    // The first entry may have been the false one. The address that answers decides.
                    known.unconfirmed_entry = Some(entry.clone());
                }
                self.dispute_entry(runner_ix, entry);
                return None;
            }
            if !restarted && !known.dead {
                known.disputed_by = None;
                let began_draining = entry.draining && !known.entry.draining;
                let ended_draining = !entry.draining && known.entry.draining;
                let has_other_capacity = entry.capacity != known.entry.capacity;
                let started_unix_ms = known.entry.started_unix_ms;
                known.largest_capacity = known.largest_capacity.component_max(entry.capacity);
                known.entry = entry;
                if known.entry.started_unix_ms == 0 {
                    known.entry.started_unix_ms = started_unix_ms;
                }
                known.missing_since = None;
                known.awaits_entry = false;
                self.include_in_largest(runner_ix);
                if began_draining || ended_draining || has_other_capacity {
                    let id = self.runners[runner_ix.0].entry.id.clone();
                    let batch = self.batches.add_runner(id);
                    if ended_draining {
                        // The record lists tasks to which new work would add.
                        self.runners[runner_ix.0].record_batch = batch;
                    }
                }
                if began_draining {
                    self.move_tasks_away(runner_ix, now);
                }
                return None;
            }
            // The entry by which a runner became known may be one of another writer that names a later
            // start than the runner's own. It is trusted no more than any other until it is answered for.
            let may_be_false = !known.has_answered && entry.addr != known.entry.addr;
            let is_earlier = entry.started_unix_ms < known.entry.started_unix_ms;
            if restarted && is_earlier && !may_be_false {
                return None;
            }
            if restarted && !known.dead {
                // Any writer can name a later start, also while the runner is only cut off and its tasks go
                // on. An answer alone shows whether it has restarted, from its address or the other one.
                let may_have_restarted = known.may_inherit_lease();
                known.unconfirmed_entry = Some(entry);
                self.record_suspected_restart(runner_ix, may_have_restarted);
                return None;
            }
            if !restarted && !self.runners[runner_ix.0].presumed_dead {
                // A late entry of an incarnation that has ended.
                return None;
            }
            if restarted {
                follows_another = true;
                is_known_from_start = self.runners[runner_ix.0].has_answered;
            } else {
                self.forget_incarnation(runner_ix);
            }
        }
        let id = entry.id.clone();
        let record_batch = self.batches.add_runner(id.clone());
        self.events
            .push(Event::RunnerChanged { id, what: "listed" });
        let added_ix = self.add_runner(now, entry, record_batch);
        if follows_another {
            // Orders for the incarnation before may have reached this one.
            self.runners[added_ix.0].inherited_lease_until = Some(Millis(u64::MAX));
            self.runners[added_ix.0].is_known_from_start = is_known_from_start;
        }
        Some(added_ix)
    }

    pub(super) fn add_runner(
        &mut self,
        now: Millis,
        entry: RunnerEntry,
        record_batch: u64,
    ) -> RunnerIx {
        let runner_ix = RunnerIx(self.runners.len());
        self.by_id.insert(entry.id.clone(), runner_ix);
        let recent_crashes = self.runner_crashes.recent(&entry.addr, now);
        let mut runner = Runner::new(entry, now, record_batch);
        runner.recent_crashes = recent_crashes;
        self.runners.push(runner);
        self.include_in_service(runner_ix);
        runner_ix
    }

    /// Adds a runner from the records of a previous owner.
    pub(super) fn recover_runner(
        &mut self,
        now: Millis,
        record: RunnerRecord,
        restarts: &FxHashMap<Name, u64>,
    ) {
        let restarted = restarts.get(&record.entry.id).copied();
        let is_inheriting = restarted == Some(record.entry.started_unix_ms);
        let runner_ix = self.add_runner(now, record.entry, self.batches.durable());
        let runner = &mut self.runners[runner_ix.0];
        runner.inherited_lease_until = is_inheriting.then_some(Millis(u64::MAX));
        runner.missing_since = Some(now);
        runner.task_list = TaskList::restored(record.tasks, record.has_no_grants);
    }

    /// Records that the host list no longer contains a runner. Its tasks may still be running.
    pub fn unlist_runner(&mut self, now: Millis, id: &Name) {
        self.admission.forget(id);
        let Some(&runner_ix) = self.by_id.get(id) else {
            return;
        };
        let runner = &mut self.runners[runner_ix.0];
        if runner.missing_since.is_none() {
            runner.missing_since = Some(now);
            self.events.push(Event::RunnerChanged {
                id: id.clone(),
                what: "unlisted",
            });
        }
    }

    /// Returns the ids of the runners in the host list.
    pub fn listed_runners(&self) -> Vec<Name> {
        let listed = self
            .runners
            .iter()
            .filter(|runner| runner.missing_since.is_none() && !runner.dead);
        listed.map(|runner| runner.entry.id.clone()).collect()
    }

    /// Marks a runner's incarnation as ended and removes its runs, none of which can be alive.
    pub(super) fn mark_dead(&mut self, runner_ix: RunnerIx, now: Millis) {
        self.end_incarnation(runner_ix, &[], now);
        self.end_former_doubts(runner_ix, now);
    }

    /// Marks a runner's incarnation as ended and removes its runs but those in `kept`.
    pub(super) fn end_incarnation(
        &mut self,
        runner_ix: RunnerIx,
        kept: &[(TaskId, u32)],
        now: Millis,
    ) {
        let runner = &mut self.runners[runner_ix.0];
        if runner.dead {
            return;
        }
        runner.dead = true;
        runner.ended_at = Some(now);
        let id = runner.entry.id.clone();
        self.batches.add_runner(id.clone());
        self.events.push(Event::RunnerChanged { id, what: "ended" });
        self.recompute_services();
        self.report_crash(runner_ix, now);
        let records = self.take_crash_records(runner_ix, now);
        self.remove_runs(runner_ix, kept, LossReason::RunnerEnded, now);
        self.count_crashes(records);
        self.forget_uncounted_runs(runner_ix);
        self.mark_unaccounted_tasks(runner_ix);
    }

    /// Reports that a runner ended without having drained.
    fn report_crash(&mut self, runner_ix: RunnerIx, now: Millis) {
        let runner = &self.runners[runner_ix.0];
        if runner.entry.draining {
            return;
        }
        self.runner_crashes.record(runner.entry.addr.clone(), now);
        let latest = runner.runs.values().filter_map(|run| run.ordered_at).max();
        self.events.push(Event::RunnerCrashed {
            id: runner.entry.id.clone(),
            runs: runner.runs.len(),
            youngest: latest.map(|at| now.saturating_sub(at)),
        });
    }

    /// Removes the runs of a runner that can't be alive: all but those in `kept`.
    fn remove_runs(
        &mut self,
        runner_ix: RunnerIx,
        kept: &[(TaskId, u32)],
        reason: LossReason,
        now: Millis,
    ) {
        let runs_here = &self.runners[runner_ix.0].runs;
        let over = runs_here.keys().filter(|key| !kept.contains(key));
        let mut runs: Vec<(TaskId, u32)> = over.copied().collect();
        runs.sort_unstable();
        self.emit_runs_lost(runner_ix, &runs, reason, None, now);
        for (task, run) in runs {
            self.remove_lost_run(runner_ix, task, run, reason, now);
        }
    }

    /// Stops the tasks of a draining runner that lose no work by a move, so that they start
    /// elsewhere.
    pub(super) fn move_tasks_away(&mut self, runner_ix: RunnerIx, now: Millis) {
        let runs_here = &self.runners[runner_ix.0].runs;
        let mut runs: Vec<(TaskId, u32)> = runs_here.keys().copied().collect();
        runs.sort_unstable();
        for (task, run) in runs {
            let Some(job) = self.jobs.get(&task.step.job) else {
                continue;
            };
            let Some((step, spec)) = job.step(task.step) else {
                continue;
            };
            let known = step.tasks.get(task.index as usize);
            let is_running_here =
                known.is_some_and(|known| known.state == TaskState::Running(runner_ix));
            let is_movable = spec.long_running || spec.saves_progress;
            if is_movable && !spec.gang && is_running_here {
                self.order_stop(runner_ix, task, run, now);
            }
        }
    }

    /// Does the work that depends on time alone: begins due occurrences, expires leases, resends
    /// stops and removes old jobs. The caller must call it several times a second. After a longer
    /// gap, nothing is started until ownership is confirmed again, because another owner may have
    /// taken over in the meantime.
    pub fn tick(&mut self, now: Millis, unix_ms: u64) {
        let since = now.saturating_sub(self.last_tick.unwrap_or(now));
        if since > MAX_TICK_GAP {
            self.last_gap_end = now;
        }
        self.last_tick = Some(now);
        let all_verified = self.are_all_runs_verified(now);
        self.recount_job_bytes();
        self.begin_due_occurrences(now, unix_ms, all_verified);
        self.verify_unlisted_tasks(now);
        self.expire_former_doubts(now);
        self.withdraw_doubts();
        self.end_inherited_leases(now);
        for ix in 0..self.runners.len() {
            self.check_lease_expiry(RunnerIx(ix), now);
        }
        self.end_given_up_jobs(now, unix_ms);
        // No scheduling pass does it while the ownership isn't confirmed.
        self.settle_gangs(now);
        self.resend_stops(now);
        self.order_speeds(now);
        self.end_pauses_for_overdue_tasks(now);
        self.report_holds(now);
        self.compact_ended_jobs(now);
        self.remove_expired_jobs(unix_ms);
    }

    /// Begins the occurrences that are due.
    fn begin_due_occurrences(&mut self, now: Millis, unix_ms: u64, all_verified: bool) {
        for id in &self.active {
            let Some(job) = self.jobs.get_mut(id) else {
                continue;
            };
            let free_bytes = self.cfg.max_job_bytes.saturating_sub(self.job_bytes);
            let before = job.max_bytes();
            if job.begin_due_occurrences(now, unix_ms, all_verified, free_bytes) {
                self.job_bytes += job.max_bytes() - before;
                self.schedulable.insert(*id);
            }
        }
    }

    fn check_lease_expiry(&mut self, runner_ix: RunnerIx, now: Millis) {
        let runner = &self.runners[runner_ix.0];
        if runner.dead || runner.missed_responses == 0 || !runner.has_lease_expired(&self.cfg, now)
        {
            return;
        }
        // Another owner may have extended the lease. Only a proof of ownership newer than the
        // expiry shows that there was none.
        let expired_at = *self.runners[runner_ix.0]
            .lease_expired_at
            .get_or_insert(now);
        if self.confirmed_at < expired_at {
            return;
        }
        let runner = &self.runners[runner_ix.0];
        let kept = runner.runs_beyond_lease(&self.cfg, now);
        if runner.runs.len() > kept.len() {
            let id = runner.entry.id.clone();
            self.events
                .push(Event::RunnerChanged { id, what: "lapsed" });
            self.remove_runs(runner_ix, &kept, LossReason::LeaseExpired, now);
            self.rewrite_task_list(runner_ix);
        }
        if !kept.is_empty() {
            return;
        }
        if self.runners[runner_ix.0].missing_since.is_some() {
            self.mark_dead(runner_ix, now);
            self.runners[runner_ix.0].presumed_dead = true;
        }
    }
}
