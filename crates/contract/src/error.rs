//! Errors of calls to the platform, classified by whether the request may have taken effect.

use quick_error::quick_error;

/// Result of a call to the platform.
pub type Result<T> = std::result::Result<T, CallError>;

quick_error! {
    /// Error of a call to the platform.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum CallError {
        /// No connection was established, so the request was certainly not received.
        NotSent(reason: String) {
            display("request not sent: {reason}")
        }
        /// The request may have taken effect, now or later.
        Lost(reason: String) {
            display("no complete response, the request may have taken effect: {reason}")
        }
        /// The response violates the endpoint's protocol; the request may have taken effect.
        Malformed(reason: String) {
            display("malformed response: {reason}")
        }
    }
}

impl CallError {
    /// Returns whether the request may have taken effect.
    pub const fn is_ambiguous(&self) -> bool {
        !matches!(self, Self::NotSent(_))
    }
}
