//! The changed keys between two versions of a file.

use millrudder_settings::{difference, Settings, SettingsKey};
use std::path::Path;

const TEXT: &str = "\
nodeName: keeper-1
ip: 10.1.0.40
zone: north
region: main
ephemeralPorts: [7001, 7004]
heartbeatMs: 1000
seeds: ['10.1.0.1:90']
bounds: {drainMs: 3000}
";

fn parse(text: &str) -> Settings {
    Settings::parse(text, Path::new("local.yaml")).unwrap()
}

#[test]
fn equal_settings_have_no_difference() {
    let with_other_text = format!("{TEXT}limits: {{}}\nunknown: 1\n");
    assert_eq!(difference(&parse(TEXT), &parse(&with_other_text)), []);
}

#[test]
fn changed_keys_are_listed_as_in_the_file() {
    let changes = [
        ("keeper-1", "keeper-2", SettingsKey::NodeName, "nodeName"),
        ("10.1.0.40", "10.1.0.41", SettingsKey::Ip, "ip"),
        ("north", "south", SettingsKey::Zone, "zone"),
        ("7004", "7005", SettingsKey::EphemeralPorts, "ephemeralPorts"),
        ("heartbeatMs: 1000", "heartbeatMs: 900", SettingsKey::HeartbeatMs, "heartbeatMs"),
        ("10.1.0.1:90", "10.1.0.2:90", SettingsKey::Seeds, "seeds"),
        ("3000", "3001", SettingsKey::Bounds, "bounds"),
    ];
    for (old, new, key, written) in changes {
        let changed = TEXT.replace(old, new);
        assert_eq!(difference(&parse(TEXT), &parse(&changed)), [key]);
        assert_eq!(key.to_string(), written);
    }
}

#[test]
fn changed_keys_are_listed_in_the_order_of_the_file() {
    let changed = TEXT.replace("3000", "2000").replace("keeper-1", "keeper-9");
    let keys = difference(&parse(TEXT), &parse(&changed));
    assert_eq!(keys, [SettingsKey::NodeName, SettingsKey::Bounds]);
}
