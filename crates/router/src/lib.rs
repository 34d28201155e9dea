//! The request router.

use std::process::ExitCode;

/// Runs the program with the process's arguments and returns its exit code.
pub fn main() -> ExitCode {
    ExitCode::SUCCESS
}
