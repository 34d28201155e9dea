//! The command line's arguments.

use std::path::PathBuf;

use argh::FromArgs;

/// Runs the system against stand-ins for the platform, injects faults, and checks every promise.
#[derive(Debug, FromArgs)]
pub(crate) struct Args {
    /// command
    #[argh(subcommand)]
    pub(crate) command: Command,
}

/// A subcommand.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum Command {
    /// Runs a deployment under load.
    Run(Run),
    /// Runs a deployment with an injected fault.
    Fault(Fault),
    /// Measures how the cost of each role grows with the cell.
    Slopes(Slopes),
    /// Benchmarks the decision logic without processes or network.
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
    /// duration of the load in seconds (default: 20)
    #[argh(option, default = "20")]
    pub(crate) seconds: u64,
    /// seed of all random number generators (default: 1)
    #[argh(option, default = "1")]
    pub(crate) seed: u64,
    /// directory of the report (default: out)
    #[argh(option, default = "PathBuf::from(\"out\")")]
    pub(crate) report: PathBuf,
    /// requests per second (default: 600)
    #[argh(option, default = "600.0")]
    pub(crate) rate: f64,
    /// jobs submitted per second (default: 1.5)
    #[argh(option, default = "1.5")]
    pub(crate) jobs: f64,
    /// start the processes without load, for manual testing
    #[argh(switch)]
    pub(crate) idle: bool,
}

/// Run a deployment with an injected fault and check every promise.
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
    /// duration of the load in seconds (default: 25)
    #[argh(option, default = "25")]
    pub(crate) seconds: u64,
    /// seed of all random number generators (default: 1)
    #[argh(option, default = "1")]
    pub(crate) seed: u64,
    /// directory of the report (default: out)
    #[argh(option, default = "PathBuf::from(\"out\")")]
    pub(crate) report: PathBuf,
    /// requests per second (default: 300)
    #[argh(option, default = "300.0")]
    pub(crate) rate: f64,
}

/// Measure the cost of each role at several cell sizes, fit lines, and write a table.
///
/// Example: kspan-lab slopes --seconds 8 --report out/slopes
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "slopes")]
pub(crate) struct Slopes {
    /// duration of each cell's load in seconds (default: 8)
    #[argh(option, default = "8")]
    pub(crate) seconds: u64,
    /// seed of all random number generators (default: 1)
    #[argh(option, default = "1")]
    pub(crate) seed: u64,
    /// directory of the table and the reports (default: out/slopes)
    #[argh(option, default = "PathBuf::from(\"out/slopes\")")]
    pub(crate) report: PathBuf,
}

/// Benchmark the decision logic and compare each figure with its target.
///
/// Example: kspan-lab bench --check --plot out/charts
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "bench")]
pub(crate) struct Bench {
    /// exit with status 1 if a target is missed
    #[argh(switch)]
    pub(crate) check: bool,
    /// directory for charts
    #[argh(option)]
    pub(crate) plot: Option<PathBuf>,
    /// file for the figures (default: bench.json)
    #[argh(option, default = "PathBuf::from(\"bench.json\")")]
    pub(crate) out: PathBuf,
}
