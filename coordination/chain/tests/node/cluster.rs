//! A test cluster on a reliable network, with disks whose writes are durable immediately unless they are stalled.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use millrudder_chain::{
    CoreConfig, CoreMessage, CoreNode, DurableState, Input, NodeId, Output, PersistToken, RequestId,
};
use millrudder_clock::Instant;
use speedy::Writable;

use crate::concat_machine::{address, Text};

/// Step of the simulated time.
pub const STEP: Duration = Duration::from_millis(20);
pub const SECOND: Duration = Duration::from_secs(1);

/// A node with its disk, on which writes are durable immediately unless it is stalled.
pub struct Host {
    pub node: CoreNode<Text>,
    pub disk: DurableState,
    pub checkpoint: Option<DurableState>,
    pub replies: Vec<(RequestId, u64)>,
    pub ready: Vec<RequestId>,
    pub committed: Vec<String>,
    pub snapshots_installed: usize,
    /// Whether the disk is stalled, so that writes do not complete.
    pub is_stalled: bool,
    /// Bytes of records and checkpoints issued while the disk is stalled.
    pub waiting_bytes: usize,
    /// The newest record issued while the disk is stalled.
    pub waiting: Option<PersistToken>,
}

#[derive(Default)]
pub struct Cluster {
    pub now: Instant,
    pub hosts: BTreeMap<String, Host>,
    pub in_flight: Vec<(NodeId, NodeId, CoreMessage)>,
    pub installs: usize,
    /// Append messages to these nodes are dropped.
    pub without_appends: BTreeSet<NodeId>,
    /// If set, every view agreement message is lost the first time it is sent; contains the messages lost so far.
    pub lost_once: Option<BTreeSet<String>>,
}

/// Configuration of the node at `index` of a bootstrap of `size` nodes.
pub fn config(index: usize, size: usize) -> CoreConfig {
    let mut config = CoreConfig::new(address(index));
    config.bootstrap_addresses = (1..=size).map(address).collect();
    config.minimum_members = size.div_ceil(2).max(1);
    config
}

impl Cluster {
    /// A core whose first view is active.
    pub fn bootstrapped(size: usize) -> Cluster {
        let mut cluster = Cluster::default();
        for index in 1..=size {
            cluster.start(config(index, size), None);
        }
        cluster.run(SECOND);
        assert!(cluster.hosts.values().all(|host| host.node.is_member()));
        cluster
    }

    pub fn start(&mut self, config: CoreConfig, disk: Option<DurableState>) {
        let seed = self.now.as_micros() + self.hosts.len() as u64 + 1;
        let name = config.address.clone();
        let node = CoreNode::new(config, disk.clone(), seed, self.now).expect("the node starts");
        let host = Host {
            node,
            disk: disk.unwrap_or_default(),
            checkpoint: None,
            replies: Vec::new(),
            ready: Vec::new(),
            committed: Vec::new(),
            snapshots_installed: 0,
            is_stalled: false,
            waiting_bytes: 0,
            waiting: None,
        };
        self.hosts.insert(name.clone(), host);
        self.take_outputs(&name);
    }

    pub fn host(&self, index: usize) -> &Host {
        &self.hosts[&address(index)]
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
            let host = self.hosts.get_mut(name).expect("the host exists");
            match output {
                Output::Send { to, message } => {
                    self.installs += usize::from(matches!(message, CoreMessage::InstallSnapshot(_)));
                    self.in_flight.push((host.node.id(), to, message));
                }
                Output::Persist { token, record } => {
                    host.disk.apply(&record);
                    if host.is_stalled {
                        host.waiting_bytes += record.write_to_vec().expect("encoding succeeds").len();
                        host.waiting = Some(token);
                    } else {
                        host.node.handle(self.now, Input::Persisted { token });
                    }
                }
                Output::Checkpoint { state, .. } => {
                    if host.is_stalled {
                        host.waiting_bytes += state.write_to_vec().expect("encoding succeeds").len();
                    }
                    host.checkpoint = Some(*state);
                }
                Output::Committed { command, .. } => host.committed.push(command),
                Output::SnapshotInstalled { .. } => host.snapshots_installed += 1,
                Output::Reply { request_id, reply } => host.replies.push((request_id, reply)),
                Output::ReadReady { request_id } => host.ready.push(request_id),
                _ => {}
            }
        }
    }

    /// Stalls the disk of a host.
    pub fn stall(&mut self, index: usize) {
        self.hosts.get_mut(&address(index)).expect("the host exists").is_stalled = true;
    }

    /// Ends the stall, and completes the pending writes.
    pub fn resume(&mut self, index: usize) {
        let host = self.hosts.get_mut(&address(index)).expect("the host exists");
        host.is_stalled = false;
        host.waiting_bytes = 0;
        if let Some(token) = host.waiting.take() {
            self.input(&address(index), Input::Persisted { token });
        }
    }

    pub fn deliver(&mut self) {
        for _ in 0..100 {
            for (from, to, message) in std::mem::take(&mut self.in_flight) {
                let name =
                    self.hosts.iter().find(|(_, host)| host.node.id() == to).map(|(name, _)| name.clone());
                let is_delivered =
                    !(matches!(message, CoreMessage::Append(_)) && self.without_appends.contains(&to));
                let is_lost = self.is_lost(from, to, &message);
                if let Some(name) = name.filter(|_| is_delivered && !is_lost) {
                    self.input(&name, Input::Message { from, message });
                }
            }
        }
    }

    fn is_lost(&mut self, from: NodeId, to: NodeId, message: &CoreMessage) -> bool {
        let Some(lost_once) = self.lost_once.as_mut().filter(|_| matches!(message, CoreMessage::View(_)))
        else {
            return false;
        };
        lost_once.insert(format!("{from:?} {to:?} {message:?}"))
    }

    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now += STEP;
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

    pub fn submit(&mut self, index: usize, request: u128, text: &str) {
        let command = text.to_owned();
        self.input(&address(index), Input::Submit { request_id: RequestId(request), command });
        self.deliver();
    }
}
