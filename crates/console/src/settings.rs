//! Settings of the console.

use std::{net::SocketAddr, path::Path};

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

/// Result of reading the settings.
pub type Result<T> = std::result::Result<T, SettingsError>;

quick_error! {
    /// Errors of reading the settings.
    #[derive(Debug)]
    pub enum SettingsError {
        /// The file could not be read.
        Read(err: std::io::Error) {
            display("{err}")
            source(err)
            from()
        }
        /// The text is not a valid settings file.
        Parse(err: serde_norway::Error) {
            display("{err}")
            source(err)
            from()
        }
    }
}

/// Settings of the console.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Address on which the console listens for browsers.
    pub listen: SocketAddr,
    /// Address of the platform's log.
    pub log: SocketAddr,
}

impl Settings {
    /// Reads settings from a YAML file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read, has unknown or missing keys, or has invalid
    /// values.
    pub fn read(path: &Path) -> Result<Self> {
        Ok(serde_norway::from_str(&std::fs::read_to_string(path)?)?)
    }
}
