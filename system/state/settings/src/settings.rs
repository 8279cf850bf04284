//! The validated settings of a process.

use crate::bounds::Bounds;
use crate::document::{BindAddressesDocument, CloudApiDocument, FaultToleranceDocument};
use crate::error::SettingsError;
use crate::limits::Limits;
use crate::names::{NodeName, Region, Zone};
use crate::ports::PortRange;
use crate::reader::{read_document, Validator};
use derive_more::Display;
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::fs::File;
use std::io::Read;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Environment variable that names the settings file of a process.
pub const VARIABLE: &str = "MILLRUDDER_SETTINGS";

/// Maximum length of a file, in bytes: settings take a few thousand, and a wrong path may name anything.
const MAX_FILE_BYTES: u64 = 1 << 20;

/// Rate limit of calls to the platform's worker list, per second by all processes together, when the file names none: safe
/// for a short list.
const DEFAULT_CALLS_PER_SECOND: f64 = 10.0;

/// Maximum lag of the platform's worker list when the file names none.
const DEFAULT_LIST_LAG: Duration = Duration::from_millis(1_000);

/// Machines that may be lost at one time when the file names no number: data is on two disks.
const DEFAULT_TOLERATED_MACHINES: u32 = 1;

/// What a role serves: callers from outside, or, for storage, data on its machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize, Display)]
#[serde(rename_all = "lowercase")]
#[display(rename_all = "lowercase")]
pub enum Serves {
    /// Clients.
    Edge,
    /// Nobody outside; the machine's disk stores data.
    Storage,
    /// Workers and the operator.
    Control,
}

/// Addresses on which a process listens for callers from outside.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BindAddresses {
    /// Requests of clients.
    pub front: Option<SocketAddr>,
    /// The platform's readiness checks.
    pub readiness: Option<SocketAddr>,
    /// The operator's API.
    pub control_plane: Option<SocketAddr>,
}

/// Losses at one time that the system must tolerate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FaultTolerance {
    /// Machines that count for a quorum.
    pub machines: u32,
    /// Zones.
    pub zones: u32,
    /// Regions.
    pub regions: u32,
}

/// The platform's API that lists workers.
#[derive(Clone, Debug, PartialEq)]
pub struct CloudApi {
    /// Its address.
    pub address: SocketAddr,
    /// Rate limit: calls per second by all processes together.
    pub calls_per_second: f64,
    /// Maximum lag of the list behind the workers' true state.
    pub maximum_lag: Duration,
}

/// Validated settings of one process.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The machine's name.
    pub node_name: NodeName,
    /// The role's name in the deploy file; empty if not given.
    pub role: String,
    /// The class of machine; empty if not given.
    pub machine_class: String,
    /// What the role serves.
    pub serves: BTreeSet<Serves>,
    /// The machine's address.
    pub ip: IpAddr,
    /// The machine's zone.
    pub zone: Zone,
    /// The machine's region.
    pub region: Region,
    /// All zones of the deployment with their regions.
    pub zones: BTreeMap<Zone, Region>,
    /// Addresses for callers from outside.
    pub bind: BindAddresses,
    /// Ports for connections between the processes of the system, free on every machine.
    pub ephemeral_ports: PortRange,
    /// `controlPlane` addresses of a few machines, possibly stale.
    pub seeds: Vec<SocketAddr>,
    /// True only on the first start of the whole system, with empty disks.
    pub bootstrap: bool,
    /// Whether this machine is among those that [`FaultTolerance::machines`] speaks of.
    pub counts_for_quorum: bool,
    /// Resources that the process may use.
    pub limits: Limits,
    /// Folder for data; none on machines without a disk.
    pub data_dir: Option<PathBuf>,
    /// Interval of heartbeats; above 0.
    pub heartbeat: Duration,
    /// Losses at one time that the system must tolerate.
    pub fault_tolerance: FaultTolerance,
    /// Limits by which the system's rules are judged.
    pub bounds: Bounds,
    /// The platform's API that lists workers, if there is one.
    pub cloud_api: Option<CloudApi>,
}

impl Settings {
    /// Minimum number of members with which the core may continue: one more than may be lost, so that what is
    /// acknowledged survives each loss.
    ///
    /// `members` is the number of members of an existing core. One that was bootstrapped with fewer stays as it is. The
    /// number of machines that respond at present must not be passed here.
    pub fn min_core_members(&self, members: Option<usize>) -> usize {
        let target = self.fault_tolerance.machines as usize + 1;
        members.map_or(target, |members| target.min(members.max(1)))
    }

    /// Reads and validates a file. It blocks, and so is not for tasks of an executor.
    ///
    /// # Errors
    /// The file cannot be read or is too long, and as for [`Settings::parse`].
    pub fn load(file: &Path) -> Result<Self, SettingsError> {
        let text = read_bounded(file)?;
        Self::parse(&text, file)
    }

    /// Validates the text of a file; `file` is its name for errors.
    ///
    /// # Errors
    /// The text is not YAML, a key without a default is missing, a value is invalid, or something that the role serves
    /// lacks its address or folder.
    pub fn parse(text: &str, file: &Path) -> Result<Self, SettingsError> {
        let document = read_document(text, file)?;
        Validator::new(file).settings(document)
    }
}

fn read_bounded(file: &Path) -> Result<String, SettingsError> {
    let unreadable = |source| SettingsError::Unreadable { file: file.to_owned(), source };
    let opened = File::open(file).map_err(unreadable)?;
    let mut text = String::new();
    opened.take(MAX_FILE_BYTES + 1).read_to_string(&mut text).map_err(unreadable)?;
    let bytes = text.len() as u64;
    if bytes > MAX_FILE_BYTES {
        return Err(SettingsError::TooLong { file: file.to_owned(), bytes, max: MAX_FILE_BYTES });
    }
    Ok(text)
}

impl From<BindAddressesDocument> for BindAddresses {
    fn from(document: BindAddressesDocument) -> Self {
        Self { front: document.front, readiness: document.readiness, control_plane: document.control_plane }
    }
}

impl From<FaultToleranceDocument> for FaultTolerance {
    fn from(document: FaultToleranceDocument) -> Self {
        Self {
            machines: document.machines.unwrap_or(DEFAULT_TOLERATED_MACHINES),
            zones: document.zones.unwrap_or(0),
            regions: document.regions.unwrap_or(0),
        }
    }
}

impl CloudApi {
    /// `None` where no address is given, as when the key is empty.
    pub(crate) fn from_document(document: CloudApiDocument) -> Option<Self> {
        let address = document.address?;
        let rate = document.rate_per_s.map(|rate| rate.0).filter(|rate| *rate > 0.0);
        let lag = document.max_lag_ms.map(|lag| lag.0);
        Some(Self {
            address,
            calls_per_second: rate.unwrap_or(DEFAULT_CALLS_PER_SECOND),
            maximum_lag: lag.unwrap_or(DEFAULT_LIST_LAG),
        })
    }
}
