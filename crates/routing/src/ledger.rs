//! Slot accounting of one runner at its home.
//!
//! A slot is free, in use by the home, lent to another router, or *uncertain*: it may be in use at
//! the runner without being accounted for, because a request was abandoned, a loan expired, or a
//! previous home used it. Uncertain slots are freed only by the runner's own count of requests in
//! use, never by a timeout alone.
//!
//! The engine decides which router gets a slot.

use kspan_model::{Millis, NodeId};
use rustc_hash::FxHashMap;

/// Duration of a loan unless it is renewed.
pub const LOAN_DURATION: Millis = Millis(2_000);

/// Time that the lender adds to the duration of a loan before it expires the loan. The clock of the
/// borrower may run 1% slow, and a request sent just before the expiry takes time to arrive.
pub const LOAN_EXPIRY_MARGIN: Millis = Millis(500);

/// Time that a new home waits before it uses slots, so that all loans of previous homes have
/// expired.
pub const TAKEOVER_WAIT: Millis = Millis(LOAN_DURATION.0 + LOAN_EXPIRY_MARGIN.0);

/// A loan as recorded by its lender.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutstandingLoan {
    /// The borrower.
    pub to: NodeId,
    /// Slots that were lent.
    pub slots: u32,
    /// Slots that were returned so far.
    pub returned: u32,
    /// Returned slots whose request was abandoned.
    pub abandoned: u32,
    /// When the loan has certainly expired for the borrower.
    pub expires_at: Millis,
}

impl OutstandingLoan {
    /// Returns the number of slots that were not returned yet.
    pub const fn outstanding(&self) -> u32 {
        self.slots - self.returned
    }
}

/// State of the ledger when a health check of the runner was started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Probe {
    epoch: u64,
    /// Whether no slot was in use by the home or lent.
    only_uncertain: bool,
}

/// Accounts for the slots of one runner.
///
/// # Examples
///
/// ```
/// use kspan_model::Millis;
/// use kspan_routing::ledger::Ledger;
///
/// let mut ledger = Ledger::new(8, Millis(1_000));
/// assert_eq!(ledger.free(Millis(2_000)), 0);
/// let probe = ledger.start_probe();
/// ledger.finish_probe(probe, 0);
/// assert_eq!(ledger.free(Millis(999)), 0);
/// assert_eq!(ledger.free(Millis(1_000)), 8);
/// ```
#[derive(Clone, Debug)]
pub struct Ledger {
    slots: u32,
    own: u32,
    lent: u32,
    uncertain: u32,
    /// Whether no slot may be used until a probe has determined how many uncertain ones are in use.
    awaiting_probe: bool,
    not_before: Millis,
    /// Incremented by every change that invalidates a probe in progress.
    epoch: u64,
    loans: FxHashMap<u64, OutstandingLoan>,
}

impl Ledger {
    /// Creates the ledger of a runner with `slots`, all of them uncertain. No slot is free before
    /// `not_before`.
    pub fn new(slots: u32, not_before: Millis) -> Self {
        Self {
            slots,
            own: 0,
            lent: 0,
            uncertain: slots,
            awaiting_probe: true,
            not_before,
            epoch: 0,
            loans: FxHashMap::default(),
        }
    }

    /// Returns how many slots are free at `now`.
    pub fn free(&self, now: Millis) -> u32 {
        if self.awaiting_probe || now < self.not_before {
            return 0;
        }
        self.slots.saturating_sub(self.allocated())
    }

    /// Returns the number of slots in use by the home itself.
    pub const fn own(&self) -> u32 {
        self.own
    }

    /// Returns the number of slots that are lent.
    pub const fn lent(&self) -> u32 {
        self.lent
    }

    /// Returns the number of slots that may be in use at the runner without being accounted for.
    pub const fn uncertain(&self) -> u32 {
        self.uncertain
    }

    /// Returns the time from which slots may be used.
    pub const fn not_before(&self) -> Millis {
        self.not_before
    }

    /// Returns whether the runner's own count is needed to clear uncertain slots.
    pub fn needs_probe(&self, now: Millis) -> bool {
        now >= self.not_before && (self.awaiting_probe || self.uncertain > 0)
    }

    /// Returns the loan with this identifier.
    pub fn loan(&self, loan: u64) -> Option<&OutstandingLoan> {
        self.loans.get(&loan)
    }

    /// Returns the borrower of every loan.
    pub fn borrowers(&self) -> impl Iterator<Item = &NodeId> {
        self.loans.values().map(|lent| &lent.to)
    }

    /// Returns the number of slots that are lent to `node`.
    pub fn held_by(&self, node: &NodeId) -> u32 {
        let loans = self.loans.values().filter(|lent| lent.to == *node);
        loans.map(OutstandingLoan::outstanding).sum()
    }

    /// Changes the number of slots of the runner.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
    }

    /// Acquires a slot for the home itself. Returns whether one was free.
    pub fn acquire(&mut self, now: Millis) -> bool {
        if self.free(now) == 0 {
            return false;
        }
        self.own += 1;
        self.epoch += 1;
        true
    }

    /// Releases a slot of the home itself. The slot of an abandoned request becomes uncertain.
    ///
    /// # Panics
    ///
    /// Panics when more slots are released than were acquired.
    pub fn release(&mut self, abandoned: bool) {
        assert!(self.own > 0, "more slots are released than were acquired");
        self.own -= 1;
        if abandoned {
            self.mark_uncertain(1);
        }
    }

    /// Lends up to `wanted` free slots. Returns how many were lent; no loan is made for zero.
    pub fn lend(&mut self, loan: u64, to: NodeId, wanted: u32, now: Millis) -> u32 {
        let slots = wanted.min(self.free(now));
        if slots == 0 {
            return 0;
        }
        let lent = OutstandingLoan {
            to,
            slots,
            returned: 0,
            abandoned: 0,
            expires_at: loan_expiry(now),
        };
        self.loans.insert(loan, lent);
        self.lent += slots;
        self.epoch += 1;
        slots
    }

    /// Renews a loan of `to`. Returns whether there is such a loan.
    pub fn renew(&mut self, loan: u64, to: &NodeId, now: Millis) -> bool {
        match self.loans.get_mut(&loan) {
            Some(lent) if lent.to == *to => {
                lent.expires_at = loan_expiry(now);
                true
            }
            _ => false,
        }
    }

    /// Records returned slots of a loan. `returned` and `abandoned` are totals, which makes
    /// duplicated and late messages harmless. Returns the number of newly returned slots.
    pub fn record_return(
        &mut self,
        loan: u64,
        from: &NodeId,
        returned: u32,
        abandoned: u32,
    ) -> u32 {
        let Some(lent) = self.loans.get_mut(&loan) else {
            return 0;
        };
        if lent.to != *from || returned > lent.slots || returned <= lent.returned {
            return 0;
        }
        let newly_returned = returned - lent.returned;
        let newly_uncertain = abandoned.saturating_sub(lent.abandoned).min(newly_returned);
        lent.returned = returned;
        lent.abandoned = lent.abandoned.max(abandoned);
        if lent.outstanding() == 0 {
            self.loans.remove(&loan);
        }
        self.lent -= newly_returned;
        self.mark_uncertain(newly_uncertain);
        newly_returned
    }

    /// Ends expired loans and marks their slots as uncertain. Returns the number of these slots.
    pub fn expire_loans(&mut self, now: Millis) -> u32 {
        let is_expired = |lent: &OutstandingLoan| lent.expires_at <= now;
        let expired = self.loans.values().filter(|lent| is_expired(lent));
        let slots = expired.map(OutstandingLoan::outstanding).sum();
        if slots > 0 {
            self.loans.retain(|_, lent| !is_expired(lent));
            self.lent -= slots;
            self.mark_uncertain(slots);
        }
        slots
    }

    /// Starts a probe of the runner's own count of requests in use.
    pub fn start_probe(&self) -> Probe {
        Probe {
            epoch: self.epoch,
            only_uncertain: self.own == 0 && self.lent == 0,
        }
    }

    /// Applies the runner's own count of requests in use, which answers `probe`. A probe during
    /// which the ledger changed is ignored.
    pub fn finish_probe(&mut self, probe: Probe, in_use: u32) {
        let is_current = probe.epoch == self.epoch;
        if !is_current {
            return;
        }
        // The count includes every request at the runner and therefore bounds the uncertain slots.
        // If no slot was in use or lent, it is exactly their number, and may exceed the known one.
        if probe.only_uncertain {
            self.uncertain = in_use.min(self.slots);
            self.awaiting_probe = false;
        } else {
            self.uncertain = self.uncertain.min(in_use);
            self.awaiting_probe &= self.uncertain > 0;
        }
    }

    fn allocated(&self) -> u32 {
        self.own + self.lent + self.uncertain
    }

    fn mark_uncertain(&mut self, slots: u32) {
        if slots > 0 {
            self.uncertain += slots;
            self.awaiting_probe = true;
            self.epoch += 1;
        }
    }
}

const fn loan_expiry(now: Millis) -> Millis {
    Millis(now.0 + LOAN_DURATION.0 + LOAN_EXPIRY_MARGIN.0)
}
