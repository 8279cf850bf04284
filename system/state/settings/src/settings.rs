//! The settings of a process, checked.

use crate::bounds::Bounds;
use crate::document::{BindAddressesDocument, CloudApiDocument, FaultToleranceDocument};
use crate::error::SettingsError;
use crate::limits::Limits;
use crate::names::{NodeName, Region, Zone};
use crate::ports::PortRange;
use crate::reader::{read_document, Reader};
use derive_more::Display;
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::fs::File;
use std::io::Read;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Variable that names the settings file of a process.
pub const VARIABLE: &str = "MILLRUDDER_SETTINGS";

/// Longest file that is read, in bytes: settings take a few thousand, and a wrong path may name anything.
const LONGEST_FILE_BYTES: u64 = 1 << 20;

/// Calls to the platform's list a second, over all processes, when the file names none: safe for a short list.
const DEFAULT_CALLS_PER_SECOND: f64 = 10.0;

/// How far the platform's list lags when the file names nothing.
const DEFAULT_LIST_LAG: Duration = Duration::from_millis(1_000);

/// Machines that may be lost at one time when the file does not tell: data lies on two disks.
const DEFAULT_TOLERATED_MACHINES: u32 = 1;

/// What a role serves to callers from outside, or, for storage, that its machine keeps data.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize, Display)]
#[serde(rename_all = "lowercase")]
#[display(rename_all = "lowercase")]
pub enum Serves {
    /// Clients.
    Edge,
    /// Nobody outside; data is kept on the machine's disk.
    Storage,
    /// Workers and the operator.
    Control,
}

/// Addresses on which a process listens for callers from outside.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BindAddresses {
    /// Requests of clients.
    pub front: Option<SocketAddr>,
    /// The platform's question whether the process is ready.
    pub readiness: Option<SocketAddr>,
    /// The operator's API.
    pub control_plane: Option<SocketAddr>,
}

/// What may be lost at one time while every rule is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FaultTolerance {
    /// Machines that count for a quorum.
    pub machines: u32,
    /// Zones.
    pub zones: u32,
    /// Regions.
    pub regions: u32,
}

/// The platform's list of workers.
#[derive(Clone, Debug, PartialEq)]
pub struct CloudApi {
    /// Where it is called.
    pub address: SocketAddr,
    /// Calls a second that all processes together may make.
    pub calls_per_second: f64,
    /// How far the list lags behind at most.
    pub maximum_lag: Duration,
}

/// Settings of one process, read and checked.
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
    /// Ports for talk between the processes of the system, free on every machine.
    pub ephemeral_ports: PortRange,
    /// `controlPlane` addresses of a few machines, possibly stale.
    pub seeds: Vec<SocketAddr>,
    /// True only on the first start of the whole system, with empty disks.
    pub bootstrap: bool,
    /// Whether this machine is among those that [`FaultTolerance::machines`] speaks of.
    pub counts_for_quorum: bool,
    /// What the process may use.
    pub limits: Limits,
    /// Folder for data; none on machines without a disk.
    pub data_dir: Option<PathBuf>,
    /// Time between signs of life; above 0.
    pub heartbeat: Duration,
    /// What may be lost at one time.
    pub fault_tolerance: FaultTolerance,
    /// Figures of the rules in force.
    pub bounds: Bounds,
    /// The platform's list of workers, if there is one.
    pub cloud_api: Option<CloudApi>,
}

impl Settings {
    /// Members of the smallest core that may go on alone: one more than may be lost, so that what is acknowledged
    /// outlives each loss. A core that was founded with fewer, `members` of them, stays as it is; how many machines
    /// answer at the moment must not count.
    pub fn smallest_core(&self, members: Option<usize>) -> usize {
        let wanted = self.fault_tolerance.machines as usize + 1;
        members.map_or(wanted, |members| wanted.min(members.max(1)))
    }

    /// Reads and checks a file. It blocks: not for tasks of an executor.
    ///
    /// # Errors
    /// The file cannot be read or is too long, and as for [`Settings::parse`].
    pub fn load(file: &Path) -> Result<Self, SettingsError> {
        let text = read_bounded(file)?;
        Self::parse(&text, file)
    }

    /// Checks the text of a file; `file` is its name for errors.
    ///
    /// # Errors
    /// The text is no YAML, a key without a default is missing, a value cannot be used, or something that the
    /// role serves lacks its address or folder.
    pub fn parse(text: &str, file: &Path) -> Result<Self, SettingsError> {
        let document = read_document(text, file)?;
        Reader::new(file).settings(document)
    }
}

fn read_bounded(file: &Path) -> Result<String, SettingsError> {
    let unreadable = |source| SettingsError::Unreadable { file: file.to_owned(), source };
    let opened = File::open(file).map_err(unreadable)?;
    let mut text = String::new();
    opened.take(LONGEST_FILE_BYTES + 1).read_to_string(&mut text).map_err(unreadable)?;
    let bytes = text.len() as u64;
    if bytes > LONGEST_FILE_BYTES {
        return Err(SettingsError::TooLong { file: file.to_owned(), bytes, most: LONGEST_FILE_BYTES });
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
    /// None where no address is given, as when the key is empty.
    pub(crate) fn from_document(document: CloudApiDocument) -> Option<Self> {
        let address = document.address?;
        let rate = document.rate_per_s.map(|amount| amount.0).filter(|rate| *rate > 0.0);
        let lag = document.max_lag_ms.map(|lag| lag.0);
        Some(Self {
            address,
            calls_per_second: rate.unwrap_or(DEFAULT_CALLS_PER_SECOND),
            maximum_lag: lag.unwrap_or(DEFAULT_LIST_LAG),
        })
    }
}
