//! The difference between two versions of a settings file.

use crate::settings::Settings;
use derive_more::Display;

/// A top-level key of the file, displayed as it is written there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
#[display(rename_all = "camelCase")]
#[allow(missing_docs, reason = "each is the key of the field of the same name of `Settings`")]
pub enum SettingsKey {
    NodeName,
    Role,
    MachineClass,
    Serves,
    Ip,
    Zone,
    Region,
    Zones,
    BindAddrs,
    EphemeralPorts,
    Seeds,
    Bootstrap,
    CountsForQuorum,
    Limits,
    DataDir,
    HeartbeatMs,
    FaultTolerance,
    Bounds,
    CloudApi,
}

/// The keys whose values differ, in the order of the file.
pub fn difference(old: &Settings, new: &Settings) -> Vec<SettingsKey> {
    let compared = [
        (SettingsKey::NodeName, old.node_name != new.node_name),
        (SettingsKey::Role, old.role != new.role),
        (SettingsKey::MachineClass, old.machine_class != new.machine_class),
        (SettingsKey::Serves, old.serves != new.serves),
        (SettingsKey::Ip, old.ip != new.ip),
        (SettingsKey::Zone, old.zone != new.zone),
        (SettingsKey::Region, old.region != new.region),
        (SettingsKey::Zones, old.zones != new.zones),
        (SettingsKey::BindAddrs, old.bind != new.bind),
        (SettingsKey::EphemeralPorts, old.ephemeral_ports != new.ephemeral_ports),
        (SettingsKey::Seeds, old.seeds != new.seeds),
        (SettingsKey::Bootstrap, old.bootstrap != new.bootstrap),
        (SettingsKey::CountsForQuorum, old.counts_for_quorum != new.counts_for_quorum),
        (SettingsKey::Limits, old.limits != new.limits),
        (SettingsKey::DataDir, old.data_dir != new.data_dir),
        (SettingsKey::HeartbeatMs, old.heartbeat != new.heartbeat),
        (SettingsKey::FaultTolerance, old.fault_tolerance != new.fault_tolerance),
        (SettingsKey::Bounds, old.bounds != new.bounds),
        (SettingsKey::CloudApi, old.cloud_api != new.cloud_api),
    ];
    let differing = compared.into_iter().filter(|(_, is_different)| *is_different);
    differing.map(|(key, _)| key).collect()
}
