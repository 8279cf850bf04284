//! Settings files for processes of the system on loopback.

mod machine;
mod model;

pub use machine::{Machine, MachinePlan};
pub use model::{
    BindAddresses, Bounds, CloudApi, FaultTolerance, MachineClass, MachineLimits, ProcessSettings, Serves,
};

use crate::identity::{NodeName, ZoneName};
use crate::ports::{PortBlock, PortError};
use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use thiserror::Error;

const REGION: &str = "region-1";
/// At most so many seeds are given.
const SEEDS: usize = 3;
/// Own addresses begin after 127.0.1.0; some systems keep 127.0.0.x for themselves.
const FIRST_OWN_ADDRESS: u16 = 0x0100;
const FRONT_PORT: u16 = 0;
const READINESS_PORT: u16 = 1;
const CONTROL_PORT: u16 = 2;

/// Why settings could not be written.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// No ports could be had.
    #[error("no ports for a machine")]
    Ports(#[from] PortError),
    /// A file or folder could not be changed.
    #[error("cannot write {path}")]
    Write {
        /// The file or folder.
        path: PathBuf,
        /// What the machine said.
        source: io::Error,
    },
    /// The settings could not be written as YAML.
    #[error("the settings are not valid YAML")]
    Yaml(#[from] serde_saphyr::ser::Error),
}

/// Which addresses the machines get.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum AddressPlan {
    /// Each machine has an address of its own in 127.0.0.0/8, and the ports are the same on all, as in a deployment.
    /// Linux only.
    #[default]
    OwnAddress,
    /// All machines share 127.0.0.1, and each has ports of its own.
    OwnPorts,
}

/// Writes the settings of the machines of one deployment into a folder.
#[derive(Debug)]
pub struct SettingsWriter {
    folder: PathBuf,
    addresses: AddressPlan,
    cloud_api: CloudApi,
    bounds: Bounds,
    fault_tolerance: FaultTolerance,
    machines_written: u16,
    ports: Option<Arc<PortBlock>>,
}

impl SettingsWriter {
    /// A writer into a folder, for machines that read the list at `platform`.
    pub fn new(folder: &Path, platform: SocketAddr) -> Self {
        Self {
            folder: folder.to_owned(),
            addresses: AddressPlan::default(),
            cloud_api: CloudApi::at(platform),
            bounds: Bounds::default(),
            fault_tolerance: FaultTolerance::default(),
            machines_written: 0,
            ports: None,
        }
    }

    /// With other addresses.
    pub fn with_addresses(mut self, addresses: AddressPlan) -> Self {
        self.addresses = addresses;
        self
    }

    /// With other figures for the list.
    pub fn with_cloud_api(mut self, cloud_api: CloudApi) -> Self {
        self.cloud_api = cloud_api;
        self
    }

    /// With other figures for the rules.
    pub fn with_bounds(mut self, bounds: Bounds) -> Self {
        self.bounds = bounds;
        self
    }

    /// With another tolerance of faults.
    pub fn with_fault_tolerance(mut self, fault_tolerance: FaultTolerance) -> Self {
        self.fault_tolerance = fault_tolerance;
        self
    }

    /// Writes the settings for the first start of the whole system.
    ///
    /// # Errors
    /// If there are no ports, or a file cannot be written.
    pub fn write(&mut self, plans: &[MachinePlan]) -> Result<Vec<Machine>, SettingsError> {
        let zones = plans.iter().map(|plan| (plan.zone.clone(), REGION.to_owned())).collect();
        let mut machines = Vec::new();
        for plan in plans {
            let machine = self.place(plan, &zones, &machines)?;
            machines.push(machine);
        }
        let seeds = seeds_of(&machines);
        for machine in &mut machines {
            machine.rewrite(|settings| settings.seeds = seeds.clone())?;
        }
        Ok(machines)
    }

    /// Writes the settings of a machine that joins the others later, with an empty disk.
    ///
    /// # Errors
    /// If there are no ports, or a file cannot be written.
    pub fn write_joining(
        &mut self,
        plan: &MachinePlan,
        others: &[Machine],
    ) -> Result<Machine, SettingsError> {
        let mut zones: BTreeMap<ZoneName, String> =
            others.iter().flat_map(|machine| machine.settings.zones.clone()).collect();
        zones.insert(plan.zone.clone(), REGION.to_owned());
        let mut machine = self.place(plan, &zones, others)?;
        machine.rewrite(|settings| {
            settings.seeds = seeds_of(others);
            settings.bootstrap = false;
        })?;
        Ok(machine)
    }

    fn place(
        &mut self,
        plan: &MachinePlan,
        zones: &BTreeMap<ZoneName, String>,
        others: &[Machine],
    ) -> Result<Machine, SettingsError> {
        let ports = self.ports_of_machine()?;
        self.machines_written += 1;
        let ip = self.ip_of_machine();
        let node_name = name_of(plan, others);
        let data_dir = plan.class.has_disk().then(|| self.folder.join(format!("{node_name}.data")));
        let settings = ProcessSettings {
            role: plan.class.name().to_owned(),
            machine_class: plan.class,
            serves: plan.serves.clone(),
            ip,
            zone: plan.zone.clone(),
            region: REGION.to_owned(),
            zones: zones.clone(),
            bind_addrs: bind_addresses(&plan.serves, ip, &ports),
            ephemeral_ports: ports.internal(),
            seeds: Vec::new(),
            bootstrap: true,
            counts_for_quorum: plan.class.has_disk(),
            limits: MachineLimits::of(plan.class),
            data_dir,
            discovery: "cloud_api".to_owned(),
            entry_point: "virtual_ip".to_owned(),
            heartbeat_ms: 1200,
            invariants: ["base", "drain", "config", "cost", "ingest", "recover"].map(str::to_owned).to_vec(),
            fault_tolerance: self.fault_tolerance,
            bounds: self.bounds,
            cloud_api: self.cloud_api.clone(),
            node_name,
        };
        Machine::create(&self.folder, settings, ports)
    }

    fn ports_of_machine(&mut self) -> Result<Arc<PortBlock>, SettingsError> {
        if let (AddressPlan::OwnAddress, Some(ports)) = (self.addresses, &self.ports) {
            return Ok(ports.clone());
        }
        let ports = Arc::new(PortBlock::reserve()?);
        self.ports = Some(ports.clone());
        Ok(ports)
    }

    fn ip_of_machine(&self) -> IpAddr {
        match self.addresses {
            AddressPlan::OwnPorts => IpAddr::V4(Ipv4Addr::LOCALHOST),
            AddressPlan::OwnAddress => {
                let [high, low] = (FIRST_OWN_ADDRESS + self.machines_written).to_be_bytes();
                IpAddr::V4(Ipv4Addr::new(127, 0, high, low))
            }
        }
    }
}

fn name_of(plan: &MachinePlan, others: &[Machine]) -> NodeName {
    let alike = |machine: &&Machine| {
        machine.settings.machine_class == plan.class && machine.settings.zone == plan.zone
    };
    let number = others.iter().filter(alike).count() + 1;
    NodeName::new(format!("{}-{}-{number}", plan.class, plan.zone))
}

fn seeds_of(machines: &[Machine]) -> Vec<SocketAddr> {
    machines.iter().filter_map(Machine::control_plane).take(SEEDS).collect()
}

fn bind_addresses(serves: &[Serves], ip: IpAddr, ports: &PortBlock) -> BindAddresses {
    let named = |index| SocketAddr::new(ip, ports.named(index));
    let edge = serves.contains(&Serves::Edge);
    let control = serves.contains(&Serves::Control);
    BindAddresses {
        front: edge.then(|| named(FRONT_PORT)),
        readiness: edge.then(|| named(READINESS_PORT)),
        control_plane: control.then(|| named(CONTROL_PORT)),
    }
}
