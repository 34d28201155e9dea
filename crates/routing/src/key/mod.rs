//! Idempotency keys: the home's memory of what was granted, and the rules of granting.
//!
//! A key's home grants each key to at most one send of it, remembers the grant, and answers
//! later sends from what the grantee reported. What makes a grant safe is that the home's memory
//! of the key is complete: it has been the key's home since before the key was created, or the
//! caller says that nothing was sent before.
//!
//! This module does not choose the home and does not judge whether it may act; both come from
//! the membership view.

mod home;
mod rule;
mod tenure;

pub use self::{
    home::{Effect, Home, Limits},
    rule::{Memory, may_grant},
    tenure::Tenure,
};

use kspan_model::Millis;
use kspan_wire::message::routing::KeyId;

/// How long a key is remembered, and the age that is assumed of a key without a creation time.
pub const KEY_TTL: Millis = Millis(600_000);

/// Most that the clocks of two hosts differ.
pub const CLOCK_BOUND: Millis = Millis(500);

/// A claim whose verdict has not come by then is given up.
pub const CLAIM_TIMEOUT: Millis = Millis(400);

/// Largest answer that is kept for later sends of its key, in bytes.
pub const MAX_KEPT_ANSWER_BYTES: usize = 64 * 1024;

/// Returns the identifier of a caller's key. Keys are apart by service, class and caller, so that
/// nobody gets the answer to another's request.
pub fn key_id(service: &str, class: &str, caller: &str, key: &str) -> KeyId {
    // Lengths keep ("ab", "c") apart from ("a", "bc").
    let text = format!(
        "{}:{service}{}:{class}{}:{caller}{key}",
        service.len(),
        class.len(),
        caller.len()
    );
    KeyId(xxhash_rust::xxh3::xxh3_128(text.as_bytes()))
}

/// Returns the hash of what a request asks, by which a key used for two requests is noticed.
pub fn fingerprint(method: &str, target: &str, body: &[u8]) -> u128 {
    let mut hash = xxhash_rust::xxh3::Xxh3::new();
    hash.update(method.as_bytes());
    hash.update(&[0]);
    hash.update(target.as_bytes());
    hash.update(&[0]);
    hash.update(body);
    hash.digest128()
}
