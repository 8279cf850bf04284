//! Unit tests of the bootstrap of the first view.

use std::collections::{BTreeMap, VecDeque};

use millrudder_view::{
    Bootstrap, Envelope, Epoch, Member, NodeId, Step, ViewAgreement, ViewMessage, ViewState,
};

struct Node {
    bootstrap: Bootstrap,
    agreement: ViewAgreement,
}

fn address(host: u64) -> String {
    format!("10.0.0.{host}:9000")
}

fn node(id: u64, host: u64, has_bootstrap_addresses: bool) -> Node {
    let local = Member { id: NodeId(id), address: address(host) };
    let addresses = if has_bootstrap_addresses { (1..=3).map(address).collect() } else { Vec::new() };
    let agreement = ViewAgreement::new(local.id, ViewState::default(), 2);
    Node { bootstrap: Bootstrap::new(local, addresses, 3), agreement }
}

impl Node {
    fn poll(&mut self) -> Step {
        self.bootstrap.poll(&mut self.agreement)
    }

    fn receive(&mut self, from: NodeId, message: ViewMessage) -> Step {
        match message {
            ViewMessage::BootstrapAgreed { members } => {
                self.bootstrap.handle(&mut self.agreement, from, members)
            }
            other => self.agreement.handle(from, other, true),
        }
    }
}

/// Polls every node once and delivers messages until none is in flight.
fn deliver_all(nodes: &mut BTreeMap<NodeId, Node>) {
    let mut in_flight: VecDeque<(NodeId, Envelope)> = VecDeque::new();
    let send = |in_flight: &mut VecDeque<_>, from: NodeId, step: Step| {
        in_flight.extend(step.messages.into_iter().map(|envelope| (from, envelope)));
    };
    for (id, node) in nodes.iter_mut() {
        let step = node.poll();
        send(&mut in_flight, *id, step);
    }
    while let Some((from, envelope)) = in_flight.pop_front() {
        if let Some(node) = nodes.get_mut(&envelope.to) {
            let step = node.receive(from, envelope.message);
            send(&mut in_flight, envelope.to, step);
        }
    }
}

fn add_all_peers(nodes: &mut BTreeMap<NodeId, Node>, hosts: &[(u64, u64)]) {
    for node in nodes.values_mut() {
        for (id, host) in hosts {
            node.bootstrap.add_peer(NodeId(*id), &address(*host));
        }
    }
}

fn new_nodes(hosts: &[(u64, u64)], has_bootstrap_addresses: impl Fn(u64) -> bool) -> BTreeMap<NodeId, Node> {
    hosts.iter().map(|(id, host)| (NodeId(*id), node(*id, *host, has_bootstrap_addresses(*id)))).collect()
}

#[test]
fn three_nodes_form_one_view_in_the_order_of_their_addresses() {
    let hosts = [(77, 2), (55, 1), (66, 3)];
    let mut nodes = new_nodes(&hosts, |_| true);
    add_all_peers(&mut nodes, &hosts);
    deliver_all(&mut nodes);
    for node in nodes.values() {
        let view = node.agreement.view().expect("a view");
        assert_eq!(view.epoch, Epoch::FIRST);
        assert_eq!(view.member_ids().collect::<Vec<_>>(), vec![NodeId(55), NodeId(77), NodeId(66)]);
    }
}

#[test]
fn no_view_is_formed_while_a_node_is_unknown() {
    let hosts = [(1, 1), (2, 2)];
    let mut nodes = new_nodes(&hosts, |_| true);
    add_all_peers(&mut nodes, &hosts);
    deliver_all(&mut nodes);
    assert!(nodes.values().all(|node| node.agreement.view().is_none()));
}

#[test]
fn nodes_without_bootstrap_addresses_form_no_view() {
    let hosts = [(1, 1), (2, 2), (3, 3)];
    let mut nodes = new_nodes(&hosts, |_| false);
    add_all_peers(&mut nodes, &hosts);
    deliver_all(&mut nodes);
    assert!(nodes.values().all(|node| node.agreement.view().is_none()));
}

#[test]
fn a_node_without_addresses_agrees_to_the_proposal_of_others() {
    let hosts = [(1, 1), (2, 2), (3, 3)];
    let mut nodes = new_nodes(&hosts, |id| id != 3);
    add_all_peers(&mut nodes, &hosts);
    deliver_all(&mut nodes);
    assert!(nodes.values().all(|node| node.agreement.epoch() == Epoch::FIRST));
}

#[test]
fn a_node_that_agreed_to_one_list_agrees_to_no_other() {
    let hosts = [(1, 1), (2, 2), (3, 3)];
    let mut nodes = new_nodes(&hosts, |_| true);
    add_all_peers(&mut nodes, &hosts);
    // The third node loses its disk after the others have agreed and before it agrees itself.
    for id in [1, 2] {
        let node = nodes.get_mut(&NodeId(id)).expect("a node");
        let _ = node.poll();
    }
    nodes.remove(&NodeId(3));
    nodes.insert(NodeId(4), node(4, 3, true));
    add_all_peers(&mut nodes, &[(1, 1), (2, 2), (4, 3)]);
    deliver_all(&mut nodes);
    assert!(nodes.values().all(|node| node.agreement.view().is_none()));
}

#[test]
fn a_late_node_learns_the_view() {
    let hosts = [(1, 1), (2, 2), (3, 3)];
    let mut nodes = new_nodes(&hosts, |_| true);
    add_all_peers(&mut nodes, &hosts);
    deliver_all(&mut nodes);
    let mut late_node = node(9, 3, true);
    let other_list = vec![Member { id: NodeId(9), address: address(3) }];
    let first_node = nodes.get_mut(&NodeId(1)).expect("a node");
    let step = first_node.receive(NodeId(9), ViewMessage::BootstrapAgreed { members: other_list });
    for envelope in step.messages {
        let _ = late_node.receive(NodeId(1), envelope.message);
    }
    assert_eq!(late_node.agreement.epoch(), Epoch::FIRST);
    assert!(!late_node.agreement.is_member());
}
