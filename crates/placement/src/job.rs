//! Jobs and the state of each of their tasks.

use kspan_model::{JobId, JobResult, Millis, Name, Priority, Resources, TaskId};
use rustc_hash::FxHashMap;
use smallvec::SmallVec;

use crate::{
    TaskState,
    spec::{JobKind, JobSpec},
    team::TeamNo,
    worker::{RackNo, WorkerNo},
};

/// Number of a job within its cell.
pub(crate) type JobNo = u32;

/// Marks a task without a worker.
pub(crate) const NO_WORKER: WorkerNo = WorkerNo::MAX;

#[derive(Clone, Debug)]
pub(crate) struct Slot {
    pub(crate) state: TaskState,
    pub(crate) attempt: u32,
    pub(crate) worker: WorkerNo,
    /// Failures that count against the job.
    pub(crate) failures: u32,
    /// Failures that were not counted because the worker was under suspicion.
    pub(crate) forgiven: u32,
    pub(crate) size: Resources,
    pub(crate) usage: Resources,
    /// When the present state began, as far as waiting and running are concerned.
    pub(crate) since: Millis,
    /// The task's work is done; its index is not started again.
    pub(crate) finished: bool,
}

/// Where a waiting job stands in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct QueueEntry {
    pub(crate) class: u32,
    pub(crate) key: u64,
}

#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) spec: JobSpec,
    pub(crate) team: TeamNo,
    pub(crate) slots: Vec<Slot>,
    /// Indexes that wait for a worker, the next one last.
    pub(crate) pending: Vec<u32>,
    pub(crate) entry: Option<QueueEntry>,
    /// Whether any start was ever decided or found.
    pub(crate) started: bool,
    /// Tasks that hold a worker.
    pub(crate) active: u32,
    /// Tasks whose work is done.
    pub(crate) finished: u32,
    /// Set when the job only waits for its tasks to end.
    pub(crate) ending: Option<(JobResult, Name)>,
    /// Set while a gang waits for all its tasks to end before it starts again.
    pub(crate) restarting: bool,
    /// Failures of the gang as a whole.
    pub(crate) failures: u32,
    /// When the retry that was put off last is due.
    pub(crate) backoff_until: Millis,
    /// Tasks for which capacity is held back.
    pub(crate) reserved: u32,
    pub(crate) no_reservation_before: Millis,
    /// Levels of priority that the job has gained by waiting.
    pub(crate) promoted: u32,
    /// Workers on which a task of the job failed, counted each time anew.
    pub(crate) failed_workers: u32,
    /// Workers on which a task of the job failed.
    pub(crate) avoid: SmallVec<[WorkerNo; 4]>,
    /// Tasks in each rack, kept where the job is spread.
    pub(crate) racks: FxHashMap<RackNo, u32>,
}

impl Job {
    pub(crate) fn new(spec: JobSpec, team: TeamNo) -> Self {
        let slots = (0..spec.tasks)
            .map(|_| Slot::new(spec.shape.size, spec.submitted))
            .collect();
        let pending = (0..spec.tasks).rev().collect();
        Self {
            spec,
            team,
            slots,
            pending,
            entry: None,
            started: false,
            active: 0,
            finished: 0,
            ending: None,
            restarting: false,
            failures: 0,
            backoff_until: Millis::ZERO,
            reserved: 0,
            no_reservation_before: Millis::ZERO,
            promoted: 0,
            failed_workers: 0,
            avoid: SmallVec::new(),
            racks: FxHashMap::default(),
        }
    }

    pub(crate) fn task(&self, index: u32) -> TaskId {
        TaskId::new(self.spec.id, index, self.slots[index as usize].attempt)
    }

    /// Returns the priority with what the job has gained by waiting.
    pub(crate) fn priority(&self) -> Priority {
        let mut priority = self.spec.priority;
        for _ in 0..self.promoted {
            priority = match priority {
                Priority::Low => Priority::Normal,
                Priority::Normal | Priority::High => Priority::High,
                Priority::Urgent => Priority::Urgent,
            };
        }
        priority
    }

    pub(crate) fn is_gang(&self) -> bool {
        matches!(self.spec.kind, JobKind::Gang { .. })
    }

    /// Returns how many tasks wait, whether or not their turn has come.
    pub(crate) fn waiting(&self) -> usize {
        let slots = self.slots.iter().take(self.spec.tasks as usize);
        slots.filter(|slot| slot.state == TaskState::Queued).count()
    }

    pub(crate) fn is_service(&self) -> bool {
        self.spec.kind == JobKind::Service
    }

    /// Returns the slot of the task if this very attempt holds a worker.
    pub(crate) fn current(&self, task: TaskId) -> Option<&Slot> {
        let slot = self.slots.get(task.index as usize)?;
        (slot.attempt == task.attempt && slot.state.holds_worker()).then_some(slot)
    }

    /// Returns what must be committed at once for the next start.
    pub(crate) fn next_need(&self) -> Resources {
        if self.is_gang() {
            self.spec.shape.size.times(u64::from(self.spec.tasks))
        } else {
            self.spec.shape.size
        }
    }

    pub(crate) fn is_spread(&self) -> bool {
        self.is_service() || self.spec.spread != kspan_model::document::Spread::None
    }
}

impl Slot {
    pub(crate) fn new(size: Resources, since: Millis) -> Self {
        Self {
            state: TaskState::Queued,
            attempt: 0,
            worker: NO_WORKER,
            failures: 0,
            forgiven: 0,
            size,
            usage: Resources::ZERO,
            since,
            finished: false,
        }
    }

    /// Returns whether the task was told to go.
    pub(crate) fn is_leaving(&self) -> bool {
        matches!(self.state, TaskState::Checkpointing | TaskState::Stopping)
    }

    /// Moves the task to another state.
    ///
    /// # Panics
    ///
    /// Panics if the table of moves does not allow it.
    pub(crate) fn become_state(&mut self, next: TaskState) {
        assert!(
            self.state.can_transition_to(next),
            "a task may not go from {} to {next}",
            self.state
        );
        self.state = next;
    }
}

/// All jobs that have not ended.
#[derive(Clone, Debug, Default)]
pub(crate) struct Jobs {
    slots: Vec<Option<Job>>,
    vacant: Vec<JobNo>,
    by_id: FxHashMap<JobId, JobNo>,
}

impl Jobs {
    pub(crate) fn number(&self, id: JobId) -> Option<JobNo> {
        self.by_id.get(&id).copied()
    }

    pub(crate) fn get(&self, number: JobNo) -> &Job {
        self.slots[number as usize]
            .as_ref()
            .expect("numbers of forgotten jobs are not kept")
    }

    pub(crate) fn get_mut(&mut self, number: JobNo) -> &mut Job {
        self.slots[number as usize]
            .as_mut()
            .expect("numbers of forgotten jobs are not kept")
    }

    pub(crate) fn insert(&mut self, job: Job) -> JobNo {
        let id = job.spec.id;
        let number = self.vacant.pop().unwrap_or_else(|| {
            self.slots.push(None);
            JobNo::try_from(self.slots.len() - 1).expect("jobs are numbered in 32 bits")
        });
        self.slots[number as usize] = Some(job);
        self.by_id.insert(id, number);
        number
    }

    pub(crate) fn remove(&mut self, number: JobNo) -> Job {
        let job = self.slots[number as usize]
            .take()
            .expect("numbers of forgotten jobs are not kept");
        self.by_id.remove(&job.spec.id);
        self.vacant.push(number);
        job
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (JobNo, &Job)> {
        (0..)
            .zip(&self.slots)
            .filter_map(|(number, slot)| slot.as_ref().map(|job| (number, job)))
    }

    pub(crate) fn len(&self) -> usize {
        self.by_id.len()
    }
}
