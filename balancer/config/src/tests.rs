//! Unit tests of `config`.

use super::*;
use millrudder_testing::garbage;

pub(super) const CONFIG: &str = r#"{"name":"n0","listen":"127.0.0.1:7070","discovery":"127.0.0.2:8500",
        "seed":"8c1f30d27a5be964","limits":{"sockets":1024},"settings":{"me":1,"replicas_of_me":2,
        "lanes":[{"name":"copy-issue","aim":120,"hard_limit":5000,"effect":"deduplicated","dedup_scope":"cell",
        "window":7500}],"kinds":["a","b"],"registry_mode":"ask","permissions":{"connect_timeout":120,
        "max_attempts":5,"parallel_tries":true},"rules":{"ask_within":10000,"stop_sending_within":500},
        "specifics":{"class_kind":[-1],"class_stretch":[2.0],"tells_start":true,"report_x0":"free slots"}}}"#;

fn read(text: &str) -> Result<Config, ConfigError> {
    Config::read(text.as_bytes(), |_| None)
}

#[test]
fn the_settings_reach_the_decision_module() {
    let config = read(CONFIG).unwrap();
    assert_eq!((config.name.as_str(), config.seed, config.conn_idle), ("n0", 0x8c1f30d27a5be964, 10_000.0));
    let (settings, class) = (&config.settings, &config.settings.classes[0]);
    assert_eq!((settings.instance, settings.replicas, settings.list_by_call), (1, 2, true));
    assert_eq!(
        (class.latency_target, class.target_stretch, class.deadline, class.dedup_window),
        (120.0, 2.0, 5000.0, 7500.0)
    );
    assert_eq!((class.effect, class.dedup_scope), (mr::Effect::Deduplicated, mr::DedupScope::Cell));
    assert_eq!((class.kind, class.value), (None, 1.0));
    assert_eq!((settings.rules.drain_grace, settings.limits.connect_timeout), (500.0, 120.0));
    assert!(settings.reports_starts && settings.limits.hedging && config.known.is_none());
    let listen =
        Config::read(CONFIG.as_bytes(), |key| (key == "NODE_LISTEN").then(|| "127.0.0.3:1".to_owned()));
    assert_eq!(
        listen.unwrap().listen.to_string(),
        "127.0.0.3:1",
        "the environment takes precedence over the file"
    );
}

#[test]
fn messages_name_the_faulty_key() {
    for (from, to, key) in [
        ("127.0.0.1:7070", "here", "NODE_LISTEN"),
        ("\"aim\":120", "\"aim\":\"x\"", "settings.lanes[0].aim"),
        ("\"hard_limit\":5000", "\"hard_limit\":0", "settings.lanes[0].hard_limit"),
        ("deduplicated", "often", "settings.lanes[0].effect"),
        ("\"sockets\":1024", "\"sockets\":8", "limits.sockets"),
        ("\"sockets\":1024", "\"memory_mb\":8", "limits.memory_mb"),
        ("8c1f", "xyz", "seed"),
        ("\"settings\"", "\"setting\"", "settings"),
    ] {
        let error = read(&CONFIG.replace(from, to)).err().map(|e| e.to_string()).unwrap_or_default();
        assert!(error.contains(key), "{key}: {error}");
    }
    garbage(8, CONFIG.as_bytes(), |bytes| drop(Config::read(bytes, |_| None)));
}

#[test]
fn descriptors_are_divided_within_the_limit() {
    for sockets in [MIN_SOCKETS, 256, 1024, 4096] {
        let budget = Budget::of(sockets, 32);
        assert!(budget.inbound + budget.worker_connections + OWN_DESCRIPTORS <= sockets);
        assert!(budget.inbound_jobs < budget.inbound && budget.worker_connections >= 12, "{budget:?}");
    }
}

// Guards against a memory limit whose bytes do not fit in 64 bits: the product wrapped, so that with 2^44 MiB no request
// found room in the buffers.
#[test]
fn more_memory_never_means_smaller_buffers() {
    let of = |memory_mb: &str| {
        let limits = format!("\"limits\":{{\"memory_mb\":{memory_mb},");
        read(&CONFIG.replace("\"limits\":{", &limits)).unwrap().budget.buffers
    };
    let buffers = ["24", "192", "1048576", "17592186044416", "17592186044417", "8999999999999999"].map(of);
    assert!(buffers.is_sorted(), "{buffers:?}");
    assert_eq!(buffers[0], 3 * 1024 * 1024);
}

// Guards against numbers of dispatchers that are cut off to 32 bits: 2^32 dispatchers were taken for one, and the
// dispatcher 2^32 for the first.
#[test]
fn a_number_of_dispatchers_that_cannot_be_kept_whole_is_refused() {
    for (from, key) in [("\"me\":1", "me"), ("\"replicas_of_me\":2", "replicas_of_me")] {
        let with = |number: u64| read(&CONFIG.replace(from, &format!("\"{key}\":{number}")));
        let error = with(1 << 32).err().map(|error| error.to_string()).unwrap_or_default();
        assert!(error.contains(&format!("settings.{key}")), "{error}");
        let settings = with((1 << 32) - 1).unwrap().settings;
        assert!([settings.instance, settings.replicas].contains(&u32::MAX));
    }
}
