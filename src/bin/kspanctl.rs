//! The `kspanctl` program; see the `kspan-ctl` crate.

use std::process::ExitCode;

fn main() -> ExitCode {
    kspan_ctl::main()
}
