//! Settings files and the ports in them.

use millrudder_system_standins::{
    AddressPlan, FaultTolerance, Machine, MachinePlan, PortBlock, SettingsWriter,
};
use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::net::{SocketAddr, TcpListener, UdpSocket};

const PLATFORM: &str = "127.0.0.1:8065";

fn writer(folder: &tempfile::TempDir) -> SettingsWriter {
    SettingsWriter::new(folder.path(), PLATFORM.parse().unwrap())
}

fn plans() -> Vec<MachinePlan> {
    vec![
        MachinePlan::edge("zone-1"),
        MachinePlan::edge("zone-2"),
        MachinePlan::storage("zone-1"),
        MachinePlan::core("zone-1"),
        MachinePlan::core("zone-1"),
        MachinePlan::core("zone-2"),
        MachinePlan::core("zone-2"),
    ]
}

fn read(machine: &Machine) -> Value {
    let text = std::fs::read_to_string(machine.settings_path()).unwrap();
    serde_saphyr::from_str(&text).unwrap()
}

#[test]
fn a_settings_file_has_every_key() {
    let folder = tempfile::tempdir().unwrap();
    let machines = writer(&folder).write(&plans()).unwrap();
    let edge = read(&machines[0]);
    let keys: BTreeSet<&str> = edge.as_object().unwrap().keys().map(String::as_str).collect();
    let expected = [
        "nodeName",
        "role",
        "machineClass",
        "serves",
        "ip",
        "zone",
        "region",
        "zones",
        "bindAddrs",
        "ephemeralPorts",
        "seeds",
        "bootstrap",
        "countsForQuorum",
        "limits",
        "dataDir",
        "discovery",
        "entryPoint",
        "heartbeatMs",
        "invariants",
        "faultTolerance",
        "bounds",
        "cloudApi",
    ];
    assert_eq!(keys, BTreeSet::from(expected));
    assert_eq!(edge["nodeName"], json!("edge-zone-1-1"));
    assert_eq!(edge["machineClass"], json!("edge"));
    assert_eq!(edge["serves"], json!(["edge"]));
    assert_eq!(edge["zones"], json!({"zone-1": "region-1", "zone-2": "region-1"}));
    assert_eq!(edge["bootstrap"], json!(true));
    assert_eq!(edge["countsForQuorum"], json!(false));
    assert_eq!(edge["dataDir"], Value::Null);
    assert_eq!(edge["limits"]["memoryMb"], json!(260));
    assert_eq!(edge["faultTolerance"], json!({"machines": 1, "zones": 0, "regions": 0}));
    assert_eq!(edge["cloudApi"]["address"], json!(PLATFORM));
    assert_eq!(edge["bounds"].as_object().unwrap().len(), 19);
    assert_eq!(edge["bounds"]["statusTtlS"], json!(120.0));
    assert_eq!(edge["bounds"]["originOverage"], json!(1.1));
    let bound: BTreeSet<&str> = edge["bindAddrs"].as_object().unwrap().keys().map(String::as_str).collect();
    assert_eq!(bound, BTreeSet::from(["front", "readiness"]));
}

#[test]
fn machines_with_a_disk_have_a_folder_and_count() {
    let folder = tempfile::tempdir().unwrap();
    let machines = writer(&folder).write(&plans()).unwrap();
    let storage = read(&machines[2]);
    assert_eq!(storage["serves"], json!(["storage"]));
    assert_eq!(storage["bindAddrs"], json!({}));
    assert_eq!(storage["countsForQuorum"], json!(true));
    let data = machines[2].settings.data_dir.clone().unwrap();
    assert_eq!(storage["dataDir"], json!(data));
    std::fs::write(data.join("kept"), "x").unwrap();
    machines[2].wipe_disk().unwrap();
    assert_eq!(std::fs::read_dir(data).unwrap().count(), 0);
    machines[0].wipe_disk().unwrap();
}

#[test]
fn seeds_are_three_machines_that_serve_the_operator() {
    let folder = tempfile::tempdir().unwrap();
    let machines = writer(&folder).write(&plans()).unwrap();
    let cores: Vec<_> = machines[3..6].iter().map(|core| json!(core.control_plane().unwrap())).collect();
    for machine in &machines {
        assert_eq!(read(machine)["seeds"], json!(cores));
    }
    assert_eq!(machines[0].control_plane(), None);
    assert!(machines[0].front().is_some() && machines[0].readiness().is_some());
}

#[test]
fn an_edge_may_serve_the_operator_too() {
    let folder = tempfile::tempdir().unwrap();
    let machines = writer(&folder).write(&[MachinePlan::edge("zone-1").with_control()]).unwrap();
    assert_eq!(read(&machines[0])["serves"], json!(["edge", "control"]));
    assert_eq!(machines[0].settings.seeds, [machines[0].control_plane().unwrap()]);
}

#[test]
fn machines_with_own_addresses_have_the_same_ports() {
    let folder = tempfile::tempdir().unwrap();
    let machines = writer(&folder).write(&plans()).unwrap();
    let addresses: BTreeSet<_> = machines.iter().map(|machine| machine.settings.ip).collect();
    assert_eq!(addresses.len(), machines.len());
    let range = machines[0].settings.ephemeral_ports;
    assert!(machines.iter().all(|machine| machine.settings.ephemeral_ports == range));
    assert_eq!(machines[3].control_plane().unwrap().port(), machines[4].control_plane().unwrap().port());
    for machine in &machines {
        for port in range.first..=range.last {
            let address = SocketAddr::new(machine.settings.ip, port);
            TcpListener::bind(address).unwrap();
            UdpSocket::bind(address).unwrap();
        }
    }
}

#[test]
fn machines_with_own_ports_share_none() {
    let folder = tempfile::tempdir().unwrap();
    let machines = writer(&folder).with_addresses(AddressPlan::OwnPorts).write(&plans()).unwrap();
    let mut ports = BTreeSet::new();
    for machine in &machines {
        assert!(machine.settings.ip.is_loopback());
        let range = machine.settings.ephemeral_ports;
        assert_eq!(range.last - range.first + 1, 16);
        let named = [machine.front(), machine.readiness(), machine.control_plane()];
        let named = named.into_iter().flatten().map(|address| address.port());
        for port in (range.first..=range.last).chain(named) {
            assert!(ports.insert(port), "{port} is taken twice");
        }
    }
}

#[test]
fn settings_change_and_the_file_with_them() {
    let folder = tempfile::tempdir().unwrap();
    let tolerance = FaultTolerance { machines: 2, zones: 1, regions: 0 };
    let mut machines = writer(&folder).with_fault_tolerance(tolerance).write(&plans()).unwrap();
    machines[0].rewrite(|settings| settings.bootstrap = false).unwrap();
    let changed = read(&machines[0]);
    assert_eq!(changed["bootstrap"], json!(false));
    assert_eq!(changed["faultTolerance"]["machines"], json!(2));
}

#[test]
fn a_machine_joins_later() {
    let folder = tempfile::tempdir().unwrap();
    let mut writer = writer(&folder);
    let machines = writer.write(&plans()).unwrap();
    let joining = writer.write_joining(&MachinePlan::storage("zone-1"), &machines).unwrap();
    let settings = read(&joining);
    assert_eq!(settings["nodeName"], json!("storage-zone-1-2"));
    assert_eq!(settings["bootstrap"], json!(false));
    assert_eq!(settings["seeds"], read(&machines[0])["seeds"]);
    assert!(machines.iter().all(|machine| machine.settings.ip != joining.settings.ip));
}

#[test]
fn a_block_of_ports_is_held_by_one_at_a_time() {
    let first = PortBlock::reserve().unwrap();
    let second = PortBlock::reserve().unwrap();
    assert_ne!(first.internal(), second.internal());
    assert_ne!(first.named(0), second.named(0));
    assert_eq!(first.internal().first, first.named(15) + 1);
    assert_eq!(first.internal().last - first.internal().first + 1, 16);
}
