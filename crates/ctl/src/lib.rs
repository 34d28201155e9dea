//! `kspanctl`, the operators' command line.
//!
//! Every command that changes something appends one record to the platform's log, or asks a
//! scheduler to do so, and then tells what became of it. Results go to standard output in the
//! form asked for; errors go to standard error with what to do next.

mod args;
mod cancel;
mod document;
mod exit;
mod job;
mod output;
mod run;
mod show;
mod top;

use std::process::ExitCode;

/// Runs the program with the process's arguments and returns its exit code.
pub fn main() -> ExitCode {
    run::main()
}
