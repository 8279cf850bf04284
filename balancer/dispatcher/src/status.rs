//! Status over the control socket: the answer of a running dispatcher, and the command `millrudder status`.

use crate::cli;
use crate::error::StartError;
use millrudder_control::{ask, Answer, Control, Question, Status};
use millrudder_exchange::{AdmissionGate, FrontContext};
use std::path::Path;
use std::process::ExitCode;

/// Opens the control socket of this dispatcher.
///
/// # Errors
/// [`StartError::ControlSocket`]: the socket cannot be opened.
pub fn open(path: &Path, core: &FrontContext) -> Result<Control, StartError> {
    let (core, start) = (core.clone(), core.clock.now());
    let answer = move |Question::Status| {
        let places = |admission_gate: &AdmissionGate| {
            admission_gate.fronts().iter().map(|front| admission_gate.usage(*front).places).sum()
        };
        Answer::Status(Status {
            process: std::process::id(),
            version: env!("CARGO_PKG_VERSION").to_owned(),
            phase: if core.stopping.has_begun() { "stopping" } else { "serving" }.to_owned(),
            jobs_owed: places(&core.admission_gate),
            age_ms: (core.clock.now() - start) as u64,
        })
    };
    Control::open(path, answer).map_err(|source| StartError::ControlSocket { path: path.to_owned(), source })
}

pub fn run(arguments: &cli::Status) -> ExitCode {
    match ask(&arguments.control, Question::Status) {
        Ok(Answer::Status(status)) => {
            println!("process    {}", status.process);
            println!("version    {}", status.version);
            println!("phase      {}", status.phase);
            println!("jobs owed  {}", status.jobs_owed);
            println!("age        {:.1} s", status.age_ms as f64 / 1_000.0);
            ExitCode::SUCCESS
        }
        Ok(Answer::Refused(why)) => {
            eprintln!("refused: {why}");
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
