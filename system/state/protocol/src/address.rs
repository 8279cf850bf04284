//! A socket address with its encoding in messages.

use speedy::{Context, Readable, Reader, Writable, Writer};
use std::fmt;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};

/// A TCP or UDP address; encoded as its family (4 or 6, one byte), its octets as a little-endian number, and its port.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Address(pub SocketAddr);

const FAMILY_V4: u8 = 4;
const FAMILY_V6: u8 = 6;
/// Bytes of the shortest address: family, octets of IPv4, port.
const MIN_BYTES: usize = 1 + 4 + 2;

impl fmt::Display for Address {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

impl From<SocketAddr> for Address {
    fn from(address: SocketAddr) -> Self {
        Address(address)
    }
}

impl<'a, C: Context> Readable<'a, C> for Address {
    fn read_from<R: Reader<'a, C>>(reader: &mut R) -> Result<Self, C::Error> {
        let family: u8 = reader.read_value()?;
        let ip = if family == FAMILY_V6 {
            IpAddr::V6(Ipv6Addr::from(reader.read_value::<u128>()?))
        } else {
            IpAddr::V4(Ipv4Addr::from(reader.read_value::<u32>()?))
        };
        let port: u16 = reader.read_value()?;
        Ok(Address(SocketAddr::new(ip, port)))
    }

    /// Without it, a list of addresses with a false length would be allocated before it is read.
    fn minimum_bytes_needed() -> usize {
        MIN_BYTES
    }
}

impl<C: Context> Writable<C> for Address {
    fn write_to<T: ?Sized + Writer<C>>(&self, writer: &mut T) -> Result<(), C::Error> {
        match self.0.ip() {
            IpAddr::V4(ip) => {
                writer.write_value(&FAMILY_V4)?;
                writer.write_value(&u32::from(ip))?;
            }
            IpAddr::V6(ip) => {
                writer.write_value(&FAMILY_V6)?;
                writer.write_value(&u128::from(ip))?;
            }
        }
        writer.write_value(&self.0.port())
    }
}
