//! Arguments of the command line.

use std::net::SocketAddr;

use argh::FromArgs;

use crate::output::Format;

/// Drives a knapweedspan cell.
///
/// Exit codes: 0 done; 1 refused or faulty; 2 bad usage; 3 something could not be reached;
/// 4 not known yet what became of a change.
#[derive(FromArgs, Debug)]
#[argh(example = "kspanctl validate examples/haugland.yaml")]
#[argh(example = "kspanctl --log 10.0.0.5:7001 status --output table")]
pub(crate) struct Args {
    /// address of the platform's log, such as 10.0.0.5:7001; KSPAN_LOG where absent
    #[argh(option)]
    pub(crate) log: Option<SocketAddr>,

    /// name under which changes are published; KSPAN_OPERATOR or USER where absent
    #[argh(option)]
    pub(crate) author: Option<String>,

    /// form of results: table, json or yaml
    #[argh(option, short = 'o', default = "Format::Table")]
    pub(crate) output: Format,

    #[argh(subcommand)]
    pub(crate) command: Command,
}

#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub(crate) enum Command {
    Validate(Validate),
    Show(Show),
    Diff(Diff),
    Publish(Publish),
    Status(Status),
    Submit(Submit),
    Explain(Explain),
    Cancel(Cancel),
    Drain(Drain),
    Dump(Dump),
    Top(Top),
}

/// Checks a document and reports every fault with its path, line and a hint.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "validate", example = "kspanctl validate cell.yaml")]
pub(crate) struct Validate {
    /// the document's file
    #[argh(positional)]
    pub(crate) file: String,
}

/// Prints the document in force, with the version to edit it from.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "show", example = "kspanctl show > cell.yaml")]
pub(crate) struct Show {}

/// Prints what a document would change, by name.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "diff", example = "kspanctl diff cell.yaml")]
pub(crate) struct Diff {
    /// the new document's file
    #[argh(positional)]
    pub(crate) file: String,

    /// another file to compare with, instead of the document in force
    #[argh(option)]
    pub(crate) against: Option<String>,
}

/// Publishes a document.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "publish",
    example = "kspanctl publish cell.yaml --base 42 --wait 10"
)]
pub(crate) struct Publish {
    /// the document's file
    #[argh(positional)]
    pub(crate) file: String,

    /// version that the file was edited from; read from the comment that `show` writes where
    /// absent
    #[argh(option)]
    pub(crate) base: Option<u64>,

    /// seconds to wait until every process has it in force; zero does not wait
    #[argh(option, default = "0")]
    pub(crate) wait: u64,
}

/// Lists every process with what it has in force.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "status", example = "kspanctl status")]
pub(crate) struct Status {}

/// Submits a run of a declared batch or gang workload.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "submit",
    example = "kspanctl submit crate-count --key 2026-12-03"
)]
pub(crate) struct Submit {
    /// name of the workload
    #[argh(positional)]
    pub(crate) workload: String,

    /// key that makes a submission sent twice one job
    #[argh(option)]
    pub(crate) key: String,
}

/// Tells why a job waits, or why it can never run.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "explain", example = "kspanctl explain 0f3a...")]
pub(crate) struct Explain {
    /// id of the job
    #[argh(positional)]
    pub(crate) job: String,
}

/// Cancels a job and tells truthfully whether it ran.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "cancel", example = "kspanctl cancel 0f3a...")]
pub(crate) struct Cancel {
    /// id of the job
    #[argh(positional)]
    pub(crate) job: String,
}

/// Drains a host: it gets no new work.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "drain", example = "kspanctl drain worker-17")]
pub(crate) struct Drain {
    /// name of the host
    #[argh(positional)]
    pub(crate) host: String,

    /// takes the host back into use
    #[argh(switch)]
    pub(crate) undo: bool,
}

/// Prints the state dump of every process, or of one.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "dump",
    example = "kspanctl dump --process entry-1-router -o yaml"
)]
pub(crate) struct Dump {
    /// name of one process
    #[argh(option)]
    pub(crate) process: Option<String>,
}

/// Shows the cell, again and again.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "top", example = "kspanctl top --every 2 --count 5")]
pub(crate) struct Top {
    /// seconds between two looks
    #[argh(option, default = "2")]
    pub(crate) every: u64,

    /// looks to take; zero goes on until interrupted
    #[argh(option, default = "0")]
    pub(crate) count: u64,
}
