//! Faults injected into the link to a platform endpoint.
//!
//! Tests delay and cut links by region or name. The clients of this crate can't map an endpoint to
//! these, so the process supplies a closure that returns the faults of a link. The default is
//! [`Link::unimpaired`].

use std::time::Duration;

/// Injected faults of one link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Link {
    /// Delay added in each direction.
    pub delay: Duration,
    /// Whether the link is cut, so that no request is sent.
    pub cut: bool,
}

impl Link {
    /// Creates a link without injected faults.
    pub const fn unimpaired() -> Self {
        Self {
            delay: Duration::ZERO,
            cut: false,
        }
    }
}
