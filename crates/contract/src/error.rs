//! Why a call to the platform failed, told by what it means for its caller.

use quick_error::quick_error;

/// Result of a call to the platform.
pub type Result<T> = std::result::Result<T, CallError>;

quick_error! {
    /// Why a call failed.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum CallError {
        /// No connection came about, so the request certainly did not arrive.
        NotSent(reason: String) {
            display("not sent: {reason}")
        }
        /// The request may have taken effect, now or later.
        Lost(reason: String) {
            display("answer lost: {reason}")
        }
        /// The endpoint answered something outside its protocol.
        Malformed(reason: String) {
            display("answer not understood: {reason}")
        }
    }
}

impl CallError {
    /// Returns whether the request may have taken effect.
    pub const fn is_ambiguous(&self) -> bool {
        !matches!(self, Self::NotSent(_))
    }
}
