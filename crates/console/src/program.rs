//! The program: parses the arguments, reads the settings and runs the server.

use std::{env, path::PathBuf, process::ExitCode};

use argh::FromArgs;
use ntex::web::{self, App, types};

use crate::{cell::SharedCell, handler, settings::Settings};

/// Maximum size of a submitted form. It is larger than a document because each field is named by its
/// full path.
const MAX_FORM_BYTES: usize = 4 * 1024 * 1024;

const EXIT_FAILED: u8 = 1;
const EXIT_USAGE: u8 = 2;

/// Serves the operators' web console.
#[derive(FromArgs, Debug)]
#[argh(example = "kspan-console --settings console.yaml")]
struct Args {
    /// settings file: `listen` and `log`, each an address
    #[argh(option)]
    settings: PathBuf,

    /// checks the settings and exits
    #[argh(switch)]
    check: bool,
}

pub(crate) fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let args = match Args::from_args(&["kspan-console"], arguments.get(1..).unwrap_or_default()) {
        Ok(args) => args,
        Err(early_exit) if early_exit.status.is_ok() => {
            println!("{}", early_exit.output);
            return ExitCode::SUCCESS;
        }
        Err(early_exit) => {
            eprintln!("kspan-console: {}", early_exit.output.trim_end());
            return ExitCode::from(EXIT_USAGE);
        }
    };
    let cfg = match Settings::read(&args.settings) {
        Ok(cfg) => cfg,
        Err(err) => {
            eprintln!("kspan-console: {}: {err}", args.settings.display());
            return ExitCode::from(EXIT_USAGE);
        }
    };
    if args.check {
        println!("{}: valid", args.settings.display());
        return ExitCode::SUCCESS;
    }
    start_logging();
    let system = ntex::rt::System::build()
        .name("console")
        .build(ntex::rt::DefaultRuntime);
    match system.block_on(serve(cfg)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            log::error!("console: the server failed, exiting: {err}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

fn start_logging() {
    use simplelog::{ColorChoice, ConfigBuilder, LevelFilter, TermLogger, TerminalMode};
    let cfg = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .add_filter_allow_str("kspan_")
        .build();
    // Initialisation fails only if a logger is already set, which is then used.
    let _ = TermLogger::init(
        LevelFilter::Info,
        cfg,
        TerminalMode::Stderr,
        ColorChoice::Never,
    );
}

async fn serve(cfg: Settings) -> std::io::Result<()> {
    let app = async move || {
        App::new()
            .state(SharedCell::new(cfg.log))
            .state(types::FormConfig::default().limit(MAX_FORM_BYTES))
            .configure(handler::routes)
    };
    // A single thread lets all pages share one client of the log.
    let server = web::server(app).workers(1).bind(cfg.listen)?;
    log::info!("console: listening on {}", cfg.listen);
    server.run().await
}
