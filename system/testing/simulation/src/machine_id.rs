//! Identifiers of simulated machines, and their addresses.

use millrudder_protocol::Address;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// Port of every internal address.
const PORT: u16 = 9000;

/// A simulated machine, by kind and index, or an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MachineId {
    /// A core machine.
    Core(usize),
    /// A store.
    Store(usize),
    /// A dispatcher.
    Dispatcher(usize),
    /// An operator, who reaches core machines outside the simulated network.
    Operator(usize),
}

impl MachineId {
    /// The machine's internal address; `generation` counts its replacements by machines at other addresses.
    pub fn address(self, generation: u8) -> SocketAddr {
        let (kind, index) = match self {
            MachineId::Core(index) => (1, index),
            MachineId::Store(index) => (2, index),
            MachineId::Dispatcher(index) => (3, index),
            MachineId::Operator(index) => (4, index),
        };
        let octets = Ipv4Addr::new(10, kind, generation, index as u8);
        SocketAddr::new(IpAddr::V4(octets), PORT)
    }

    /// The internal address in the form that messages contain.
    pub fn wire_address(self, generation: u8) -> Address {
        Address(self.address(generation))
    }

    /// Whether the machine has a disk with replicated data.
    pub fn has_disk(self) -> bool {
        matches!(self, MachineId::Core(_) | MachineId::Store(_))
    }

    /// The machine's zone.
    pub fn zone(self) -> String {
        let index = match self {
            MachineId::Core(index)
            | MachineId::Store(index)
            | MachineId::Dispatcher(index)
            | MachineId::Operator(index) => index,
        };
        format!("zone-{index}")
    }
}
