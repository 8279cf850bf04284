//! Complete and minimal settings files, and errors in invalid ones.

use millrudder_settings::{BindAddresses, Bounds, FaultTolerance, Limits, Serves, Settings, SettingsError};
use std::path::{Path, PathBuf};
use std::time::Duration;

const FILE: &str = "local.yaml";

const MINIMAL: &str = "\
nodeName: edge-1
ip: 10.1.0.40
zone: north
region: main
ephemeralPorts: [7001, 7004]
";

const COMPLETE: &str = r#"
nodeName: "keeper-north-1"
role: "keeper"
machineClass: "core"
serves: ["control", "edge"]
ip: "10.4.0.7"
zone: "north"
region: "main"
zones:
  north: "main"
  south: "far"
bindAddrs:
  front: "10.4.0.7:9001"
  readiness: "10.4.0.7:9002"
  controlPlane: "10.4.0.7:9003"
ephemeralPorts:
  - 7001
  - 7016
seeds:
  - "10.4.0.7:9003"
  - "10.5.0.7:9003"
bootstrap: true
countsForQuorum: true
limits:
  cpuShare: 0.6
  cores: 2
  memoryMb: 256
  maxFds: 4096
  linkMbps: 600.0
  diskMb: 128
dataDir: "/data"
discovery: "list"
entryPoint:
heartbeatMs: 1200
invariants: ["base"]
newToday: {anything: [1, 2]}
faultTolerance:
  machines: 2
  zones: 1
  regions: 0
bounds:
  seedLagS: 4
  catchUpS: 7.5
  drainMs: 2500
  graceS: 8
  originOverage: 1.25
  somethingElse: true
cloudApi:
  address: "10.200.0.1:9004"
  ratePerS: 20
  duties: []
  maxLagMs: 700
"#;

fn parse(text: &str) -> Result<Settings, SettingsError> {
    Settings::parse(text, Path::new(FILE))
}

fn error_of(text: &str) -> String {
    parse(text).expect_err("the settings are invalid").to_string()
}

fn minimal_with(more: &str) -> String {
    format!("{MINIMAL}{more}\n")
}

fn minimal_without(key: &str) -> String {
    let lines = MINIMAL.lines().filter(|line| !line.starts_with(key));
    lines.map(|line| format!("{line}\n")).collect()
}

#[test]
fn a_complete_file_is_parsed_and_unknown_keys_are_ignored() {
    let settings = parse(COMPLETE).unwrap();
    assert_eq!(&*settings.node_name, "keeper-north-1");
    assert_eq!(settings.serves, [Serves::Control, Serves::Edge].into());
    assert_eq!(settings.zones.len(), 2);
    assert_eq!(settings.bind.control_plane, Some("10.4.0.7:9003".parse().unwrap()));
    assert_eq!((settings.ephemeral_ports.first(), settings.ephemeral_ports.last()), (7001, 7016));
    assert_eq!(settings.seeds.len(), 2);
    assert!(settings.bootstrap && settings.counts_for_quorum);
    assert_eq!(settings.data_dir, Some(PathBuf::from("/data")));
    assert_eq!(settings.heartbeat, Duration::from_millis(1200));
    assert_eq!(settings.fault_tolerance, FaultTolerance { machines: 2, zones: 1, regions: 0 });
    let cloud_api = settings.cloud_api.unwrap();
    assert_eq!((cloud_api.calls_per_second, cloud_api.maximum_lag), (20.0, Duration::from_millis(700)));
}

#[test]
fn limits_are_converted_to_bytes() {
    let limits = parse(COMPLETE).unwrap().limits;
    let expected = Limits {
        cpu_fraction: 0.6,
        cores: 2.0,
        memory_bytes: 256_000_000,
        file_descriptors: 4096,
        link_megabits_per_second: 600.0,
        disk_bytes: 128_000_000,
    };
    assert_eq!(limits, expected);
}

#[test]
fn bounds_that_are_given_replace_their_defaults() {
    let bounds = parse(COMPLETE).unwrap().bounds;
    let expected = Bounds {
        seed_lag: Duration::from_secs(4),
        catch_up: Duration::from_millis(7_500),
        drain: Duration::from_millis(2_500),
        grace: Duration::from_secs(8),
        origin_overage: 1.25,
        ..Bounds::default()
    };
    assert_eq!(bounds, expected);
}

#[test]
fn absent_and_empty_keys_get_defaults() {
    let empty = "role:\nserves:\nzones: null\nbindAddrs: ~\nseeds:\nbootstrap:\nlimits:\ndataDir: \"\"\n\
                 heartbeatMs:\nfaultTolerance:\nbounds: {drainMs: null}\ncloudApi: {address:}";
    let absent = parse(MINIMAL).unwrap();
    assert_eq!(absent, parse(&minimal_with(empty)).unwrap());
    assert_eq!(absent.bind, BindAddresses::default());
    assert_eq!((absent.bootstrap, absent.counts_for_quorum, absent.data_dir), (false, false, None));
    assert_eq!((absent.limits, absent.bounds), (Limits::default(), Bounds::default()));
    assert_eq!(absent.fault_tolerance.machines, 1);
    assert!(absent.cloud_api.is_none() && absent.serves.is_empty());
}

#[test]
fn the_region_defaults_to_that_of_the_zone() {
    let text = minimal_without("region") + "zones: {north: hill, south: sea}\n";
    assert_eq!(&*parse(&text).unwrap().region, "hill");
}

#[test]
fn errors_name_missing_keys() {
    for key in ["nodeName", "ip", "zone", "region", "ephemeralPorts"] {
        assert_eq!(error_of(&minimal_without(key)), format!("local.yaml: key {key}: missing"));
    }
    let empty_name = MINIMAL.replace("edge-1", "\"\"");
    assert_eq!(error_of(&empty_name), "local.yaml: key nodeName: missing");
}

#[test]
fn errors_name_line_and_key_of_invalid_values() {
    let invalid = [
        ("seeds: ['10.0.0.1:1', 'nowhere']", "'nowhere'", "seeds[1]"),
        ("bounds: {drainMs: -5}", "-5", "bounds.drainMs"),
        ("bounds: {drainMs: .nan}", ".nan", "bounds.drainMs"),
        ("bounds: {graceS: 1e300}", "1e300", "bounds.graceS"),
        ("heartbeatMs: soon", "soon", "heartbeatMs"),
        ("limits: {maxFds: -1}", "-1", "limits.maxFds"),
        ("serves: [edge, kitchen]", "kitchen", "serves[1]"),
        ("bootstrap: perhaps", "perhaps", "bootstrap"),
        ("cloudApi: {address: 'x'}", "'x'", "cloudApi.address"),
    ];
    for (line, value, key) in invalid {
        let text = error_of(&minimal_with(line));
        let column = line.find(value).unwrap() + 1;
        let start = format!("local.yaml:6:{column}: key {key}: ");
        assert!(text.starts_with(&start), "{line}: {text}");
        assert!(!text.contains('\n') && !text.contains("at line"), "{text}");
    }
}

#[test]
fn a_heartbeat_interval_of_zero_is_rejected() {
    assert_eq!(
        error_of(&minimal_with("heartbeatMs: 0")),
        "local.yaml:6:14: key heartbeatMs: must be above 0"
    );
}

#[test]
fn ports_must_be_a_range() {
    for ports in ["[7004, 7001]", "[0, 9]", "[7001]", "[7001, 7002, 7003]", "[]"] {
        let text = error_of(&MINIMAL.replace("[7001, 7004]", ports));
        assert!(text.starts_with("local.yaml:5:17: key ephemeralPorts: "), "{ports}: {text}");
    }
    let text = error_of(&MINIMAL.replace("7004", "70040"));
    assert!(text.starts_with("local.yaml:5:24: key ephemeralPorts"), "{text}");
    assert_eq!(parse(&MINIMAL.replace("7004", "7001")).unwrap().ephemeral_ports.count(), 1);
}

#[test]
fn serving_needs_addresses_and_a_folder() {
    let requirements = [
        ("serves: [edge]", "bindAddrs.front", "edge"),
        ("serves: [edge]\nbindAddrs: {front: '10.0.0.1:1'}", "bindAddrs.readiness", "edge"),
        ("serves: [control]\ndataDir: /d", "bindAddrs.controlPlane", "control"),
        ("serves: [control]\nbindAddrs: {controlPlane: '10.0.0.1:1'}", "dataDir", "control"),
        ("serves: [storage]", "dataDir", "storage"),
    ];
    for (lines, key, serves) in requirements {
        let expected = format!("local.yaml: key {key}: missing, and the role serves {serves}");
        assert_eq!(error_of(&minimal_with(lines)), expected);
    }
}

#[test]
fn errors_are_one_line() {
    for text in ["", "# nothing\n", "- a\n- b\n", "{", "nodeName: [", "just words", "a: 1\na: 2\n", "\u{0}"] {
        let message = error_of(text);
        assert!(message.starts_with("local.yaml"), "{message}");
        assert!(!message.contains('\n'), "{message}");
    }
    let twice = error_of(&minimal_with("zone: south"));
    assert!(twice.starts_with("local.yaml:6:1"), "{twice}");
}

#[test]
fn files_are_read_and_errors_name_unreadable_ones() {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let file = folder.join("settings.yaml");
    std::fs::write(&file, COMPLETE).unwrap();
    assert_eq!(Settings::load(&file).unwrap(), parse(COMPLETE).unwrap());

    let absent = folder.join("absent.yaml");
    assert!(matches!(Settings::load(&absent), Err(SettingsError::Unreadable { file, .. }) if file == absent));
}

#[test]
fn files_over_the_maximum_length_are_rejected() {
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("long.yaml");
    std::fs::write(&file, "#".repeat((1 << 20) + 10)).unwrap();
    assert!(matches!(Settings::load(&file), Err(SettingsError::TooLong { max: 1_048_576, .. })));
}

#[test]
fn the_minimum_core_survives_the_tolerated_losses() {
    let mut settings = parse(MINIMAL).unwrap();
    settings.fault_tolerance.machines = 1;
    assert_eq!(settings.min_core_members(None), 2);
    assert_eq!(settings.min_core_members(Some(3)), 2);
    settings.fault_tolerance.machines = 2;
    assert_eq!(settings.min_core_members(Some(5)), 3);
    assert_eq!(settings.min_core_members(Some(1)), 1, "it was bootstrapped by one machine");
    assert_eq!(settings.min_core_members(Some(0)), 1);
}
