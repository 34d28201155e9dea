//! Counts requests in flight, which a graceful shutdown waits for.

use std::{cell::Cell, rc::Rc};

/// Counter of requests in flight.
#[derive(Debug, Default)]
pub(crate) struct InFlight(Rc<Cell<usize>>);

/// Guard that counts one request in flight.
pub(crate) struct InFlightGuard(Rc<Cell<usize>>);

impl InFlight {
    /// Counts a request as in flight until the guard is dropped.
    pub(crate) fn enter(&self) -> InFlightGuard {
        self.0.set(self.0.get() + 1);
        InFlightGuard(Rc::clone(&self.0))
    }

    /// Returns the number of requests in flight.
    pub(crate) fn count(&self) -> usize {
        self.0.get()
    }

    /// Returns whether no request is in flight.
    pub(crate) fn is_empty(&self) -> bool {
        self.0.get() == 0
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
