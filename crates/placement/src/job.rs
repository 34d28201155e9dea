//! Jobs and the state of their tasks.

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

/// State of the task at one index of a job, across its attempts.
#[derive(Clone, Debug)]
pub(crate) struct Slot {
    pub(crate) state: TaskState,
    pub(crate) attempt: u32,
    pub(crate) worker: WorkerNo,
    /// Failures counted against the job.
    pub(crate) failures: u32,
    /// Failures not counted against the job because the worker is at fault.
    pub(crate) exempt_failures: u32,
    pub(crate) size: Resources,
    pub(crate) usage: Resources,
    /// When the task was last queued, placed or reported as running.
    pub(crate) since: Millis,
    /// The task has completed; its index is not started again.
    pub(crate) finished: bool,
}

/// Position of a queued job.
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
    /// Indexes of tasks waiting for a worker, the next one last.
    pub(crate) pending: Vec<u32>,
    /// Position in the queue; `None` while the job is not queued.
    pub(crate) entry: Option<QueueEntry>,
    /// Whether a start was ever decided or a task adopted.
    pub(crate) started: bool,
    /// Number of tasks that hold a worker.
    pub(crate) active: u32,
    /// Number of completed tasks.
    pub(crate) finished: u32,
    /// Result and reason, set once the job only waits for its tasks to end.
    pub(crate) ending: Option<(JobResult, Name)>,
    /// Set while a gang waits for all its tasks to end before it restarts.
    pub(crate) restarting: bool,
    /// Failures of all tasks that are counted against the job; limits the retries of a gang.
    pub(crate) failures: u32,
    /// When the most recently scheduled retry is due.
    pub(crate) backoff_until: Millis,
    /// Number of tasks with reserved capacity.
    pub(crate) reserved: u32,
    pub(crate) no_reservation_before: Millis,
    /// Number of priority levels gained by waiting.
    pub(crate) promoted: u32,
    /// Number of times a worker was added to `avoid`; does not decrease when the list is cleared.
    pub(crate) failed_workers: u32,
    /// Workers on which a task of the job failed or was refused.
    pub(crate) avoid: SmallVec<[WorkerNo; 4]>,
    /// Tasks per rack, maintained only for jobs that are spread.
    pub(crate) tasks_per_rack: FxHashMap<RackNo, u32>,
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
            tasks_per_rack: FxHashMap::default(),
        }
    }

    pub(crate) fn task(&self, index: u32) -> TaskId {
        TaskId::new(self.spec.id, index, self.slots[index as usize].attempt)
    }

    /// Returns the priority including promotions.
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

    /// Returns the number of queued tasks, including those in backoff.
    pub(crate) fn queued_tasks(&self) -> usize {
        let slots = self.slots.iter().take(self.spec.tasks as usize);
        slots.filter(|slot| slot.state == TaskState::Queued).count()
    }

    pub(crate) fn is_service(&self) -> bool {
        self.spec.kind == JobKind::Service
    }

    /// Returns the slot of the task if exactly this attempt holds a worker.
    pub(crate) fn active_slot(&self, task: TaskId) -> Option<&Slot> {
        let slot = self.slots.get(task.index as usize)?;
        (slot.attempt == task.attempt && slot.state.holds_worker()).then_some(slot)
    }

    /// Returns the resources that the next start commits at once.
    pub(crate) fn next_need(&self) -> Resources {
        if self.is_gang() {
            self.spec
                .shape
                .size
                .saturating_mul(u64::from(self.spec.tasks))
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
            exempt_failures: 0,
            size,
            usage: Resources::ZERO,
            since,
            finished: false,
        }
    }

    /// Returns whether the task is stopping or checkpointing.
    pub(crate) fn is_vacating(&self) -> bool {
        matches!(self.state, TaskState::Checkpointing | TaskState::Stopping)
    }

    /// Moves the task to another state.
    ///
    /// # Panics
    ///
    /// Panics if [`TRANSITIONS`](crate::TRANSITIONS) does not allow it.
    pub(crate) fn transition_to(&mut self, next: TaskState) {
        assert!(
            self.state.can_transition_to(next),
            "invalid task transition from {} to {next}",
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
            .expect("the number of a removed job is not used")
    }

    pub(crate) fn get_mut(&mut self, number: JobNo) -> &mut Job {
        self.slots[number as usize]
            .as_mut()
            .expect("the number of a removed job is not used")
    }

    pub(crate) fn insert(&mut self, job: Job) -> JobNo {
        let id = job.spec.id;
        let number = self.vacant.pop().unwrap_or_else(|| {
            self.slots.push(None);
            JobNo::try_from(self.slots.len() - 1).expect("jobs fit in 32-bit numbers")
        });
        self.slots[number as usize] = Some(job);
        self.by_id.insert(id, number);
        number
    }

    pub(crate) fn remove(&mut self, number: JobNo) -> Job {
        let job = self.slots[number as usize]
            .take()
            .expect("the number of a removed job is not used");
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
