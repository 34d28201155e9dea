//! Workers of the shard and the capacity committed on them.
//!
//! Commitments count requested sizes rather than reported usage, because usage reports lag.

use kspan_model::{Millis, Name, Resources};
use rustc_hash::FxHashMap;
use smallvec::SmallVec;

use crate::{health::Health, index::FreeIndex, spec::WorkerState};

/// Number of a worker within its cell.
pub(crate) type WorkerNo = u32;
/// Number of a rack within its cell.
pub(crate) type RackNo = u32;

/// A task by its job's number and its index.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TaskRef {
    pub(crate) job: u32,
    pub(crate) index: u32,
}

#[derive(Clone, Debug)]
pub(crate) struct Worker {
    pub(crate) name: Name,
    pub(crate) rack: RackNo,
    pub(crate) capacity: Resources,
    pub(crate) committed: Resources,
    /// Capacity held by reservations.
    pub(crate) reserved: Resources,
    /// When the reserved capacity is first needed.
    pub(crate) reserved_from: Millis,
    /// Sum of the latest reported usage of each task.
    pub(crate) usage: Resources,
    pub(crate) state: WorkerState,
    pub(crate) tasks: SmallVec<[TaskRef; 4]>,
    /// Number of orphaned tasks committed on the worker.
    pub(crate) orphans: u32,
    pub(crate) health: Health,
}

impl Worker {
    /// Returns the capacity used by neither tasks nor reservations.
    pub(crate) fn free(&self) -> Resources {
        let taken = self.committed.saturating_add(self.reserved);
        self.capacity.saturating_sub(taken)
    }

    /// Returns the capacity not used by tasks, including what is reserved.
    pub(crate) fn uncommitted(&self) -> Resources {
        self.capacity.saturating_sub(self.committed)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.tasks.is_empty() && self.orphans == 0
    }

    /// Returns whether new tasks may be placed on the worker.
    pub(crate) fn accepts_tasks(&self) -> bool {
        let trusted = self.health.accepts_tasks(self.is_empty());
        self.state == WorkerState::Available && trusted
    }
}

/// All workers, indexed by free capacity.
#[derive(Clone, Debug)]
pub(crate) struct Workers {
    slots: Vec<Option<Worker>>,
    vacant: Vec<WorkerNo>,
    by_name: FxHashMap<Name, WorkerNo>,
    racks: FxHashMap<Name, RackNo>,
    pub(crate) index: FreeIndex,
    /// Workers with reservations, by the capacity not used by tasks.
    pub(crate) backfill: FreeIndex,
    /// Capacity of all workers that are not gone.
    pub(crate) total: Resources,
    pub(crate) committed: Resources,
    /// Number of workers of each capacity that are not gone.
    shapes: FxHashMap<Resources, u32>,
}

impl Workers {
    pub(crate) fn new() -> Self {
        Self {
            slots: Vec::new(),
            vacant: Vec::new(),
            by_name: FxHashMap::default(),
            racks: FxHashMap::default(),
            index: FreeIndex::new(),
            backfill: FreeIndex::new(),
            total: Resources::ZERO,
            committed: Resources::ZERO,
            shapes: FxHashMap::default(),
        }
    }

    /// Returns the distinct worker capacities and the number of workers with each.
    pub(crate) fn shapes(&self) -> impl Iterator<Item = (Resources, u32)> {
        self.shapes.iter().map(|(&shape, &count)| (shape, count))
    }

    fn add_to_totals(&mut self, capacity: Resources) {
        self.total = self.total.saturating_add(capacity);
        *self.shapes.entry(capacity).or_insert(0) += 1;
    }

    fn remove_from_totals(&mut self, capacity: Resources) {
        self.total = self.total.saturating_sub(capacity);
        if let Some(count) = self.shapes.get_mut(&capacity) {
            *count -= 1;
            if *count == 0 {
                self.shapes.remove(&capacity);
            }
        }
    }

    pub(crate) fn number(&self, name: &Name) -> Option<WorkerNo> {
        self.by_name.get(name).copied()
    }

    pub(crate) fn get(&self, number: WorkerNo) -> &Worker {
        self.slots[number as usize]
            .as_ref()
            .expect("the number of a removed worker is not used")
    }

    pub(crate) fn get_mut(&mut self, number: WorkerNo) -> &mut Worker {
        self.slots[number as usize]
            .as_mut()
            .expect("the number of a removed worker is not used")
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (WorkerNo, &Worker)> {
        (0..)
            .zip(&self.slots)
            .filter_map(|(number, slot)| slot.as_ref().map(|worker| (number, worker)))
    }

    pub(crate) fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Returns the number of slots, including vacant ones; every worker's number is below it.
    pub(crate) fn slot_count(&self) -> usize {
        self.slots.len()
    }

    /// Returns the worker in a slot, if any.
    pub(crate) fn at(&self, slot: usize) -> Option<&Worker> {
        self.slots.get(slot)?.as_ref()
    }

    pub(crate) fn rack_or_add(&mut self, name: &Name) -> RackNo {
        if let Some(&rack) = self.racks.get(name) {
            return rack;
        }
        let rack = RackNo::try_from(self.racks.len()).expect("racks fit in 32-bit numbers");
        self.racks.insert(name.clone(), rack);
        rack
    }

    /// Returns the number of racks recorded; every rack's number is below it.
    pub(crate) fn racks(&self) -> usize {
        self.racks.len()
    }

    pub(crate) fn insert(&mut self, worker: Worker) -> WorkerNo {
        let name = worker.name.clone();
        if worker.state != WorkerState::Gone {
            self.add_to_totals(worker.capacity);
        }
        let number = self.vacant.pop().unwrap_or_else(|| {
            self.slots.push(None);
            WorkerNo::try_from(self.slots.len() - 1).expect("workers fit in 32-bit numbers")
        });
        self.slots[number as usize] = Some(worker);
        self.by_name.insert(name, number);
        self.reindex(number);
        number
    }

    pub(crate) fn set_capacity(&mut self, number: WorkerNo, capacity: Resources) {
        let worker = self.get_mut(number);
        let before = std::mem::replace(&mut worker.capacity, capacity);
        if worker.state != WorkerState::Gone {
            self.remove_from_totals(before);
            self.add_to_totals(capacity);
        }
        self.reindex(number);
    }

    pub(crate) fn set_state(&mut self, number: WorkerNo, state: WorkerState) {
        let worker = self.get_mut(number);
        let before = std::mem::replace(&mut worker.state, state);
        let capacity = worker.capacity;
        if before != WorkerState::Gone && state == WorkerState::Gone {
            self.remove_from_totals(capacity);
        }
        if before == WorkerState::Gone && state != WorkerState::Gone {
            self.add_to_totals(capacity);
        }
        self.reindex(number);
    }

    /// Removes a worker on which nothing is committed.
    pub(crate) fn remove(&mut self, number: WorkerNo) {
        self.index.remove(number);
        self.backfill.remove(number);
        let worker = self.slots[number as usize]
            .take()
            .expect("the number of a removed worker is not used");
        if worker.state != WorkerState::Gone {
            self.remove_from_totals(worker.capacity);
        }
        self.by_name.remove(&worker.name);
        self.vacant.push(number);
    }

    pub(crate) fn commit(&mut self, number: WorkerNo, size: Resources) {
        let worker = self.get_mut(number);
        worker.committed = worker.committed.saturating_add(size);
        self.committed = self.committed.saturating_add(size);
        self.reindex(number);
    }

    pub(crate) fn release(&mut self, number: WorkerNo, size: Resources) {
        let worker = self.get_mut(number);
        worker.committed = worker.committed.saturating_sub(size);
        self.committed = self.committed.saturating_sub(size);
        self.reindex(number);
    }

    pub(crate) fn reserve(&mut self, number: WorkerNo, size: Resources) {
        let worker = self.get_mut(number);
        worker.reserved = worker.reserved.saturating_add(size);
        self.reindex(number);
    }

    pub(crate) fn unreserve(&mut self, number: WorkerNo, size: Resources) {
        let worker = self.get_mut(number);
        worker.reserved = worker.reserved.saturating_sub(size);
        self.reindex(number);
    }

    /// Updates the index entries of a worker.
    pub(crate) fn reindex(&mut self, number: WorkerNo) {
        let worker = self.get(number);
        if worker.accepts_tasks() {
            let free = worker.free();
            let accelerated = worker.capacity.accelerators > 0;
            let uncommitted = worker.uncommitted();
            let is_reserved = !worker.reserved.is_zero();
            self.index.update(number, free, accelerated);
            if is_reserved {
                self.backfill.update(number, uncommitted, accelerated);
            } else {
                self.backfill.remove(number);
            }
        } else {
            self.index.remove(number);
            self.backfill.remove(number);
        }
    }
}
