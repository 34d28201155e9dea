//! What the link to a platform endpoint does just now.
//!
//! Tests delay and cut links by region or name. The clients here know neither, so the process
//! hands in a closure; production code passes [`Link::unimpaired`].

use std::time::Duration;

/// Artificial state of one link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Link {
    /// One-way delay added to each direction.
    pub delay: Duration,
    /// Whether nothing passes.
    pub cut: bool,
}

impl Link {
    /// Creates a link without delay that passes everything.
    pub const fn unimpaired() -> Self {
        Self {
            delay: Duration::ZERO,
            cut: false,
        }
    }
}
