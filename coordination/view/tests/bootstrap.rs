//! Unit tests of the bootstrap of the first view.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use millrudder_clock::Instant;
use millrudder_view::{
    Bootstrap, Envelope, Epoch, Member, NodeId, Step, View, ViewAgreement, ViewMessage, ViewState,
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
    Node { bootstrap: Bootstrap::new(local, addresses, 3, 3), agreement }
}

impl Node {
    fn poll(&mut self) -> Step {
        self.bootstrap.poll(Instant::ORIGIN, &mut self.agreement)
    }

    fn receive(&mut self, from: NodeId, message: ViewMessage) -> Step {
        match message {
            ViewMessage::BootstrapAgreed { members } => {
                self.bootstrap.handle(&mut self.agreement, from, members)
            }
            other if self.agreement.epoch() == Epoch::NONE => {
                self.bootstrap.handle_vote(&mut self.agreement, from, other)
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

/// Polls the nodes at each heartbeat up to `until`, and delivers messages until none is in flight.
fn run(nodes: &mut BTreeMap<NodeId, Node>, until: Duration) {
    let mut now = Instant::ORIGIN;
    while now < Instant::ORIGIN + until {
        let mut in_flight = VecDeque::new();
        for (id, node) in nodes.iter_mut() {
            let step = node.bootstrap.poll(now, &mut node.agreement);
            in_flight.extend(step.messages.into_iter().map(|envelope| (*id, envelope)));
        }
        while let Some((from, envelope)) = in_flight.pop_front() {
            let Some(node) = nodes.get_mut(&envelope.to) else { continue };
            let step = node.receive(from, envelope.message);
            in_flight.extend(step.messages.into_iter().map(|next| (envelope.to, next)));
        }
        now += Duration::from_millis(100);
    }
}

fn views(nodes: &BTreeMap<NodeId, Node>) -> Vec<Option<View>> {
    nodes.values().map(|node| node.agreement.view().cloned()).collect()
}

// Guards against a core that never forms since one of its founders is lost after others have agreed to a list with it, which
// they could not take back (review/3).
#[test]
fn a_founder_that_is_lost_before_it_agrees_does_not_keep_the_others_from_a_view() {
    let hosts = [(1, 1), (2, 2), (3, 3)];
    let mut nodes = new_nodes(&hosts, |_| true);
    add_all_peers(&mut nodes, &hosts);
    for id in [1, 2] {
        let _ = nodes.get_mut(&NodeId(id)).expect("a node").poll();
    }
    nodes.remove(&NodeId(3));
    run(&mut nodes, Duration::from_secs(3));
    let views = views(&nodes);
    assert!(views[0].is_some() && views[0] == views[1], "{views:?}");
}

// Guards against the same for a founder that nobody has ever reached.
#[test]
fn a_founder_that_was_never_reached_does_not_keep_the_others_from_a_view() {
    let hosts = [(1, 1), (2, 2)];
    let mut nodes = new_nodes(&hosts, |_| true);
    add_all_peers(&mut nodes, &hosts);
    run(&mut nodes, Duration::from_secs(3));
    let views = views(&nodes);
    let members: Vec<NodeId> = views[0].iter().flat_map(View::member_ids).collect();
    assert_eq!(members, vec![NodeId(1), NodeId(2)]);
    assert_eq!(views[0], views[1]);
}

// Guards against a second first view: one founder has learnt that all have agreed, and is lost before it tells the others,
// who then decide by majority.
#[test]
fn a_majority_decides_the_list_that_all_have_agreed_to() {
    let hosts = [(1, 1), (2, 2), (3, 3)];
    for lost in [1, 2, 3].map(NodeId) {
        let mut nodes = new_nodes(&hosts, |_| true);
        add_all_peers(&mut nodes, &hosts);
        let agreements: Vec<(NodeId, Step)> = nodes.iter_mut().map(|(id, node)| (*id, node.poll())).collect();
        let mut formed = nodes.remove(&lost).expect("a node");
        for (from, step) in agreements {
            for envelope in step.messages.into_iter().filter(|envelope| envelope.to == lost) {
                let _ = formed.receive(from, envelope.message);
            }
        }
        let first = formed.agreement.view().cloned();
        assert_eq!(first.as_ref().map(|view| view.members.len()), Some(3));
        run(&mut nodes, Duration::from_secs(3));
        assert_eq!(views(&nodes), vec![first.clone(), first]);
    }
}

#[test]
fn a_minority_of_the_founders_forms_no_view() {
    let mut nodes = new_nodes(&[(1, 1)], |_| true);
    run(&mut nodes, Duration::from_secs(30));
    assert_eq!(views(&nodes), vec![None]);
}
