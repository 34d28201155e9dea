//! Records of which tasks may be on a runner that does not answer, for later owners.
//!
//! Failure pattern: a runner is lost, and the owner soon after it. The next owner cannot know what the
//! runner has, and every waiting task would have to wait until nothing can run there any longer. The
//! owner therefore records the tasks that may be on a runner that stops answering, and starts nothing
//! there until the record is withdrawn. After a takeover only these tasks wait for the runner. The record of a
//! draining runner has the list as well: such a runner gets no new work.

use kspan_model::Name;
use rustc_hash::FxHashSet;

use super::{Engine, RunnerIx};
use crate::{id::TaskId, record::RunnerRecord};

/// Number of calls without a response in a row after which the tasks of a runner are recorded.
const MISSES_BEFORE_RECORDING: u32 = 2;

/// What the durable record of a runner says about its tasks.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) enum TaskList {
    /// Nothing: the runner may have any task.
    #[default]
    None,
    /// The open batch will contain the list.
    Pending,
    /// The list was written, or is being written.
    Written,
    /// A previous owner wrote this list, and the runner has not answered since the takeover.
    Restored(Vec<TaskId>),
}

impl Engine {
    /// Records which tasks may be on a runner that has stopped answering. What a runner has is known
    /// only once it has answered this owner.
    pub(super) fn record_task_list(&mut self, runner_ix: RunnerIx) {
        let runner = &mut self.runners[runner_ix.0];
        let is_silent = runner.missed_responses == MISSES_BEFORE_RECORDING;
        if is_silent && runner.has_answered && runner.task_list == TaskList::None {
            runner.task_list = TaskList::Pending;
            let id = runner.entry.id.clone();
            self.batches.add_runner(id);
        }
    }

    /// Withdraws the list of a runner that answers. The runner gets no new work before the withdrawal
    /// is durable, as the list would be incomplete.
    pub(super) fn withdraw_task_list(&mut self, runner_ix: RunnerIx) {
        let runner = &mut self.runners[runner_ix.0];
        match std::mem::take(&mut runner.task_list) {
            TaskList::None | TaskList::Pending => {}
            TaskList::Written | TaskList::Restored(_) => {
                let id = runner.entry.id.clone();
                let batch = self.batches.add_runner(id);
                self.runners[runner_ix.0].record_batch = batch;
            }
        }
    }

    /// Writes the list of a runner again after its runs were found to be over.
    pub(super) fn rewrite_task_list(&mut self, runner_ix: RunnerIx) {
        let runner = &self.runners[runner_ix.0];
        if runner.task_list == TaskList::Written {
            let id = runner.entry.id.clone();
            self.batches.add_runner(id);
        }
    }

    /// Returns the record of a runner to be written now; `None` if the runner has ended.
    pub(super) fn runner_record(&mut self, id: &Name) -> Option<RunnerRecord> {
        let runner_ix = *self.by_id.get(id)?;
        let runner = &mut self.runners[runner_ix.0];
        if runner.dead {
            return None;
        }
        if runner.task_list == TaskList::Pending {
            runner.task_list = TaskList::Written;
        }
        let is_complete = runner.entry.draining && runner.has_answered;
        let tasks = match &runner.task_list {
            TaskList::None | TaskList::Pending => is_complete.then(|| runner.tasks()),
            TaskList::Written => Some(runner.tasks()),
            TaskList::Restored(tasks) => Some(tasks.clone()),
        };
        Some(RunnerRecord {
            entry: runner.entry.clone(),
            tasks,
        })
    }

    /// Lets the tasks start that are on no list, if lists tell what each runner that has not answered
    /// since the takeover may have.
    pub(super) fn verify_unlisted_tasks(&mut self) {
        if self.unverified_until.is_none() {
            return;
        }
        let mut listed: FxHashSet<TaskId> = FxHashSet::default();
        for runner in self.runners.iter().filter(|runner| runner.is_unaccounted()) {
            let TaskList::Restored(tasks) = &runner.task_list else {
                return;
            };
            listed.extend(tasks);
        }
        for id in &self.active {
            if let Some(job) = self.jobs.get_mut(id) {
                job.verify_tasks(|task| !listed.contains(&task));
            }
        }
    }
}
