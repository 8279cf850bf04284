//! The program of the system: one binary for its three roles. Command line, log, signals; each role's shell owns its
//! state machines and carries out what they decide.

mod cli;
mod clock;
mod control_link;
mod core;
mod edge;
mod error;
mod listen;
mod locate;
mod logging;
mod mechanisms;
mod place;
mod role;
mod signals;
mod storage;

use std::process::ExitCode;

fn main() -> ExitCode {
    // Plain text: errors go into logs.
    let plain = miette::set_hook(Box::new(|_| Box::new(miette::NarratableReportHandler::new())));
    debug_assert!(plain.is_ok(), "no other hook is set");
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::from(2)
        }
    }
}

fn run() -> miette::Result<()> {
    let command = cli::parse(std::env::args_os())?;
    match command {
        cli::Command::Help => {
            println!("{}", cli::HELP);
            Ok(())
        }
        cli::Command::Version => {
            println!("millrudder-system {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        cli::Command::Check { settings } => {
            let checked = role::load_settings(settings.as_deref())?;
            println!("{}: settings can be used", checked.node_name);
            Ok(())
        }
        cli::Command::Serve { role, settings, mechanisms } => {
            logging::start();
            role::serve(role, settings, mechanisms)
        }
    }
}
