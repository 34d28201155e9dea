//! When a home may grant a key that it has no record of.

use kspan_model::UnixMillis;

use super::{CLOCK_BOUND, KEY_TTL};

/// What the home's memory covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Memory {
    /// Every grant of the key since this time is remembered, if there was one.
    pub complete_since: UnixMillis,
    /// The home's clock.
    pub now: UnixMillis,
}

/// Returns whether a key without a record may be granted.
///
/// * `first`: the caller says that this is the first send of the key.
/// * `created`: when the caller created the key. Without it the key is taken to be as old as a
///   key can be, [`KEY_TTL`].
///
/// # Examples
///
/// ```
/// use kspan_model::UnixMillis;
/// use kspan_routing::key::{Memory, may_grant};
///
/// let memory = Memory { complete_since: UnixMillis(10_000), now: UnixMillis(20_000) };
/// assert!(may_grant(memory, Some(UnixMillis(15_000)), false));
/// assert!(!may_grant(memory, Some(UnixMillis(9_000)), false));
/// assert!(may_grant(memory, Some(UnixMillis(9_000)), true));
/// assert!(!may_grant(memory, None, false));
/// ```
pub fn may_grant(memory: Memory, created: Option<UnixMillis>, first: bool) -> bool {
    if first {
        return true;
    }
    let oldest = UnixMillis(memory.now.0.saturating_sub(KEY_TTL.0));
    let created = match created {
        // A creation time in the future says nothing about the past.
        Some(created) if created <= memory.now.after(CLOCK_BOUND) => created,
        _ => oldest,
    };
    // A record of the key may have been forgotten by now.
    if created < oldest {
        return false;
    }
    created >= memory.complete_since.after(CLOCK_BOUND)
}
