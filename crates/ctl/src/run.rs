//! Parses the arguments and runs the command.

use std::{env, net::SocketAddr, process::ExitCode};

use argh::FromArgs;
use kspan_model::Name;
use kspan_operator::CellClient;

use crate::{
    args::{Args, Command},
    cancel, document,
    exit::{Exit, fail, unreachable},
    job, processes, top,
};

const LOG_VARIABLE: &str = "KSPAN_LOG";
const AUTHOR_VARIABLES: [&str; 2] = ["KSPAN_OPERATOR", "USER"];

pub(crate) fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let args = match Args::from_args(&["kspanctl"], arguments.get(1..).unwrap_or_default()) {
        Ok(args) => args,
        Err(early_exit) if early_exit.status.is_ok() => {
            println!("{}", early_exit.output);
            return ExitCode::SUCCESS;
        }
        Err(early_exit) => {
            let next = "run `kspanctl --help`";
            return fail(Exit::Usage, early_exit.output.trim_end(), next).into();
        }
    };
    let system = ntex::rt::System::build()
        .name("kspanctl")
        .build(ntex::rt::DefaultRuntime);
    system.block_on(run(args)).into()
}

async fn run(args: Args) -> Exit {
    match &args.command {
        Command::Validate(cmd) => return document::validate(args.output, cmd),
        Command::Diff(cmd) if cmd.against.is_some() => {
            return document::diff_files(args.output, cmd);
        }
        _ => {}
    }
    let Some(log) = log_address(&args) else {
        let message = "the address of the platform's log is missing or invalid";
        return fail(Exit::Usage, message, "pass --log ADDRESS, or set KSPAN_LOG");
    };
    match CellClient::connect(log).await {
        Ok(cell) => run_with_cell(cell, &args).await,
        Err(err) => unreachable(&err),
    }
}

async fn run_with_cell(mut cell: CellClient, args: &Args) -> Exit {
    let format = args.output;
    let author = author(args);
    match &args.command {
        Command::Validate(cmd) => document::validate(format, cmd),
        Command::Show(_) => document::show(&cell),
        Command::Diff(cmd) => document::diff_in_force(format, cmd, &cell),
        Command::Publish(cmd) => document::publish(format, cmd, &mut cell, &author).await,
        Command::Status(_) => processes::status(format, &cell).await,
        Command::Submit(cmd) => job::submit(format, cmd, &cell).await,
        Command::Explain(cmd) => job::explain(format, cmd, &cell).await,
        Command::Cancel(cmd) => cancel::cancel(format, cmd, &cell).await,
        Command::Drain(cmd) => processes::drain(format, cmd, &mut cell, &author).await,
        Command::Dump(cmd) => processes::dump(format, cmd, &cell).await,
        Command::Top(cmd) => top::top(cmd, &mut cell).await,
    }
}

fn log_address(args: &Args) -> Option<SocketAddr> {
    args.log
        .or_else(|| env::var(LOG_VARIABLE).ok()?.parse().ok())
}

fn author(args: &Args) -> Name {
    let from_environment = || AUTHOR_VARIABLES.iter().find_map(|name| env::var(name).ok());
    let author = args.author.clone().or_else(from_environment);
    author.unwrap_or_else(|| "operator".to_owned()).into()
}
