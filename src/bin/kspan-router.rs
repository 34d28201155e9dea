//! The `kspan-router` program; see the `kspan-router` crate.

use std::process::ExitCode;

fn main() -> ExitCode {
    kspan_router::main()
}
