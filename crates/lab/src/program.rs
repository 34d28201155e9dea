//! The program's entry point: executes the command line and returns an exit status.

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

/// Deployment that is run if the command line names none.
const DEFAULT_DEPLOYMENT: &str = include_str!("../../../examples/haugland.yaml");

/// Jobs submitted per second in experiments with faults.
const FAULT_JOBS_PER_SECOND: f64 = 1.0;

/// Exit status if a promise was broken or an experiment could not be carried out.
const EXIT_FAILURE: u8 = 1;

/// Exit status for an invalid command line.
const EXIT_USAGE: u8 = 2;

/// Runs the program with the process's arguments and returns its exit code.
pub fn main() -> ExitCode {
    let argv: Vec<String> = std::env::args().collect();
    let argv: Vec<&str> = argv.iter().map(String::as_str).collect();
    let args = match <Args as argh::FromArgs>::from_args(&["kspan-lab"], &argv[1..]) {
        Ok(args) => args,
        Err(early_exit) => return handle_early_exit(&early_exit),
    };
    init_logging();
    match execute(args) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(EXIT_FAILURE),
        Err(err @ LabError::Usage(_)) => {
            eprintln!("kspan-lab: {err}");
            ExitCode::from(EXIT_USAGE)
        }
        Err(err) => {
            eprintln!("kspan-lab: {err}");
            ExitCode::from(EXIT_FAILURE)
        }
    }
}

fn handle_early_exit(early_exit: &argh::EarlyExit) -> ExitCode {
    if early_exit.status.is_ok() {
        println!("{}", early_exit.output);
        return ExitCode::SUCCESS;
    }
    eprintln!("{}", early_exit.output);
    ExitCode::from(EXIT_USAGE)
}

fn init_logging() {
    let cfg = simplelog::ConfigBuilder::new()
        .add_filter_allow_str("kspan_lab")
        .build();
    // Initialisation fails only if a logger is already set, which happens in tests.
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
    Ok(print_summary(&report))
}

fn execute_fault(args: Fault) -> Result<bool> {
    if args.list {
        for scenario in fault::SCENARIOS {
            println!("{:<26} {}", scenario.name, scenario.description);
        }
        return Ok(true);
    }
    if args.all {
        process::Programs::find()?;
        return fault::run_all(&fault_args(&args), &args.report);
    }
    let Some(name) = &args.name else {
        return Err(LabError::Usage(
            "expected the name of a fault, --list or --all".to_owned(),
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
    Ok(print_summary(&report))
}

/// Returns the command line options that `--all` passes to each fault's process.
fn fault_args(args: &Fault) -> Vec<String> {
    let mut options = Vec::new();
    let mut add = |name: &str, value: String| options.extend([name.to_owned(), value]);
    add("--seconds", args.seconds.to_string());
    add("--seed", args.seed.to_string());
    add("--rate", args.rate.to_string());
    if let Some(path) = &args.deployment {
        add("--deployment", path.display().to_string());
    }
    options
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

fn print_summary(report: &Report) -> bool {
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
