//! Settings of one process, from a YAML file.
//!
//! Addresses are numeric IP addresses, so that no name service is needed. The site of the process
//! also comes from this file.

use std::{fs, io, net::SocketAddr, path::Path};

use kspan_model::{Name, Site};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};

/// Result of reading settings.
pub type Result<T> = std::result::Result<T, SettingsError>;

quick_error! {
    /// Why settings could not be loaded.
    #[derive(Debug)]
    pub enum SettingsError {
        /// The file could not be read.
        Read(path: String, err: io::Error) {
            display("{path}: {err}")
            source(err)
        }
        /// The text is not valid settings.
        Parse(err: serde_norway::Error) {
            display("{err}")
            source(err)
            from()
        }
    }
}

/// Settings of a router or scheduler.
///
/// # Examples
///
/// ```
/// use kspan_node::settings::Settings;
///
/// let text = "
/// name: entry-1-router
/// host: entry-1
/// cell: haugland
/// region: Vestland
/// data_centre: vestland-1
/// listen: {http: 127.0.1.1:8000, admin: 127.0.1.1:8001, wire: 127.0.1.1:8002}
/// platform: {log: 127.0.0.1:7001, hosts: 127.0.0.1:7002}
/// ";
/// let cfg = Settings::from_yaml(text).unwrap();
/// assert_eq!(cfg.site().region.as_str(), "Vestland");
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the process, unique in the cell.
    pub name: Name,
    /// Name of the entry host in the platform's host list.
    pub host: Name,
    /// Name of the cell.
    pub cell: Name,
    /// Region of the process.
    pub region: Name,
    /// Data centre of the process.
    pub data_centre: Name,
    /// Addresses to listen on.
    pub listen: Listen,
    /// Addresses of the platform's services.
    pub platform: Platform,
    /// Least severe level that is logged: `error`, `warn`, `info`, `debug` or `trace`.
    #[serde(default = "default_log_level")]
    pub log_level: String,
    /// Maximum time that a graceful shutdown waits for work in flight, in milliseconds.
    #[serde(default = "default_stop_grace_ms")]
    pub stop_grace_ms: u64,
    /// Injected link faults, for tests. Absent in production.
    #[serde(default)]
    pub faults: Option<Faults>,
}

/// Addresses that a process listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// HTTP for callers.
    pub http: SocketAddr,
    /// Admin HTTP: health, readiness, metrics, dump.
    pub admin: SocketAddr,
    /// Messages between processes, UDP and TCP.
    pub wire: SocketAddr,
}

/// Addresses of the platform's services.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// The log service.
    pub log: SocketAddr,
    /// The host list.
    pub hosts: SocketAddr,
}

/// Injected link faults. They can be changed while the process runs by `PUT /faults` on the admin
/// address, with this structure as JSON.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// One-way delay to another data centre of the region, in milliseconds.
    pub delay_data_centre_ms: u64,
    /// One-way delay to another region, in milliseconds.
    pub delay_region_ms: u64,
    /// Regions to which all links are cut.
    pub cut_regions: Vec<Name>,
    /// Names of processes and hosts to which the link is cut.
    pub cut_names: Vec<Name>,
    /// Whether the link to the platform's log is cut.
    pub cut_log: bool,
}

impl Settings {
    /// Parses settings from YAML text.
    ///
    /// # Errors
    ///
    /// Returns an error on unknown or missing keys and on values of the wrong form.
    pub fn from_yaml(text: &str) -> Result<Self> {
        Ok(serde_norway::from_str(text)?)
    }

    /// Reads settings from a file.
    ///
    /// # Errors
    ///
    /// Returns an error when the file can't be read or is not valid.
    pub fn read(path: &Path) -> Result<Self> {
        let text = fs::read_to_string(path)
            .map_err(|err| SettingsError::Read(path.display().to_string(), err))?;
        Self::from_yaml(&text)
    }

    /// Returns the site of the process.
    pub fn site(&self) -> Site {
        Site {
            region: self.region.clone(),
            data_centre: self.data_centre.clone(),
        }
    }
}

fn default_log_level() -> String {
    "info".to_owned()
}

const fn default_stop_grace_ms() -> u64 {
    10_000
}
