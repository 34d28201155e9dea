//! Errors of the lab.

use std::io;

use quick_error::quick_error;

/// Result of lab operations.
pub type Result<T> = std::result::Result<T, LabError>;

quick_error! {
    /// Why an experiment could not be carried out.
    #[derive(Debug)]
    pub enum LabError {
        /// The command line or the deployment is wrong.
        Usage(text: String) {
            display("{text}")
        }
        /// A file, process or socket failed.
        Io(what: String, err: io::Error) {
            display("{what}: {err}")
            source(err)
        }
        /// The system under test did not come to the state that the experiment starts from.
        NotReady(text: String) {
            display("{text}")
        }
    }
}

impl LabError {
    /// Returns a function that adds what was attempted to an I/O error.
    pub fn io(what: impl Into<String>) -> impl FnOnce(io::Error) -> Self {
        let what = what.into();
        move |err| Self::Io(what, err)
    }
}
