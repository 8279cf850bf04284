//! The founding of the first view.

use std::collections::{BTreeMap, VecDeque};

use millrudder_view::{
    Bootstrap, Envelope, Epoch, Member, NodeId, Step, ViewAgreement, ViewMessage, ViewState,
};

struct Founder {
    foundation: Bootstrap,
    agreement: ViewAgreement,
}

fn address(place: u64) -> String {
    format!("10.0.0.{place}:9000")
}

fn founder(id: u64, place: u64, may_found: bool) -> Founder {
    let me = Member { id: NodeId(id), address: address(place) };
    let founders = if may_found { (1..=3).map(address).collect() } else { Vec::new() };
    let agreement = ViewAgreement::new(me.id, ViewState::default(), 2);
    Founder { foundation: Bootstrap::new(me, founders, 3), agreement }
}

impl Founder {
    fn poll(&mut self) -> Step {
        self.foundation.poll(&mut self.agreement)
    }

    fn receive(&mut self, from: NodeId, message: ViewMessage) -> Step {
        match message {
            ViewMessage::BootstrapAgreed { members } => {
                self.foundation.handle(&mut self.agreement, from, members)
            }
            other => self.agreement.handle(from, other, true),
        }
    }
}

/// Lets every message arrive until none is left.
fn settle(founders: &mut BTreeMap<NodeId, Founder>) {
    let mut in_flight: VecDeque<(NodeId, Envelope)> = VecDeque::new();
    let send = |in_flight: &mut VecDeque<_>, from: NodeId, step: Step| {
        in_flight.extend(step.messages.into_iter().map(|envelope| (from, envelope)));
    };
    for (id, founder) in founders.iter_mut() {
        let step = founder.poll();
        send(&mut in_flight, *id, step);
    }
    while let Some((from, envelope)) = in_flight.pop_front() {
        if let Some(founder) = founders.get_mut(&envelope.to) {
            let step = founder.receive(from, envelope.message);
            send(&mut in_flight, envelope.to, step);
        }
    }
}

fn all_know_each_other(founders: &mut BTreeMap<NodeId, Founder>, places: &[(u64, u64)]) {
    for founder in founders.values_mut() {
        for (id, place) in places {
            founder.foundation.peer_seen(NodeId(*id), &address(*place));
        }
    }
}

fn core(places: &[(u64, u64)], may_found: impl Fn(u64) -> bool) -> BTreeMap<NodeId, Founder> {
    places.iter().map(|(id, place)| (NodeId(*id), founder(*id, *place, may_found(*id)))).collect()
}

#[test]
fn three_founders_form_one_view_in_the_order_of_their_addresses() {
    let places = [(77, 2), (55, 1), (66, 3)];
    let mut founders = core(&places, |_| true);
    all_know_each_other(&mut founders, &places);
    settle(&mut founders);
    for founder in founders.values() {
        let view = founder.agreement.view().expect("a view");
        assert_eq!(view.epoch, Epoch::FOUNDING);
        assert_eq!(view.ids().collect::<Vec<_>>(), vec![NodeId(55), NodeId(77), NodeId(66)]);
    }
}

#[test]
fn nothing_is_founded_while_a_founder_is_unknown() {
    let places = [(1, 1), (2, 2)];
    let mut founders = core(&places, |_| true);
    all_know_each_other(&mut founders, &places);
    settle(&mut founders);
    assert!(founders.values().all(|founder| founder.agreement.view().is_none()));
}

#[test]
fn nodes_that_may_not_found_never_do_by_themselves() {
    let places = [(1, 1), (2, 2), (3, 3)];
    let mut founders = core(&places, |_| false);
    all_know_each_other(&mut founders, &places);
    settle(&mut founders);
    assert!(founders.values().all(|founder| founder.agreement.view().is_none()));
}

#[test]
fn a_founder_that_started_again_before_it_was_known_agrees_to_the_list_of_others() {
    let places = [(1, 1), (2, 2), (3, 3)];
    let mut founders = core(&places, |id| id != 3);
    all_know_each_other(&mut founders, &places);
    settle(&mut founders);
    assert!(founders.values().all(|founder| founder.agreement.epoch() == Epoch::FOUNDING));
}

#[test]
fn who_agreed_to_one_list_agrees_to_no_other() {
    let places = [(1, 1), (2, 2), (3, 3)];
    let mut founders = core(&places, |_| true);
    all_know_each_other(&mut founders, &places);
    // The third founder loses its disk after the others have agreed, and before it has.
    for id in [1, 2] {
        let founder = founders.get_mut(&NodeId(id)).expect("a founder");
        let _ = founder.poll();
    }
    founders.remove(&NodeId(3));
    founders.insert(NodeId(4), founder(4, 3, true));
    all_know_each_other(&mut founders, &[(1, 1), (2, 2), (4, 3)]);
    settle(&mut founders);
    assert!(founders.values().all(|founder| founder.agreement.view().is_none()));
}

#[test]
fn a_node_that_comes_later_is_told_the_view() {
    let places = [(1, 1), (2, 2), (3, 3)];
    let mut founders = core(&places, |_| true);
    all_know_each_other(&mut founders, &places);
    settle(&mut founders);
    let mut late = founder(9, 3, true);
    let list = vec![Member { id: NodeId(9), address: address(3) }];
    let first = founders.get_mut(&NodeId(1)).expect("a founder");
    let step = first.receive(NodeId(9), ViewMessage::BootstrapAgreed { members: list });
    for envelope in step.messages {
        let _ = late.receive(NodeId(1), envelope.message);
    }
    assert_eq!(late.agreement.epoch(), Epoch::FOUNDING);
    assert!(!late.agreement.is_member());
}
