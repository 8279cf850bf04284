//! A whole system on loopback: the program in its three roles, with stand-ins for everything outside it.
//!
//! Messages are sent at a small rate and followed to their ends, and now and then something happens to the system: a
//! new configuration, a worker that is replaced, a store that is lost and comes back. One line a second tells how far
//! the messages have come. It ends on Ctrl-C, or after `--seconds`, with all its processes.

mod counts;
mod deployment;
mod error;
mod events;
mod follow;
mod kinds;
mod options;
mod run;
mod traffic;

use options::{Invocation, HELP};
use std::process::ExitCode;
use tokio::task::LocalSet;

/// Exit code for a command line or a start that fails.
const CANNOT_START: u8 = 2;

fn main() -> ExitCode {
    match options::parse(std::env::args_os()) {
        Ok(Invocation::Help) => {
            println!("{HELP}");
            ExitCode::SUCCESS
        }
        Ok(Invocation::Run(options)) => start(&options),
        Err(problem) => {
            eprintln!("demo: {problem}");
            ExitCode::from(CANNOT_START)
        }
    }
}

fn start(options: &options::Options) -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let outcome = match runtime {
        Ok(runtime) => LocalSet::new().block_on(&runtime, run::run(options)),
        Err(source) => Err(source.into()),
    };
    match outcome {
        Ok(summary) if summary.all_ended_rightly() => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(problem) => {
            eprintln!("demo: {}", error::with_causes(&problem));
            ExitCode::from(CANNOT_START)
        }
    }
}
