//! Simulated callers, which submit random jobs and cancel some of them.

use kspan_jobs::{
    engine::{CancelOutcome, Submission},
    id::JobId,
    spec::{JobSpec, StepSpec},
};
use kspan_model::{Millis, Name, Resources};
use rand::{Rng, seq::IndexedRandom};

use super::{Event, HOST, Mutation, Simulation};

impl Simulation {
    pub(super) fn submit(&mut self) {
        let owner = self.newest();
        if !self.owners[owner].alive || self.owners[owner].paused {
            return self.push(700, Event::Submit);
        }
        let id = JobId(self.rng.random());
        let mut spec = self.random_spec();
        self.make_gangs(&mut spec);
        self.checks.record_submission(id, &spec);
        if self.mutation == Mutation::DependenciesDropped {
            spec.steps
                .iter_mut()
                .for_each(|step| step.depends_on.clear());
        }
        let path = format!("/q/{id}");
        let req = Submission {
            host: HOST,
            path: &path,
            spec,
            team: None,
        };
        let cell = &mut self.owners[owner];
        let submitted = cell
            .engine
            .submit(Millis(self.now), self.now, req)
            .expect("the job is valid");
        cell.callers.push((submitted.batch, id, false));
        self.submitted.push(id);
    }

    fn random_spec(&mut self) -> JobSpec {
        let rng = &mut self.rng;
        let count = rng.random_range(1..=3);
        let steps = (0..count).map(|number| {
            let gang = rng.random_range(0..6) == 0;
            StepSpec {
                // Limits gangs so that each fits on the smallest runner and none waits forever.
                count: rng.random_range(1..=if gang { 2 } else { 5 }),
                size: Resources::new(
                    rng.random_range(1..=if gang { 2 } else { 3 }) * 1_000,
                    1_000,
                    0,
                ),
                estimate: Millis(rng.random_range(100..2_500)),
                depends_on: if number > 0 && rng.random() {
                    vec![number - 1]
                } else {
                    Vec::new()
                },
                saves_progress: rng.random(),
                gang,
                max_per_runner: rng.random::<bool>().then_some(2),
                ..StepSpec::default()
            }
        });
        JobSpec {
            text: Name::new("run"),
            steps: steps.collect(),
            timetable: None,
        }
    }

    pub(super) fn cancel(&mut self) {
        let owner = self.newest();
        let Some(&job) = self.submitted.choose(&mut self.rng) else {
            return;
        };
        let cell = &mut self.owners[owner];
        if !cell.alive || cell.paused {
            return;
        }
        self.checks.cancel_sent.insert(job);
        let path = format!("/q/{job}");
        let cancelled = cell.engine.cancel(Millis(self.now), self.now, HOST, &path);
        if let CancelOutcome::Accepted(batch) = cancelled {
            cell.callers.push((batch, job, true));
        }
    }
}
