//! The `kspan-lab` program; see the `kspan-lab` crate.

use std::process::ExitCode;

fn main() -> ExitCode {
    kspan_lab::main()
}
