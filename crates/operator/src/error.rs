//! Errors of reading a cell and sending requests to its processes.

use quick_error::quick_error;

/// Result of an operation on a cell.
pub type Result<T> = std::result::Result<T, Error>;

quick_error! {
    /// Errors of operations on a cell.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum Error {
        /// The log could not be read.
        Log(reason: String) {
            display("failed to read the log: {reason}")
        }
        /// A request to a process failed.
        Process(name: String, reason: String) {
            display("request to {name} failed: {reason}")
        }
        /// The view contains no process with the required role.
        NoMember(role: &'static str) {
            display("no {role} is a member of the cell")
        }
    }
}
