//! `kspanctl`, the operators' command line.
//!
//! A command that makes a change appends one record to the platform's log, or requests a scheduler
//! to do so, and then reports the outcome. Results are written to standard output in the requested
//! format; errors are written to standard error with a hint on what to do next.

mod args;
mod cancel;
mod document;
mod exit;
mod job;
mod output;
mod processes;
mod run;
mod top;

use std::process::ExitCode;

/// Runs the program with the process's arguments and returns its exit code.
pub fn main() -> ExitCode {
    run::main()
}
