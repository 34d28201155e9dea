//! What jobs that are tried alike have in common, and what a class of them needs.

use kspan_model::{Priority, Resources};

/// What jobs of one class have in common.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct ClassKey {
    pub(crate) priority: Priority,
    pub(crate) gang: bool,
    pub(crate) service: bool,
    /// Whether the task can be checkpointed, which decides where it may backfill.
    pub(crate) checkpoint: bool,
    pub(crate) accelerators: u64,
    /// Processor time and memory in steps of an eighth of their size.
    pub(crate) cpu_step: u32,
    pub(crate) memory_step: u32,
}

impl ClassKey {
    /// Returns a size that no job of the class falls below.
    pub(crate) fn smallest(&self) -> Resources {
        Resources {
            cpu_milli: smallest_of(self.cpu_step),
            memory_mib: smallest_of(self.memory_step),
            accelerators: self.accelerators,
        }
    }
}

/// Returns the smallest amount of a step.
fn smallest_of(step: u32) -> u64 {
    if step < 8 {
        return u64::from(step);
    }
    u64::from(8 + step % 8) << (step / 8 - 3)
}

/// Returns the step of an amount; amounts of one step differ by less than an eighth.
pub(crate) fn step(amount: u64) -> u32 {
    if amount < 8 {
        return u32::try_from(amount).expect("less than eight");
    }
    let octave = amount.ilog2();
    let eighth = (amount >> (octave - 3)) & 7;
    octave * 8 + u32::try_from(eighth).expect("less than eight")
}

/// What a class set aside needs, in few bytes. An amount too large for its field is taken for
/// less, which costs a vain try at most.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Needs {
    cpu_milli: u32,
    memory_mib: u32,
    pub(crate) accelerators: u32,
    /// Greater than zero for gangs, which fit in no room.
    gang: u32,
}

impl Needs {
    pub(crate) fn new(size: Resources, gang: bool) -> Self {
        let narrow = |amount: u64| u32::try_from(amount).unwrap_or(u32::MAX);
        Self {
            cpu_milli: narrow(size.cpu_milli),
            memory_mib: narrow(size.memory_mib),
            accelerators: narrow(size.accelerators),
            gang: u32::from(gang),
        }
    }

    pub(crate) fn fit_in(self, room: Self) -> bool {
        self.cpu_milli <= room.cpu_milli
            && self.memory_mib <= room.memory_mib
            && self.accelerators <= room.accelerators
            && self.gang <= room.gang
    }
}
