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
    pub(crate) fn min_size(&self) -> Resources {
        Resources {
            cpu_milli: min_of_step(self.cpu_step),
            memory_mib: min_of_step(self.memory_step),
            accelerators: self.accelerators,
        }
    }
}

/// Returns the min_size amount of a log_step.
fn min_of_step(log_step: u32) -> u64 {
    if log_step < 8 {
        return u64::from(log_step);
    }
    u64::from(8 + log_step % 8) << (log_step / 8 - 3)
}

/// Returns the log_step of an amount; amounts of one log_step differ by less than an eighth.
pub(crate) fn log_step(amount: u64) -> u32 {
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
pub(crate) struct CompactSize {
    cpu_milli: u32,
    memory_mib: u32,
    pub(crate) accelerators: u32,
    /// Greater than zero for gangs, which fit in no room.
    gang: u32,
}

impl CompactSize {
    pub(crate) fn new(size: Resources, gang: bool) -> Self {
        let narrow = |amount: u64| u32::try_from(amount).unwrap_or(u32::MAX);
        Self {
            cpu_milli: narrow(size.cpu_milli),
            memory_mib: narrow(size.memory_mib),
            accelerators: narrow(size.accelerators),
            gang: u32::from(gang),
        }
    }

    pub(crate) fn fits_in(self, room: Self) -> bool {
        self.cpu_milli <= room.cpu_milli
            && self.memory_mib <= room.memory_mib
            && self.accelerators <= room.accelerators
            && self.gang <= room.gang
    }
}
