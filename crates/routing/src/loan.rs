//! Slot credits that this router borrowed from the home of a runner.
//!
//! The borrower counts the duration of a loan from when it *sent* the request, so that the loan
//! always expires for the borrower before it expires for the lender. The engine decides when to
//! borrow.

use kspan_model::{Millis, NodeId};

/// Minimum remaining time of a loan on which a request is sent. With less, the request could arrive
/// at the runner after the lender has counted the slot as uncertain.
pub const MIN_SPENDABLE_TIME: Millis = Millis(250);

/// Time after which an unused loan is returned, so that idle credits do not starve other routers.
pub const IDLE_TIMEOUT: Millis = Millis(250);

/// Remaining time below which a loan in use is renewed.
pub const RENEWAL_THRESHOLD: Millis = Millis(1_200);

/// Minimum time between two renewal requests for one loan.
pub const MIN_RENEWAL_INTERVAL: Millis = Millis(300);

/// A loan as recorded by its borrower.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Loan {
    /// The lender.
    pub from: NodeId,
    /// Identifier of the loan, assigned by the lender.
    pub id: u64,
    /// Slots that are lent and not returned.
    pub slots: u32,
    /// Slots that are in use.
    pub in_use: u32,
    /// Total number of returned slots.
    pub returned: u32,
    /// Total number of returned slots whose request was abandoned.
    pub abandoned: u32,
    /// When the loan expires.
    pub expires_at: Millis,
    /// Whether new requests may use the loan.
    pub may_spend: bool,
    /// When a slot was last acquired or released.
    pub last_used: Millis,
    /// When the loan or its last renewal was requested.
    pub renewal_requested_at: Millis,
}

impl Loan {
    /// Creates a loan of `slots` that was requested at `requested_at` and lasts for `valid`.
    pub fn new(from: NodeId, id: u64, slots: u32, requested_at: Millis, valid: Millis) -> Self {
        Self {
            from,
            id,
            slots,
            in_use: 0,
            returned: 0,
            abandoned: 0,
            expires_at: requested_at.saturating_add(valid),
            may_spend: true,
            last_used: requested_at,
            renewal_requested_at: requested_at,
        }
    }

    /// Returns how many further requests may use the loan at `now`.
    pub fn free(&self, now: Millis) -> u32 {
        if !self.may_spend || now.saturating_add(MIN_SPENDABLE_TIME) >= self.expires_at {
            return 0;
        }
        self.slots - self.in_use
    }

    /// Acquires one slot. Returns whether one was free.
    pub fn acquire(&mut self, now: Millis) -> bool {
        if self.free(now) == 0 {
            return false;
        }
        self.in_use += 1;
        self.last_used = now;
        true
    }

    /// Releases one slot. The slot of an abandoned request is returned to the lender at once.
    ///
    /// # Panics
    ///
    /// Panics when more slots are released than were acquired.
    pub fn release(&mut self, abandoned: bool, now: Millis) {
        assert!(
            self.in_use > 0,
            "more slots are released than were acquired"
        );
        self.in_use -= 1;
        self.last_used = now;
        if abandoned {
            self.slots -= 1;
            self.returned += 1;
            self.abandoned += 1;
        }
    }

    /// Marks all unused slots as returned to the lender, and returns their number.
    pub fn return_unused(&mut self) -> u32 {
        let unused = self.slots - self.in_use;
        self.slots -= unused;
        self.returned += unused;
        unused
    }

    /// Applies a renewal that was requested at `requested_at` and granted for `valid`. New requests
    /// may use the loan only while every renewal allowed it.
    pub fn renew(&mut self, requested_at: Millis, valid: Millis, may_spend: bool) {
        self.expires_at = self.expires_at.max(requested_at.saturating_add(valid));
        self.may_spend &= may_spend;
    }

    /// Returns whether a renewal is to be requested at `now`.
    pub fn needs_renewal(&self, now: Millis) -> bool {
        let is_needed = self.in_use > 0 || (self.may_spend && !self.is_idle(now));
        is_needed
            && self.expires_at.saturating_sub(now) < RENEWAL_THRESHOLD
            && now.saturating_sub(self.renewal_requested_at) >= MIN_RENEWAL_INTERVAL
    }

    /// Returns whether no slot has been in use for [`IDLE_TIMEOUT`].
    pub fn is_idle(&self, now: Millis) -> bool {
        self.in_use == 0 && now.saturating_sub(self.last_used) >= IDLE_TIMEOUT
    }

    /// Returns whether all slots were returned.
    pub const fn is_exhausted(&self) -> bool {
        self.slots == 0
    }
}
