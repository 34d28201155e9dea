//! Retry budgets, which limit retries and hedges to a fraction of answered requests.
//!
//! In a partial outage many requests fail at once. Without a budget each of them is retried, which
//! doubles the load on the remaining capacity; with a budget, retries stop when successes stop.

/// Maximum number of retries that can accumulate.
const MAX_BALANCE: f64 = 20.0;

/// A retry budget as a token bucket that is filled by answered requests.
///
/// # Examples
///
/// ```
/// use kspan_routing::budget::RetryBudget;
///
/// let mut budget = RetryBudget::new(0.5);
/// assert!(!budget.try_withdraw());
/// budget.deposit();
/// budget.deposit();
/// assert!(budget.try_withdraw());
/// assert!(!budget.try_withdraw());
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    fraction: f64,
    balance: f64,
}

impl RetryBudget {
    /// Creates an empty budget to which each answered request adds `fraction` of a retry.
    pub const fn new(fraction: f64) -> Self {
        Self {
            fraction,
            balance: 0.0,
        }
    }

    /// Changes the fraction and keeps the balance.
    pub const fn set_fraction(&mut self, fraction: f64) {
        self.fraction = fraction;
    }

    /// Adds the fraction of a retry that an answered request earns.
    pub const fn deposit(&mut self) {
        self.balance = (self.balance + self.fraction).min(MAX_BALANCE);
    }

    /// Withdraws one retry. Returns whether the balance allowed it.
    pub const fn try_withdraw(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}
