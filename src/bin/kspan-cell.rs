//! The `kspan-cell` program; see the `kspan-cell` crate.

use std::process::ExitCode;

fn main() -> ExitCode {
    kspan_cell::main()
}
