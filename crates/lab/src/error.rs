//! Errors of the lab.

use std::io;

use quick_error::quick_error;

/// Result of lab operations.
pub type Result<T> = std::result::Result<T, LabError>;

quick_error! {
    /// An error that prevents an experiment from being carried out.
    #[derive(Debug)]
    pub enum LabError {
        /// The command line or the deployment is invalid.
        Usage(text: String) {
            display("{text}")
        }
        /// An operation on a file, process or socket failed.
        Io(operation: String, err: io::Error) {
            display("{operation}: {err}")
            source(err)
        }
        /// The system under test did not reach the state from which the experiment starts.
        NotReady(text: String) {
            display("{text}")
        }
    }
}

impl LabError {
    /// Returns a function that adds the attempted operation to an I/O error.
    pub fn io(operation: impl Into<String>) -> impl FnOnce(io::Error) -> Self {
        let operation = operation.into();
        move |err| Self::Io(operation, err)
    }
}
