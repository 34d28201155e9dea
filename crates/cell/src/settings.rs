//! The settings file.

use std::{fs, io, net::Ipv4Addr, path::Path};

use kspan_model::Name;
use quick_error::quick_error;
use serde::Deserialize;

/// Result of reading settings.
pub(crate) type Result<T> = std::result::Result<T, SettingsError>;

quick_error! {
    /// Why settings were not read.
    #[derive(Debug)]
    pub enum SettingsError {
        /// The file can't be read.
        Read(err: io::Error) {
            from()
            display("cannot read: {err}")
        }
        /// The file is malformed.
        Format(err: serde_norway::Error) {
            from()
            display("{err}")
        }
        /// A value is out of its range.
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
    /// Processor time that the host gives, in processors.
    #[serde(default = "whole_processor")]
    pub(crate) processors: f64,
    /// Where callers are served.
    pub(crate) callers: String,
    /// Where readiness is told; may be the callers' address.
    pub(crate) ready: String,
    /// Where operators read metrics and state.
    pub(crate) admin: String,
    /// Port for the system's own messages, over TCP and UDP.
    pub(crate) internal_port: u16,
    /// Address of the platform's store.
    pub(crate) store: String,
    /// Address of the service that approves runners; empty where there is none.
    #[serde(default)]
    pub(crate) approvals: String,
    /// Longest time that a runner goes on without an order, in milliseconds.
    pub(crate) max_lease_ms: u64,
    /// How many times as long work takes away from its data.
    pub(crate) spread_factor: f64,
    /// How long the state of an ended job is shown, in seconds.
    pub(crate) keep_ended_s: u64,
    /// Time from a planned stop to the end of the process, in seconds.
    pub(crate) grace_s: f64,
}

impl Settings {
    /// Reads and checks a file.
    ///
    /// # Errors
    ///
    /// Returns the first fault.
    pub(crate) fn read(path: &Path) -> Result<Self> {
        let text = fs::read_to_string(path)?;
        let cfg: Self = serde_norway::from_str(&text)?;
        if cfg.max_lease_ms < 1_000 {
            return Err(SettingsError::Value("max_lease_ms: must be at least 1000"));
        }
        if cfg.spread_factor.is_nan() || cfg.spread_factor < 1.0 {
            return Err(SettingsError::Value("spread_factor: must be at least 1"));
        }
        if cfg.processors.is_nan() || cfg.processors <= 0.0 {
            return Err(SettingsError::Value("processors: must be above 0"));
        }
        if cfg.grace_s.is_nan() || cfg.grace_s <= 0.0 {
            return Err(SettingsError::Value("grace_s: must be above 0"));
        }
        Ok(cfg)
    }

    /// Returns the host's processor time in thousandths of a processor.
    #[allow(clippy::cast_possible_truncation, reason = "a host has few processors")]
    pub(crate) fn power_milli(&self) -> u32 {
        (self.processors * 1_000.0) as u32
    }
}

fn whole_processor() -> f64 {
    1.0
}
