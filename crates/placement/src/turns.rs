//! Whose turn it is: teams' standings and waiting jobs' places follow what happens to tasks.

use kspan_model::{Millis, Resources};

use crate::{
    class::{ClassKey, step},
    job::{Job, JobNo},
    queue::Next,
    state::Inner,
    team::TeamNo,
};

/// Longest run time that moves a job back in its line.
const RUN_TIME_HORIZON: Millis = Millis::from_secs(600);
/// How far a job moves back in its line for its run time, where nothing but waiting weighs.
const TIMES_RUN_TIME: f64 = 4.0;

impl Inner {
    pub(crate) fn charge(&mut self, team: TeamNo, size: Resources) {
        let entry = self.teams.get_mut(team);
        entry.committed = entry.committed.saturating_add(size);
        self.restand(team);
    }

    pub(crate) fn refund(&mut self, team: TeamNo, size: Resources) {
        let entry = self.teams.get_mut(team);
        entry.committed = entry.committed.saturating_sub(size);
        self.restand(team);
        self.unpark(team);
    }

    pub(crate) fn restand(&mut self, team: TeamNo) {
        self.teams.restand(team, self.measure);
    }

    /// Brings the lines of every team whose standing has changed up to date. Lines whose team
    /// stands worse than they tell are found when their turn comes; this is for the others.
    pub(crate) fn rank_changed_teams(&mut self) {
        for team in self.teams.take_changed() {
            let entry = self.teams.get(team);
            for &class in &entry.classes {
                self.queue.restand(class, team, entry.standing);
            }
        }
    }

    /// Ranks the line of the next job anew if its team stands worse by now. Returns whether it
    /// did.
    pub(crate) fn is_overtaken(&mut self, next: Next) -> bool {
        let standing = self.teams.get(next.team).standing;
        let is_overtaken = self.queue.standing(next) < Some(standing);
        if is_overtaken {
            self.queue.restand(next.class, next.team, standing);
        }
        is_overtaken
    }

    pub(crate) fn unpark(&mut self, team: TeamNo) {
        let entry = self.teams.get_mut(team);
        let standing = entry.standing;
        for class in std::mem::take(&mut entry.parked) {
            self.queue.unpark(class, team, standing);
        }
    }

    /// Measures every team's share against the capacity of now.
    pub(crate) fn measure_shares(&mut self) {
        if self.measure == self.workers.total {
            return;
        }
        self.measure = self.workers.total;
        for team in self.teams.numbers() {
            self.restand(team);
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
        let behind = run_time.min(RUN_TIME_HORIZON.0) as f64 * self.policy.weights.waiting;
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // Never negative.
        let behind = (behind * TIMES_RUN_TIME) as u64;
        job.spec.submitted.0.saturating_add(behind)
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
        cpu_step: step(size.cpu_milli),
        memory_step: step(size.memory_mib),
    }
}
