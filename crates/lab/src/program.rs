//! The program: from the command line to an exit status.

use std::{fs, path::Path, process::ExitCode};

use ntex::rt::{DefaultRuntime, System};

use crate::{
    args::{Args, Bench, Command, Fault, Run, Slopes},
    error::{LabError, Result},
    experiment::{self, Options},
    fault, process,
    report::Report,
    slopes,
};

/// The deployment that is run where none is named.
const DEFAULT_DEPLOYMENT: &str = include_str!("../../../examples/haugland.yaml");

/// Jobs submitted a second while something is broken.
const FAULT_JOBS_PER_SECOND: f64 = 1.0;

/// Exit status for a broken promise or an experiment that could not be carried out.
const FAILED: u8 = 1;

/// Exit status for bad usage.
const BAD_USAGE: u8 = 2;

/// Runs the program with the process's arguments and returns its exit code.
pub fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let args = match <Args as argh::FromArgs>::from_args(&["kspan-lab"], &words[1..]) {
        Ok(args) => args,
        Err(early) => return exit_early(&early),
    };
    start_logging();
    match execute(args) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(FAILED),
        Err(err @ LabError::Usage(_)) => {
            eprintln!("kspan-lab: {err}");
            ExitCode::from(BAD_USAGE)
        }
        Err(err) => {
            eprintln!("kspan-lab: {err}");
            ExitCode::from(FAILED)
        }
    }
}

fn exit_early(early: &argh::EarlyExit) -> ExitCode {
    if early.status.is_ok() {
        println!("{}", early.output);
        return ExitCode::SUCCESS;
    }
    eprintln!("{}", early.output);
    ExitCode::from(BAD_USAGE)
}

fn start_logging() {
    let cfg = simplelog::ConfigBuilder::new()
        .add_filter_allow_str("kspan_lab")
        .build();
    // A second start only happens in tests, where the first one serves.
    let _ = simplelog::TermLogger::init(
        simplelog::LevelFilter::Info,
        cfg,
        simplelog::TerminalMode::Stderr,
        simplelog::ColorChoice::Never,
    );
}

fn execute(args: Args) -> Result<bool> {
    match args.command {
        Command::Run(run) => execute_run(run),
        Command::Fault(fault) => execute_fault(fault),
        Command::Slopes(slopes) => execute_slopes(&slopes),
        Command::Bench(bench) => execute_bench(bench),
    }
}

fn execute_run(run: Run) -> Result<bool> {
    let options = Options {
        name: "run".to_owned(),
        text: read_deployment(run.deployment.as_deref())?,
        seconds: run.seconds,
        seed: run.seed,
        rate: run.rate,
        jobs: run.jobs,
        dir: run.report,
    };
    let report = block_on(async move {
        if run.idle {
            experiment::idle(options).await
        } else {
            experiment::run(options).await
        }
    })?;
    Ok(show(&report))
}

fn execute_fault(args: Fault) -> Result<bool> {
    if args.list {
        for scenario in fault::SCENARIOS {
            println!("{:<26} {}", scenario.name, scenario.about);
        }
        return Ok(true);
    }
    if args.all {
        process::Programs::find()?;
        return fault::run_all(&fault_words(&args), &args.report);
    }
    let Some(name) = &args.name else {
        return Err(LabError::Usage(
            "name a fault, or give --list or --all".to_owned(),
        ));
    };
    let scenario = fault::find(name)?;
    let options = Options {
        name: name.clone(),
        text: read_deployment(args.deployment.as_deref())?,
        seconds: args.seconds,
        seed: args.seed,
        rate: args.rate,
        jobs: FAULT_JOBS_PER_SECOND,
        dir: args.report,
    };
    let report = block_on(fault::run(scenario, options))?;
    Ok(show(&report))
}

/// Returns the options that every fault of `--all` gets.
fn fault_words(args: &Fault) -> Vec<String> {
    let mut words = Vec::new();
    let mut add = |name: &str, value: String| words.extend([name.to_owned(), value]);
    add("--seconds", args.seconds.to_string());
    add("--seed", args.seed.to_string());
    add("--rate", args.rate.to_string());
    if let Some(path) = &args.deployment {
        add("--deployment", path.display().to_string());
    }
    words
}

fn execute_slopes(args: &Slopes) -> Result<bool> {
    process::Programs::find()?;
    let slopes = slopes::measure(&args.report, args.seconds, args.seed)?;
    print!("{}", slopes::table(&slopes));
    Ok(true)
}

fn execute_bench(args: Bench) -> Result<bool> {
    let check = args.check;
    let options = kspan_bench::BenchOptions {
        check,
        plot: args.plot,
        out: args.out,
    };
    let report = kspan_bench::run(&options).map_err(|err| LabError::NotReady(err.to_string()))?;
    Ok(!check || report.misses().is_empty())
}

fn show(report: &Report) -> bool {
    print!("{}", report.summary());
    report.passed()
}

fn read_deployment(path: Option<&Path>) -> Result<String> {
    let Some(path) = path else {
        return Ok(DEFAULT_DEPLOYMENT.to_owned());
    };
    fs::read_to_string(path).map_err(|err| LabError::Usage(format!("{}: {err}", path.display())))
}

fn block_on<T: 'static>(future: impl Future<Output = T> + 'static) -> T {
    System::build()
        .name("lab")
        .build(DefaultRuntime)
        .block_on(future)
}
