//! The stand-in fleet as a program: `millrudder-standins` prints where its discovery is, and the configuration for
//! a dispatcher that serves it.

use clap::Parser;
use millrudder_standins::{settings, Fleet, Plan};
use std::net::SocketAddr;

/// Workers and a discovery on loopback, until ended.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    /// Where the dispatcher listens, for call-backs.
    #[arg(long, default_value = "127.0.0.1:7070")]
    dispatcher: SocketAddr,
    #[arg(long, default_value_t = 12)]
    workers: usize,
    /// Mean work of a job in ms at speed 1; 0: done at once.
    #[arg(long, default_value_t = 260.0)]
    work: f64,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Workers do not tell when a job starts.
    #[arg(long)]
    quiet: bool,
    /// Writes the dispatcher's configuration there.
    #[arg(long)]
    config: Option<std::path::PathBuf>,
}

fn main() -> std::io::Result<()> {
    let arguments = Arguments::parse();
    let plan = Plan {
        workers: arguments.workers,
        seed: arguments.seed,
        work_ms: arguments.work,
        tells_start: !arguments.quiet,
        ..Plan::default()
    };
    let fleet = Fleet::start(plan)?;
    let discovery = fleet.attach(arguments.dispatcher)?;
    let config = settings::node_config(arguments.dispatcher, discovery, arguments.seed).to_string();
    match arguments.config {
        Some(path) => std::fs::write(path, &config)?,
        None => println!("{config}"),
    }
    println!("discovery {discovery}");
    loop {
        std::thread::park();
    }
}
