//! The request router.
//!
//! One thread owns the routing state, the callers' HTTP listener and the connections to runners,
//! so that a request crosses no thread boundary and takes no lock. The node's threads send it
//! events through a bounded ring. [`kspan_routing`] makes the decisions; this crate executes them.
//!
//! A caller that disconnects does not cancel its request: a dispatched request is followed to its
//! end, because its outcome is not known before.

mod app;
mod args;
mod dispatch;
pub mod error;
mod events;
pub mod exchange;
mod http;
mod server;
mod stats;
pub mod upstream;

use std::process::ExitCode;

use kspan_model::Role;
use kspan_node::{logging, settings::Settings};

use crate::{args::Args, error::Result};

/// Runs the program with the process's arguments and returns its exit code.
pub fn main() -> ExitCode {
    let args: Args = argh::from_env();
    match run(&args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("kspan-router: {err}");
            ExitCode::FAILURE
        }
    }
}

fn run(args: &Args) -> Result<()> {
    let cfg = Settings::read(&args.settings)?;
    if args.check {
        println!("{}: ok", args.settings.display());
        return Ok(());
    }
    if logging::init(&cfg.log_level).is_err() {
        eprintln!("kspan-router: a logger is already installed");
    }
    let (node, events) = kspan_node::start(cfg, Role::Router)?;
    server::serve(&node, events)?;
    node.shutdown();
    log::info!("router: stopped");
    Ok(())
}
