//! A few nodes on a network that loses nothing, each with a disk on which everything is durable at once.

use std::collections::{BTreeMap, BTreeSet};

use millrudder_chain::{CoreConfig, CoreMessage, CoreNode, DurableState, Input, NodeId, Output, RequestId};

use crate::concat_machine::{address, Text};

/// Time goes on in steps of this many microseconds.
pub const STEP_MICROS: u64 = 20_000;
pub const SECOND: u64 = 1_000_000;

/// A node with its disk, on which everything is durable at once.
pub struct Host {
    pub node: CoreNode<Text>,
    pub disk: DurableState,
    pub checkpoint: Option<DurableState>,
    pub replies: Vec<(RequestId, u64)>,
    pub ready: Vec<RequestId>,
    pub committed: Vec<String>,
    pub replaced: usize,
}

#[derive(Default)]
pub struct Cluster {
    pub now: u64,
    pub hosts: BTreeMap<String, Host>,
    pub in_flight: Vec<(NodeId, NodeId, CoreMessage)>,
    pub installs: usize,
    /// No commands reach these machines.
    pub unfed: BTreeSet<NodeId>,
}

pub fn config(place: usize, founders: usize) -> CoreConfig {
    let mut config = CoreConfig::new(address(place));
    config.founders = (1..=founders).map(address).collect();
    config.minimum_members = founders.div_ceil(2).max(1);
    config
}

impl Cluster {
    /// A founded core.
    pub fn founded(size: usize) -> Cluster {
        let mut cluster = Cluster::default();
        for place in 1..=size {
            cluster.start(config(place, size), None);
        }
        cluster.run(SECOND);
        assert!(cluster.hosts.values().all(|host| host.node.is_member()));
        cluster
    }

    pub fn start(&mut self, config: CoreConfig, disk: Option<DurableState>) {
        let seed = self.now + self.hosts.len() as u64 + 1;
        let name = config.address.clone();
        let node = CoreNode::new(config, disk.clone(), seed, self.now).expect("the node starts");
        let host = Host {
            node,
            disk: disk.unwrap_or_default(),
            checkpoint: None,
            replies: Vec::new(),
            ready: Vec::new(),
            committed: Vec::new(),
            replaced: 0,
        };
        self.hosts.insert(name.clone(), host);
        self.take_outputs(&name);
    }

    pub fn host(&self, place: usize) -> &Host {
        &self.hosts[&address(place)]
    }

    pub fn input(&mut self, name: &str, input: Input<String>) {
        let now = self.now;
        if let Some(host) = self.hosts.get_mut(name) {
            host.node.handle(now, input);
            self.take_outputs(name);
        }
    }

    fn take_outputs(&mut self, name: &str) {
        while let Some(output) = self.hosts.get_mut(name).and_then(|host| host.node.next_output()) {
            let host = self.hosts.get_mut(name).expect("the host is there");
            match output {
                Output::Send { to, message } => {
                    self.installs += usize::from(matches!(message, CoreMessage::Install(_)));
                    self.in_flight.push((host.node.id(), to, message));
                }
                Output::Persist { token, record } => {
                    host.disk.apply(&record);
                    host.node.handle(self.now, Input::Persisted { token });
                }
                Output::Checkpoint { state, .. } => host.checkpoint = Some(*state),
                Output::Committed { command, .. } => host.committed.push(command),
                Output::Replaced { .. } => host.replaced += 1,
                Output::Reply { request_id, reply } => host.replies.push((request_id, reply)),
                Output::ReadReady { request_id } => host.ready.push(request_id),
                _ => {}
            }
        }
    }

    pub fn deliver(&mut self) {
        for _ in 0..100 {
            for (from, to, message) in std::mem::take(&mut self.in_flight) {
                let name =
                    self.hosts.iter().find(|(_, host)| host.node.id() == to).map(|(name, _)| name.clone());
                let fed = !(matches!(message, CoreMessage::Append(_)) && self.unfed.contains(&to));
                if let Some(name) = name.filter(|_| fed) {
                    self.input(&name, Input::Message { from, message });
                }
            }
        }
    }

    pub fn run(&mut self, micros: u64) {
        let end = self.now + micros;
        while self.now < end {
            self.now += STEP_MICROS;
            let known: Vec<(NodeId, String)> =
                self.hosts.iter().map(|(name, host)| (host.node.id(), name.clone())).collect();
            for name in self.hosts.keys().cloned().collect::<Vec<_>>() {
                for (id, address) in &known {
                    self.input(&name, Input::PeerSeen { id: *id, address: address.clone() });
                }
                self.input(&name, Input::Tick);
            }
            self.deliver();
        }
    }

    pub fn submit(&mut self, place: usize, request: u128, text: &str) {
        let command = text.to_owned();
        self.input(&address(place), Input::Submit { request_id: RequestId(request), command });
        self.deliver();
    }
}
