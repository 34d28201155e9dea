//! Why an operator's tool could not do what it was asked.

use quick_error::quick_error;

/// Result of an operator's command.
pub type Result<T> = std::result::Result<T, Error>;

quick_error! {
    /// Why a command failed.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum Error {
        /// The log could not be read.
        Log(reason: String) {
            display("the log can't be read: {reason}")
        }
        /// A process could not be asked.
        Process(name: String, reason: String) {
            display("{name} can't be asked: {reason}")
        }
        /// No process of the needed kind is a member.
        NoMember(role: &'static str) {
            display("no {role} is a member of the cell")
        }
    }
}
