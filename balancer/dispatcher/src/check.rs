//! `millrudder check`: reads both configuration files as a start would, and prints their errors.

use crate::cli::Files;
use millrudder_config::settings::Settings;
use millrudder_config::Config;
use std::process::ExitCode;

/// Exit code if a file is invalid.
const EXIT_BAD_CONFIGURATION: u8 = 2;

pub fn run(files: &Files) -> ExitCode {
    let mut bad = false;
    let settings = match &files.settings {
        None => {
            println!("settings: none given, defaults hold");
            Some(Settings::default())
        }
        Some(file) => match Settings::load(file) {
            Ok(settings) => {
                println!("settings: {} can be used", file.display());
                Some(settings)
            }
            Err(error) => {
                eprintln!("settings: {error}");
                bad = true;
                None
            }
        },
    };
    match (Config::load(), settings) {
        (Ok((config, _)), settings) => {
            println!("configuration: NODE_CONFIG can be used");
            if let Some(settings) = settings {
                let shares = config.budget.share_out(&settings);
                println!("jobs at once over all fronts: {}", shares.places);
                println!(
                    "HTTP/1.1: {} connections, {} of them for jobs",
                    shares.http.inbound, shares.http.inbound_jobs
                );
                match shares.grpc {
                    Some(grpc) => println!("gRPC: {} connections", grpc.connections),
                    None => println!("gRPC: off"),
                }
            }
        }
        (Err(error), _) => {
            eprintln!("configuration: {error}");
            bad = true;
        }
    }
    ExitCode::from(if bad { EXIT_BAD_CONFIGURATION } else { 0 })
}
