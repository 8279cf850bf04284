//! `make bench`: jobs a second, added latency and memory of a started dispatcher, both fronts in one run on the same
//! stand-ins, whose workers answer at once. The Makefile pins the dispatcher to a core of its own.

use clap::Parser;
use millrudder_admission::fairness;
use millrudder_standins::load::{Kind, Load, Protocol, Seen};
use millrudder_standins::{settings, Fleet, Plan};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::time::{Duration, Instant};

/// Rounds of each figure; fronts take turns, and the middle one counts.
const ROUNDS: usize = 5;
const WARM_UP: Duration = Duration::from_millis(500);
/// Kernel ticks a second (USER_HZ on Linux).
const TICKS: f64 = 100.0;

#[derive(Parser)]
struct Arguments {
    /// The dispatcher, maybe behind taskset.
    #[arg(long, default_value = "taskset -c 0 target/release/millrudder")]
    dispatcher: String,
    #[arg(long, default_value = "1,32,256", value_delimiter = ',')]
    clients: Vec<usize>,
    /// Seconds of each round.
    #[arg(long, default_value_t = 3.0)]
    seconds: f64,
    /// A program without the gRPC front, to compare with (HTTP/1.1 only).
    #[arg(long)]
    before: Option<String>,
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

struct Dispatcher {
    child: Child,
    pid: u32,
}

impl Dispatcher {
    fn start(command: &str, config: &PathBuf, settings: Option<&PathBuf>, http: SocketAddr) -> Self {
        let mut words = command.split_whitespace();
        let mut process = Command::new(words.next().expect("a command"));
        process.args(words).env("NODE_CONFIG", config).stderr(std::process::Stdio::null());
        if let Some(settings) = settings {
            process.env("MILLRUDDER_SETTINGS", settings);
        }
        let child = process.spawn().expect("the dispatcher starts");
        let end = Instant::now() + Duration::from_secs(10);
        while std::net::TcpStream::connect(http).is_err() {
            assert!(Instant::now() < end, "the dispatcher listens");
            std::thread::sleep(Duration::from_millis(20));
        }
        // The list has to come first.
        std::thread::sleep(Duration::from_millis(500));
        // taskset becomes the program it starts.
        Dispatcher { pid: child.id(), child }
    }

    /// CPU time so far (s).
    fn cpu(&self) -> f64 {
        let text = std::fs::read_to_string(format!("/proc/{}/stat", self.pid)).unwrap_or_default();
        let after = text.rsplit(") ").next().unwrap_or_default();
        let field = |n: usize| after.split(' ').nth(n).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0);
        (field(11) + field(12)) / TICKS
    }

    /// MB: the peak, and now.
    fn memory(&self) -> (f64, f64) {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.pid)).unwrap_or_default();
        let kb = |name: &str| {
            let line = text.lines().find_map(|l| l.strip_prefix(name));
            line.and_then(|l| l.split_whitespace().next()?.parse::<f64>().ok()).unwrap_or(0.0)
        };
        (kb("VmHWM:") / 1024.0, kb("VmRSS:") / 1024.0)
    }
}

impl Drop for Dispatcher {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A fleet of 14, and the files for a dispatcher in front of it.
struct Stage {
    fleet: Fleet,
    http: SocketAddr,
    grpc: SocketAddr,
    config: PathBuf,
    yaml: PathBuf,
}

impl Stage {
    /// `host`: of 127.0.0.0/24; `settings`: with GRPC for the front's address.
    fn set(folder: &Path, host: u8, work_ms: f64, settings: &str, seed: u64) -> std::io::Result<Self> {
        let address = |port| SocketAddr::from(([127, 0, 0, host], port));
        let (http, grpc) = (address(7070), address(7071));
        let plan = Plan { workers: 14, seed, work_ms, tells_start: false, threads: 3, ..Plan::default() };
        let fleet = Fleet::start(plan)?;
        let discovery = fleet.attach(http)?;
        let (config, yaml) = (folder.join(format!("{host}.json")), folder.join(format!("{host}.yaml")));
        std::fs::write(&config, settings::node_config(http, discovery, seed).to_string())?;
        std::fs::write(&yaml, settings.replace("GRPC", &grpc.to_string()))?;
        Ok(Stage { fleet, http, grpc, config, yaml })
    }
}

struct Figure {
    rate: f64,
    cpu_us: f64,
    seen: Seen,
}

fn measure(fleet: &Fleet, dispatcher: &Dispatcher, kind: &Kind, clients: usize, seconds: f64) -> Figure {
    let runtime = fleet.handle();
    let _entered = runtime.enter();
    let load = Load::closed(kind, clients, clients.div_ceil(64));
    std::thread::sleep(WARM_UP);
    let _ = load.take();
    let (began, cpu) = (Instant::now(), dispatcher.cpu());
    std::thread::sleep(Duration::from_secs_f64(seconds));
    let (seen, took, cpu) = (load.take(), began.elapsed().as_secs_f64(), dispatcher.cpu() - cpu);
    runtime.block_on(load.stop());
    Figure { rate: seen.served as f64 / took, cpu_us: cpu / seen.served.max(1) as f64 * 1e6, seen }
}

fn middle(mut figures: Vec<Figure>) -> Figure {
    figures.sort_by(|a, b| a.rate.total_cmp(&b.rate));
    figures.swap_remove(figures.len() / 2)
}

fn print(what: &str, clients: usize, figure: &Figure) {
    let seen = &figure.seen;
    println!(
        "{what:<14} {clients:>7} {:>9.0} {:>10.1} {:>8.3} {:>8.3} {:>9.3} {:>8}",
        figure.rate,
        figure.cpu_us,
        seen.ms(0.5),
        seen.ms(0.99),
        seen.ms(0.999),
        seen.answers() - seen.served
    );
}

fn main() -> std::io::Result<()> {
    let arguments = Arguments::parse();
    let folder = std::env::temp_dir().join(format!("millrudder-bench-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    let yaml = "fronts: {grpc: {listen: 'GRPC', limits: {streams: 256}}}\n";
    let Stage { fleet, http, grpc, config, yaml } = Stage::set(&folder, 11, 0.0, yaml, arguments.seed)?;
    let kind = |protocol, to, name: String| Kind::new(protocol, to, &name);
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    println!(
        "seed {}, {cores} cores for the load, {} s a round, the middle of {ROUNDS}",
        arguments.seed, arguments.seconds
    );
    println!("front          clients    jobs/s  CPU us/job  p50 ms   p99 ms  p99.9 ms  unserved");
    for clients in &arguments.clients {
        let (mut off, mut plain, mut second, mut before) = (Vec::new(), Vec::new(), Vec::new(), Vec::new());
        for round in 0..ROUNDS {
            if let Some(command) = &arguments.before {
                let old = Dispatcher::start(command, &config, None, http);
                let kind = kind(Protocol::Http, http, format!("b{clients}-{round}"));
                before.push(measure(&fleet, &old, &kind, *clients, arguments.seconds));
            }
            {
                let alone = Dispatcher::start(&arguments.dispatcher, &config, None, http);
                let kind = kind(Protocol::Http, http, format!("o{clients}-{round}"));
                off.push(measure(&fleet, &alone, &kind, *clients, arguments.seconds));
            }
            let dispatcher = Dispatcher::start(&arguments.dispatcher, &config, Some(&yaml), http);
            let h = kind(Protocol::Http, http, format!("h{clients}-{round}"));
            plain.push(measure(&fleet, &dispatcher, &h, *clients, arguments.seconds));
            let g = kind(Protocol::Grpc, grpc, format!("g{clients}-{round}"));
            second.push(measure(&fleet, &dispatcher, &g, *clients, arguments.seconds));
        }
        let (off, plain, second) = (middle(off), middle(plain), middle(second));
        if !before.is_empty() {
            let before = middle(before);
            print("HTTP/1.1 before", *clients, &before);
            println!("front off over before: {:.2} of the jobs/s", off.rate / before.rate);
        }
        print("HTTP/1.1 alone", *clients, &off);
        print("HTTP/1.1", *clients, &plain);
        print("gRPC", *clients, &second);
        println!("gRPC over HTTP/1.1: {:.2} of the jobs/s", second.rate / plain.rate);
    }
    for (what, command, settings) in [
        ("before", arguments.before.as_ref(), None),
        ("front off", Some(&arguments.dispatcher), None),
        ("front on", Some(&arguments.dispatcher), Some(&yaml)),
    ] {
        let Some(command) = command else { continue };
        let dispatcher = Dispatcher::start(command, &config, settings, http);
        let idle = dispatcher.memory().1;
        let busy = |protocol, to, clients: usize| {
            let kind = kind(protocol, to, format!("m{what}{clients}").replace(' ', "-"));
            measure(&fleet, &dispatcher, &kind, clients, 1.0);
        };
        busy(Protocol::Http, http, 32);
        let with_http = dispatcher.memory().0;
        if settings.is_some() {
            busy(Protocol::Grpc, grpc, 256);
        }
        let peak = dispatcher.memory().0;
        println!("memory, {what}: {idle:.1} MB idle, {with_http:.1} MB after 32 HTTP/1.1 clients, {peak:.1} MB at the peak");
    }
    surge(&arguments, &folder)?;
    std::fs::remove_dir_all(&folder)
}

/// Both ports ask for far more than there is, with weights 3 to 1: what each got, and Jain's index of that.
fn surge(arguments: &Arguments, folder: &Path) -> std::io::Result<()> {
    let yaml = "fronts: {http: {weight: 3}, grpc: {listen: 'GRPC', weight: 1}}\nadmission: {jobs: 48}\n";
    let Stage { fleet, http, grpc, config, yaml } = Stage::set(folder, 12, 60.0, yaml, arguments.seed)?;
    let _dispatcher = Dispatcher::start(&arguments.dispatcher, &config, Some(&yaml), http);
    let runtime = fleet.handle();
    let _entered = runtime.enter();
    let quiet = Load::open(&Kind::new(Protocol::Grpc, grpc, "quiet"), 20.0, arguments.seed);
    std::thread::sleep(Duration::from_secs(3));
    let alone = quiet.take();
    let loud = Load::closed(&Kind::new(Protocol::Http, http, "loud"), 160, 1);
    std::thread::sleep(Duration::from_secs(1));
    let _ = quiet.take();
    std::thread::sleep(Duration::from_secs(3));
    let beside = quiet.take();
    let both = Load::closed(&Kind::new(Protocol::Grpc, grpc, "both"), 160, 4);
    std::thread::sleep(Duration::from_secs(1));
    let _ = (loud.take(), both.take());
    std::thread::sleep(Duration::from_secs(3));
    let (loud_got, both_got) = (loud.take(), both.take());
    [&quiet, &loud, &both].into_iter().for_each(|load| runtime.block_on(load.stop()));
    println!(
        "quiet gRPC port alone:           {alone:?}, p50 {:.1} ms, p99 {:.1} ms",
        alone.ms(0.5),
        alone.ms(0.99)
    );
    println!(
        "... with a surge on HTTP/1.1:    {beside:?}, p50 {:.1} ms, p99 {:.1} ms",
        beside.ms(0.5),
        beside.ms(0.99)
    );
    let index = fairness(&[loud_got.served as f64, both_got.served as f64], &[3.0, 1.0]);
    println!(
        "surge on both, weights 3 to 1:   {} and {} served, Jain's index {index:.4}",
        loud_got.served, both_got.served
    );
    Ok(())
}
