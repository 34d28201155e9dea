//! Tokens that match a caller's request with its answer.
//!
//! A runner's answer is a function of the token alone, so a caller can verify that it received
//! the complete answer to its own request.

use std::hash::Hasher;

use rustc_hash::FxHasher;

/// Prefix of the path segment that carries a token.
const PREFIX: &str = "t-";

/// Number of hexadecimal digits of a token in a path.
const TOKEN_DIGITS: usize = 16;

/// Minimum length of an answer.
const MIN_BODY_BYTES: u64 = 128;

/// Width of the range of answer lengths above [`MIN_BODY_BYTES`].
const BODY_RANGE_BYTES: u64 = 2_048;

/// Returns the path segment that carries `token`.
///
/// # Examples
///
/// ```
/// use kspan_lab::token;
///
/// let path = format!("/s/ledger/settle/{}", token::segment(7));
/// assert_eq!(token::find(&path), Some(7));
/// ```
pub fn segment(token: u64) -> String {
    format!("{PREFIX}{token:016x}")
}

/// Returns the token in a path, if there is one.
pub fn find(path: &str) -> Option<u64> {
    path.split('/')
        .filter_map(|segment| segment.strip_prefix(PREFIX))
        .filter(|digits| digits.len() == TOKEN_DIGITS)
        .find_map(|digits| u64::from_str_radix(digits, 16).ok())
}

/// Returns the complete body of the answer to the request with `token`.
pub fn expected_body(token: u64) -> String {
    let mut state = mix(token);
    let len = MIN_BODY_BYTES + state % BODY_RANGE_BYTES;
    let mut body = format!("{}\n", segment(token));
    while (body.len() as u64) < len {
        state = mix(state);
        body.push_str(&format!("{state:016x}\n"));
    }
    body
}

/// Maps `token` deterministically to a number from 0 to 1.
pub fn fraction(token: u64) -> f64 {
    // An `f64` represents integers of up to 53 bits exactly.
    (mix(token) >> 11) as f64 / (1u64 << 53) as f64
}

/// Hashes `value` with good dispersion of nearby values.
pub fn mix(value: u64) -> u64 {
    let mut hasher = FxHasher::default();
    hasher.write_u64(value ^ 0x9e37_79b9_7f4a_7c15);
    let first = hasher.finish();
    (first ^ (first >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9) ^ (first >> 32)
}
