//! Tokens that tie a caller's request to its answer.
//!
//! A runner's answer is a function of the token alone, so a caller can tell at every byte
//! whether it holds the whole answer to its own request.

use std::hash::Hasher;

use rustc_hash::FxHasher;

/// Marks the token in a request's path.
const MARK: &str = "t-";

/// Digits of a token in a path.
const DIGITS: usize = 16;

/// Length of answers, in bytes: from this up to [`SPREAD_BYTES`] more.
const MIN_BYTES: u64 = 128;

/// Spread of answers' lengths, in bytes.
const SPREAD_BYTES: u64 = 2_048;

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
    format!("{MARK}{token:016x}")
}

/// Returns the token in a path.
pub fn find(path: &str) -> Option<u64> {
    path.split('/')
        .filter_map(|segment| segment.strip_prefix(MARK))
        .filter(|digits| digits.len() == DIGITS)
        .find_map(|digits| u64::from_str_radix(digits, 16).ok())
}

/// Returns the whole answer to the request with `token`.
pub fn expected_body(token: u64) -> String {
    let mut state = mix(token);
    let len = MIN_BYTES + state % SPREAD_BYTES;
    let mut body = format!("{}\n", segment(token));
    while (body.len() as u64) < len {
        state = mix(state);
        body.push_str(&format!("{state:016x}\n"));
    }
    body
}

/// Returns a number from 0 to 1 that depends on `token` alone.
pub fn fraction(token: u64) -> f64 {
    // 53 bits are what a float of this size holds exactly.
    (mix(token) >> 11) as f64 / (1u64 << 53) as f64
}

/// Returns a well spread number that depends on `value` alone.
pub fn mix(value: u64) -> u64 {
    let mut hasher = FxHasher::default();
    hasher.write_u64(value ^ 0x9e37_79b9_7f4a_7c15);
    let first = hasher.finish();
    (first ^ (first >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9) ^ (first >> 32)
}
