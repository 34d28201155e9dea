//! The command line.

use std::path::PathBuf;

use argh::FromArgs;

/// Runs the system against stand-ins of the platform, breaks it, and checks every promise.
#[derive(Debug, FromArgs)]
pub(crate) struct Args {
    /// what to do
    #[argh(subcommand)]
    pub(crate) command: Command,
}

/// What to do.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum Command {
    /// Runs a deployment under load.
    Run(Run),
    /// Runs a deployment and breaks something.
    Fault(Fault),
    /// Measures what each role costs as a cell grows.
    Slopes(Slopes),
    /// Measures the decisions alone.
    Bench(Bench),
}

/// Run a deployment under a mixed load without faults and check every promise.
///
/// Example: kspan-lab run --deployment examples/haugland.yaml --seconds 20 --seed 1 --report out/
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "run")]
pub(crate) struct Run {
    /// the deployment's document (default: the built-in copy of examples/haugland.yaml)
    #[argh(option)]
    pub(crate) deployment: Option<PathBuf>,
    /// length of the load in seconds (default: 20)
    #[argh(option, default = "20")]
    pub(crate) seconds: u64,
    /// seed of everything random (default: 1)
    #[argh(option, default = "1")]
    pub(crate) seed: u64,
    /// directory of the report (default: out)
    #[argh(option, default = "PathBuf::from(\"out\")")]
    pub(crate) report: PathBuf,
    /// requests a second (default: 600)
    #[argh(option, default = "600.0")]
    pub(crate) rate: f64,
    /// jobs submitted a second (default: 1.5)
    #[argh(option, default = "1.5")]
    pub(crate) jobs: f64,
    /// load nothing and go on until interrupted, to try the programs by hand
    #[argh(switch)]
    pub(crate) idle: bool,
}

/// Run a deployment, break something, and check every promise.
///
/// Example: kspan-lab fault kill-scheduler --seconds 25 --seed 1 --report out/
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "fault")]
pub(crate) struct Fault {
    /// the fault's name; see --list
    #[argh(positional)]
    pub(crate) name: Option<String>,
    /// list the faults
    #[argh(switch)]
    pub(crate) list: bool,
    /// run every fault, one after another
    #[argh(switch)]
    pub(crate) all: bool,
    /// the deployment's document (default: the built-in copy of examples/haugland.yaml)
    #[argh(option)]
    pub(crate) deployment: Option<PathBuf>,
    /// length of the load in seconds (default: 25)
    #[argh(option, default = "25")]
    pub(crate) seconds: u64,
    /// seed of everything random (default: 1)
    #[argh(option, default = "1")]
    pub(crate) seed: u64,
    /// directory of the report (default: out)
    #[argh(option, default = "PathBuf::from(\"out\")")]
    pub(crate) report: PathBuf,
    /// requests a second (default: 300)
    #[argh(option, default = "300.0")]
    pub(crate) rate: f64,
}

/// Measure what each role costs at several sizes, fit lines, and write the table.
///
/// Example: kspan-lab slopes --seconds 8 --report out/slopes
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "slopes")]
pub(crate) struct Slopes {
    /// length of each cell's load in seconds (default: 8)
    #[argh(option, default = "8")]
    pub(crate) seconds: u64,
    /// seed of everything random (default: 1)
    #[argh(option, default = "1")]
    pub(crate) seed: u64,
    /// directory of the table and the reports (default: out/slopes)
    #[argh(option, default = "PathBuf::from(\"out/slopes\")")]
    pub(crate) report: PathBuf,
}

/// Measure the decisions alone, each figure beside its target.
///
/// Example: kspan-lab bench --check --plot out/charts
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "bench")]
pub(crate) struct Bench {
    /// exit with status 1 where a target is missed
    #[argh(switch)]
    pub(crate) check: bool,
    /// directory for charts
    #[argh(option)]
    pub(crate) plot: Option<PathBuf>,
    /// file for the figures (default: bench.json)
    #[argh(option, default = "PathBuf::from(\"bench.json\")")]
    pub(crate) out: PathBuf,
}
