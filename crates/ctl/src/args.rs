//! Command-line arguments.

use std::net::SocketAddr;

use argh::FromArgs;

use crate::output::Format;

/// Administers a knapweedspan cell.
///
/// Exit codes: 0 success; 1 refused or invalid; 2 usage error; 3 log or process unreachable;
/// 4 outcome unknown or not in force yet.
#[derive(FromArgs, Debug)]
#[argh(example = "kspanctl validate examples/haugland.yaml")]
#[argh(example = "kspanctl --log 10.0.0.5:7001 status --output table")]
pub(crate) struct Args {
    /// address of the platform's log, such as 10.0.0.5:7001; defaults to KSPAN_LOG
    #[argh(option)]
    pub(crate) log: Option<SocketAddr>,

    /// name under which changes are published; defaults to KSPAN_OPERATOR, then USER
    #[argh(option)]
    pub(crate) author: Option<String>,

    /// output format: table, json or yaml
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

/// Checks a document and reports every error and warning with its path, line and a hint.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "validate", example = "kspanctl validate cell.yaml")]
pub(crate) struct Validate {
    /// the document's file
    #[argh(positional)]
    pub(crate) file: String,
}

/// Prints the document in force, with its version as a comment.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "show", example = "kspanctl show > cell.yaml")]
pub(crate) struct Show {}

/// Prints the differences that publishing a document would make.
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

    /// version from which the file was edited; defaults to the one in the comment that `show`
    /// writes
    #[argh(option)]
    pub(crate) base: Option<u64>,

    /// seconds to wait for the document to be in force at every process; zero does not wait
    #[argh(option, default = "0")]
    pub(crate) wait: u64,
}

/// Lists every process with its readiness, log offset and document version.
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

    /// idempotency key; submissions of a team with the same key create one job
    #[argh(option)]
    pub(crate) key: String,
}

/// Explains why a job is pending, or why it can never run.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "explain", example = "kspanctl explain 0f3a...")]
pub(crate) struct Explain {
    /// id of the job
    #[argh(positional)]
    pub(crate) job: String,
}

/// Cancels a job and reports whether any of its tasks ran.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "cancel", example = "kspanctl cancel 0f3a...")]
pub(crate) struct Cancel {
    /// id of the job
    #[argh(positional)]
    pub(crate) job: String,
}

/// Drains a host, so that it gets no new work.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "drain", example = "kspanctl drain worker-17")]
pub(crate) struct Drain {
    /// name of the host
    #[argh(positional)]
    pub(crate) host: String,

    /// ends the draining of the host
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

/// Shows the status and jobs of the cell, refreshed periodically.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "top", example = "kspanctl top --every 2 --count 5")]
pub(crate) struct Top {
    /// seconds between refreshes
    #[argh(option, default = "2")]
    pub(crate) every: u64,

    /// number of refreshes; zero runs until interrupted
    #[argh(option, default = "0")]
    pub(crate) count: u64,
}
