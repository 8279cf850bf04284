//! What the operating system says of a process: its connections and its memory.

use super::{Cluster, ClusterProcess};
use std::collections::BTreeSet;
use std::fs;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

/// State of an open connection in `/proc/net/tcp`.
const ESTABLISHED: &str = "01";
/// Columns of `/proc/net/tcp`.
const REMOTE_COLUMN: usize = 2;
const STATE_COLUMN: usize = 3;
const INODE_COLUMN: usize = 9;

/// An address as `/proc/net/tcp` writes it: the bytes of the address in the machine's order, and the port.
fn parse_address(text: &str) -> Option<SocketAddr> {
    let (address, port) = text.split_once(':')?;
    let address = Ipv4Addr::from(u32::from_str_radix(address, 16).ok()?.to_le_bytes());
    Some(SocketAddrV4::new(address, u16::from_str_radix(port, 16).ok()?).into())
}

/// Inodes of the sockets that a process has open.
fn sockets_of(id: u32) -> BTreeSet<String> {
    let descriptors = fs::read_dir(format!("/proc/{id}/fd")).expect("the process runs");
    let targets = descriptors.filter_map(|entry| fs::read_link(entry.ok()?.path()).ok());
    let inode = |target: std::path::PathBuf| {
        Some(target.to_str()?.strip_prefix("socket:[")?.strip_suffix(']')?.to_owned())
    };
    targets.filter_map(inode).collect()
}

impl Cluster {
    /// How many connections a process has open to an address.
    pub fn connections_to(&mut self, process: ClusterProcess, address: SocketAddr) -> usize {
        let id = self.process_id(process);
        let sockets = sockets_of(id);
        let table = fs::read_to_string(format!("/proc/{id}/net/tcp")).expect("the table of connections");
        let is_open_to = |line: &&str| {
            let columns: Vec<&str> = line.split_whitespace().collect();
            columns.len() > INODE_COLUMN
                && columns[STATE_COLUMN] == ESTABLISHED
                && sockets.contains(columns[INODE_COLUMN])
                && parse_address(columns[REMOTE_COLUMN]) == Some(address)
        };
        table.lines().filter(is_open_to).count()
    }

    /// Memory that a process uses (resident), in bytes.
    pub fn memory_of(&mut self, process: ClusterProcess) -> usize {
        let id = self.process_id(process);
        let status = fs::read_to_string(format!("/proc/{id}/status")).expect("the process runs");
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).expect("its memory");
        let kilobytes: usize = line.trim().trim_end_matches("kB").trim().parse().expect("a number");
        kilobytes << 10
    }
}
