//! A runner as its owner knows it: what it may have, what is left, and until when.
//!
//! Room is taken from the moment a start is ordered until an end is listed or it is proved that
//! the run neither is nor will be there.

use kspan_model::{Millis, Name, Resources};
use rustc_hash::FxHashMap;

use super::{Settings, health::Health, stall::Progress};
use crate::{id::TaskId, runner::RunnerEntry, spec::Sharing};

/// Index of a runner; never used again for another life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunnerIx(pub usize);

/// Slowest rate of a runner's clock against ours, in thousandths.
const SLOWEST_CLOCK_PERMILLE: u64 = 970;

/// How long a runner that still answers may be missing from the host list: entries that lapsed
/// while the list was away come back about two seconds after it.
const MISSING_GRACE: Millis = Millis(2_500);

/// A run that may be alive on a runner.
#[derive(Clone, Copy, Debug)]
pub(super) struct Placed {
    /// Room that it takes; `None` where nobody knows.
    pub(super) size: Option<Resources>,
    pub(super) sharing: Sharing,
    /// Event after which an inventory must list the run, or it is over.
    pub(super) proved: Option<u64>,
    /// When the last stop was ordered without an answer so far.
    pub(super) stop_sent: Option<Millis>,
    pub(super) progress: Progress,
}

/// A reading of the runner's clock.
#[derive(Clone, Copy, Debug)]
struct Reading {
    clock: Millis,
    at: Millis,
}

/// An acknowledgement that waits for its batch.
#[derive(Clone, Copy, Debug)]
pub(super) struct UnackedEnd {
    pub(super) number: u64,
    pub(super) batch: u64,
}

/// A runner.
#[derive(Clone, Debug)]
pub(super) struct Runner {
    pub(super) entry: RunnerEntry,
    /// Since when the host list no longer shows it.
    pub(super) missing_since: Option<Millis>,
    /// When this life was first heard of.
    pub(super) first_seen: Millis,
    /// Batch that makes it known to later owners.
    pub(super) kept_with: u64,
    /// Whether this life has ended for certain.
    pub(super) dead: bool,
    /// Whether it has answered under the owner's fence.
    pub(super) held: bool,
    pub(super) placed: FxHashMap<(TaskId, u32), Placed>,
    pub(super) used: Resources,
    /// Runs of unknown size.
    unsized_runs: usize,
    /// Runs that serve users of their own.
    serving_runs: usize,
    /// Runs that use what others leave.
    filling_runs: usize,
    pub(super) last_answer: Option<Millis>,
    pub(super) misses: u32,
    /// Whether its newest inventory had runs that may stand still.
    pub(super) has_suspects: bool,
    /// When its lease was first seen to have lapsed, since it last answered.
    pub(super) lapsed: Option<Millis>,
    /// Number of the newest end that was taken in.
    pub(super) last_end: u64,
    pub(super) unacked: Vec<UnackedEnd>,
    pub(super) health: Health,
    reading: Option<Reading>,
    latest_deadline: Millis,
}

impl Runner {
    /// Creates a runner that has not answered yet.
    pub(super) fn new(entry: RunnerEntry, now: Millis, kept_with: u64) -> Self {
        Self {
            entry,
            missing_since: None,
            first_seen: now,
            kept_with,
            dead: false,
            held: false,
            placed: FxHashMap::default(),
            used: Resources::ZERO,
            unsized_runs: 0,
            serving_runs: 0,
            filling_runs: 0,
            last_answer: None,
            misses: 0,
            has_suspects: false,
            lapsed: None,
            last_end: 0,
            unacked: Vec::new(),
            health: Health::default(),
            reading: None,
            latest_deadline: Millis::ZERO,
        }
    }

    /// Returns the room that nothing takes.
    pub(super) fn free(&self) -> Resources {
        let capacity = self.entry.capacity;
        Resources {
            cpu_milli: capacity.cpu_milli.saturating_sub(self.used.cpu_milli),
            memory_mib: capacity.memory_mib.saturating_sub(self.used.memory_mib),
            accelerators: capacity.accelerators.saturating_sub(self.used.accelerators),
        }
    }

    /// Returns whether the host list has not shown the runner for so long that it is to be treated
    /// as gone; it may still answer.
    pub(super) fn is_gone(&self, now: Millis) -> bool {
        self.missing_since
            .is_some_and(|since| now >= since + MISSING_GRACE)
    }

    /// Returns whether the runner was leaving when it was last listed, and is gone. One that is
    /// gone without a word may be cut off, and what it runs goes on as long as its lease.
    pub(super) fn has_left(&self, now: Millis) -> bool {
        self.entry.draining && self.is_gone(now)
    }

    /// Returns whether new work may be sent by an owner that was last confirmed at `confirmed`,
    /// and whose batches up to `durable` are.
    ///
    /// A later owner has to know each runner that may have work, also where the host list has
    /// forgotten it.
    ///
    /// A runner that has just started has seen no fence and would obey an owner of long ago, so
    /// the owner needs a proof that is younger than the runner. Beside a run of unknown size there
    /// is no room that is known to be free.
    pub(super) fn takes_work(&self, now: Millis, confirmed: Millis, durable: u64) -> bool {
        confirmed >= self.first_seen
            && self.kept_with <= durable
            && !self.is_gone(now)
            && self.held
            && !self.dead
            && !self.entry.draining
            && self.misses == 0
            && self.unsized_runs == 0
            && self.health.allows(now)
    }

    /// Returns whether a run would neither disturb those that serve nor be one that is disturbed.
    ///
    /// How much a filling task disturbs is known only after it has, so the two are kept on
    /// different runners.
    pub(super) fn suits(&self, sharing: Sharing) -> bool {
        match sharing {
            Sharing::Ordinary => true,
            Sharing::LatencySensitive => self.filling_runs == 0,
            Sharing::BestEffort => self.serving_runs == 0,
        }
    }

    /// Takes room for a run.
    pub(super) fn place(&mut self, task: TaskId, run: u32, placed: Placed) {
        if self.placed.insert((task, run), placed).is_some() {
            return;
        }
        match placed.size {
            Some(size) => self.used = self.used.saturating_add(size),
            None => self.unsized_runs += 1,
        }
        match placed.sharing {
            Sharing::Ordinary => {}
            Sharing::LatencySensitive => self.serving_runs += 1,
            Sharing::BestEffort => self.filling_runs += 1,
        }
    }

    /// Gives the room of a run back, and returns whether it had any.
    pub(super) fn release(&mut self, task: TaskId, run: u32) -> bool {
        let Some(placed) = self.placed.remove(&(task, run)) else {
            return false;
        };
        match placed.size {
            Some(size) => self.used = self.used.checked_sub(size).unwrap_or_default(),
            None => self.unsized_runs -= 1,
        }
        match placed.sharing {
            Sharing::Ordinary => {}
            Sharing::LatencySensitive => self.serving_runs -= 1,
            Sharing::BestEffort => self.filling_runs -= 1,
        }
        true
    }

    /// Notes an answer with a reading of the runner's clock.
    pub(super) fn heard(&mut self, clock: Millis, now: Millis) {
        if self.reading.is_none_or(|reading| clock >= reading.clock) {
            self.reading = Some(Reading { clock, at: now });
        }
        self.last_answer = Some(now);
        self.misses = 0;
        self.lapsed = None;
    }

    /// Returns the deadline for an order sent now, on the runner's clock, and notes it.
    pub(super) fn next_deadline(&mut self, cfg: &Settings, now: Millis) -> Option<Millis> {
        let reading = self.reading?;
        let estimate = reading.clock + now.saturating_sub(reading.at);
        let deadline = estimate + cfg.lease;
        self.latest_deadline = self.latest_deadline.max(deadline);
        Some(deadline)
    }

    /// Counts with the longest lease that an earlier owner can have given. After the first answer
    /// under a new fence none of its orders is carried out any more.
    pub(super) fn inherit_lease(&mut self, clock: Millis, cfg: &Settings) {
        let longest = clock + cfg.lease + cfg.lease_margin;
        self.latest_deadline = self.latest_deadline.max(longest);
    }

    /// Returns whether everything ordered so far has certainly lapsed.
    pub(super) fn has_lapsed(&self, cfg: &Settings, now: Millis) -> bool {
        let Some(reading) = self.reading else {
            return false;
        };
        let elapsed = now.saturating_sub(reading.at).0 * SLOWEST_CLOCK_PERMILLE / 1_000;
        reading.clock.0 + elapsed > self.latest_deadline.0 + cfg.lease_margin.0
    }

    /// Returns the largest end number that may be acknowledged once `batch` is durable.
    pub(super) fn ack_cursor(&self, durable: u64) -> u64 {
        let open = self.unacked.iter().filter(|end| end.batch > durable);
        let first_open = open.map(|end| end.number).min();
        first_open.map_or(self.last_end, |number| number.saturating_sub(1))
    }

    /// Returns whether the runner carries a label.
    pub(super) fn has_label(&self, label: &Name) -> bool {
        self.entry.labels.contains(label)
    }
}
