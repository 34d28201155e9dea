//! Idempotency keys: the registry of a key's home and the rule by which keys are granted.
//!
//! The home of a key grants it to at most one send, records the grant, and answers later sends
//! with the outcome that the grantee reported. A grant is safe if the home's records of the key
//! are complete: it has been the key's home since before the key was created, or the caller
//! states that it has not sent the key before.
//!
//! Which router is the home, and whether it may act, follows from the membership view and the
//! guard.

mod grant;
mod home_history;
mod registry;

pub use self::{
    grant::{KeyCoverage, may_grant},
    home_history::HomeHistory,
    registry::{KeyRegistry, Limits, OutgoingDecision},
};

use kspan_model::Millis;
use kspan_wire::message::routing::KeyId;

/// Minimum time for which a key is remembered, and the age assumed of a key without a creation
/// time.
pub const KEY_TTL: Millis = Millis(600_000);

/// Maximum difference between the clocks of two hosts.
pub const MAX_CLOCK_SKEW: Millis = Millis(500);

/// Time after which a claim without a decision is abandoned.
pub const CLAIM_TIMEOUT: Millis = Millis(400);

/// Maximum size of an answer that is stored for later sends of its key, in bytes.
pub const MAX_KEPT_ANSWER_BYTES: usize = 64 * 1024;

/// Returns the identifier of a caller's key. Keys are scoped by service, class and caller, so that
/// no caller receives the answer to a request of another.
pub fn key_id(service: &str, class: &str, caller: &str, key: &str) -> KeyId {
    // Length prefixes distinguish ("ab", "c") from ("a", "bc").
    let text = format!(
        "{}:{service}{}:{class}{}:{caller}{key}",
        service.len(),
        class.len(),
        caller.len()
    );
    KeyId(xxhash_rust::xxh3::xxh3_128(text.as_bytes()))
}

/// Returns the hash of a request's content, which detects the use of one key for two requests.
pub fn fingerprint(method: &str, target: &str, body: &[u8]) -> u128 {
    let mut hash = xxhash_rust::xxh3::Xxh3::new();
    hash.update(method.as_bytes());
    hash.update(&[0]);
    hash.update(target.as_bytes());
    hash.update(&[0]);
    hash.update(body);
    hash.digest128()
}
