//! The command line.

use crate::error::UsageError;
use lexopt::prelude::*;
use std::ffi::OsString;
use std::path::PathBuf;
use std::time::Duration;

/// Printed by `--help`.
pub const HELP: &str = "\
millrudder-system-demo: a whole system on loopback, with stand-ins for everything outside it

Usage: millrudder-system-demo [--seconds N] [--rate R] [--program FILE]

  --seconds N     end after so many seconds of messages; else on Ctrl-C
  --rate R        messages a second; 20 if not given
  --program FILE  the program; else millrudder-system beside this one
  --help          print this

Exit code 0 if every accepted message has ended as it should, 1 if not, 2 if the demo could not start.";

/// The program's file name, beside the demo's.
const PROGRAM: &str = "millrudder-system";
/// Messages a second.
const USUAL_RATE: f64 = 20.0;
const LEAST_RATE: f64 = 0.1;
/// One process follows all messages; this is to be looked at, and no bench.
const MOST_RATE: f64 = 200.0;

/// What the command line asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Invocation {
    Help,
    Run(Options),
}

/// How the demo runs.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// How long messages are sent; without it, until Ctrl-C.
    pub duration: Option<Duration>,
    /// Messages a second.
    pub rate: f64,
    /// The system's program.
    pub program: PathBuf,
}

/// Reads the command line; `arguments` begin with the demo's name.
///
/// # Errors
/// Something in it is unknown or out of range.
pub fn parse(arguments: impl IntoIterator<Item = OsString>) -> Result<Invocation, UsageError> {
    let mut parser = lexopt::Parser::from_iter(arguments);
    let mut options = Options { duration: None, rate: USUAL_RATE, program: program_beside() };
    while let Some(argument) = parser.next()? {
        match argument {
            Short('h') | Long("help") => return Ok(Invocation::Help),
            Long("seconds") => options.duration = Some(Duration::from_secs(parser.value()?.parse()?)),
            Long("rate") => options.rate = checked_rate(parser.value()?.parse()?)?,
            Long("program") => options.program = PathBuf::from(parser.value()?),
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(Invocation::Run(options))
}

fn checked_rate(rate: f64) -> Result<f64, UsageError> {
    if (LEAST_RATE..=MOST_RATE).contains(&rate) {
        return Ok(rate);
    }
    Err(UsageError::Rate { rate, least: LEAST_RATE, most: MOST_RATE })
}

fn program_beside() -> PathBuf {
    let own = std::env::current_exe().unwrap_or_default();
    own.with_file_name(PROGRAM)
}
