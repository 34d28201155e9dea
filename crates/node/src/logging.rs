//! Logging to standard error.
//!
//! Each part of the program writes its own prefix (`log::info!("placement: ...")`), so that lines
//! can be told apart without naming modules.

use log::LevelFilter;
use simplelog::{ColorChoice, ConfigBuilder, TermLogger, TerminalMode};

/// Result of setting logging up.
pub type Result<T> = std::result::Result<T, log::SetLoggerError>;

/// Sets logging up for the whole process. An unknown level counts as `info`.
///
/// # Errors
///
/// Returns an error when logging was set up before.
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
