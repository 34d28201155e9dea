//! The `kspan-scheduler` program; see the `kspan-scheduler` crate.

use std::process::ExitCode;

fn main() -> ExitCode {
    kspan_scheduler::main()
}
