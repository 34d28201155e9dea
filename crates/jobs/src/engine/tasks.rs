//! State of the tasks of a step.
//!
//! A job of a few hundred bytes may have a hundred thousand tasks, most of which have not begun or are done.
//! Tasks are kept in chunks, and a chunk whose tasks are alike keeps one state for all of them.

use std::ops::{Index, IndexMut};

use super::task::{Task, TaskState};

/// Number of tasks in a chunk. Alike tasks take this fraction of the memory of different ones.
const CHUNK_TASKS: usize = 64;

/// Maximum memory of a task with its part of a chunk's own, in bytes.
pub(super) const MAX_TASK_BYTES: usize =
    size_of::<Task>() + size_of::<Chunk>().div_ceil(CHUNK_TASKS);

/// Neighbouring tasks of a step.
#[derive(Clone, Debug)]
enum Chunk {
    /// All tasks have this state.
    Alike(Box<Task>),
    /// State of each task.
    Each(Box<[Task]>),
}

/// The tasks of a step.
#[derive(Clone, Debug)]
pub(super) struct Tasks {
    count: usize,
    chunks: Vec<Chunk>,
}

impl Tasks {
    /// Creates `count` tasks of the same state.
    pub(super) fn new(task: &Task, count: usize) -> Self {
        let chunk = Chunk::Alike(Box::new(task.clone()));
        Self {
            count,
            chunks: vec![chunk; count.div_ceil(CHUNK_TASKS)],
        }
    }

    /// Returns the number of tasks.
    pub(super) fn len(&self) -> usize {
        self.count
    }

    /// Returns a task.
    pub(super) fn get(&self, index: usize) -> Option<&Task> {
        (index < self.count).then(|| &self[index])
    }

    /// Returns a task.
    pub(super) fn get_mut(&mut self, index: usize) -> Option<&mut Task> {
        (index < self.count).then(|| &mut self[index])
    }

    /// Returns the tasks by index.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Task> + Clone {
        (0..self.count).map(|index| &self[index])
    }

    /// Applies a change to each task. It must depend on the task's state alone.
    pub(super) fn change_all(&mut self, mut change: impl FnMut(&mut Task)) {
        for chunk in &mut self.chunks {
            match chunk {
                Chunk::Alike(task) => change(task),
                Chunk::Each(tasks) => tasks.iter_mut().for_each(&mut change),
            }
        }
    }

    /// Marks the tasks as verified that may run unseen and for whose index `is_verified` holds.
    pub(super) fn verify(&mut self, is_verified: impl Fn(usize) -> bool) {
        for number in 0..self.chunks.len() {
            let first = number * CHUNK_TASKS;
            let indices = first..self.count.min(first + CHUNK_TASKS);
            if let Chunk::Alike(task) = &mut self.chunks[number] {
                if !task.may_run_unseen() {
                    continue;
                }
                let verified = indices.clone().filter(|&index| is_verified(index)).count();
                if verified == 0 {
                    continue;
                }
                if verified == indices.len() {
                    task.verify();
                    continue;
                }
            }
            for index in indices {
                if self[index].may_run_unseen() && is_verified(index) {
                    self[index].verify();
                }
            }
        }
    }

    /// Keeps one state for the chunk of the task if all its tasks are done and differ only in what does not
    /// matter any more.
    pub(super) fn merge_done(&mut self, index: usize) {
        let chunk = &mut self.chunks[index / CHUNK_TASKS];
        let Chunk::Each(tasks) = chunk else {
            return;
        };
        let Some((first, others)) = tasks.split_first() else {
            return;
        };
        let is_alike = |task: &Task| {
            task.run == first.run
                && task.unverified == first.unverified
                && task.checkpoint == first.checkpoint
        };
        let is_plain = |task: &Task| {
            task.state == TaskState::Done
                && task.failures.is_empty()
                && task.crashes.records().is_empty()
                && !task.unaccounted
                && task.orphan.is_none()
        };
        let are_alike =
            is_plain(first) && others.iter().all(|task| is_plain(task) && is_alike(task));
        if are_alike && !others.is_empty() {
            let shared = Box::new(first.clone());
            *chunk = Chunk::Alike(shared);
        }
    }
}

impl Index<usize> for Tasks {
    type Output = Task;

    fn index(&self, index: usize) -> &Task {
        assert!(index < self.count, "no task {index} of {}", self.count);
        match &self.chunks[index / CHUNK_TASKS] {
            Chunk::Alike(task) => task,
            Chunk::Each(tasks) => &tasks[index % CHUNK_TASKS],
        }
    }
}

impl IndexMut<usize> for Tasks {
    fn index_mut(&mut self, index: usize) -> &mut Task {
        assert!(index < self.count, "no task {index} of {}", self.count);
        let number = index / CHUNK_TASKS;
        let chunk = &mut self.chunks[number];
        if let Chunk::Alike(task) = chunk {
            let count = CHUNK_TASKS.min(self.count - number * CHUNK_TASKS);
            *chunk = Chunk::Each(vec![Task::clone(task); count].into());
        }
        match chunk {
            Chunk::Alike(task) => task,
            Chunk::Each(tasks) => &mut tasks[index % CHUNK_TASKS],
        }
    }
}
