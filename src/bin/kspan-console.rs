//! The `kspan-console` program; see the `kspan-console` crate.

use std::process::ExitCode;

fn main() -> ExitCode {
    kspan_console::main()
}
