//! The address of a worker, with its encoding in messages.

use derive_more::{Deref, Display, From};
use serde::Deserialize;
use speedy::{Context, Readable, Reader, Writable, Writer};
use std::net::SocketAddr;

/// Where a worker listens. The address may belong to another worker later; [`InstanceId`](crate::InstanceId) is the
/// identity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Deref, Deserialize, Display, From)]
pub struct WorkerAddress(pub SocketAddr);

/// The encoding of an address.
#[derive(Readable, Writable)]
enum WireAddress {
    V4 { octets: [u8; 4], port: u16 },
    V6 { octets: [u8; 16], port: u16 },
}

impl From<WorkerAddress> for WireAddress {
    fn from(address: WorkerAddress) -> Self {
        match address.0 {
            SocketAddr::V4(v4) => Self::V4 { octets: v4.ip().octets(), port: v4.port() },
            SocketAddr::V6(v6) => Self::V6 { octets: v6.ip().octets(), port: v6.port() },
        }
    }
}

impl From<WireAddress> for WorkerAddress {
    fn from(address: WireAddress) -> Self {
        match address {
            WireAddress::V4 { octets, port } => Self(SocketAddr::new(octets.into(), port)),
            WireAddress::V6 { octets, port } => Self(SocketAddr::new(octets.into(), port)),
        }
    }
}

impl<'a, C: Context> Readable<'a, C> for WorkerAddress {
    fn read_from<R: Reader<'a, C>>(reader: &mut R) -> Result<Self, C::Error> {
        WireAddress::read_from(reader).map(Self::from)
    }

    fn minimum_bytes_needed() -> usize {
        <WireAddress as Readable<'a, C>>::minimum_bytes_needed()
    }
}

impl<C: Context> Writable<C> for WorkerAddress {
    fn write_to<W: ?Sized + Writer<C>>(&self, writer: &mut W) -> Result<(), C::Error> {
        WireAddress::from(*self).write_to(writer)
    }
}
