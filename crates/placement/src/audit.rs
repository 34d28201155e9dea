//! Consistency checks of the cell's accounting.
//!
//! They visit every worker and job, so they are meant for tests and dumps rather than hot paths.

use kspan_model::{Name, Resources};
use rustc_hash::{FxHashMap, FxHashSet};

use crate::{
    Cell, TaskState,
    job::{Job, JobNo},
    state::Inner,
    worker::WorkerNo,
};

/// Totals recomputed from the tasks, to compare with the maintained ones.
#[derive(Default)]
struct Sums {
    committed: FxHashMap<WorkerNo, Resources>,
    reserved: FxHashMap<WorkerNo, Resources>,
    teams: FxHashMap<Name, Resources>,
    reserved_tasks: FxHashSet<(JobNo, u32)>,
}

impl Cell {
    /// Returns a description of every inconsistency in the cell's accounting; empty if there is
    /// none.
    pub fn audit(&self) -> Vec<String> {
        let inner = &self.inner;
        let mut faults = Vec::new();
        let sums = inner.sums();
        inner.audit_workers(&sums, &mut faults);
        inner.audit_teams(&sums, &mut faults);
        for (number, job) in inner.jobs.iter() {
            inner.audit_job(number, job, &sums, &mut faults);
        }
        faults
    }
}

impl Inner {
    fn sums(&self) -> Sums {
        let mut sums = Sums::default();
        for (_, job) in self.jobs.iter() {
            for slot in job.slots.iter().filter(|slot| slot.state.holds_worker()) {
                add(sums.committed.entry(slot.worker).or_default(), slot.size);
                let team = sums.teams.entry(job.spec.team.clone()).or_default();
                add(team, slot.size);
            }
        }
        for orphan in self.orphans.values().flatten() {
            let committed = sums.committed.entry(orphan.worker).or_default();
            add(committed, orphan.found.size);
        }
        for reservation in &self.reservations {
            for planned in &reservation.tasks {
                let reserved = sums.reserved.entry(planned.worker).or_default();
                add(reserved, reservation.size);
                sums.reserved_tasks.insert((reservation.job, planned.index));
            }
        }
        sums
    }

    fn audit_workers(&self, sums: &Sums, faults: &mut Vec<String>) {
        let mut total = Resources::ZERO;
        for (number, worker) in self.workers.iter() {
            let committed = sums.committed.get(&number).copied().unwrap_or_default();
            let reserved = sums.reserved.get(&number).copied().unwrap_or_default();
            add(&mut total, committed);
            if committed != worker.committed || reserved != worker.reserved {
                faults.push(format!(
                    "worker {}: committed or reserved capacity differs from the sum of its tasks",
                    worker.name
                ));
            }
            if !committed.fits_in(worker.capacity) {
                faults.push(format!(
                    "worker {}: commitments exceed the capacity",
                    worker.name
                ));
            }
            for held in &worker.tasks {
                if self.jobs.get(held.job).slots[held.index as usize].worker != number {
                    faults.push(format!(
                        "worker {}: lists a task placed on another worker",
                        worker.name
                    ));
                }
            }
        }
        if total != self.workers.committed {
            faults.push("total committed capacity differs from the sum over workers".to_owned());
        }
    }

    fn audit_teams(&self, sums: &Sums, faults: &mut Vec<String>) {
        for team in self.teams.iter() {
            let held = sums.teams.get(&team.name).copied().unwrap_or_default();
            if held != team.committed {
                faults.push(format!(
                    "team {}: committed resources differ from the sum of its tasks",
                    team.name
                ));
            }
        }
    }

    fn audit_job(&self, number: JobNo, job: &Job, sums: &Sums, faults: &mut Vec<String>) {
        let id = job.spec.id;
        let holding = job.slots.iter().filter(|slot| slot.state.holds_worker());
        if holding.count() != job.active as usize {
            faults.push(format!(
                "job {id}: number of active tasks differs from the tasks that hold a worker"
            ));
        }
        let is_stable = job.ending.is_none() && !job.restarting;
        if !is_stable {
            if job.active == 0 && !self.orphans.contains_key(&id) {
                faults.push(format!(
                    "job {id}: ending or restarting without active tasks"
                ));
            }
            return;
        }
        if job.pending.is_empty() == job.entry.is_some() {
            faults.push(format!(
                "job {id}: must be queued exactly if it has pending tasks"
            ));
        }
        let mut waiting = 0;
        for index in 0..job.spec.tasks {
            let slot = &job.slots[index as usize];
            let is_reserved = sums.reserved_tasks.contains(&(number, index));
            if is_reserved != (slot.state == TaskState::Reserved) {
                faults.push(format!(
                    "task {id}.{index}: state and reservations disagree"
                ));
            }
            // A gang is retried by the timer of its first task.
            let timer_index = if job.is_gang() { 0 } else { index };
            let is_pending = job.pending.contains(&index);
            let will_be_started = is_pending || self.timers.has_retry(job.task(timer_index));
            let is_stuck = slot.state == TaskState::Queued && !will_be_started;
            let is_dropped =
                matches!(slot.state, TaskState::Ended | TaskState::Lost) && !slot.finished;
            if is_stuck || is_dropped {
                faults.push(format!(
                    "task {id}.{index}: neither finished, pending nor scheduled for retry"
                ));
            }
            waiting += u32::from(matches!(
                slot.state,
                TaskState::Queued | TaskState::Reserved
            ));
        }
        let restarts_next = self.adopted_gangs.contains(&id);
        if job.is_gang() && job.active > 0 && waiting > 0 && !restarts_next {
            faults.push(format!("gang {id}: only some tasks hold a worker"));
        }
    }
}

fn add(sum: &mut Resources, amount: Resources) {
    *sum = sum.saturating_add(amount);
}
