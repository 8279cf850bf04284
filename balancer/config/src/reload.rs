//! Reload of the file named by `NODE_CONFIG` while the program runs (SIGHUP).
//!
//! `discovery` and most of `settings` take effect at once. Any other key that differs keeps its value until the
//! next start and is reported, so that nobody believes it applied. An invalid file changes nothing. A file that
//! lacks a key of the running configuration is invalid as well, because it was probably truncated or only half
//! written.

use super::{position, read_file, Config, ConfigError, Names};
use millrudder as mr;
use millrudder_exchange::intake::LONGEST_WAIT_MS;
use millrudder_wire::json::{self, Node};
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use tinyjson::JsonValue;

/// Top-level keys that may differ without a report: `discovery` is applied, and `known` is only used at a start.
const UNREPORTED_KEYS: [&str; 2] = ["discovery", "known"];
/// Keys of `settings` that cannot change while running: numbers in this process are assigned by them, or they
/// define its place among the dispatchers.
const FIXED_SETTINGS: [&str; 8] =
    ["me", "replicas_of_me", "zone", "failure_domains", "kinds", "tenants", "registry_mode", "reporting"];
/// Keys that a class needs only if its jobs carry a key for the detection of duplicates.
const DEDUPLICATION_KEYS: [&str; 2] = ["dedup_scope", "window"];
/// Largest plausible value of `max_attempts`.
const MAX_ATTEMPTS: f64 = 1_000.0;

/// The path of the file, and the configuration with which the program was started.
pub struct Source {
    path: String,
    environment: HashMap<String, String>,
    running: JsonValue,
    settings: mr::Settings,
    names: Names,
}

/// The result of a reload.
#[derive(Debug)]
pub struct Reloaded {
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// Settings of the decision module, with the numbers that the running program uses for names.
    pub settings: mr::Settings,
    /// Names behind the numbers in `settings`.
    pub names: Names,
    /// As in [`Config`].
    pub conn_idle: f64,
    /// Keys that differ but are not applied before the next start.
    pub kept: Vec<String>,
}

impl Source {
    pub(super) fn new(
        path: String,
        environment: HashMap<String, String>,
        bytes: &[u8],
        config: &Config,
    ) -> Result<Self, ConfigError> {
        let (settings, names) = (config.settings.clone(), config.names.clone());
        Ok(Source { path, environment, running: json::parse(bytes)?, settings, names })
    }

    /// Reads and checks the whole file as at a start. It blocks, so it must not be called in a coroutine.
    pub fn reload(&self) -> Result<Reloaded, ConfigError> {
        self.check(&read_file(&self.path)?)
    }

    /// Unlike at a start, `discovery` in the file takes precedence over the environment, which is as old as the
    /// process.
    fn check(&self, bytes: &[u8]) -> Result<Reloaded, ConfigError> {
        let document = json::parse(bytes)?;
        check_keys(&self.running, &document, "")?;
        check_numbers(&self.running, &document)?;
        let file_has_discovery = at(&document, "discovery").is_some();
        let config = Config::read(bytes, |key| match key {
            "NODE_DISCOVERY" if file_has_discovery => None,
            _ => self.environment.get(key).cloned(),
        })?;
        let kept = pending_keys(&self.running, &document);
        let (discovery, conn_idle) = (config.discovery, config.conn_idle);
        let (settings, names) = self.merge(config);
        Ok(Reloaded { discovery, settings, names, conn_idle, kept })
    }

    /// The new settings, with the values kept that cannot change while running.
    fn merge(&self, config: Config) -> (mr::Settings, Names) {
        let (mut settings, mut names, running) = (config.settings, config.names, &self.settings);
        // A class may be bound to a machine type. The file's number of the type is converted by its name,
        // because this process keeps its own numbers.
        let kind = |k: u32| names.kinds.get(k as usize).and_then(|name| position(&self.names.kinds, name));
        for class in &mut settings.classes {
            class.kind = class.kind.map(|k| kind(k).unwrap_or(u32::MAX));
        }
        (names.zones, names.kinds) = (self.names.zones.clone(), self.names.kinds.clone());
        (settings.instance, settings.replicas) = (running.instance, running.replicas);
        (settings.zone, settings.zones) = (running.zone, running.zones);
        (settings.list_by_call, settings.tenants) = (running.list_by_call, running.tenants.clone());
        settings.load_reports = running.load_reports;
        (settings, names)
    }
}

fn missing(key: String) -> ConfigError {
    ConfigError::Value { key, problem: "is missing".to_owned() }
}

/// Checks that the new document has every key of the running one; null counts as missing.
fn check_keys(running: &JsonValue, newer: &JsonValue, above: &str) -> Result<(), ConfigError> {
    let Some(map) = running.get::<HashMap<String, JsonValue>>() else { return Ok(()) };
    for (name, value) in map {
        if above.is_empty() && name == "known" || value.is_null() {
            continue;
        }
        let key = if above.is_empty() { name.clone() } else { format!("{above}.{name}") };
        match at(newer, name) {
            None | Some(JsonValue::Null) => return Err(missing(key)),
            Some(found) if key == "settings.lanes" => check_classes(value, found)?,
            Some(found) => check_keys(value, found, &key)?,
        }
    }
    Ok(())
}

/// Checks that each new class has every key that all running classes have, except that only classes with keyed
/// jobs need [`DEDUPLICATION_KEYS`], and that no class name repeats.
fn check_classes(running: &JsonValue, newer: &JsonValue) -> Result<(), ConfigError> {
    let lanes = |value: &JsonValue| value.get::<Vec<JsonValue>>().cloned().unwrap_or_default();
    let (running, newer) = (lanes(running), lanes(newer));
    let first = running.first().and_then(|lane| lane.get::<HashMap<String, JsonValue>>());
    let is_in_all = |key: &&String| running.iter().all(|lane| at(lane, key).is_some_and(|v| !v.is_null()));
    let common: Vec<&String> = first.into_iter().flat_map(HashMap::keys).filter(is_in_all).collect();
    let mut names = BTreeSet::new();
    for (i, lane) in newer.iter().enumerate() {
        let keyed = at(lane, "effect").and_then(|v| v.get::<String>()).is_some_and(|e| e == "deduplicated");
        let wanted =
            common.iter().map(|key| key.as_str()).filter(|key| keyed || !DEDUPLICATION_KEYS.contains(key));
        for key in wanted {
            if at(lane, key).is_none_or(JsonValue::is_null) {
                return Err(missing(format!("settings.lanes[{i}].{key}")));
            }
        }
        if at(lane, "name").and_then(|v| v.get::<String>()).is_some_and(|name| !names.insert(name.clone())) {
            let problem = "this class is there already".to_owned();
            return Err(ConfigError::Value { key: format!("settings.lanes[{i}].name"), problem });
        }
    }
    Ok(())
}

/// Checks that deadlines and the number of attempts are above 0 and plausible. A value that is running is not checked, as
/// the start has accepted it.
fn check_numbers(running: &JsonValue, newer: &JsonValue) -> Result<(), ConfigError> {
    let (running, newer) = (Node::root(running).at("settings"), Node::root(newer).at("settings"));
    let deadlines = deadlines(&running)?;
    for lane in newer.at("lanes").items()? {
        let running = lane.at("name").text()?.and_then(|name| deadlines.get(name).copied());
        check_number(&lane.at("hard_limit"), running, LONGEST_WAIT_MS)?;
    }
    let attempts = newer.at("permissions").at("max_attempts");
    if attempts.is_absent() {
        return Ok(());
    }
    let running = running.at("permissions").at("max_attempts").number()?;
    check_number(&attempts, running, MAX_ATTEMPTS)?;
    match attempts.number()? {
        Some(n) if n.fract() != 0.0 => Ok(attempts.wrong("a whole number")?),
        _ => Ok(()),
    }
}

/// The deadline of each class, by its name, in milliseconds.
fn deadlines(settings: &Node) -> Result<HashMap<String, f64>, ConfigError> {
    let mut deadlines = HashMap::new();
    for lane in settings.at("lanes").items()? {
        if let (Some(name), Some(deadline)) = (lane.at("name").text()?, lane.at("hard_limit").number()?) {
            deadlines.insert(name.to_owned(), deadline);
        }
    }
    Ok(deadlines)
}

/// Checks that a number is the running one, or above 0 and at most `max`.
fn check_number(node: &Node, running: Option<f64>, max: f64) -> Result<(), ConfigError> {
    match node.number()? {
        Some(n) if Some(n) == running || n > 0.0 && n <= max => Ok(()),
        _ => Ok(node.wrong("a number over 0")?),
    }
}

/// The keys whose values differ between two documents and are not applied before the next start. For an object
/// such as `settings` or `limits`, the keys inside it are reported.
fn pending_keys(old: &JsonValue, new: &JsonValue) -> Vec<String> {
    let mut found = Vec::new();
    for key in keys(old, new).into_iter().filter(|key| !UNREPORTED_KEYS.contains(key)) {
        match (at(old, key), at(new, key)) {
            (a, b) if a == b => {}
            (Some(a @ JsonValue::Object(_)), Some(b @ JsonValue::Object(_))) => {
                let is_pending = |inner: &&str| key != "settings" || FIXED_SETTINGS.contains(inner);
                let inner =
                    keys(a, b).into_iter().filter(|inner| at(a, inner) != at(b, inner)).filter(is_pending);
                found.extend(inner.map(|inner| format!("{key}.{inner}")));
            }
            _ => found.push(key.to_owned()),
        }
    }
    found
}

fn keys<'a>(old: &'a JsonValue, new: &'a JsonValue) -> BTreeSet<&'a str> {
    let maps = [old, new].into_iter().filter_map(|v| v.get::<HashMap<String, JsonValue>>());
    maps.flat_map(|map| map.keys().map(String::as_str)).collect()
}

fn at<'a>(document: &'a JsonValue, key: &str) -> Option<&'a JsonValue> {
    document.get::<HashMap<String, JsonValue>>()?.get(key)
}

#[cfg(test)]
mod tests;
