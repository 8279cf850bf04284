//! The real dispatcher: takes jobs from clients, has millrudder's module decide which next hop gets each, and
//! gives each client its one answer.
//!
//! A request passes a front (accept, intake), the exchange, dispatch (the module), a next hop, and comes back the
//! same way; the transport map follows discovery beside it. This binary only wires.

mod check;
mod cli;
mod demo;
mod error;
mod logging;
mod reload;
mod serve;
mod signals;
mod status;

use clap::Parser;
use cli::{Cli, Command, Files};
use error::StartError;
use millrudder_config::settings::{Log, Settings};
use millrudder_config::Config;
use millrudder_exchange::counters::Counters;
use serve::Setup;
use std::process::ExitCode;
use std::sync::Arc;

fn main() -> ExitCode {
    // As the platform starts it there is nothing to parse: the parser's pages stay untouched, 0.5 MB of memory.
    let without_arguments =
        std::env::args_os().len() == 1 && std::env::var_os(millrudder_config::settings::VARIABLE).is_none();
    let cli =
        if without_arguments { Cli { files: Files { settings: None }, command: None } } else { Cli::parse() };
    match cli.command {
        None | Some(Command::Serve) => serve_files(&cli.files),
        Some(Command::Status(status)) => status::run(&status),
        Some(Command::Check) => check::run(&cli.files),
        Some(Command::Demo(demo)) => demo::run(&demo),
    }
}

fn serve_files(files: &Files) -> ExitCode {
    let settings = files.settings.as_deref().map_or_else(|| Ok(Settings::default()), Settings::load);
    // A file that cannot be used must still be said in a log.
    let log = settings.as_ref().map_or(Log::default(), |settings| settings.log);
    let (log, guard, threshold) = logging::start(log);
    let counters = Arc::new(Counters::default());
    let start = || {
        let settings = settings.map_err(StartError::Settings)?;
        let signals = signals::catch().map_err(StartError::Signals)?;
        let (config, source) = Config::load().map_err(StartError::Configuration)?;
        serve::start_coroutines();
        let files = Some((source, files.settings.clone()));
        let (counters, log) = (counters.clone(), log.clone());
        let outcome = serve::serve(
            Setup {
                config,
                settings,
                files,
                signals,
                threshold,
                counters: counters.clone(),
                log: log.clone(),
            },
            |_| {},
        );
        slog::info!(log, "counters: {}", counters.line());
        outcome
    };
    let code = match start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            slog::crit!(log, "{}", problem);
            ExitCode::FAILURE
        }
    };
    drop(log);
    drop(guard);
    code
}
