//! Which core machine is where.

use millrudder_chain::{NodeId, View};
use millrudder_staleness::ConnectionId;
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};

/// Identities and addresses of the other core machines, as far as they are known.
#[derive(Default)]
pub struct PeerDirectory {
    /// Who opened which connection.
    by_connection: BTreeMap<ConnectionId, NodeId>,
    addresses: BTreeMap<NodeId, SocketAddr>,
}

impl PeerDirectory {
    /// A core machine has said on its connection who it is and where it listens.
    pub fn introduce(&mut self, connection: ConnectionId, id: NodeId, address: SocketAddr) {
        self.by_connection.insert(connection, id);
        self.addresses.insert(id, address);
    }

    /// A connection has ended.
    pub fn close(&mut self, connection: ConnectionId) {
        self.by_connection.remove(&connection);
    }

    /// Takes over the addresses of a view's voters, and returns them.
    pub fn add_voters(&mut self, view: &View) -> Vec<SocketAddr> {
        let mut added = Vec::new();
        for voter in &view.voters {
            if let Ok(address) = voter.address.parse() {
                self.addresses.insert(voter.id, address);
                added.push(address);
            }
        }
        added
    }

    /// The core machine that opened a connection.
    pub fn peer_on(&self, connection: ConnectionId) -> Option<NodeId> {
        self.by_connection.get(&connection).copied()
    }

    /// Where a core machine listens for other processes.
    pub fn address(&self, id: NodeId) -> Option<SocketAddr> {
        self.addresses.get(&id).copied()
    }

    /// Core machines with this IP address, among those here and the voters of `view`.
    pub fn at(&self, ip: IpAddr, view: Option<&View>) -> Vec<NodeId> {
        let voters = view.into_iter().flat_map(|view| &view.voters);
        let voters = voters.filter_map(|voter| Some((voter.id, voter.address.parse::<SocketAddr>().ok()?)));
        let known = self.addresses.iter().map(|(id, address)| (*id, *address));
        voters.chain(known).filter(|(_, address)| address.ip() == ip).map(|(id, _)| id).collect()
    }
}
