//! Lookup of the route of a request.

mod support;

use millrudder_configuration::{Configuration, RouteTable};
use proptest::prelude::*;
use serde_json::json;
use support::{minimal, read};

/// A configuration with a route for each host and prefix, named by both.
fn configuration(matches: &[(&str, &str)]) -> Configuration {
    let route = |(host, prefix): &(&str, &str)| {
        json!({"name": format!("{host}{prefix}"), "hostname": host, "pathPrefix": prefix, "backend": "hives",
               "timeoutMs": 500})
    };
    let mut value = minimal();
    value["routes"] = matches.iter().map(route).collect();
    read(&value).unwrap()
}

fn table(matches: &[(&str, &str)]) -> RouteTable {
    RouteTable::new(&configuration(matches))
}

fn found(table: &RouteTable, host: &str, path: &str) -> Option<String> {
    table.find(host, path).map(|route| route.name.to_string())
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let table =
        table(&[("a", "/"), ("a", "/post/"), ("a", "/post/late/"), ("a", "/quick"), ("b", "/post/x")]);
    let expected = [
        ("/", "a/"),
        ("/pos", "a/"),
        ("/post", "a/"),
        ("/post/", "a/post/"),
        ("/post/lat", "a/post/"),
        ("/post/late/1/2", "a/post/late/"),
        ("/post/zebra", "a/post/"),
        ("/quickly", "a/quick"),
        ("/zebra", "a/"),
        ("/post/x", "a/post/"),
    ];
    for (path, route) in expected {
        assert_eq!(found(&table, "a", path).as_deref(), Some(route), "{path}");
    }
}

#[test]
fn a_path_without_a_matching_prefix_has_no_route() {
    let table = table(&[("a", "/post/"), ("b", "/")]);
    for (host, path) in [("a", "/"), ("a", "/post"), ("a", ""), ("a", "*"), ("c", "/post/"), ("", "/post/")] {
        assert_eq!(found(&table, host, path), None, "{host} {path}");
    }
}

#[test]
fn host_is_compared_without_case_and_port() {
    let table = table(&[("Bees.Example", "/"), ("10.0.0.1", "/"), ("[fd00::1]", "/")]);
    for host in ["bees.example", "BEES.EXAMPLE", "bees.example:8080", "bees.example:", "Bees.Example.:80"] {
        assert!(table.find(host, "/x").is_some(), "{host}");
    }
    assert!(table.find("10.0.0.1:80", "/").is_some());
    assert!(table.find("[FD00::1]:80", "/").is_some());
    assert!(table.find("[fd00::1]", "/").is_some());
    for host in ["bees.example:80:80", "bees", "example", "xbees.example", "bees.example:http"] {
        assert!(table.find(host, "/x").is_none(), "{host}");
    }
}

#[test]
fn the_query_is_ignored() {
    let table = table(&[("a", "/post"), ("a", "/post/late")]);
    assert_eq!(found(&table, "a", "/post?to=/late").as_deref(), Some("a/post"));
    assert_eq!(found(&table, "a", "/post/late?x=1").as_deref(), Some("a/post/late"));
    assert_eq!(found(&table, "a", "/pos?t").as_deref(), None);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn finds_what_a_search_through_all_finds(
        prefixes in proptest::collection::btree_set("/[ab/]{0,5}", 0..16),
        paths in proptest::collection::vec("/[ab/c]{0,8}", 1..16),
    ) {
        let matches: Vec<_> = prefixes.iter().map(|prefix| ("h", prefix.as_str())).collect();
        let table = table(&matches);
        for path in &paths {
            let starting = prefixes.iter().filter(|prefix| path.starts_with(prefix.as_str()));
            let longest = starting.max_by_key(|prefix| prefix.len());
            let expected = longest.map(|prefix| format!("h{prefix}"));
            prop_assert_eq!(found(&table, "h", path), expected, "{} in {:?}", path, prefixes);
        }
    }
}
