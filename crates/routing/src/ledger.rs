//! A home's account of one runner's slots.
//!
//! A slot is free, in use by the home, lent to another router, or *uncertain*: it may be in use
//! at the runner although nobody accounts for it, because an answer was abandoned, a loan lapsed,
//! or another home came before. Uncertain slots are only freed by the runner's own count of
//! requests in use, never by time alone.
//!
//! The ledger does not choose who gets a slot and does not send anything.

use kspan_model::{Millis, NodeId};
use rustc_hash::FxHashMap;

/// How long a loan lasts unless it is extended.
pub const LOAN_VALID: Millis = Millis(2_000);

/// Added by the lender to a loan's time before it counts the loan as lapsed: the borrower's clock
/// may run 1% slow, and a request that it sent at the last moment takes time to arrive.
pub const LOAN_MARGIN: Millis = Millis(500);

/// How long a new home waits before it spends, so that every loan of an earlier home has lapsed.
pub const TAKEOVER_WAIT: Millis = Millis(LOAN_VALID.0 + LOAN_MARGIN.0);

/// One loan, as its lender sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lent {
    /// Who borrowed.
    pub to: NodeId,
    /// Slots lent.
    pub slots: u32,
    /// Slots returned so far.
    pub returned: u32,
    /// How many of the returned ones were abandoned.
    pub abandoned: u32,
    /// When the loan has certainly lapsed.
    pub lapses: Millis,
}

impl Lent {
    /// Returns the slots that are still out.
    pub const fn outstanding(&self) -> u32 {
        self.slots - self.returned
    }
}

/// What was known when a health question was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reading {
    epoch: u64,
    quiet: bool,
}

/// The account of one runner's slots.
///
/// # Examples
///
/// ```
/// use kspan_model::Millis;
/// use kspan_routing::ledger::Ledger;
///
/// let mut ledger = Ledger::new(8, Millis(1_000));
/// assert_eq!(ledger.free(Millis(2_000)), 0);
/// let reading = ledger.begin_reading();
/// ledger.finish_reading(reading, 0);
/// assert_eq!(ledger.free(Millis(999)), 0);
/// assert_eq!(ledger.free(Millis(1_000)), 8);
/// ```
#[derive(Clone, Debug)]
pub struct Ledger {
    slots: u32,
    own: u32,
    lent: u32,
    uncertain: u32,
    /// Nothing is spent until a reading has told how many uncertain slots are in use.
    settling: bool,
    not_before: Millis,
    /// Counts every change that could make a reading in progress meaningless.
    epoch: u64,
    loans: FxHashMap<u64, Lent>,
}

impl Ledger {
    /// Creates the account of a runner with `slots`, all of them uncertain, from which nothing is
    /// spent before `not_before`.
    pub fn new(slots: u32, not_before: Millis) -> Self {
        Self {
            slots,
            own: 0,
            lent: 0,
            uncertain: slots,
            settling: true,
            not_before,
            epoch: 0,
            loans: FxHashMap::default(),
        }
    }

    /// Returns how many slots may be spent now.
    pub fn free(&self, now: Millis) -> u32 {
        if self.settling || now < self.not_before {
            return 0;
        }
        self.slots.saturating_sub(self.accounted())
    }

    /// Returns the slots in use by the home itself.
    pub const fn own(&self) -> u32 {
        self.own
    }

    /// Returns the slots that are lent.
    pub const fn lent(&self) -> u32 {
        self.lent
    }

    /// Returns the slots that may be in use though nobody accounts for them.
    pub const fn uncertain(&self) -> u32 {
        self.uncertain
    }

    /// Returns the time from which the account may be used.
    pub const fn not_before(&self) -> Millis {
        self.not_before
    }

    /// Returns whether a reading of the runner's own count is needed before slots are spent.
    pub fn wants_reading(&self, now: Millis) -> bool {
        now >= self.not_before && (self.settling || self.uncertain > 0)
    }

    /// Returns the loan of that number.
    pub fn loan(&self, loan: u64) -> Option<&Lent> {
        self.loans.get(&loan)
    }

    /// Returns who holds loans.
    pub fn borrowers(&self) -> impl Iterator<Item = &NodeId> {
        self.loans.values().map(|lent| &lent.to)
    }

    /// Returns the slots that `node` holds.
    pub fn held_by(&self, node: &NodeId) -> u32 {
        let held = self.loans.values().filter(|lent| lent.to == *node);
        held.map(Lent::outstanding).sum()
    }

    /// Changes how many slots the runner has.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
    }

    /// Takes one free slot for the home itself. Returns whether there was one.
    pub fn take(&mut self, now: Millis) -> bool {
        if self.free(now) == 0 {
            return false;
        }
        self.own += 1;
        self.epoch += 1;
        true
    }

    /// Gives back a slot of the home's own. An abandoned one becomes uncertain.
    ///
    /// # Panics
    ///
    /// Panics when more slots are given back than were taken.
    pub fn give_back(&mut self, abandoned: bool) {
        assert!(self.own > 0, "a slot is given back once");
        self.own -= 1;
        if abandoned {
            self.mark_uncertain(1);
        }
    }

    /// Lends up to `wanted` free slots. Returns how many were lent; zero makes no loan.
    pub fn lend(&mut self, loan: u64, to: NodeId, wanted: u32, now: Millis) -> u32 {
        let slots = wanted.min(self.free(now));
        if slots == 0 {
            return 0;
        }
        let lent = Lent {
            to,
            slots,
            returned: 0,
            abandoned: 0,
            lapses: lapse_time(now),
        };
        self.loans.insert(loan, lent);
        self.lent += slots;
        self.epoch += 1;
        slots
    }

    /// Extends a loan of `to`. Returns whether there is such a loan.
    pub fn extend(&mut self, loan: u64, to: &NodeId, now: Millis) -> bool {
        match self.loans.get_mut(&loan) {
            Some(lent) if lent.to == *to => {
                lent.lapses = lapse_time(now);
                true
            }
            _ => false,
        }
    }

    /// Takes back slots of a loan. `returned` and `abandoned` are totals, so that a doubled or
    /// late message changes nothing. Returns how many slots came back.
    pub fn take_back(&mut self, loan: u64, from: &NodeId, returned: u32, abandoned: u32) -> u32 {
        let Some(lent) = self.loans.get_mut(&loan) else {
            return 0;
        };
        if lent.to != *from || returned > lent.slots || returned <= lent.returned {
            return 0;
        }
        let back = returned - lent.returned;
        let doubtful = abandoned.saturating_sub(lent.abandoned).min(back);
        lent.returned = returned;
        lent.abandoned = lent.abandoned.max(abandoned);
        if lent.outstanding() == 0 {
            self.loans.remove(&loan);
        }
        self.lent -= back;
        self.mark_uncertain(doubtful);
        back
    }

    /// Counts loans whose time has passed as uncertain. Returns how many slots lapsed.
    pub fn lapse(&mut self, now: Millis) -> u32 {
        let due = |lent: &Lent| lent.lapses <= now;
        let lapsed = self.loans.values().filter(|lent| due(lent));
        let slots = lapsed.map(Lent::outstanding).sum();
        if slots > 0 {
            self.loans.retain(|_, lent| !due(lent));
            self.lent -= slots;
            self.mark_uncertain(slots);
        }
        slots
    }

    /// Starts a reading of the runner's own count.
    pub fn begin_reading(&self) -> Reading {
        Reading {
            epoch: self.epoch,
            quiet: self.own == 0 && self.lent == 0,
        }
    }

    /// Takes the runner's own count of requests in use, answered to the question that `reading`
    /// began with.
    pub fn finish_reading(&mut self, reading: Reading, in_use: u32) {
        let undisturbed = reading.epoch == self.epoch;
        if !undisturbed {
            return;
        }
        // The count covers every request at the runner, so it bounds the uncertain ones; with
        // nothing else accounted for it is exactly theirs, even when there are more than thought.
        if reading.quiet {
            self.uncertain = in_use.min(self.slots);
            self.settling = false;
        } else {
            self.uncertain = self.uncertain.min(in_use);
            self.settling &= self.uncertain > 0;
        }
    }

    fn accounted(&self) -> u32 {
        self.own + self.lent + self.uncertain
    }

    fn mark_uncertain(&mut self, slots: u32) {
        if slots > 0 {
            self.uncertain += slots;
            self.settling = true;
            self.epoch += 1;
        }
    }
}

const fn lapse_time(now: Millis) -> Millis {
    Millis(now.0 + LOAN_VALID.0 + LOAN_MARGIN.0)
}
