//! The rule by which a home grants a key that it has no record of.

use kspan_model::UnixMillis;

use super::{KEY_TTL, MAX_CLOCK_SKEW};

/// Period for which a home's records of a key are complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyCoverage {
    /// The records contain every grant of the key since this time.
    pub complete_since: UnixMillis,
    /// The current time of the home's clock.
    pub now: UnixMillis,
}

/// Returns whether a key without a record may be granted.
///
/// * `first`: whether the caller states that this is the first send of the key.
/// * `created`: when the caller created the key. Without it the key is assumed to be of the
///   maximum age, [`KEY_TTL`].
///
/// # Examples
///
/// ```
/// use kspan_model::UnixMillis;
/// use kspan_routing::key::{KeyCoverage, may_grant};
///
/// let coverage = KeyCoverage { complete_since: UnixMillis(10_000), now: UnixMillis(20_000) };
/// assert!(may_grant(coverage, Some(UnixMillis(15_000)), false));
/// assert!(!may_grant(coverage, Some(UnixMillis(9_000)), false));
/// assert!(may_grant(coverage, Some(UnixMillis(9_000)), true));
/// assert!(!may_grant(coverage, None, false));
/// ```
pub fn may_grant(coverage: KeyCoverage, created: Option<UnixMillis>, first: bool) -> bool {
    if first {
        return true;
    }
    let oldest = UnixMillis(coverage.now.0.saturating_sub(KEY_TTL.0));
    let created = match created {
        // A creation time in the future is not trusted.
        Some(created) if created <= coverage.now.after(MAX_CLOCK_SKEW) => created,
        _ => oldest,
    };
    // A record of the key may have been evicted already.
    if created < oldest {
        return false;
    }
    created >= coverage.complete_since.after(MAX_CLOCK_SKEW)
}
