//! Why the router could not run.

use std::io;

use kspan_node::{StartError, settings::SettingsError};
use quick_error::quick_error;

/// Result of running the router.
pub type Result<T> = std::result::Result<T, RouterError>;

quick_error! {
    /// Why the router could not run.
    #[derive(Debug)]
    pub enum RouterError {
        /// The settings can't be used.
        Settings(err: SettingsError) {
            display("{err}")
            source(err)
            from()
        }
        /// The node could not start.
        Start(err: StartError) {
            display("{err}")
            source(err)
            from()
        }
        /// The callers' listener failed.
        Listen(err: io::Error) {
            display("callers' listener: {err}")
            source(err)
            from()
        }
    }
}
