//! The command line.

use std::path::PathBuf;

use argh::FromArgs;

/// Routes callers' requests to runners.
#[derive(FromArgs, Debug)]
pub(crate) struct Args {
    /// file with the process's settings
    #[argh(option)]
    pub(crate) settings: PathBuf,

    /// check the settings and exit
    #[argh(switch)]
    pub(crate) check: bool,
}
