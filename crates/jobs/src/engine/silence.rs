//! Records of which tasks may be on a runner that does not answer, for later owners.
//!
//! Failure pattern: a runner is lost, and the owner soon after it. The next owner cannot know what the
//! runner has, and every waiting task would have to wait until nothing can run there any longer. The
//! owner therefore records the tasks that may be on a runner that stops answering, and starts nothing
//! there, nor extends its lease, until the record is withdrawn. After a takeover only these tasks wait for the runner,
//! and for one lease, even if the previous owner stays away: the runner refuses the orders of any owner before
//! it. The record of a draining runner has the list as well: such a runner gets no new work, but leases.

use kspan_model::{Millis, Name};
use rustc_hash::FxHashSet;

use super::{
    Engine, Runner, RunnerIx,
    runner::{longest_inherited_lease, longest_remaining_lease},
};
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
    Restored(RestoredList),
}

/// The list of a previous owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct RestoredList {
    tasks: Vec<TaskId>,
    /// Whether no owner has granted the runner a lease since the list was written.
    has_no_grants: bool,
}

impl TaskList {
    /// Creates the list of a record that a previous owner wrote.
    pub(super) fn restored(tasks: Option<Vec<TaskId>>, has_no_grants: bool) -> Self {
        tasks.map_or(Self::None, |tasks| {
            Self::Restored(RestoredList {
                tasks,
                has_no_grants,
            })
        })
    }

    /// Returns whether the list is in the store, or on its way there.
    fn is_written(&self) -> bool {
        matches!(self, Self::Written | Self::Restored(_))
    }
}

impl Runner {
    /// Returns whether calls may grant the runner a lease, where all batches up to `durable` are durable. While the
    /// list of its tasks is in force, later owners rely on a lease that is not extended.
    pub(super) fn may_be_granted_lease(&self, durable: u64) -> bool {
        !self.task_list.is_written() && self.withdrawal_batch <= durable
    }
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
                self.runners[runner_ix.0].withdrawal_batch = batch;
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
        let (tasks, has_no_grants) = match &runner.task_list {
            TaskList::None | TaskList::Pending => (is_complete.then(|| runner.tasks()), false),
            TaskList::Written => (Some(runner.tasks()), true),
            TaskList::Restored(list) => (Some(list.tasks.clone()), list.has_no_grants),
        };
        Some(RunnerRecord {
            entry: runner.entry.clone(),
            tasks,
            has_no_grants,
        })
    }

    /// Lets the tasks start that are on no list, if lists tell what each runner that has not answered
    /// since the takeover may have, and those on a list whose runner's lease is over.
    pub(super) fn verify_unlisted_tasks(&mut self, now: Millis) {
        if self.unverified_until.is_none() {
            return;
        }
        let mut listed: FxHashSet<TaskId> = FxHashSet::default();
        let mut over: FxHashSet<TaskId> = FxHashSet::default();
        for runner in self.runners.iter().filter(|runner| runner.is_unaccounted()) {
            let TaskList::Restored(list) = &runner.task_list else {
                return;
            };
            let is_over = self
                .listed_lease_end(runner, list)
                .is_some_and(|end| now >= end);
            if is_over {
                over.extend(&list.tasks);
            } else {
                listed.extend(&list.tasks);
            }
        }
        over.retain(|task| !listed.contains(task));
        self.mark_listed_tasks_unaccounted(&over);
        for id in &self.active {
            if let Some(job) = self.jobs.get_mut(id) {
                job.verify_tasks(|task| !listed.contains(&task));
            }
        }
    }

    /// Returns the time at which the lease of a silent runner is over that has got none since its tasks were listed;
    /// `None` if it may have got some.
    fn listed_lease_end(&self, runner: &Runner, list: &RestoredList) -> Option<Millis> {
        let lease = if runner.may_inherit_lease() {
            longest_inherited_lease(&self.cfg)
        } else {
            longest_remaining_lease(&self.cfg)
        };
        list.has_no_grants.then(|| self.recovered_at + lease)
    }

    /// Returns the time at which no task waits any more for a runner that has not answered since the takeover.
    pub(super) fn latest_unverified(&self) -> Option<Millis> {
        let until = self.unverified_until?;
        let mut silent = self.runners.iter().filter(|runner| runner.is_unaccounted());
        let listed_until = silent.try_fold(Millis::ZERO, |latest, runner| {
            let TaskList::Restored(list) = &runner.task_list else {
                return None;
            };
            Some(latest.max(self.listed_lease_end(runner, list)?))
        });
        Some(listed_until.map_or(until, |listed_until| listed_until.min(until)))
    }

    /// Marks listed tasks that are about to be verified as ones whose runner may have crashed: its crash may show only
    /// after they have started elsewhere.
    fn mark_listed_tasks_unaccounted(&mut self, tasks: &FxHashSet<TaskId>) {
        for task in tasks {
            let Some(known) = self.task_mut(*task) else {
                continue;
            };
            if known.unverified && !known.unaccounted {
                known.unaccounted = true;
                self.batches.add_task_progress(*task);
            }
        }
    }
}
