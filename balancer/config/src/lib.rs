//! Configuration of the dispatcher: the only code that reads the environment and the file named by `NODE_CONFIG`,
//! validates them and fills in defaults.

mod reload;
pub mod settings;
mod shares;

use millrudder as mr;
use millrudder_exchange::intake::Class;
use millrudder_wire::json::{self, JsonError, Node};
use millrudder_wire::list::{read_list, List};
pub use reload::Source;
pub use shares::{GrpcBudget, Shares};
use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;

/// File descriptors that the program needs for itself: standard streams, listener, epoll, signals, discovery,
/// and a reserve so that an accept or a read of a file in /proc never hits the limit.
const OWN_DESCRIPTORS: usize = 48;
/// The environment variables that are read.
const VARIABLES: [&str; 7] =
    ["NODE_CONFIG", "NODE_NAME", "NODE_LISTEN", "NODE_DISCOVERY", "NODE_MGMT", "NODE_INHERITED_FD", "TMPDIR"];
/// File name of the Unix socket over which the two processes of an upgrade connect, in the directory `TMPDIR`
/// that they share.
const UPGRADE_SOCKET: &str = "millrudder.sock";
/// Least value of `limits.sockets` (file descriptors).
const MIN_SOCKETS: usize = 96;
/// Value of `limits.sockets` if it is absent (file descriptors).
const DEFAULT_SOCKETS: usize = 1024;
/// Inbound connections reserved for call-backs and drains, which must get through when clients use all of theirs.
const CALL_BACK_RESERVE: usize = 32;
/// Least value of `limits.memory_mb` (MiB).
const MIN_MEMORY_MB: usize = 24;
/// Value of `limits.memory_mb` if it is absent (MiB).
const DEFAULT_MEMORY_MB: usize = 192;
/// Divisor of the memory: one part in this many is for the requests that inbound connections buffer. A body is
/// held twice while it is received and forwarded, and the program with its stacks needs 14 to 20 MB.
const BUFFERS_DIVISOR: usize = 8;

/// Why a configuration cannot be used.
#[derive(Debug)]
pub enum ConfigError {
    Missing(&'static str),
    Unreadable { path: String, error: std::io::Error },
    Json(JsonError),
    Address { key: &'static str, value: String },
    Value { key: String, problem: String },
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConfigError::Missing(key) => write!(f, "{key} is not set"),
            ConfigError::Unreadable { path, error } => write!(f, "NODE_CONFIG: cannot read {path}: {error}"),
            ConfigError::Json(error) => write!(f, "NODE_CONFIG: {error}"),
            ConfigError::Address { key, value } => {
                write!(f, "{key}: {value:?} is not an address with a port")
            }
            ConfigError::Value { key, problem } => write!(f, "NODE_CONFIG: key {key}: {problem}"),
        }
    }
}

impl std::error::Error for ConfigError {}

impl From<JsonError> for ConfigError {
    fn from(error: JsonError) -> Self {
        ConfigError::Json(error)
    }
}

/// Limits on file descriptors and memory for the parts of the program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    /// Inbound connections, call-backs included.
    pub inbound: usize,
    /// Inbound connections beyond which new jobs are deferred.
    pub inbound_jobs: usize,
    /// Connections to workers.
    pub worker_connections: usize,
    /// Bytes of requests that all inbound connections together may buffer.
    pub buffers: usize,
}

impl Budget {
    /// Divides the limits. Connections to workers get the smaller part, because an accepted job frees its
    /// connection when the worker answers 202.
    pub fn of(sockets: usize, memory_mb: usize) -> Self {
        let free = sockets - OWN_DESCRIPTORS;
        let worker_connections = (free / 4).min(256);
        let inbound = free - worker_connections;
        let buffers = memory_mb.saturating_mul(1024 * 1024) / BUFFERS_DIVISOR;
        let reserve = CALL_BACK_RESERVE.min(inbound / 4);
        Budget { inbound, inbound_jobs: inbound - reserve, worker_connections, buffers }
    }
}

/// Names in the protocol and the settings; the index of a name is the number that the decision module uses for it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Names {
    /// Job classes.
    pub classes: Vec<String>,
    /// Zones.
    pub zones: Vec<String>,
    /// Machine types.
    pub kinds: Vec<String>,
    /// Meaning of the value `x0` in load reports.
    pub report_x0: String,
    /// Meaning of the value `x1` in load reports.
    pub report_x1: String,
}

/// The configuration of a dispatcher.
pub struct Config {
    /// Name of this dispatcher.
    pub name: String,
    /// Address of the HTTP/1.1 front.
    pub listen: SocketAddr,
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// Address for operators' calls; `None` if there is none.
    pub mgmt: Option<SocketAddr>,
    /// Descriptor number of the listening socket inherited from the platform, as given in the environment.
    pub inherited: Option<String>,
    /// Path of the socket that connects the two processes of an upgrade; only if the listening socket is
    /// inherited.
    pub upgrade_socket: Option<PathBuf>,
    /// Seed of the random number generators.
    pub seed: u64,
    /// Limits on file descriptors and memory.
    pub budget: Budget,
    /// The last known worker list, which may be outdated; `None` at a first start.
    pub known: Option<List>,
    /// Settings of the decision module.
    pub settings: mr::Settings,
    /// Names behind the numbers in `settings`.
    pub names: Names,
    /// Idle time after which a worker may close a keep-alive connection (ms).
    pub conn_idle: f64,
}

impl Config {
    /// The job classes in the form that fronts use.
    pub fn classes(&self) -> Vec<Class> {
        classes(&self.names, &self.settings)
    }

    /// Loads the configuration at the start; the [`Source`] reads it again at a reload.
    pub fn load() -> Result<(Self, Source), ConfigError> {
        let environment: HashMap<String, String> = VARIABLES
            .into_iter()
            .filter_map(|key| std::env::var(key).ok().map(|value| (key.to_owned(), value)))
            .collect();
        let path = environment.get("NODE_CONFIG").cloned().ok_or(ConfigError::Missing("NODE_CONFIG"))?;
        let bytes = read_file(&path)?;
        let config = Config::read(&bytes, |key| environment.get(key).cloned())?;
        let source = Source::new(path, environment, &bytes, &config)?;
        Ok((config, source))
    }

    /// Reads a configuration from JSON alone, without the environment.
    ///
    /// # Errors
    /// The JSON is malformed, or a value is missing or invalid.
    pub fn from_json(bytes: &[u8]) -> Result<Self, ConfigError> {
        Config::read(bytes, |_| None)
    }

    /// Values from the environment take precedence over the file, because the platform sets them at each start.
    fn read(bytes: &[u8], environment: impl Fn(&str) -> Option<String>) -> Result<Self, ConfigError> {
        let document = json::parse(bytes)?;
        let root = Node::root(&document).object()?;
        let required = |variable: &'static str, key: &str| -> Result<String, ConfigError> {
            match environment(variable).filter(|v| !v.is_empty()) {
                Some(value) => Ok(value),
                None => Ok(root.at(key).needed_text()?.to_owned()),
            }
        };
        let address =
            |key: &'static str, value: String| value.parse().map_err(|_| ConfigError::Address { key, value });
        let set = |variable| environment(variable).filter(|v| !v.is_empty());
        let (inherited, folder) = (set("NODE_INHERITED_FD"), set("TMPDIR"));
        let settings = root.at("settings").object()?;
        let (module, names) = read_settings(&settings)?;
        Ok(Config {
            name: required("NODE_NAME", "name")?,
            listen: address("NODE_LISTEN", required("NODE_LISTEN", "listen")?)?,
            discovery: address("NODE_DISCOVERY", required("NODE_DISCOVERY", "discovery")?)?,
            mgmt: match set("NODE_MGMT") {
                Some(value) => Some(address("NODE_MGMT", value)?),
                None => match root.at("mgmt").text()? {
                    Some(value) => Some(address("mgmt", value.to_owned())?),
                    None => None,
                },
            },
            upgrade_socket: inherited
                .as_ref()
                .and(folder)
                .map(|folder| PathBuf::from(folder).join(UPGRADE_SOCKET)),
            inherited,
            seed: read_seed(&root.at("seed"))?,
            budget: read_budget(&root.at("limits"))?,
            known: match root.at("known") {
                absent if absent.is_absent() => None,
                known => Some(read_list(&known)?),
            },
            settings: module,
            names,
            conn_idle: settings.at("permissions").at("conn_idle").number_or(10_000.0)?,
        })
    }
}

/// The job classes in the form that fronts use.
pub fn classes(names: &Names, settings: &mr::Settings) -> Vec<Class> {
    let class = |(name, class): (&String, &mr::Class)| Class {
        name: name.clone(),
        keyed: class.effect == mr::Effect::Deduplicated,
        default_timeout: class.deadline,
        accepted_until: f64::INFINITY,
    };
    names.classes.iter().zip(&settings.classes).map(class).collect()
}

fn read_file(path: &str) -> Result<Vec<u8>, ConfigError> {
    std::fs::read(path).map_err(|error| ConfigError::Unreadable { path: path.to_owned(), error })
}

fn read_seed(node: &Node) -> Result<u64, ConfigError> {
    let Some(hex) = node.text()? else { return Ok(0) };
    u64::from_str_radix(hex, 16).map_err(|_| ConfigError::Value {
        key: "seed".to_owned(),
        problem: format!("{hex:?} is not a hexadecimal number of 64 bits"),
    })
}

fn read_budget(limits: &Node) -> Result<Budget, ConfigError> {
    let sockets = read_limit(limits, "sockets", DEFAULT_SOCKETS, MIN_SOCKETS)?;
    let memory_mb = read_limit(limits, "memory_mb", DEFAULT_MEMORY_MB, MIN_MEMORY_MB)?;
    Ok(Budget::of(sockets, memory_mb))
}

fn read_limit(limits: &Node, key: &str, default: usize, min: usize) -> Result<usize, ConfigError> {
    match limits.at(key).count()?.map_or(default, |n| n as usize) {
        n if n >= min => Ok(n),
        n => Err(ConfigError::Value {
            key: format!("limits.{key}"),
            problem: format!("{n} is too few, at least {min} are needed"),
        }),
    }
}

/// The value as a whole number of 32 bits; `None` if absent.
fn read_u32(node: &Node) -> Result<Option<u32>, JsonError> {
    match node.count()?.map(u32::try_from) {
        None => Ok(None),
        Some(Ok(number)) => Ok(Some(number)),
        Some(Err(_)) => node.wrong("a whole number from 0 to 4294967295"),
    }
}

/// The number that the decision module uses for a name.
pub fn position(names: &[String], name: &str) -> Option<u32> {
    names.iter().position(|n| n == name).and_then(|i| u32::try_from(i).ok())
}

/// Converts the `settings` object to the decision module's types. Its keys and units are those of the first
/// message of the simulator's protocol.
fn read_settings(node: &Node) -> Result<(mr::Settings, Names), ConfigError> {
    let specifics = node.at("specifics");
    let names = Names {
        classes: node
            .at("lanes")
            .items()?
            .iter()
            .map(|l| Ok(l.at("name").needed_text()?.to_owned()))
            .collect::<Result<_, JsonError>>()?,
        zones: node.at("failure_domains").texts()?,
        kinds: node.at("kinds").texts()?,
        report_x0: specifics.at("report_x0").text()?.unwrap_or_default().to_owned(),
        report_x1: specifics.at("report_x1").text()?.unwrap_or_default().to_owned(),
    };
    if names.classes.is_empty() {
        return Ok(node.at("lanes").wrong("at least one class")?);
    }
    let settings = mr::Settings {
        instance: read_u32(&node.at("me"))?.unwrap_or(0),
        replicas: read_u32(&node.at("replicas_of_me"))?.unwrap_or(1),
        zone: node.at("zone").text()?.and_then(|z| position(&names.zones, z)),
        zones: names.zones.len() as u32,
        period: node.at("period").number_or(0.0)?,
        list_by_call: node.at("registry_mode").text()? == Some("ask"),
        classes: read_classes(node)?,
        tenants: read_tenants(node)?,
        over_quota_value: node.at("over_share_worth").number_or(0.0)?,
        value_by_work: node.at("counted_by").text()? == Some("work"),
        reports_starts: specifics.at("tells_start").flag()?,
        progress_interval: specifics.at("progress").number_or(0.0)?,
        fifo: specifics.at("queue_order").text()? == Some("fifo"),
        load_reports: node.at("reporting").at("how").text()? == Some("piggyback"),
        promise_weight: node.at("goal").at("kept_promises").number_or(0.0)?,
        tolerated_misses: node.at("goal").at("borne_misses").number_or(0.0)?,
        prices: read_prices(&node.at("fees"))?,
        limits: read_limits(&node.at("permissions"))?,
        rules: read_rules(&node.at("rules"))?,
    };
    Ok((settings, names))
}

fn read_classes(node: &Node) -> Result<Vec<mr::Class>, JsonError> {
    let specifics = node.at("specifics");
    let numbers = |key: &str| -> Result<Vec<f64>, JsonError> {
        specifics.at(key).items()?.iter().map(|item| item.number_or(0.0)).collect()
    };
    let (kinds, priorities, stretches) =
        (numbers("class_kind")?, numbers("class_priority")?, numbers("class_stretch")?);
    let class = |(i, lane): (usize, &Node)| {
        let own_stretch = lane.at("aim_stretch").number()?;
        Ok(mr::Class {
            latency_target: lane.at("aim").number_or(0.0)?,
            target_stretch: own_stretch.or(stretches.get(i).copied()).unwrap_or(0.0),
            deadline: match lane.at("hard_limit").number()? {
                Some(ms) if ms > 0.0 => ms,
                _ => return lane.at("hard_limit").wrong("a number of milliseconds over 0"),
            },
            value: lane.at("worth").number_or(1.0)?,
            late_value: lane.at("late_worth").number_or(0.0)?,
            effect: match lane.at("effect").text()? {
                Some("idempotent") => mr::Effect::Idempotent,
                Some("deduplicated") => mr::Effect::Deduplicated,
                Some("at_most_once") => mr::Effect::AtMostOnce,
                _ => return lane.at("effect").wrong("idempotent, deduplicated or at_most_once"),
            },
            dedup_scope: match lane.at("dedup_scope").text()? {
                Some("all") => mr::DedupScope::All,
                Some("zone") => mr::DedupScope::Zone,
                _ => mr::DedupScope::Cell,
            },
            dedup_window: lane.at("window").number_or(0.0)?,
            stream: lane.at("stream").flag()?,
            kind: kinds.get(i).filter(|k| **k >= 0.0).map(|k| *k as u32),
            priority: priorities.get(i).copied().unwrap_or(0.0) as i64,
        })
    };
    node.at("lanes").items()?.iter().enumerate().map(class).collect()
}

fn read_tenants(node: &Node) -> Result<Vec<mr::Tenant>, JsonError> {
    let tenant = |t: &Node| {
        Ok(mr::Tenant {
            quota_per_s: t.at("quota_per_s").number_or(0.0)?,
            share: t.at("share").number_or(0.0)?,
        })
    };
    node.at("tenants").items()?.iter().map(tenant).collect()
}

fn read_prices(fees: &Node) -> Result<mr::Prices, JsonError> {
    Ok(mr::Prices {
        cross_zone: fees.at("cross_zone").number_or(0.0)?,
        waste: fees.at("waste").number_or(0.0)?,
        late_fail: fees.at("late_fail").number_or(0.0)?,
        probe: fees.at("probe").number_or(0.0)?,
        handshake: fees.at("handshake").number_or(0.0)?,
    })
}

fn read_limits(permissions: &Node) -> Result<mr::Limits, JsonError> {
    Ok(mr::Limits {
        max_attempts: permissions.at("max_attempts").count()?.unwrap_or(1) as usize,
        hedging: permissions.at("parallel_tries").flag()?,
        probes: permissions.at("probing").flag()?,
        cancel: permissions.at("may_cancel").flag()?,
        retry_after: permissions.at("retry_after").flag()?,
        max_retry_after: permissions.at("max_retry_after").number_or(0.0)?,
        connect_timeout: match permissions.at("connect_timeout").number_or(1000.0)? {
            ms if ms > 0.0 => ms,
            _ => return permissions.at("connect_timeout").wrong("a number of milliseconds over 0"),
        },
    })
}

fn read_rules(rules: &Node) -> Result<mr::Rules, JsonError> {
    Ok(mr::Rules {
        answer_slack: rules.at("answer_slack").number_or(0.0)?,
        list_interval: rules.at("ask_within").number_or(10_000.0)?,
        drain_grace: rules.at("stop_sending_within").number_or(0.0)?,
        drain_close: rules.at("drain_close").number_or(0.0)?,
        unlisted_stay_open: rules.at("dropped_stay_open").flag()?,
        warm_up_from: rules.at("cold_from").number_or(0.0)?,
        warm_up: rules.at("cold").number_or(0.0)?,
        overload_multiple: rules.at("tip_multiple").number_or(0.0)?,
        overload_time: rules.at("tip_after").number_or(0.0)?,
    })
}

#[cfg(test)]
mod tests;
