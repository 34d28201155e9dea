//! Parts into which the progress of a job of many tasks is split.
//!
//! The store accepts records up to a size. One record for all tasks of a job would outgrow it, and then
//! nothing could be written any more. A part has so few tasks that its record fits whatever happens to
//! them, and a change of one task writes only its part again.

use std::{collections::BTreeSet, ops::Range};

use rustc_hash::FxHashSet;

use super::{evidence, job::Job};
use crate::{id::TaskId, record::PartKey, runner::MAX_CHECKPOINT_BYTES, spec::JobSpec};

/// Maximum number of failed runs of a task, whatever its queue allows. Each is kept until the job ends.
pub(super) const MAX_ATTEMPTS: u32 = 1_000;

/// Bytes of a record that are kept for its key and for what does not belong to a task: above all the
/// numbers of up to a thousand occurrences.
const RESERVED_BYTES: usize = 16 * 1024;

/// Maximum encoded size of a task's progress without its lists and its checkpoint, and of its mark as
/// unaccounted, in bytes.
const TASK_BYTES: usize = 48;

/// Maximum encoded size of a failed run, in bytes.
const FAILURE_BYTES: usize = 16;

/// Maximum encoded size of the record of a crash, in bytes.
const CRASH_BYTES: usize = 48;

/// Tasks of a job whose progress has changed.
#[derive(Clone, Debug)]
pub(super) enum ChangedTasks {
    /// All tasks may have.
    All,
    /// These tasks have.
    Some(FxHashSet<TaskId>),
}

impl Default for ChangedTasks {
    fn default() -> Self {
        Self::Some(FxHashSet::default())
    }
}

impl ChangedTasks {
    /// Adds a task.
    pub(super) fn insert(&mut self, task: TaskId) {
        if let Self::Some(tasks) = self {
            tasks.insert(task);
        }
    }
}

/// How a job's progress is split, and which of its parts the store may have.
#[derive(Clone, Debug, Default)]
pub(super) struct Parts {
    /// Number of tasks of a part; 0 if the job's record has all tasks.
    size: u32,
    /// The same according to the job's record in the store; `None` if there is none.
    stored_size: Option<u32>,
    stored: BTreeSet<PartKey>,
}

impl Parts {
    /// Returns the number of tasks of a part; 0 if the job's record has all tasks.
    pub(super) fn size(&self) -> u32 {
        self.size
    }

    /// Records how the job's record in the store is split.
    pub(super) fn set_stored_size(&mut self, size: u32) {
        self.stored_size = Some(size);
    }

    /// Records that the store may have parts.
    pub(super) fn add_stored(&mut self, keys: impl IntoIterator<Item = PartKey>) {
        self.stored.extend(keys);
    }

    /// Removes and returns the parts that the store may have.
    pub(super) fn take_stored(&mut self) -> BTreeSet<PartKey> {
        std::mem::take(&mut self.stored)
    }
}

/// Order of a job's tasks by occurrence, step and index.
#[derive(Clone, Debug)]
struct TaskOrder {
    tasks_per_occurrence: u64,
    /// Number of tasks in the steps before each step.
    offsets: Vec<u64>,
}

impl TaskOrder {
    fn new(spec: &JobSpec) -> Self {
        let mut offset = 0;
        let offsets = spec.steps.iter().map(|step| {
            let before = offset;
            offset += u64::from(step.count);
            before
        });
        Self {
            offsets: offsets.collect(),
            tasks_per_occurrence: spec.tasks_per_occurrence(),
        }
    }

    /// Returns the position of a step's first task.
    fn first_of(&self, occurrence: u32, step: usize) -> u64 {
        let offset = self.offsets.get(step).copied().unwrap_or(0);
        u64::from(occurrence).saturating_mul(self.tasks_per_occurrence) + offset
    }

    fn position(&self, task: TaskId) -> u64 {
        let first = self.first_of(task.step.occurrence, task.step.step as usize);
        first + u64::from(task.index)
    }
}

/// A part of a job's progress.
#[derive(Clone, Debug)]
pub(super) struct Part {
    order: TaskOrder,
    positions: Range<u64>,
}

impl Part {
    /// Returns the indices of the tasks of a step that belong to the part, of `count` in all.
    pub(super) fn indices(&self, occurrence: u32, step: usize, count: usize) -> Range<usize> {
        let first = self.order.first_of(occurrence, step);
        let index = |position: u64| {
            let index = position.saturating_sub(first);
            usize::try_from(index).map_or(count, |index| index.min(count))
        };
        index(self.positions.start)..index(self.positions.end)
    }
}

impl Job {
    /// Splits the progress so that each of its records fits into `max_record_bytes`.
    pub(super) fn split_progress(&mut self, max_record_bytes: usize) {
        let attempts = self.record.policy.max_attempts.clamp(1, MAX_ATTEMPTS) as usize;
        let task_bytes = TASK_BYTES
            + MAX_CHECKPOINT_BYTES
            + attempts * FAILURE_BYTES
            + evidence::MAX_RECORDS * CRASH_BYTES;
        let fitting = max_record_bytes.saturating_sub(RESERVED_BYTES) / task_bytes;
        let fitting = u32::try_from(fitting.max(1)).unwrap_or(u32::MAX);
        let occurrences = u64::from(self.record.spec.occurrences());
        let tasks = occurrences.saturating_mul(self.record.spec.tasks_per_occurrence());
        self.parts.size = if tasks <= u64::from(fitting) {
            0
        } else {
            fitting
        };
    }

    /// Returns the key of a part.
    pub(super) fn part_key(&self, number: u64) -> PartKey {
        PartKey {
            job: self.id,
            tasks: self.parts.size,
            number,
        }
    }

    /// Returns a part.
    pub(super) fn part(&self, number: u64) -> Part {
        let size = u64::from(self.parts.size);
        let first = number.saturating_mul(size);
        Part {
            order: TaskOrder::new(&self.record.spec),
            positions: first..first.saturating_add(size),
        }
    }

    /// Returns the parts to be written after a change of some tasks. If the job's record in the store is
    /// split otherwise, these are all parts, as the next record makes only them count.
    pub(super) fn changed_parts(&self, changed: &ChangedTasks) -> BTreeSet<u64> {
        let size = u64::from(self.parts.size);
        if size == 0 {
            return BTreeSet::new();
        }
        let is_split_alike = self.parts.stored_size == Some(self.parts.size);
        match changed {
            ChangedTasks::Some(tasks) if is_split_alike => {
                let order = TaskOrder::new(&self.record.spec);
                let is_open = |task: &&TaskId| {
                    let mut open = self.open_occurrences();
                    open.any(|occ| occ.number == task.step.occurrence)
                };
                let open = tasks.iter().filter(is_open);
                open.map(|task| order.position(*task) / size).collect()
            }
            ChangedTasks::Some(_) | ChangedTasks::All => self.open_parts(),
        }
    }

    /// Returns the parts that have tasks of occurrences that have begun and are not completed.
    fn open_parts(&self) -> BTreeSet<u64> {
        let size = u64::from(self.parts.size);
        let order = TaskOrder::new(&self.record.spec);
        let open = self.open_occurrences().flat_map(|occurrence| {
            let first = order.first_of(occurrence.number, 0);
            let end = first + order.tasks_per_occurrence;
            first / size..end.div_ceil(size)
        });
        open.collect()
    }

    /// Removes and returns the stored parts that have no progress: the `empty` ones, those of completed
    /// occurrences, and those of another size. The job's record in the store must not refer to them any
    /// more when they are deleted.
    pub(super) fn take_unused_parts(&mut self, empty: &[PartKey]) -> Vec<PartKey> {
        self.parts.stored_size = Some(self.parts.size);
        if self.parts.stored.is_empty() {
            return Vec::new();
        }
        let open = if self.parts.size == 0 {
            BTreeSet::new()
        } else {
            self.open_parts()
        };
        let size = self.parts.size;
        let is_unused =
            |key: &PartKey| key.tasks != size || !open.contains(&key.number) || empty.contains(key);
        self.parts.stored.extract_if(.., is_unused).collect()
    }
}
