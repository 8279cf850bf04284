//! The file as it is written: every key may be absent or empty, and has the platform's name.

use crate::names::{NodeName, Region, Zone};
use crate::ports::PortRange;
use crate::settings::Serves;
use crate::values::{Megabytes, Milliseconds, NonNegative, PositiveMilliseconds, Seconds};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;

/// The whole file.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct Document {
    pub node_name: Option<NodeName>,
    pub role: Option<String>,
    pub machine_class: Option<String>,
    pub serves: Option<Vec<Serves>>,
    pub ip: Option<IpAddr>,
    pub zone: Option<Zone>,
    pub region: Option<Region>,
    pub zones: Option<BTreeMap<Zone, Region>>,
    pub bind_addrs: Option<BindAddressesDocument>,
    pub ephemeral_ports: Option<PortRange>,
    pub seeds: Option<Vec<SocketAddr>>,
    pub bootstrap: Option<bool>,
    pub counts_for_quorum: Option<bool>,
    pub limits: Option<LimitsDocument>,
    pub data_dir: Option<PathBuf>,
    pub heartbeat_ms: Option<PositiveMilliseconds>,
    pub fault_tolerance: Option<FaultToleranceDocument>,
    pub bounds: Option<BoundsDocument>,
    pub cloud_api: Option<CloudApiDocument>,
}

/// `bindAddrs`.
#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct BindAddressesDocument {
    pub front: Option<SocketAddr>,
    pub readiness: Option<SocketAddr>,
    pub control_plane: Option<SocketAddr>,
}

/// `limits`.
#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct LimitsDocument {
    pub cpu_share: Option<NonNegative>,
    pub cores: Option<NonNegative>,
    pub memory_mb: Option<Megabytes>,
    pub max_fds: Option<u32>,
    pub link_mbps: Option<NonNegative>,
    pub disk_mb: Option<Megabytes>,
}

/// `faultTolerance`.
#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct FaultToleranceDocument {
    pub machines: Option<u32>,
    pub zones: Option<u32>,
    pub regions: Option<u32>,
}

/// `bounds`.
#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct BoundsDocument {
    pub seed_lag_s: Option<Seconds>,
    pub addr_reuse_s: Option<Seconds>,
    pub liveness_ms: Option<Milliseconds>,
    pub ack_ms: Option<Milliseconds>,
    pub catch_up_s: Option<Seconds>,
    pub drain_ms: Option<Milliseconds>,
    pub grace_s: Option<Seconds>,
    pub loss_slack_ms: Option<Milliseconds>,
    pub config_apply_ms: Option<Milliseconds>,
    pub rollback_slack_ms: Option<Milliseconds>,
    pub max_skew_ms: Option<Milliseconds>,
    pub recovery_s: Option<Seconds>,
    pub completion_s: Option<Seconds>,
    pub status_ttl_s: Option<Seconds>,
    pub callback_timeout_s: Option<Seconds>,
    pub visibility_ms: Option<Milliseconds>,
    pub early_tolerance_ms: Option<Milliseconds>,
    pub ceiling_window_s: Option<Seconds>,
    pub origin_overage: Option<NonNegative>,
}

/// `cloudApi`.
#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct CloudApiDocument {
    pub address: Option<SocketAddr>,
    pub rate_per_s: Option<NonNegative>,
    pub max_lag_ms: Option<Milliseconds>,
}
