//! The started program with both fronts, in front of a fleet of stand-in workers.

pub mod address;

use crate::process::Process;
use millrudder_standins::load::{Kind, Protocol};
use millrudder_standins::{settings, Fleet, Plan};
use std::net::SocketAddr;
use std::ops::{Deref, DerefMut};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

pub use crate::process::WAIT;

pub struct Program {
    pub fleet: Fleet,
    pub http: SocketAddr,
    pub grpc: SocketAddr,
    process: Process,
    folder: PathBuf,
}

impl Program {
    /// `settings_text`: the operators' settings; GRPC in them is replaced by the address of the gRPC front.
    pub fn start(plan: Plan, settings_text: &str) -> Self {
        static STARTED: AtomicU32 = AtomicU32::new(0);
        let number = STARTED.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("millrudder-two-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let (http, grpc) = (address::unused(), address::unused());
        let fleet = Fleet::start(plan).unwrap();
        let discovery = fleet.attach(http).unwrap();
        let mut config = settings::node_config(http, discovery, plan.seed);
        config["settings"]["lanes"][0]["aim"] = plan.aim_ms.into();
        std::fs::write(folder.join("config.json"), config.to_string()).unwrap();
        std::fs::write(folder.join("millrudder.yaml"), settings_text.replace("GRPC", &grpc.to_string()))
            .unwrap();
        let (config, yaml) = (folder.join("config.json"), folder.join("millrudder.yaml"));
        let process = Process::spawn(&config, &["--settings".as_ref(), yaml.as_ref()]);
        let program = Program { fleet, http, grpc, process, folder };
        assert!(program.log_shows("serving gRPC"));
        program.until_counted("map_changes", |n| n > 0);
        program
    }

    /// All counters, as the program tells them.
    pub fn counters(&self) -> String {
        use std::io::{Read, Write};
        let mut stream = std::net::TcpStream::connect(self.http).unwrap();
        stream.write_all(b"GET /counters HTTP/1.1\r\nConnection: close\r\n\r\n").unwrap();
        let mut text = String::new();
        stream.read_to_string(&mut text).unwrap();
        text
    }

    pub fn counter(&self, name: &str) -> u64 {
        let text = self.counters();
        let line = text.lines().find_map(|l| l.strip_prefix(name)?.strip_prefix(' '));
        line.unwrap_or_else(|| panic!("{name} in {text}")).parse().unwrap()
    }

    pub fn until_counted(&self, name: &str, is: impl Fn(u64) -> bool) {
        let end = Instant::now() + WAIT;
        while !is(self.counter(name)) {
            assert!(Instant::now() < end, "{name} is {}", self.counter(name));
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    pub fn kind(&self, protocol: Protocol, name: &str) -> Kind {
        let to = if protocol == Protocol::Http { self.http } else { self.grpc };
        Kind::new(protocol, to, name)
    }

    pub fn change_settings(&self, change: impl Fn(String) -> String) {
        let path = self.folder.join("millrudder.yaml");
        std::fs::write(&path, change(std::fs::read_to_string(&path).unwrap())).unwrap();
        self.signal("HUP");
    }
}

impl Deref for Program {
    type Target = Process;

    fn deref(&self) -> &Process {
        &self.process
    }
}

impl DerefMut for Program {
    fn deref_mut(&mut self) -> &mut Process {
        &mut self.process
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
