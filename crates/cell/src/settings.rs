//! Reads and validates the settings file.

#[cfg(test)]
mod tests;

use std::{fs, io, net::Ipv4Addr, path::Path};

use kspan_model::Name;
use quick_error::quick_error;
use serde::Deserialize;

/// Upper bounds. Larger values are mistakes, and some would overflow where they are used.
const MIN_MAX_RECORD_BYTES: usize = 64 * 1024;
const MAX_CONFIG_APPLY_MS: u64 = 3_600_000;
const MAX_GANG_WAIT_MS: u64 = 3_600_000;
const MAX_FACTOR: f64 = 1_000_000.0;
const MAX_GRACE_S: f64 = 86_400.0;
const MAX_KEEP_ENDED_S: u64 = 365 * 86_400;

/// Bounds of the host's memory, in MB.
const MIN_MEMORY_MB: u64 = 64;
const MAX_MEMORY_MB: u64 = 1_000_000;

/// Memory of the host where the settings name none, in MB: that of the smallest host.
const DEFAULT_MEMORY_MB: u64 = 160;

/// Bounds of the process's file descriptors.
const MIN_DESCRIPTORS: usize = 256;
const MAX_DESCRIPTORS: usize = 1_000_000;

/// Maximum number of file descriptors where the settings name none: that of the smallest host.
const DEFAULT_DESCRIPTORS: usize = 4_100;

/// Result of reading settings.
pub(crate) type Result<T> = std::result::Result<T, SettingsError>;

quick_error! {
    /// Reason why the settings could not be read.
    #[derive(Debug)]
    pub enum SettingsError {
        /// The file could not be read.
        Read(err: io::Error) {
            from()
            display("cannot read the settings file: {err}")
        }
        /// The file is malformed.
        Format(err: serde_norway::Error) {
            from()
            display("{err}")
        }
        /// A value is out of range.
        Value(what: &'static str) {
            display("{what}")
        }
    }
}

/// Settings of a process.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Settings {
    /// Name of the host.
    pub(crate) node: Name,
    /// Address of the host.
    pub(crate) address: Ipv4Addr,
    /// Data centre of the host.
    pub(crate) data_centre: Name,
    /// Processor time that the host offers to the process, in processors.
    #[serde(default = "default_processors")]
    pub(crate) processors: f64,
    /// Memory that the host offers to the process, in MB; above it the platform ends the process.
    #[serde(default)]
    pub(crate) memory_mb: Option<u64>,
    /// Maximum number of the process's file descriptors.
    #[serde(default)]
    pub(crate) max_descriptors: Option<usize>,
    /// Listen address for callers.
    pub(crate) callers: String,
    /// Listen address of the readiness check; may be the callers' address.
    pub(crate) ready: String,
    /// Listen address for metrics, state and explanations.
    pub(crate) admin: String,
    /// Port for messages between the cell's processes, over TCP and UDP.
    pub(crate) internal_port: u16,
    /// Address of the platform's store.
    pub(crate) store: String,
    /// Maximum size of one record of the store, in bytes.
    #[serde(default = "default_max_record_bytes")]
    pub(crate) max_record_bytes: usize,
    /// Address of the service that approves runners; empty if there is none.
    #[serde(default)]
    pub(crate) approvals: String,
    /// Upper bound on a runner's lease, in milliseconds.
    pub(crate) max_lease_ms: u64,
    /// Factor by which a task's run time grows when it runs away from its data.
    pub(crate) spread_factor: f64,
    /// Time for which runners let a member of a gang wait for the others, in milliseconds.
    #[serde(default = "default_gang_wait_ms")]
    pub(crate) gang_wait_ms: u64,
    /// Time for which an ended job's state stays available, in seconds.
    pub(crate) keep_ended_s: u64,
    /// Time within which an accepted version of the configuration must be in force, in milliseconds.
    #[serde(default = "default_config_apply_ms")]
    pub(crate) config_apply_ms: u64,
    /// Grace period of a graceful shutdown, after which the platform ends the process, in seconds.
    pub(crate) grace_s: f64,
}

impl Settings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read, is malformed or has a value out of range.
    pub(crate) fn read(path: &Path) -> Result<Self> {
        Self::parse(&fs::read_to_string(path)?)
    }

    /// Parses and validates the text of a settings file.
    fn parse(text: &str) -> Result<Self> {
        let cfg: Self = serde_norway::from_str(text)?;
        if cfg.max_record_bytes < MIN_MAX_RECORD_BYTES {
            return Err(SettingsError::Value(
                "max_record_bytes: must be at least 65536",
            ));
        }
        if cfg.max_lease_ms < 1_000 {
            return Err(SettingsError::Value("max_lease_ms: must be at least 1000"));
        }
        if !(1_000..=MAX_CONFIG_APPLY_MS).contains(&cfg.config_apply_ms) {
            return Err(SettingsError::Value(
                "config_apply_ms: must be from 1000 to 3600000",
            ));
        }
        if !(1_000..=MAX_GANG_WAIT_MS).contains(&cfg.gang_wait_ms) {
            return Err(SettingsError::Value(
                "gang_wait_ms: must be from 1000 to 3600000",
            ));
        }
        if !(1.0..=MAX_FACTOR).contains(&cfg.spread_factor) {
            return Err(SettingsError::Value(
                "spread_factor: must be from 1 to 1000000",
            ));
        }
        if cfg.processors <= 0.0 || !(0.0..=MAX_FACTOR).contains(&cfg.processors) {
            return Err(SettingsError::Value(
                "processors: must be above 0, up to 1000000",
            ));
        }
        if !(MIN_MEMORY_MB..=MAX_MEMORY_MB).contains(&cfg.memory_mb()) {
            return Err(SettingsError::Value(
                "memory_mb: must be from 64 to 1000000",
            ));
        }
        if !(MIN_DESCRIPTORS..=MAX_DESCRIPTORS).contains(&cfg.max_descriptors()) {
            return Err(SettingsError::Value(
                "max_descriptors: must be from 256 to 1000000",
            ));
        }
        if cfg.grace_s <= 0.0 || !(0.0..=MAX_GRACE_S).contains(&cfg.grace_s) {
            return Err(SettingsError::Value(
                "grace_s: must be above 0, up to 86400",
            ));
        }
        if cfg.keep_ended_s > MAX_KEEP_ENDED_S {
            return Err(SettingsError::Value(
                "keep_ended_s: must be at most 31536000",
            ));
        }
        Ok(cfg)
    }

    /// Returns the memory of the host, in MB.
    pub(crate) fn memory_mb(&self) -> u64 {
        self.memory_mb.unwrap_or(DEFAULT_MEMORY_MB)
    }

    /// Returns the maximum number of the process's file descriptors.
    pub(crate) fn max_descriptors(&self) -> usize {
        self.max_descriptors.unwrap_or(DEFAULT_DESCRIPTORS)
    }

    /// Returns the host's processor time in thousandths of a processor.
    #[allow(clippy::cast_possible_truncation, reason = "a host has few processors")]
    pub(crate) fn processors_milli(&self) -> u32 {
        (self.processors * 1_000.0) as u32
    }
}

fn default_config_apply_ms() -> u64 {
    2_500
}

fn default_gang_wait_ms() -> u64 {
    3_000
}

fn default_max_record_bytes() -> usize {
    256 * 1024
}

fn default_processors() -> f64 {
    1.0
}
