//! Where things happen: machines by kind and number, and their addresses.

use millrudder_protocol::Address;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// Port of every internal address.
const PORT: u16 = 9000;

/// A machine, or an operator's desk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Place {
    Core(usize),
    Store(usize),
    Dispatcher(usize),
    Operator(usize),
}

impl Place {
    /// Internal address of the machine; `generation` counts its replacements by machines at other addresses.
    pub fn address(self, generation: u8) -> SocketAddr {
        let (kind, index) = match self {
            Place::Core(index) => (1, index),
            Place::Store(index) => (2, index),
            Place::Dispatcher(index) => (3, index),
            Place::Operator(index) => (4, index),
        };
        let octets = Ipv4Addr::new(10, kind, generation, index as u8);
        SocketAddr::new(IpAddr::V4(octets), PORT)
    }

    /// The same as it travels in messages.
    pub fn wire_address(self, generation: u8) -> Address {
        Address(self.address(generation))
    }

    /// Whether the machine has a disk that others rely on.
    pub fn has_disk(self) -> bool {
        matches!(self, Place::Core(_) | Place::Store(_))
    }

    /// Zone of the machine.
    pub fn zone(self) -> String {
        let index = match self {
            Place::Core(index) | Place::Store(index) | Place::Dispatcher(index) | Place::Operator(index) => {
                index
            }
        };
        format!("zone-{index}")
    }
}
