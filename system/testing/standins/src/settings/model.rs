//! The settings file of a process, with the figures of a small deployment.

use crate::identity::{NodeName, ZoneName};
use crate::ports::PortRange;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;

/// The class of a machine.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum MachineClass {
    /// Clients reach it; it has no disk.
    Edge,
    /// Small, few, with a disk.
    Core,
    /// Keeps the data.
    Storage,
}

impl MachineClass {
    /// Its name in the settings.
    pub fn name(self) -> &'static str {
        match self {
            MachineClass::Edge => "edge",
            MachineClass::Core => "core",
            MachineClass::Storage => "storage",
        }
    }

    /// Whether its machines have a disk, and count for the quorum.
    pub fn has_disk(self) -> bool {
        self != MachineClass::Edge
    }
}

impl fmt::Display for MachineClass {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

/// Who may call a process from outside.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Serves {
    /// Clients.
    Edge,
    /// The operator.
    Control,
    /// Nobody; its machine keeps data.
    Storage,
}

/// The settings file of a process.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct ProcessSettings {
    /// The machine's name.
    pub node_name: NodeName,
    /// The role that the deploy file gives the process.
    pub role: String,
    /// The class of its machine.
    pub machine_class: MachineClass,
    /// Who may call it from outside.
    pub serves: Vec<Serves>,
    /// The machine's address.
    pub ip: IpAddr,
    /// Where the machine stands.
    pub zone: ZoneName,
    /// The region of its zone.
    pub region: String,
    /// The region of each zone.
    pub zones: BTreeMap<ZoneName, String>,
    /// The addresses for what it serves.
    pub bind_addrs: BindAddresses,
    /// Ports for processes to talk to each other.
    pub ephemeral_ports: PortRange,
    /// Up to three machines that serve the operator.
    pub seeds: Vec<SocketAddr>,
    /// Whether this is the first start of the whole system.
    pub bootstrap: bool,
    /// Whether the machine counts for the tolerance of faults.
    pub counts_for_quorum: bool,
    /// What the process may use.
    pub limits: MachineLimits,
    /// The machine's disk, where it has one.
    pub data_dir: Option<PathBuf>,
    /// How workers are found.
    pub discovery: String,
    /// How clients come in.
    pub entry_point: String,
    /// Unexplained in the protocol.
    pub heartbeat_ms: u64,
    /// The parts of the rules in force.
    pub invariants: Vec<String>,
    /// What may be lost at one time.
    pub fault_tolerance: FaultTolerance,
    /// The figures of the rules.
    pub bounds: Bounds,
    /// Where the platform's list is.
    pub cloud_api: CloudApi,
}

/// The addresses for what a process serves.
#[derive(Clone, Copy, Debug, Default, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct BindAddresses {
    /// For clients.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub front: Option<SocketAddr>,
    /// For the platform's question whether it is ready.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub readiness: Option<SocketAddr>,
    /// For the operator.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub control_plane: Option<SocketAddr>,
}

/// What a process may use.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct MachineLimits {
    /// Share of a core.
    pub cpu_share: f64,
    /// Cores.
    pub cores: u32,
    /// Memory in MB.
    pub memory_mb: u32,
    /// Descriptors.
    pub max_fds: u32,
    /// The machine's link in Mbit/s.
    pub link_mbps: f64,
    /// Disk in MB; 0 where there is none.
    pub disk_mb: u32,
}

impl MachineLimits {
    /// The limits of a class in a small deployment.
    pub fn of(class: MachineClass) -> Self {
        let (cpu_share, memory_mb, max_fds, link_mbps, disk_mb) = match class {
            MachineClass::Edge => (0.25, 260, 4_100, 1_000.0, 0),
            MachineClass::Core => (0.6, 256, 4_096, 1_000.0, 128),
            MachineClass::Storage => (0.5, 280, 8_200, 600.0, 400),
        };
        Self { cpu_share, cores: 1, memory_mb, max_fds, link_mbps, disk_mb }
    }
}

/// What may be lost at one time.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct FaultTolerance {
    /// Machines that count for the quorum.
    pub machines: u32,
    /// Zones.
    pub zones: u32,
    /// Regions.
    pub regions: u32,
}

impl Default for FaultTolerance {
    fn default() -> Self {
        Self { machines: 1, zones: 0, regions: 0 }
    }
}

/// The figures of the rules.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct Bounds {
    /// How far the operator's list of dispatchers lags.
    pub seed_lag_s: f64,
    /// After a worker's end its address may be used again.
    pub addr_reuse_s: f64,
    /// Calm needed for a machine to be in touch.
    pub liveness_ms: u64,
    /// For an order of the operator.
    pub ack_ms: u64,
    /// For a machine after its return.
    pub catch_up_s: f64,
    /// For a worker's draining to be followed.
    pub drain_ms: u64,
    /// Between SIGTERM and SIGKILL.
    pub grace_s: f64,
    /// For a request before it may be lost.
    pub loss_slack_ms: u64,
    /// For a configuration to come into force.
    pub config_apply_ms: u64,
    /// For an older configuration to be used.
    pub rollback_slack_ms: u64,
    /// Added to the above while the core is unstable.
    pub max_skew_ms: u64,
    /// For service after the final fault.
    pub recovery_s: f64,
    /// For accepted messages once traffic has ended.
    pub completion_s: f64,
    /// For the state of a message after its end.
    #[serde(rename = "statusTtlS")]
    pub status_ttl_s: f64,
    /// For a call-back after the success.
    pub callback_timeout_s: f64,
    /// Unexplained in the protocol.
    pub visibility_ms: u64,
    /// How early a delayed message may run.
    pub early_tolerance_ms: u64,
    /// The span in which a rate is counted.
    pub ceiling_window_s: f64,
    /// By what a rate may be passed in that span.
    pub origin_overage: f64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            seed_lag_s: 3.0,
            addr_reuse_s: 2.0,
            liveness_ms: 4_000,
            ack_ms: 5_000,
            catch_up_s: 4.5,
            drain_ms: 3_000,
            grace_s: 6.0,
            loss_slack_ms: 200,
            config_apply_ms: 3_000,
            rollback_slack_ms: 250,
            max_skew_ms: 12_000,
            recovery_s: 12.0,
            completion_s: 10.0,
            status_ttl_s: 120.0,
            callback_timeout_s: 5.0,
            visibility_ms: 3_000,
            early_tolerance_ms: 100,
            ceiling_window_s: 5.0,
            origin_overage: 1.1,
        }
    }
}

/// Where the platform's list is.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct CloudApi {
    /// Its address.
    pub address: SocketAddr,
    /// Calls a second from all dispatchers together.
    pub rate_per_s: f64,
    /// Empty here.
    pub duties: Vec<String>,
    /// How far the list runs behind, in ms.
    pub max_lag_ms: u64,
}

impl CloudApi {
    /// The list at an address, with the figures of a small deployment.
    pub fn at(address: SocketAddr) -> Self {
        Self { address, rate_per_s: 44.0, duties: Vec::new(), max_lag_ms: 800 }
    }
}
