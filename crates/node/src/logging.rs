//! Logging to standard error.
//!
//! Each part of the program starts its messages with a prefix of its own, as in
//! `log::info!("placement: ...")`. It identifies the part, so module names are not logged.

use log::LevelFilter;
use simplelog::{ColorChoice, ConfigBuilder, TermLogger, TerminalMode};

/// Result of initialising logging.
pub type Result<T> = std::result::Result<T, log::SetLoggerError>;

/// Initialises logging for the process. An unknown level counts as `info`.
///
/// # Errors
///
/// Returns an error when a logger is already installed.
pub fn init(level: &str) -> Result<()> {
    let level = level.parse().unwrap_or(LevelFilter::Info);
    let cfg = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_target_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .add_filter_ignore_str("ntex")
        .build();
    TermLogger::init(level, cfg, TerminalMode::Stderr, ColorChoice::Never)
}
