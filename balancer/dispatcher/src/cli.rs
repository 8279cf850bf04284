//! The command line.

use clap::{Args, Parser, Subcommand};
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;

/// A dispatcher that pushes jobs to workers. Without a command it serves, as the platform starts it.
#[derive(Debug, Parser)]
#[command(name = "millrudder", version)]
pub struct Cli {
    #[command(flatten)]
    pub files: Files,
    #[command(subcommand)]
    pub command: Option<Command>,
}

#[derive(Clone, Debug, Args)]
pub struct Files {
    /// The operators' settings (YAML); without it every default holds.
    #[arg(long, global = true, value_name = "FILE", env = millrudder_config::settings::VARIABLE)]
    pub settings: Option<PathBuf>,
}

#[derive(Debug, Subcommand)]
pub enum Command {
    /// Serve: NODE_CONFIG names the platform's configuration.
    Serve,
    /// Check both configuration files, say what is wrong and where; exits with 2 if anything is.
    Check,
    /// Ask a running dispatcher how it is, over its control socket.
    Status(Status),
    /// Stand-in workers, a dispatcher and a small load on loopback, in this one process, until Ctrl-C.
    Demo(Demo),
}

#[derive(Debug, Args)]
pub struct Status {
    /// The socket that the dispatcher's settings name at `upgrade.control`.
    #[arg(long, value_name = "PATH")]
    pub control: PathBuf,
}

#[derive(Debug, Args)]
pub struct Demo {
    /// Where the HTTP/1.1 front listens.
    #[arg(long, default_value = "127.0.0.1:7070")]
    pub http: SocketAddr,
    /// Where the gRPC front listens.
    #[arg(long, default_value = "127.0.0.1:7071")]
    pub grpc: SocketAddr,
    /// Where operators call (READY, DISABLE ID, ENABLE ID, DRAIN, UNDRAIN).
    #[arg(long, default_value = "127.0.0.1:7072")]
    pub operators: SocketAddr,
    /// Stand-in workers.
    #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u16).range(1..=200))]
    pub workers: u16,
    /// End after so many seconds; 0: at Ctrl-C.
    #[arg(long, default_value_t = 0)]
    pub seconds: u64,
    /// Jobs a second, half of them over each front; 0: none.
    #[arg(long, default_value_t = 60.0, value_parser = rate)]
    pub rate: f64,
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}

/// The text is not a rate at which the demo can run.
#[derive(Debug, Error)]
#[error("a number from 0 to 5000 is wanted")]
struct BadRate;

fn rate(text: &str) -> Result<f64, BadRate> {
    match text.parse::<f64>() {
        Ok(rate) if (0.0..=5_000.0).contains(&rate) => Ok(rate),
        _ => Err(BadRate),
    }
}

#[cfg(test)]
mod tests;
