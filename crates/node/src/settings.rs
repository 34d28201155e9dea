//! Settings of one process, from a small YAML file.
//!
//! Addresses are IP numbers: a process learns where it stands from here and asks no name
//! service.

use std::{fs, io, net::SocketAddr, path::Path};

use kspan_model::{Name, Site};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};

/// Result of reading settings.
pub type Result<T> = std::result::Result<T, SettingsError>;

quick_error! {
    /// Why settings could not be used.
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
    /// Name of the entry host, as the platform's host list has it.
    pub host: Name,
    /// Name of the cell.
    pub cell: Name,
    /// Region.
    pub region: Name,
    /// Data centre.
    pub data_centre: Name,
    /// Addresses to listen on.
    pub listen: Listen,
    /// The platform's services.
    pub platform: Platform,
    /// Least severe level that is logged: `error`, `warn`, `info`, `debug` or `trace`.
    #[serde(default = "default_log_level")]
    pub log_level: String,
    /// Longest time that a planned stop may wait for work in flight, in milliseconds.
    #[serde(default = "default_stop_grace_ms")]
    pub stop_grace_ms: u64,
    /// Artificial link faults, for tests. Absent in production.
    #[serde(default)]
    pub faults: Option<Faults>,
}

/// Addresses that a process listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Callers' HTTP.
    pub http: SocketAddr,
    /// Admin HTTP: health, readiness, metrics, dump.
    pub admin: SocketAddr,
    /// Wire endpoint, UDP and TCP.
    pub wire: SocketAddr,
}

/// Where the platform's services are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// The log service.
    pub log: SocketAddr,
    /// The host list.
    pub hosts: SocketAddr,
}

/// Artificial link faults. They can also be changed while the process runs, by
/// `PUT /faults` on the admin address with this structure as JSON.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// One-way delay to another data centre of the region, in milliseconds.
    pub delay_data_centre_ms: u64,
    /// One-way delay to another region, in milliseconds.
    pub delay_region_ms: u64,
    /// Regions that cannot be reached.
    pub cut_regions: Vec<Name>,
    /// Processes or hosts, by name, that cannot be reached.
    pub cut_names: Vec<Name>,
    /// Whether the platform's log cannot be reached.
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
    /// Returns an error where the file can't be read or isn't valid.
    pub fn read(path: &Path) -> Result<Self> {
        let text = fs::read_to_string(path)
            .map_err(|err| SettingsError::Read(path.display().to_string(), err))?;
        Self::from_yaml(&text)
    }

    /// Returns where the process stands.
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
