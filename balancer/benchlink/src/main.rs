//! The simulator's wire on standard input and output, one instance of the module for each dispatcher.
//! Translates only; every decision is in `millrudder`.

mod wire;

use std::io::{self, BufRead, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut input = io::BufReader::with_capacity(1 << 16, io::stdin().lock());
    let mut output = io::stdout().lock();
    let mut host = wire::Host::default();
    let mut line = String::new();
    let mut reply = Vec::new();
    let mut number = 0u64;
    loop {
        line.clear();
        number += 1;
        match input.read_line(&mut line) {
            Ok(0) => return ExitCode::SUCCESS,
            Ok(_) => {}
            Err(e) => {
                eprintln!("line {number}: cannot be read: {e}");
                return ExitCode::FAILURE;
            }
        }
        reply.clear();
        if let Err(message) = host.batch(&line, &mut reply) {
            eprintln!("line {number}: {message}");
            return ExitCode::FAILURE;
        }
        if output.write_all(&reply).and_then(|()| output.flush()).is_err() {
            // The simulator has gone; nobody is left to tell.
            return ExitCode::FAILURE;
        }
    }
}
