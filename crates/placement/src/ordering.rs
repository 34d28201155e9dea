//! Whose turn it is: teams' standings and waiting jobs' places follow what happens to tasks.

use kspan_model::{Millis, Resources};

use crate::{
    class::{ClassKey, log_step},
    job::{Job, JobNo},
    queue::Candidate,
    state::Inner,
    team::TeamNo,
};

/// Longest run time that moves a job back in its line.
const MAX_PENALIZED_RUN_TIME: Millis = Millis::from_secs(600);
/// How far a job moves back in its line for its run time, where nothing but waiting weighs.
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

    /// Brings the lines of every team whose standing has changed up to date. Lines whose team
    /// stands worse than they tell are found when their turn comes; this is for the others.
    pub(crate) fn rank_changed_teams(&mut self) {
        for team in self.teams.take_changed() {
            let entry = self.teams.get(team);
            for &class in &entry.classes {
                self.queue.update_rank(class, team, entry.standing);
            }
        }
    }

    /// Ranks the line of the next job anew if its team stands worse by now. Returns whether it
    /// did.
    pub(crate) fn update_stale_rank(&mut self, next: Candidate) -> bool {
        let standing = self.teams.get(next.team).standing;
        let update_stale_rank = self.queue.standing(next) < Some(standing);
        if update_stale_rank {
            self.queue.update_rank(next.class, next.team, standing);
        }
        update_stale_rank
    }

    pub(crate) fn unpark(&mut self, team: TeamNo) {
        let entry = self.teams.get_mut(team);
        let standing = entry.standing;
        for class in std::mem::take(&mut entry.parked) {
            self.queue.unpark(class, team, standing);
        }
    }

    /// Measures every team's share against the capacity of now.
    pub(crate) fn recompute_shares(&mut self) {
        if self.share_capacity == self.workers.total {
            return;
        }
        self.share_capacity = self.workers.total;
        for team in self.teams.numbers() {
            self.update_standing(team);
        }
    }

    /// Queues a job that has tasks waiting for a worker.
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

    /// Returns the place of a job in its team's line. It starts from the time of submission and
    /// moves by a bounded span, so that no job is overtaken for ever.
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
