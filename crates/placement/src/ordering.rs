//! Queue ordering: team standings and job positions, updated as tasks start and end.

use kspan_model::{Millis, Resources};

use crate::{
    class::{ClassKey, log_step},
    job::{Job, JobNo},
    queue::Candidate,
    state::Inner,
    team::TeamNo,
};

/// Run time beyond which a job is not moved further back in its team's queue.
const MAX_PENALIZED_RUN_TIME: Millis = Millis::from_secs(600);
/// Distance a job is moved back per unit of run time, at a policy weight of 1 for waiting.
const RUN_TIME_FACTOR: f64 = 4.0;

impl Inner {
    pub(crate) fn charge(&mut self, team: TeamNo, size: Resources) {
        let entry = self.teams.get_mut(team);
        entry.committed = entry.committed.saturating_add(size);
        self.update_standing(team);
    }

    pub(crate) fn refund(&mut self, team: TeamNo, size: Resources) {
        let entry = self.teams.get_mut(team);
        entry.committed = entry.committed.saturating_sub(size);
        self.update_standing(team);
        self.unpark(team);
    }

    pub(crate) fn update_standing(&mut self, team: TeamNo) {
        self.teams.update_standing(team, self.share_capacity);
    }

    /// Updates the queue ranks of all teams whose standing has changed. A rank that is too
    /// early is also corrected when its team queue is reached; this corrects the others.
    pub(crate) fn rank_changed_teams(&mut self) {
        for team in self.teams.take_changed() {
            let entry = self.teams.get(team);
            for &class in &entry.classes {
                self.queue.update_rank(class, team, entry.standing);
            }
        }
    }

    /// Updates the rank of the candidate's team queue if the team's standing has become worse.
    /// Returns whether it was updated.
    pub(crate) fn update_stale_rank(&mut self, next: Candidate) -> bool {
        let standing = self.teams.get(next.team).standing;
        let is_stale = self.queue.standing(next) < Some(standing);
        if is_stale {
            self.queue.update_rank(next.class, next.team, standing);
        }
        is_stale
    }

    pub(crate) fn unpark(&mut self, team: TeamNo) {
        let entry = self.teams.get_mut(team);
        let standing = entry.standing;
        for class in std::mem::take(&mut entry.parked) {
            self.queue.unpark(class, team, standing);
        }
    }

    /// Recomputes every team's share if the total capacity has changed.
    pub(crate) fn recompute_shares(&mut self) {
        if self.share_capacity == self.workers.total {
            return;
        }
        self.share_capacity = self.workers.total;
        for team in self.teams.numbers() {
            self.update_standing(team);
        }
    }

    /// Queues a job that has pending tasks.
    pub(crate) fn enqueue(&mut self, number: JobNo) {
        let job = self.jobs.get(number);
        let waits = !job.pending.is_empty() && job.ending.is_none();
        if !waits || job.restarting || job.entry.is_some() {
            return;
        }
        let class = class_key(job);
        let key = self.order_key(job);
        let team = job.team;
        let standing = self.teams.get(team).standing;
        let (entry, is_new) = self.queue.push(class, team, standing, key, number);
        self.jobs.get_mut(number).entry = Some(entry);
        if is_new {
            self.teams.get_mut(team).classes.push(entry.class);
        }
    }

    pub(crate) fn dequeue(&mut self, number: JobNo) {
        let job = self.jobs.get_mut(number);
        let Some(entry) = job.entry.take() else {
            return;
        };
        let team = job.team;
        let standing = self.teams.get(team).standing;
        if self.queue.remove(entry, team, standing, number) {
            let classes = &mut self.teams.get_mut(team).classes;
            classes.retain(|class| *class != entry.class);
        }
    }

    /// Returns the sort key of a job in its team's queue: its submission time plus a bounded
    /// penalty for its run time. The bound prevents starvation.
    fn order_key(&self, job: &Job) -> u64 {
        let run_time = self.estimates.run_time(&job.spec).0;
        let penalty = run_time.min(MAX_PENALIZED_RUN_TIME.0) as f64 * self.policy.weights.waiting;
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // Never negative.
        let penalty = (penalty * RUN_TIME_FACTOR) as u64;
        job.spec.submitted.0.saturating_add(penalty)
    }
}

fn class_key(job: &Job) -> ClassKey {
    let size = job.spec.shape.size;
    ClassKey {
        priority: job.priority(),
        gang: job.is_gang(),
        service: job.is_service(),
        checkpoint: job.spec.shape.checkpoint,
        accelerators: size.accelerators,
        cpu_step: log_step(size.cpu_milli),
        memory_step: log_step(size.memory_mib),
    }
}
