//! `millrudder demo`: stand-in workers, a dispatcher and a small load in one process.

use crate::cli::Demo;
use crate::error::{DemoError, StartError};
use crate::serve::{self, Setup};
use crate::{logging, signals};
use millrudder_config::settings::{Log, LogLevel, Settings};
use millrudder_config::Config;
use millrudder_exchange::counters::Counters;
use millrudder_exchange::{Exchange, Message};
use millrudder_standins::load::{Kind, Load, Protocol, Seen};
use millrudder_standins::{settings as node, Fleet, Plan};
use std::path::Path;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{mpsc, Arc};
use std::time::{Duration, Instant};

/// Time between two lines of figures while the load runs.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Longest wait for the summary of the load after the dispatcher has ended.
const SUMMARY_TIMEOUT: Duration = Duration::from_secs(5);

pub fn run(demo: &Demo) -> ExitCode {
    match start(demo) {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("demo: {problem}");
            ExitCode::FAILURE
        }
    }
}

fn start(demo: &Demo) -> Result<(), DemoError> {
    // The demo prints its figures to the terminal, so the log shows only warnings and errors.
    let (log, guard, threshold) = logging::start(Log { level: LogLevel::Warning, ..Log::default() });
    let signals = signals::catch().map_err(StartError::Signals)?;
    let plan = Plan { workers: usize::from(demo.workers), seed: demo.seed, ..Plan::default() };
    let fleet = Fleet::start(plan).map_err(DemoError::StandIns)?;
    let discovery = fleet.attach(demo.http).map_err(DemoError::StandIns)?;
    let text = node::node_config(demo.http, discovery, demo.seed).to_string();
    let mut config = Config::from_json(text.as_bytes())?;
    config.mgmt = Some(demo.operators);
    let yaml = format!("fronts: {{grpc: {{listen: '{}'}}}}", demo.grpc);
    let settings = Settings::read(&yaml, Path::new("demo"))?;
    let counters = Arc::new(Counters::default());
    serve::start_coroutines();

    println!("{} workers (stand-ins), discovery {discovery}", demo.workers);
    println!("HTTP/1.1  http://{}/api  (also /ready and /counters)", demo.http);
    println!("gRPC      {}  millrudder.v1.Jobs (reflection and health are on)", demo.grpc);
    println!(
        "operators {}  (READY, DISABLE ID, ENABLE ID, DRAIN, UNDRAIN; one line a connection)",
        demo.operators
    );
    let stopped = Arc::new(AtomicBool::new(false));
    let (load_run, summary_channel) = (LoadRun::new(demo, fleet.handle(), stopped.clone()), mpsc::channel());
    let setup = Setup { config, settings, files: None, signals, threshold, counters, log };
    let outcome = serve::serve(setup, |exchange| {
        let exchange = exchange.clone();
        std::thread::spawn(move || drop(summary_channel.0.send(load_run.run(&exchange))));
    });
    stopped.store(true, Ordering::Release);
    outcome?;
    if let Ok(summary) = summary_channel.1.recv_timeout(SUMMARY_TIMEOUT) {
        summary.print(&fleet);
    }
    drop(guard);
    Ok(())
}

/// Runs the load and prints its figures.
struct LoadRun {
    runtime: tokio::runtime::Handle,
    kinds: Vec<Kind>,
    rate: f64,
    seed: u64,
    until: Option<Duration>,
    stopped: Arc<AtomicBool>,
}

struct Summary(Vec<(&'static str, Seen)>);

fn name(protocol: Protocol) -> &'static str {
    match protocol {
        Protocol::Http => "HTTP/1.1",
        Protocol::Grpc => "gRPC",
    }
}

impl LoadRun {
    fn new(demo: &Demo, runtime: tokio::runtime::Handle, stopped: Arc<AtomicBool>) -> Self {
        LoadRun {
            runtime,
            kinds: vec![Kind::new(Protocol::Http, demo.http, "h"), Kind::new(Protocol::Grpc, demo.grpc, "g")],
            rate: demo.rate / 2.0,
            seed: demo.seed,
            until: (demo.seconds > 0).then(|| Duration::from_secs(demo.seconds)),
            stopped,
        }
    }

    fn run(self, exchange: &Exchange) -> Summary {
        let began = Instant::now();
        let _entered = self.runtime.enter();
        let loads: Vec<(&'static str, Load)> = match self.rate {
            rate if rate > 0.0 => {
                let open = |(i, kind): (usize, &Kind)| {
                    (name(kind.protocol), Load::open(kind, rate, self.seed + i as u64))
                };
                self.kinds.iter().enumerate().map(open).collect()
            }
            _ => Vec::new(),
        };
        let mut next = began + REPORT_INTERVAL;
        let mut before = vec![0; loads.len()];
        while !self.stopped.load(Ordering::Acquire) && self.until.is_none_or(|until| began.elapsed() < until)
        {
            std::thread::sleep(Duration::from_millis(20));
            if Instant::now() >= next && !loads.is_empty() {
                next += REPORT_INTERVAL;
                print_rates(&loads, &mut before, began.elapsed());
            }
        }
        for (_, load) in &loads {
            self.runtime.block_on(load.stop());
        }
        exchange.send(Message::Stop);
        Summary(loads.iter().map(|(name, load)| (*name, load.seen())).collect())
    }
}

fn print_rates(loads: &[(&'static str, Load)], before: &mut [u64], at: Duration) {
    let parts = loads.iter().zip(before).map(|((name, load), before)| {
        let seen = load.seen();
        let rate = seen.served - std::mem::replace(before, seen.served);
        format!("{name} {rate}/s, p50 {:.0} ms, p99 {:.0} ms", seen.ms(0.5), seen.ms(0.99))
    });
    println!("{:>4} s  {}", at.as_secs(), parts.collect::<Vec<_>>().join("   "));
}

impl Summary {
    fn print(&self, fleet: &Fleet) {
        if self.0.is_empty() {
            return;
        }
        println!("\nfront     asked  served  refused  failed  late   p50 ms   p99 ms  p99.9 ms");
        for (name, seen) in &self.0 {
            println!(
                "{name:<8} {:>6} {:>7} {:>8} {:>7} {:>5} {:>8.1} {:>8.1} {:>9.1}",
                seen.asked,
                seen.served,
                seen.refused,
                seen.failed,
                seen.late,
                seen.ms(0.5),
                seen.ms(0.99),
                seen.ms(0.999)
            );
        }
        let books = fleet.books();
        println!(
            "workers: {} jobs accepted, {} keys run twice, {} fallen over",
            books.accepted,
            books.doubled(),
            books.fallen
        );
    }
}
