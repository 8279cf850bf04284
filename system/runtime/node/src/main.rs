//! The program of the system: one binary for its three roles.
//!
//! A *dispatcher* (`edge`) accepts clients' messages and delivers them to workers, a *store* (`storage`) stores messages on
//! its machine's disk, and a *core machine* (`core`) is one replica of the control state. Decisions are made by state
//! machines without I/O, in the packages under `system/state` and `coordination`; this package is the shell around them.
//! Each role has a *host* that owns the state machines and works through one queue of events, one at a time, on a
//! single-threaded runtime; around it stand small shells that turn sockets, disks and signals into events and carry out
//! what the state machines ask for.

mod cli;
mod clock;
mod control_link;
mod core;
mod disk_thread;
mod edge;
mod error;
mod event_loop;
mod listen;
mod location;
mod logging;
mod mechanisms;
mod reopening;
mod role;
mod seeds;
mod signals;
mod storage;
mod task;

use std::process::ExitCode;

fn main() -> ExitCode {
    // Plain text: errors go into logs.
    let hook = miette::set_hook(Box::new(|_| Box::new(miette::NarratableReportHandler::new())));
    debug_assert!(hook.is_ok(), "no other hook is set");
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
