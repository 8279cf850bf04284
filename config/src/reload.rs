//! Reading `NODE_CONFIG` again while the program runs (SIGHUP).
//!
//! Only `discovery` can change under load. Whatever else differs keeps its value until the next start and is
//! named, so that nobody takes it for applied; a file that cannot be used changes nothing.

use super::{read_file, Config, ConfigError};
use millrudder_wire::json;
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use tinyjson::JsonValue;

/// Keys that may differ: one is applied, the other is only the list to start from.
const FREE: [&str; 2] = ["discovery", "known"];

/// The file, and what the running program was made from.
pub struct Source {
    path: String,
    environment: HashMap<String, String>,
    running: JsonValue,
}

/// What a changed file asks for.
#[derive(Debug, PartialEq)]
pub struct Reloaded {
    pub discovery: SocketAddr,
    /// Keys that differ but wait for the next start.
    pub kept: Vec<String>,
}

impl Source {
    pub(super) fn new(
        path: String,
        environment: HashMap<String, String>,
        bytes: &[u8],
    ) -> Result<Self, ConfigError> {
        Ok(Source { path, environment, running: json::parse(bytes)? })
    }

    /// Reads and checks the whole file as at a start. It blocks: not for coroutines.
    pub fn reload(&self) -> Result<Reloaded, ConfigError> {
        self.check(&read_file(&self.path)?)
    }

    /// The environment is as old as the process, so here it stands behind the file.
    fn check(&self, bytes: &[u8]) -> Result<Reloaded, ConfigError> {
        let document = json::parse(bytes)?;
        let newer =
            document.get::<HashMap<String, JsonValue>>().is_some_and(|map| map.contains_key("discovery"));
        let config = Config::read(bytes, |key| match key {
            "NODE_DISCOVERY" if newer => None,
            _ => self.environment.get(key).cloned(),
        })?;
        Ok(Reloaded { discovery: config.discovery, kept: differing(&self.running, &document) })
    }
}

/// The keys of two documents whose values differ; within `settings` and `limits`, theirs.
fn differing(old: &JsonValue, new: &JsonValue) -> Vec<String> {
    let mut found = Vec::new();
    for key in keys(old, new).into_iter().filter(|key| !FREE.contains(key)) {
        match (at(old, key), at(new, key)) {
            (a, b) if a == b => {}
            (Some(a @ JsonValue::Object(_)), Some(b @ JsonValue::Object(_))) => {
                let inner = keys(a, b).into_iter().filter(|inner| at(a, inner) != at(b, inner));
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
mod tests {
    use super::super::tests::CONFIG;
    use super::*;
    use millrudder_testing::garbage;

    fn source() -> Source {
        let environment = HashMap::from([("NODE_DISCOVERY".to_owned(), "127.0.0.9:1".to_owned())]);
        Source::new("unread".to_owned(), environment, CONFIG.as_bytes()).unwrap()
    }

    #[test]
    fn the_files_discovery_stands_before_an_environment_older_than_it() {
        // The platform sets NODE_DISCOVERY once, at the start: at a reload it names the old address.
        let reloaded = source().check(CONFIG.replace("127.0.0.2", "127.0.0.7").as_bytes()).unwrap();
        assert_eq!((reloaded.discovery.to_string().as_str(), reloaded.kept.len()), ("127.0.0.7:8500", 0));
        let without = CONFIG.replace("\"discovery\":\"127.0.0.2:8500\",", "");
        assert_eq!(source().check(without.as_bytes()).unwrap().discovery.to_string(), "127.0.0.9:1");
    }

    #[test]
    fn what_cannot_change_is_named_and_a_bad_file_refused_by_key() {
        let changed = CONFIG.replace("\"me\":1", "\"me\":0").replace("\"sockets\":1024", "\"sockets\":512");
        let changed = changed.replace("\"name\":\"n0\"", "\"name\":\"n1\"");
        let kept = source().check(changed.as_bytes()).unwrap().kept;
        assert_eq!(kept, ["limits.sockets", "name", "settings.me"]);
        let bad = CONFIG.replace("127.0.0.2:8500", "nowhere");
        assert!(source().check(bad.as_bytes()).unwrap_err().to_string().contains("NODE_DISCOVERY"));
        garbage(10, CONFIG.as_bytes(), |bytes| drop(source().check(bytes)));
    }
}
