//! Slot credits that this router has borrowed from a runner's home.
//!
//! A loan's time counts from when the question was *sent*, so the borrower always sees it end
//! before the lender does. This module does not decide when to borrow.

use kspan_model::{Millis, NodeId};

/// A request is not sent on a loan that ends sooner than this, because it would arrive at the
/// runner when the lender may already count the slot as uncertain.
pub const SPEND_MARGIN: Millis = Millis(250);

/// An unused loan is given back after this time, so that idle credits do not starve others.
pub const IDLE_RETURN: Millis = Millis(250);

/// A loan in use is extended when less than this time is left.
pub const KEEP_BELOW: Millis = Millis(1_200);

/// Shortest time between two questions to extend one loan.
pub const KEEP_EVERY: Millis = Millis(300);

/// One loan, as its borrower sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Loan {
    /// Who lent.
    pub from: NodeId,
    /// The lender's number of the loan.
    pub id: u64,
    /// Slots lent and not returned.
    pub slots: u32,
    /// Slots in use.
    pub in_use: u32,
    /// Slots returned, in all.
    pub returned: u32,
    /// Returned slots whose answer was abandoned, in all.
    pub abandoned: u32,
    /// When it ends.
    pub expires: Millis,
    /// Whether new requests may be sent on it.
    pub spend: bool,
    /// When it was last used.
    pub used: Millis,
    /// When its last extension was asked for.
    pub asked: Millis,
}

impl Loan {
    /// Creates a loan of `slots` that is answered to a question sent at `asked`.
    pub fn new(from: NodeId, id: u64, slots: u32, asked: Millis, valid: Millis) -> Self {
        Self {
            from,
            id,
            slots,
            in_use: 0,
            returned: 0,
            abandoned: 0,
            expires: asked.saturating_add(valid),
            spend: true,
            used: asked,
            asked,
        }
    }

    /// Returns how many requests may be sent on it now.
    pub fn free(&self, now: Millis) -> u32 {
        if !self.spend || now.saturating_add(SPEND_MARGIN) >= self.expires {
            return 0;
        }
        self.slots - self.in_use
    }

    /// Takes one slot. Returns whether there was one.
    pub fn take(&mut self, now: Millis) -> bool {
        if self.free(now) == 0 {
            return false;
        }
        self.in_use += 1;
        self.used = now;
        true
    }

    /// Ends the use of one slot. An abandoned one goes back to the lender at once.
    ///
    /// # Panics
    ///
    /// Panics when more slots are released than were taken.
    pub fn release(&mut self, abandoned: bool, now: Millis) {
        assert!(self.in_use > 0, "a slot is released once");
        self.in_use -= 1;
        self.used = now;
        if abandoned {
            self.slots -= 1;
            self.returned += 1;
            self.abandoned += 1;
        }
    }

    /// Returns unused slots to the lender. Returns how many.
    pub fn return_unused(&mut self) -> u32 {
        let unused = self.slots - self.in_use;
        self.slots -= unused;
        self.returned += unused;
        unused
    }

    /// Extends the loan as the lender answered.
    pub fn extend(&mut self, asked: Millis, valid: Millis, spend: bool) {
        self.expires = self.expires.max(asked.saturating_add(valid));
        self.spend &= spend;
    }

    /// Returns whether the loan is worth extending now.
    pub fn wants_extension(&self, now: Millis) -> bool {
        let busy = self.in_use > 0 || (self.spend && !self.is_idle(now));
        busy && self.expires.saturating_sub(now) < KEEP_BELOW
            && now.saturating_sub(self.asked) >= KEEP_EVERY
    }

    /// Returns whether the loan has not been used lately.
    pub fn is_idle(&self, now: Millis) -> bool {
        self.in_use == 0 && now.saturating_sub(self.used) >= IDLE_RETURN
    }

    /// Returns whether nothing is left of the loan.
    pub const fn is_over(&self) -> bool {
        self.slots == 0
    }
}
