//! Errors that end the router's process.

use std::io;

use kspan_node::{StartError, settings::SettingsError};
use quick_error::quick_error;

/// Result of running the router.
pub type Result<T> = std::result::Result<T, RouterError>;

quick_error! {
    /// Error that ends the router's process.
    #[derive(Debug)]
    pub enum RouterError {
        /// The settings are invalid.
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
        /// The callers' listener could not be opened.
        Listen(err: io::Error) {
            display("could not listen for callers: {err}")
            source(err)
            from()
        }
    }
}
