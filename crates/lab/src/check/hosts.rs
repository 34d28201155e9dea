//! Checks the workers' capacity and that no task runs in two places at once.

use std::collections::BTreeMap;

use kspan_model::{JobId, Name, Resources};

use super::{Promise, Violation, violation};
use crate::{
    clock::Micros,
    record::{Records, TaskRun},
};

pub(super) fn check(records: &Records, violations: &mut Vec<Violation>) {
    check_capacity(records, violations);
    check_one_place(records, violations);
}

fn check_capacity(records: &Records, violations: &mut Vec<Violation>) {
    let mut changes: BTreeMap<&Name, Vec<Change>> = BTreeMap::new();
    for run in &records.tasks {
        let changes = changes.entry(&run.worker).or_default();
        changes.push(Change::start(run));
        changes.extend(Change::end(run));
    }
    for worker in &records.workers {
        let Some(changes) = changes.get_mut(&worker.name) else {
            continue;
        };
        // At equal times ends come first, as released resources may be reused immediately.
        changes.sort_by_key(|change| (change.at, change.starts));
        let mut committed = Resources::ZERO;
        for change in changes.iter() {
            committed = change.apply(committed);
            if !committed.fits_in(worker.capacity) {
                violations.push(violation(
                    Promise::Capacity,
                    format!(
                        "{} has {} but {committed} committed at {}",
                        worker.name, worker.capacity, change.at
                    ),
                ));
                break;
            }
        }
    }
}

struct Change {
    at: Micros,
    starts: bool,
    size: Resources,
}

impl Change {
    fn start(run: &TaskRun) -> Self {
        Self {
            at: run.started,
            starts: true,
            size: run.size,
        }
    }

    fn end(run: &TaskRun) -> Option<Self> {
        run.ended.map(|at| Self {
            at,
            starts: false,
            size: run.size,
        })
    }

    fn apply(&self, committed: Resources) -> Resources {
        if self.starts {
            committed.saturating_add(self.size)
        } else {
            committed.saturating_sub(self.size)
        }
    }
}

fn check_one_place(records: &Records, violations: &mut Vec<Violation>) {
    let mut runs: BTreeMap<(JobId, u32), Vec<&TaskRun>> = BTreeMap::new();
    for run in &records.tasks {
        runs.entry((run.task.job, run.task.index))
            .or_default()
            .push(run);
    }
    for runs in runs.values_mut() {
        runs.sort_by_key(|run| run.started);
        for pair in runs.windows(2) {
            let (first, second) = (pair[0], pair[1]);
            if first.ended.is_some_and(|ended| ended <= second.started) {
                continue;
            }
            violations.push(violation(
                Promise::OnePlace,
                format!(
                    "{} of {} started on {} at {} while {} ran on {} (until {})",
                    second.task,
                    second.workload,
                    second.worker,
                    second.started,
                    first.task,
                    first.worker,
                    first
                        .ended
                        .map_or("the end".to_owned(), |at| at.to_string()),
                ),
            ));
        }
    }
}
