//! Index of workers by free capacity.
//!
//! Workers are kept in the cells of a grid: by the exact number of free accelerators, and by free
//! CPU and memory in quarter octaves. Bit masks mark the cells in use, so that a search visits only
//! those that can hold the task, those with the least free capacity first. The cost of a search
//! depends on the number of workers visited, not on their total number.
//!
//! The index does not score workers: it yields candidates, and the caller chooses.

use kspan_model::Resources;

/// Number of buckets for CPU and for memory, one per bit of a mask.
const BUCKETS: usize = 64;
/// Buckets in one octave.
const BUCKETS_PER_OCTAVE: u64 = 4;
/// Amounts below two to this power share the first bucket.
const MIN_OCTAVE: u64 = 6;
/// Number of levels: workers without accelerators, then those with 0 to 15 or more free ones.
const LEVELS: usize = 17;
/// Marks a worker that is not in the index.
const ABSENT: u32 = u32::MAX;

/// Returns the bucket of an amount; the mapping is monotonic.
fn bucket(amount: u64) -> usize {
    if amount < 1 << MIN_OCTAVE {
        return 0;
    }
    let octave = u64::from(amount.ilog2());
    let quarter = (amount >> (octave - 2)) & (BUCKETS_PER_OCTAVE - 1);
    let raw = (octave - MIN_OCTAVE) * BUCKETS_PER_OCTAVE + quarter;
    usize::try_from(raw).map_or(BUCKETS - 1, |raw| raw.min(BUCKETS - 1))
}

/// Returns a mask of the buckets at or above `from`.
const fn mask_from(from: usize) -> u64 {
    u64::MAX << from
}

#[derive(Clone, Copy, Debug)]
struct Location {
    cell: u32,
    position: u32,
}

#[derive(Clone, Debug)]
struct Level {
    cpu_mask: u64,
    memory_masks: Box<[u64; BUCKETS]>,
    cells: Box<[Vec<u32>]>,
}

impl Level {
    fn new() -> Self {
        Self {
            cpu_mask: 0,
            memory_masks: Box::new([0; BUCKETS]),
            cells: vec![Vec::new(); BUCKETS * BUCKETS].into_boxed_slice(),
        }
    }
}

/// How a search continues.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Visit {
    /// Visit the next candidate.
    Next,
    /// Skip to the next cell of the grid.
    NextCell,
    /// End the search.
    Stop,
}

/// Index of workers by free capacity.
#[derive(Clone, Debug)]
pub(crate) struct FreeIndex {
    levels: Vec<Level>,
    locations: Vec<Location>,
}

impl FreeIndex {
    /// Creates an empty index.
    pub(crate) fn new() -> Self {
        Self {
            levels: (0..LEVELS).map(|_| Level::new()).collect(),
            locations: Vec::new(),
        }
    }

    /// Inserts a worker, or moves it to the cell for its free capacity.
    pub(crate) fn update(&mut self, worker: u32, free: Resources, accelerated: bool) {
        let level = level_of(free.accelerators, accelerated);
        let cpu = bucket(free.cpu_milli);
        let memory = bucket(free.memory_mib);
        let cell = cell_number(level, cpu, memory);
        let slot = worker as usize;
        if slot >= self.locations.len() {
            let absent = Location {
                cell: ABSENT,
                position: 0,
            };
            self.locations.resize(slot + 1, absent);
        }
        if self.locations[slot].cell == cell {
            return;
        }
        self.remove(worker);
        let level = &mut self.levels[level];
        let members = &mut level.cells[cpu * BUCKETS + memory];
        let position = u32::try_from(members.len()).expect("workers fit in 32-bit numbers");
        members.push(worker);
        level.cpu_mask |= 1 << cpu;
        level.memory_masks[cpu] |= 1 << memory;
        self.locations[slot] = Location { cell, position };
    }

    /// Removes a worker, if present.
    pub(crate) fn remove(&mut self, worker: u32) {
        let Some(location) = self.locations.get_mut(worker as usize) else {
            return;
        };
        if location.cell == ABSENT {
            return;
        }
        let Location { cell, position } = *location;
        location.cell = ABSENT;
        let cell = cell as usize;
        let inner = cell % (BUCKETS * BUCKETS);
        let level = &mut self.levels[cell / (BUCKETS * BUCKETS)];
        let members = &mut level.cells[inner];
        members.swap_remove(position as usize);
        if let Some(&moved) = members.get(position as usize) {
            self.locations[moved as usize].position = position;
        }
        if members.is_empty() {
            let cpu = inner / BUCKETS;
            level.memory_masks[cpu] &= !(1 << (inner % BUCKETS));
            if level.memory_masks[cpu] == 0 {
                level.cpu_mask &= !(1 << cpu);
            }
        }
    }

    /// Visits the workers whose cell may hold `need`, in order of ascending free capacity of the
    /// cells. Workers in cells on the boundary may still be too small. Within a cell the search
    /// starts at `offset`, so that repeated searches visit different workers. The visitor receives
    /// the number of the cell and the worker.
    pub(crate) fn search(
        &self,
        need: Resources,
        offset: usize,
        mut visit: impl FnMut(u32, u32) -> Visit,
    ) {
        for number in levels_for(need.accelerators) {
            let level = &self.levels[number];
            let mut cpus = level.cpu_mask & mask_from(bucket(need.cpu_milli));
            while cpus != 0 {
                let cpu = cpus.trailing_zeros() as usize;
                cpus &= cpus - 1;
                let mut memories = level.memory_masks[cpu] & mask_from(bucket(need.memory_mib));
                while memories != 0 {
                    let memory = memories.trailing_zeros() as usize;
                    memories &= memories - 1;
                    let members = &level.cells[cpu * BUCKETS + memory];
                    let cell = cell_number(number, cpu, memory);
                    if !visit_cell(members, offset, |worker| visit(cell, worker)) {
                        return;
                    }
                }
            }
        }
    }
}

fn visit_cell(members: &[u32], offset: usize, mut visit: impl FnMut(u32) -> Visit) -> bool {
    let start = offset % members.len().max(1);
    let (before, after) = members.split_at(start);
    for &worker in after.iter().chain(before) {
        match visit(worker) {
            Visit::Next => {}
            Visit::NextCell => return true,
            Visit::Stop => return false,
        }
    }
    true
}

fn level_of(free_accelerators: u64, accelerated: bool) -> usize {
    if !accelerated {
        return 0;
    }
    1 + usize::try_from(free_accelerators).map_or(LEVELS - 2, |free| free.min(LEVELS - 2))
}

/// Returns the levels that may hold a task, beginning with those that strand the fewest
/// accelerators.
fn levels_for(accelerators: u64) -> std::ops::Range<usize> {
    if accelerators == 0 {
        return 0..LEVELS;
    }
    level_of(accelerators, true)..LEVELS
}

fn cell_number(level: usize, cpu: usize, memory: usize) -> u32 {
    let number = (level * BUCKETS + cpu) * BUCKETS + memory;
    u32::try_from(number).expect("the grid has fewer than 2^32 cells")
}
