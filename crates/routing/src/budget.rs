//! Retry budgets: retries and hedges as a fraction of requests that ran.
//!
//! A brown-out makes many requests fail at once. Without a budget each of them is sent again and
//! the load on what is left doubles; with one, retries stop when successes stop.

/// Most retries that can be saved up.
const MAX_SAVED: f64 = 20.0;

/// A retry budget.
///
/// # Examples
///
/// ```
/// use kspan_routing::budget::RetryBudget;
///
/// let mut budget = RetryBudget::new(0.5);
/// assert!(!budget.spend());
/// budget.earn();
/// budget.earn();
/// assert!(budget.spend());
/// assert!(!budget.spend());
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    fraction: f64,
    saved: f64,
}

impl RetryBudget {
    /// Creates an empty budget that earns `fraction` of a retry with each request that ran.
    pub const fn new(fraction: f64) -> Self {
        Self {
            fraction,
            saved: 0.0,
        }
    }

    /// Changes the fraction and keeps what is saved.
    pub const fn set_fraction(&mut self, fraction: f64) {
        self.fraction = fraction;
    }

    /// Counts a request that ran.
    pub const fn earn(&mut self) {
        self.saved = (self.saved + self.fraction).min(MAX_SAVED);
    }

    /// Spends one retry. Returns whether there was one.
    pub const fn spend(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
