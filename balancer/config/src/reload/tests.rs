//! Unit tests of `reload`.

use super::super::tests::CONFIG;
use super::*;
use millrudder_testing::garbage;

fn source() -> Source {
    source_of(CONFIG)
}

/// The source of a program that was started with this file.
fn source_of(file: &str) -> Source {
    let environment = HashMap::from([("NODE_DISCOVERY".to_owned(), "127.0.0.9:1".to_owned())]);
    let config = Config::from_json(file.as_bytes()).unwrap();
    Source::new("unread".to_owned(), environment, file.as_bytes(), &config).unwrap()
}

/// Guards against a number that a start accepts and SIGHUP refuses, so that no change of that file could be applied.
#[test]
fn numbers_that_a_start_has_accepted_stay_valid() {
    for (from, to) in [
        ("\"hard_limit\":5000", "\"hard_limit\":172800000"),
        ("\"hard_limit\":5000", "\"hard_limit\":1e300"),
        ("\"max_attempts\":5", "\"max_attempts\":2000"),
        ("\"max_attempts\":5", "\"max_attempts\":8999999999999999"),
    ] {
        let file = CONFIG.replacen(from, to, 1);
        let changed = file.replacen("\"aim\":120", "\"aim\":60", 1);
        assert!(file != CONFIG && changed != file, "{to}");
        let reloaded = source_of(&file).check(changed.as_bytes()).map(|reloaded| reloaded.settings);
        let Ok(settings) = reloaded else { panic!("{to} is refused") };
        assert_eq!(settings.classes[0].latency_target, 60.0, "{to}");
        assert!(source().check(file.as_bytes()).is_err(), "{to} is implausible where it is new");
    }
}

#[test]
fn discovery_in_the_file_takes_precedence_over_the_older_environment() {
    // The platform sets NODE_DISCOVERY only at the start, so at a reload the variable still has the old address.
    let reloaded = source().check(CONFIG.replace("127.0.0.2", "127.0.0.7").as_bytes()).unwrap();
    assert_eq!((reloaded.discovery.to_string().as_str(), reloaded.kept.len()), ("127.0.0.7:8500", 0));
}

#[test]
fn classes_attempts_and_rules_change_and_the_rest_stays() {
    let changed = CONFIG
        .replace(
            "\"lanes\":[",
            "\"lanes\":[{\"name\":\"audit\",\"aim\":5,\"hard_limit\":900,\"effect\":\"at_most_once\"},",
        )
        .replace("\"max_attempts\":5", "\"max_attempts\":2")
        .replace("\"kinds\":[\"a\",\"b\"]", "\"kinds\":[\"b\",\"a\"]")
        .replace("\"class_kind\":[-1]", "\"class_kind\":[0,-1]");
    let reloaded = source().check(changed.as_bytes()).unwrap();
    assert_eq!(reloaded.names.classes, ["audit", "copy-issue"]);
    let settings = reloaded.settings;
    assert_eq!((settings.limits.max_attempts, settings.classes[0].deadline), (2, 900.0));
    assert_eq!(
        (settings.classes[0].kind, settings.classes[1].kind),
        (Some(1), None),
        "machine type b, found by its name"
    );
    assert_eq!(
        (reloaded.names.kinds.as_slice(), reloaded.kept),
        (&["a", "b"].map(str::to_owned)[..], vec!["settings.kinds".to_owned()])
    );
}

#[test]
fn a_truncated_file_a_missing_key_and_an_implausible_number_are_refused() {
    let source = source();
    for cut in 0..CONFIG.len() {
        assert!(source.check(&CONFIG.as_bytes()[..cut]).is_err(), "cut at {cut}");
    }
    for (from, to, key) in [
        ("\"discovery\":\"127.0.0.2:8500\",", "", "discovery"),
        ("\"limits\":{\"sockets\":1024},", "", "limits"),
        ("\"max_attempts\":5,", "", "max_attempts"),
        ("\"hard_limit\":5000,", "", "hard_limit"),
        ("\"dedup_scope\":\"cell\",", "", "dedup_scope"),
        ("\"aim\":120,", "", "aim"),
        ("\"ask_within\":10000,", "", "ask_within"),
        ("5000", "0", "hard_limit"),
        ("5000", "-5", "hard_limit"),
        ("5000", "\"5000\"", "hard_limit"),
        ("5000", "null", "hard_limit"),
        ("5000", "1e300", "hard_limit"),
        ("5000", "1e999", "hard_limit"),
        ("\"max_attempts\":5", "\"max_attempts\":0", "max_attempts"),
        ("\"max_attempts\":5", "\"max_attempts\":-1", "max_attempts"),
        ("\"max_attempts\":5", "\"max_attempts\":2.5", "max_attempts"),
        ("\"max_attempts\":5", "\"max_attempts\":\"5\"", "max_attempts"),
        ("\"max_attempts\":5", "\"max_attempts\":null", "max_attempts"),
        ("\"max_attempts\":5", "\"max_attempts\":1e300", "max_attempts"),
    ] {
        let changed = CONFIG.replacen(from, to, 1);
        assert_ne!(changed, CONFIG, "{from}");
        let error = source.check(changed.as_bytes()).unwrap_err().to_string();
        assert!(error.contains(key), "{to:?}: {error}");
    }
    // Values that are not valid JSON.
    for odd in ["NaN", "Infinity", ""] {
        assert!(source.check(CONFIG.replacen("5000", odd, 1).as_bytes()).is_err(), "{odd}");
    }
}

#[test]
fn keys_that_cannot_change_are_reported_and_a_bad_file_is_refused_with_its_key() {
    let changed = CONFIG.replace("\"me\":1", "\"me\":0").replace("\"sockets\":1024", "\"sockets\":512");
    let changed = changed.replace("\"name\":\"n0\"", "\"name\":\"n1\"");
    let kept = source().check(changed.as_bytes()).unwrap().kept;
    assert_eq!(kept, ["limits.sockets", "name", "settings.me"]);
    let bad = CONFIG.replace("127.0.0.2:8500", "nowhere");
    assert!(source().check(bad.as_bytes()).unwrap_err().to_string().contains("NODE_DISCOVERY"));
    let twice = CONFIG.replace(
        "\"lanes\":[{",
        "\"lanes\":[{\"name\":\"copy-issue\",\"aim\":1,\"hard_limit\":5,\"effect\":\"idempotent\"},{",
    );
    assert!(source().check(twice.as_bytes()).unwrap_err().to_string().contains("lanes[1].name"));
    garbage(10, CONFIG.as_bytes(), |bytes| drop(source().check(bytes)));
}
