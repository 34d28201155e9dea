//! Evidence that a task crashes the runners that start it.
//!
//! Crashes are weighed by what else may have caused them. The weight decides how far the next run of
//! the task is kept from others, and when the task is given up.

use kspan_model::Millis;

use crate::record::CrashRecord;

/// Age above which a run is no likely cause of its runner's crash, because other runs are younger.
pub(super) const MAX_SUSPECT_AGE: Millis = Millis(1_000);

/// Weight, as evidence against a task, of a crash soon after the start of its run.
const RECENT_WEIGHT: u32 = 2;

/// Weight of any other crash.
const OLD_WEIGHT: u32 = 1;

/// Additional weight of a crash of which no other run was a likely cause.
const ALONE_WEIGHT: u32 = 1;

/// Weight from which a task starts apart from other suspected tasks.
const APART_WEIGHT: u32 = 2;

/// Weight from which a task starts alone.
const START_ALONE_WEIGHT: u32 = 4;

/// Weight from which a task is the cause of the crashes: that of a recent one and of two more without
/// another likely cause.
const CONCLUSIVE_WEIGHT: u32 = 8;

/// Number of crashes after which a task is given up, whatever their weight.
const MAX_CRASHES: usize = 5;

/// The same if their weight is conclusive, even where the runners may have crashed before the task began.
const MAX_CRASHES_IN_DOUBT: usize = 4;

/// Number of crashes during which the task certainly ran, from which conclusive weight is enough.
const MIN_CERTAIN_RUNS: usize = 3;

/// Number of crashes, certain or possible, from which a task does not start while some are not certain.
const MAX_UNSETTLED: usize = 4;

/// Maximum number of records of one task. Beyond it the oldest one that is not certain is dropped.
pub(super) const MAX_RECORDS: usize = 16;

/// How long a task waits for that. A runner may be cut off from the owner alone for any time.
pub(super) const MAX_SETTLING_TIME: Millis = Millis(30_000);

/// How long a task waits for a runner without other suspected tasks before it runs beside them.
const MAX_ISOLATION_WAIT: Millis = Millis(3_000);

/// How long a member of a gang waits for a runner where it can start alone.
const MAX_GANG_ALONE_WAIT: Millis = Millis(6_000);

/// A run has outlived the crashes before it when it is older than the oldest run that crashed,
/// multiplied by this, and [`MIN_CLEARING_MARGIN`] more.
const CLEARING_FACTOR: u64 = 2;

/// See [`CLEARING_FACTOR`].
const MIN_CLEARING_MARGIN: Millis = Millis(1_000);

/// Age at which a run has outlived any crashes. Tasks that run for weeks see several runners crash.
const MAX_CLEARING_AGE: Millis = Millis(600_000);

/// How far a run is kept from others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Isolation {
    /// It may run beside any other.
    #[default]
    None,
    /// It does not run beside others that are isolated.
    Apart,
    /// It starts where nothing has started recently, and nothing starts beside it.
    Alone,
}

impl Isolation {
    /// Returns whether a run may join those on a runner, which may be kept for a run of its step that starts alone, and
    /// have runs that are kept from others. One that starts alone waits there until the others are old enough.
    pub(super) fn may_join(self, is_kept: bool, has_isolated_run: bool) -> bool {
        match self {
            Self::None => !is_kept,
            Self::Apart => !is_kept && !has_isolated_run,
            Self::Alone => !has_isolated_run,
        }
    }
}

/// Crashes of the runners of one task, and runs that may turn out to be some.
#[derive(Clone, Debug, Default)]
pub(super) struct Crashes(Vec<CrashRecord>);

impl Crashes {
    /// Returns the records, in the order in which the runs were recorded.
    pub(super) fn records(&self) -> &[CrashRecord] {
        &self.0
    }

    /// Adds a record, in place of one of the same run on the same incarnation.
    pub(super) fn record(&mut self, record: CrashRecord) {
        let is_other = |known: &CrashRecord| {
            known.run != record.run || known.incarnation != record.incarnation
        };
        self.0.retain(is_other);
        self.0.push(record);
        if self.0.len() > MAX_RECORDS {
            let oldest = self.0.iter().position(|known| !known.is_certain);
            self.0.remove(oldest.unwrap_or(0));
        }
    }

    /// Removes the record of a run that may have crashed its runner and has not. Returns whether
    /// there was one.
    pub(super) fn forget(&mut self, run: u32, incarnation: u64) -> bool {
        self.remove(|known| {
            !known.is_certain && known.run == run && known.incarnation == incarnation
        })
    }

    /// Removes the records that match. Returns whether there were any.
    pub(super) fn remove(&mut self, matches: impl Fn(&CrashRecord) -> bool) -> bool {
        let before = self.0.len();
        self.0.retain(|known| !matches(known));
        self.0.len() < before
    }

    /// Records that the order of a run got no answer, so that the run may not have begun.
    pub(super) fn mark_in_doubt(&mut self, run: u32) {
        let of_run = self.0.iter_mut().filter(|record| record.run == run);
        of_run.for_each(|record| record.is_start_in_doubt = true);
    }

    fn certain(&self) -> impl Iterator<Item = &CrashRecord> {
        self.0.iter().filter(|record| record.is_certain)
    }

    /// Returns how many crashes count against the task.
    pub(super) fn count(&self) -> usize {
        self.certain().count()
    }

    /// Returns the weight of the evidence, crashes that are not certain yet included.
    fn weight(&self) -> u32 {
        self.0.iter().map(weight).sum()
    }

    /// Returns whether the task is the cause of the crashes.
    pub(super) fn are_conclusive(&self) -> bool {
        let has_run = self.certain().filter(|record| !record.is_start_in_doubt);
        let is_shown = has_run.count() >= MIN_CERTAIN_RUNS || self.count() >= MAX_CRASHES_IN_DOUBT;
        let has_weight = self.certain_weight() >= CONCLUSIVE_WEIGHT;
        self.count() >= MAX_CRASHES || has_weight && is_shown
    }

    fn certain_weight(&self) -> u32 {
        self.certain().map(weight).sum()
    }

    /// Returns whether the task is suspected of crashes.
    pub(super) fn are_suspicious(&self) -> bool {
        self.weight() >= APART_WEIGHT
    }

    /// Returns whether the task is suspected of crashes that are certain.
    pub(super) fn are_certainly_suspicious(&self) -> bool {
        self.certain_weight() >= APART_WEIGHT
    }

    /// Returns how far the next run is kept from others, once the task has waited for a time. The
    /// members of a gang need their places at the same time, so none of them waits long to start alone.
    pub(super) fn isolation(&self, waited: Millis, has_other_members: bool) -> Isolation {
        let may_wait_alone = !has_other_members || waited < MAX_GANG_ALONE_WAIT;
        if !self.are_suspicious() {
            Isolation::None
        } else if self.weight() >= START_ALONE_WEIGHT && may_wait_alone {
            Isolation::Alone
        } else if waited < MAX_ISOLATION_WAIT {
            Isolation::Apart
        } else {
            Isolation::None
        }
    }

    /// Returns whether the task may start. After several crashes, a task first waits until it is known
    /// what its earlier runs did to their runners, or it would go on while crashes are found out late.
    pub(super) fn allow_start(&self, waited: Millis) -> bool {
        let is_settled = self.count() == self.0.len() || waited >= MAX_SETTLING_TIME;
        !self.are_conclusive() && (is_settled || self.0.len() < MAX_UNSETTLED)
    }

    /// Returns whether a run of an age has outlived the crashes, so that the task caused none.
    pub(super) fn are_outlived_at(&self, age: Millis) -> bool {
        let ages = self.certain().map(|record| record.age_ms.map(Millis));
        let limits = ages.map(|crashed_at| {
            let limit = crashed_at.map_or(MAX_CLEARING_AGE, |at| {
                at.saturating_mul(CLEARING_FACTOR) + MIN_CLEARING_MARGIN
            });
            limit.min(MAX_CLEARING_AGE)
        });
        limits.max().is_some_and(|limit| age > limit)
    }
}

/// Returns the weight of a crash as evidence against the task.
fn weight(record: &CrashRecord) -> u32 {
    let age = record.age_ms.map(Millis);
    let is_recent = age.is_none_or(|age| age <= MAX_SUSPECT_AGE);
    let by_age = if is_recent { RECENT_WEIGHT } else { OLD_WEIGHT };
    let by_company = if record.was_alone { ALONE_WEIGHT } else { 0 };
    by_age + by_company
}
