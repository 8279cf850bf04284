//! The dispatcher: takes jobs from clients, lets millrudder's decision module choose a worker for each, and gives each
//! client exactly one answer.
//!
//! A request passes a front (accept, intake), the exchange, dispatch (the decision module) and a worker, and its answer
//! comes back the same way. Meanwhile the worker list follows discovery. This binary only connects the parts.

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
    // The platform starts the program without arguments. Then the command-line parser is not run, and its pages are
    // never loaded, which saves 0.5 MB of memory.
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
    // With an invalid settings file the log starts with its defaults, so that the error can be logged.
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
