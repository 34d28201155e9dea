//! Job classes: groups of similar jobs that share one placement attempt.

use kspan_model::{Priority, Resources};

/// Properties shared by all jobs of a class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct ClassKey {
    pub(crate) priority: Priority,
    pub(crate) gang: bool,
    pub(crate) service: bool,
    /// Whether the task can be checkpointed, which decides where it may be backfilled.
    pub(crate) checkpoint: bool,
    pub(crate) accelerators: u64,
    /// CPU and memory on a logarithmic scale with eight steps per octave.
    pub(crate) cpu_step: u32,
    pub(crate) memory_step: u32,
}

impl ClassKey {
    /// Returns a lower bound on the size of the class's jobs.
    pub(crate) fn min_size(&self) -> Resources {
        Resources {
            cpu_milli: min_of_step(self.cpu_step),
            memory_mib: min_of_step(self.memory_step),
            accelerators: self.accelerators,
        }
    }
}

/// Returns the smallest amount in a step.
fn min_of_step(step: u32) -> u64 {
    if step < 8 {
        return u64::from(step);
    }
    u64::from(8 + step % 8) << (step / 8 - 3)
}

/// Returns the step of an amount; amounts in the same step differ by less than an eighth.
pub(crate) fn log_step(amount: u64) -> u32 {
    if amount < 8 {
        return u32::try_from(amount).expect("less than eight fits in 32 bits");
    }
    let octave = amount.ilog2();
    let eighth = (amount >> (octave - 3)) & 7;
    octave * 8 + u32::try_from(eighth).expect("less than eight fits in 32 bits")
}

/// Size needed by a blocked class, in compact form. An amount too large for its field saturates,
/// which at worst causes a futile placement attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CompactSize {
    cpu_milli: u32,
    memory_mib: u32,
    pub(crate) accelerators: u32,
    /// Greater than zero for gangs, which therefore never fit in the free capacity of one worker.
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
