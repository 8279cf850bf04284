//! Which nodes are voters and members, and when a node may leave.

use std::collections::BTreeSet;

use millrudder_chain::{CoreMessage, Epoch, FencingToken, Input, NodeId, RequestId, Role, View};
use millrudder_lease::{LeaseAnswer, LeaseRequest, Refusal};
use millrudder_view::{Ballot, ViewMessage};

use crate::cluster::{config, Cluster, SECOND, STEP};
use crate::concat_machine::address;

#[test]
fn a_learner_follows_a_full_core_and_replaces_a_lost_member() {
    let mut cluster = Cluster::default();
    for index in 1..=4 {
        let mut config = config(index, 3);
        config.voters = 3;
        cluster.start(config, None);
    }
    cluster.run(3 * SECOND);
    cluster.submit(4, 1, "a");
    cluster.input(&address(4), Input::Read { request_id: RequestId(2) });
    cluster.run(SECOND);
    let learner = cluster.host(4);
    assert!(!learner.node.is_member());
    assert_eq!(learner.node.machine().0, "a");
    assert_eq!(learner.ready, vec![RequestId(2)]);
    cluster.hosts.remove(&address(2));
    cluster.run(2 * SECOND);
    assert!(cluster.host(4).node.is_member() && cluster.host(4).node.is_caught_up());
}

#[test]
fn a_node_at_another_address_takes_over_the_vote_of_a_lost_one() {
    let mut cluster = Cluster::bootstrapped(3);
    cluster.submit(1, 1, "a");
    let lost = cluster.hosts.remove(&address(3)).expect("the third host");
    let lost_id = lost.node.id();
    let mut replacement = config(4, 3);
    replacement.bootstrap_addresses.clear();
    cluster.start(replacement, None);
    cluster.run(4 * SECOND);
    let new_id = cluster.host(4).node.id();
    let view = cluster.host(1).node.view().expect("a view").clone();
    assert!(view.is_voter(new_id) && !view.is_voter(lost_id));
    assert_eq!(view.voters.len(), 3);
    // The lost node returns with its disk but without a vote; the core then continues with only one of its original
    // members.
    cluster.start(config(3, 3), Some(lost.disk));
    cluster.run(SECOND);
    assert!(!cluster.host(3).node.is_voter());
    cluster.hosts.remove(&address(2));
    cluster.run(2 * SECOND);
    cluster.submit(4, 2, "b");
    cluster.run(SECOND);
    assert_eq!(cluster.host(4).node.machine().0, "ab");
}

#[test]
fn a_lost_node_keeps_its_vote_until_another_takes_it_over() {
    let mut cluster = Cluster::bootstrapped(3);
    let host = cluster.hosts.remove(&address(3)).expect("the third host");
    cluster.run(3 * SECOND);
    let view = cluster.host(1).node.view().expect("a view").clone();
    assert_eq!(view.members.len(), 2);
    assert!(view.is_voter(host.node.id()) && view.voters.len() == 3);
    // It returns, and another node fails before it is readmitted.
    cluster.start(config(3, 3), Some(host.disk));
    cluster.run(SECOND / 2);
    assert!(!cluster.host(3).node.is_member());
    cluster.hosts.remove(&address(2));
    cluster.run(2 * SECOND);
    cluster.submit(3, 1, "a");
    cluster.run(SECOND);
    assert_eq!(cluster.host(1).node.machine().0, "a");
    assert_eq!(cluster.host(3).node.machine().0, "a");
}

#[test]
fn a_decommissioned_node_stays_until_another_holds_the_state_and_its_vote() {
    let mut cluster = Cluster::bootstrapped(3);
    cluster.submit(1, 1, "a");
    let decommissioned = cluster.host(2).node.id();
    cluster.hosts.remove(&address(3));
    cluster.run(2 * SECOND);
    for index in 1..=2 {
        cluster.input(&address(index), Input::Decommission { ids: BTreeSet::from([decommissioned]) });
    }
    cluster.run(2 * SECOND);
    let is_needed = |cluster: &Cluster, index: usize| {
        !cluster.host(index).node.is_dispensable(cluster.now, decommissioned)
    };
    assert!(cluster.host(2).node.is_member() && is_needed(&cluster, 1));
    // The first new node replaces the lost one, the second replaces the decommissioned one.
    for index in 4..=5 {
        let mut newcomer = config(index, 3);
        newcomer.bootstrap_addresses.clear();
        cluster.start(newcomer, None);
        cluster.input(&address(index), Input::Decommission { ids: BTreeSet::from([decommissioned]) });
        cluster.run(4 * SECOND);
    }
    assert!(!cluster.host(2).node.is_voter() && !cluster.host(2).node.is_member());
    assert!(!is_needed(&cluster, 1));
    let view = cluster.host(1).node.view().expect("a view").clone();
    assert_eq!((view.voters.len(), view.members.len()), (3, 3));
    cluster.hosts.remove(&address(2));
    cluster.submit(5, 2, "b");
    cluster.run(SECOND);
    assert_eq!(cluster.host(5).node.machine().0, "ab");
}

#[test]
fn a_decommissioned_voter_without_a_replacement_keeps_its_vote() {
    let mut cluster = Cluster::bootstrapped(3);
    let decommissioned = cluster.host(2).node.id();
    for index in 1..=3 {
        cluster.input(&address(index), Input::Decommission { ids: BTreeSet::from([decommissioned]) });
    }
    cluster.run(3 * SECOND);
    let view = cluster.host(1).node.view().expect("a view").clone();
    assert_eq!((view.voters.len(), view.members.len()), (3, 2));
    assert!(!cluster.host(1).node.is_dispensable(cluster.now, decommissioned));
}

/// The decommissioned node is removed as soon as it is dispensable, and another node fails at the same moment.
#[test]
fn any_other_node_may_be_lost_once_a_decommissioned_one_is_dispensable() {
    for lost in [1, 3, 4] {
        let mut cluster = Cluster::bootstrapped(3);
        cluster.submit(1, 1, "a");
        let mut newcomer = config(4, 3);
        newcomer.bootstrap_addresses.clear();
        cluster.start(newcomer, None);
        cluster.run(4 * SECOND);
        let decommissioned = cluster.host(2).node.id();
        for index in 1..=4 {
            cluster.input(&address(index), Input::Decommission { ids: BTreeSet::from([decommissioned]) });
        }
        let observer = if lost == 1 { 3 } else { 1 };
        let deadline = cluster.now + 5 * SECOND;
        while !cluster.host(observer).node.is_dispensable(cluster.now, decommissioned) {
            assert!(cluster.now < deadline, "the decommissioned node is never dispensable");
            cluster.run(SECOND / 100);
        }
        cluster.hosts.remove(&address(2));
        cluster.hosts.remove(&address(lost));
        cluster.run(3 * SECOND);
        cluster.submit(observer, 2, "b");
        cluster.run(SECOND);
        assert_eq!(cluster.host(observer).node.machine().0, "ab", "without machine {lost}");
    }
}

#[test]
fn bootstrap_nodes_beyond_the_number_of_voters_become_learners() {
    let mut cluster = Cluster::default();
    for index in 1..=7 {
        let mut config = config(index, 7);
        config.minimum_members = 2;
        cluster.start(config, None);
    }
    cluster.run(3 * SECOND);
    let view = cluster.host(1).node.view().expect("a view").clone();
    assert_eq!((view.voters.len(), view.members.len()), (3, 3));
    cluster.submit(7, 1, "a");
    cluster.run(SECOND);
    assert!((1..=7).all(|index| cluster.host(index).node.machine().0 == "a"));
}

#[test]
fn a_leaving_member_can_leave_once_others_have_done_without_it() {
    let mut cluster = Cluster::bootstrapped(3);
    cluster.submit(1, 1, "a");
    cluster.input(&address(2), Input::Leave);
    cluster.deliver();
    assert!(!cluster.host(2).node.can_leave(cluster.now));
    cluster.run(2 * SECOND);
    assert!(cluster.host(2).node.can_leave(cluster.now));
    assert!(!cluster.host(2).node.is_member());
}

#[test]
fn a_leaving_member_stays_while_too_few_others_hold_the_state() {
    let mut cluster = Cluster::bootstrapped(3);
    cluster.hosts.remove(&address(3));
    cluster.run(2 * SECOND);
    cluster.input(&address(2), Input::Leave);
    cluster.run(3 * SECOND);
    assert!(cluster.host(2).node.is_member() && !cluster.host(2).node.can_leave(cluster.now));
    cluster.submit(1, 1, "a");
    assert_eq!(cluster.host(1).node.machine().0, "a");
    let mut replacement = config(4, 3);
    replacement.bootstrap_addresses.clear();
    cluster.start(replacement, None);
    cluster.run(4 * SECOND);
    assert!(cluster.host(2).node.can_leave(cluster.now));
    cluster.hosts.remove(&address(2));
    cluster.submit(4, 2, "b");
    cluster.run(SECOND);
    assert_eq!(cluster.host(4).node.machine().0, "ab");
}

#[test]
fn a_leaving_member_stays_until_its_successor_has_caught_up() {
    let mut cluster = Cluster::bootstrapped(3);
    cluster.hosts.remove(&address(3));
    let mut replacement = config(4, 3);
    replacement.bootstrap_addresses.clear();
    cluster.start(replacement, None);
    let new_id = cluster.host(4).node.id();
    cluster.without_appends.insert(new_id);
    cluster.run(4 * SECOND);
    assert!(cluster.host(4).node.is_member() && !cluster.host(4).node.is_caught_up());
    cluster.input(&address(2), Input::Leave);
    cluster.run(2 * SECOND);
    assert!(cluster.host(2).node.is_member() && !cluster.host(2).node.can_leave(cluster.now));
    cluster.without_appends.clear();
    cluster.run(2 * SECOND);
    assert!(!cluster.host(2).node.is_member() && cluster.host(2).node.can_leave(cluster.now));
}

/// The messages that a machine sends in answer to one message.
fn answers(cluster: &mut Cluster, index: usize, message: CoreMessage) -> Vec<CoreMessage> {
    let from = NodeId(1 << 40);
    let id = cluster.host(index).node.id();
    cluster.in_flight.clear();
    cluster.input(&address(index), Input::Message { from, message });
    let sent = std::mem::take(&mut cluster.in_flight);
    sent.into_iter()
        .filter(|(sender, to, _)| *sender == id && *to == from)
        .map(|(.., message)| message)
        .collect()
}

fn lease_request(epoch: Epoch, fencing_token: FencingToken) -> CoreMessage {
    let request = LeaseRequest { role: Role("any".to_owned()), attempt: 1, fencing_token, is_renewal: false };
    CoreMessage::LeaseRequest { epoch, request }
}

#[test]
fn a_voter_that_has_accepted_a_next_view_confirms_nothing() {
    let mut cluster = Cluster::bootstrapped(3);
    let view = cluster.host(2).node.view().expect("a view").clone();
    let epoch = view.epoch;
    let confirm = CoreMessage::ConfirmEpoch { epoch, attempt: 7 };
    let confirmed = CoreMessage::EpochConfirmed { epoch, attempt: 7 };
    assert_eq!(answers(&mut cluster, 2, confirm.clone()), vec![confirmed]);
    let next = View { epoch: epoch.next(), ..view };
    let ballot = Ballot { round: 9, node: NodeId(1 << 40) };
    let accept = ViewMessage::Accept { instance: epoch.next(), ballot, view: next };
    let accepted = ViewMessage::Accepted { instance: epoch.next(), ballot };
    let accepted = vec![CoreMessage::View(accepted)];
    assert_eq!(answers(&mut cluster, 2, CoreMessage::View(accept)), accepted);
    assert_eq!(answers(&mut cluster, 2, confirm), Vec::new());
    let request = lease_request(epoch, FencingToken::floor(epoch.0).next());
    assert_eq!(answers(&mut cluster, 2, request), Vec::new());
    cluster.now += SECOND / 10;
    cluster.input(&address(2), Input::Tick);
    let confirms =
        |message: &CoreMessage| matches!(message, CoreMessage::Heartbeat(beat) if beat.confirms_epoch);
    let id = cluster.host(2).node.id();
    assert!(!cluster.in_flight.iter().any(|(from, _, message)| *from == id && confirms(message)));
}

#[test]
fn a_grace_period_follows_only_a_change_of_voters() {
    let refused = |answers: &[CoreMessage]| {
        let refused = |message: &CoreMessage| {
            let CoreMessage::LeaseAnswer { answer, .. } = message else {
                return false;
            };
            matches!(answer, LeaseAnswer::Refused { refusal: Refusal::GracePeriod, .. })
        };
        assert_eq!(answers.len(), 1);
        refused(&answers[0])
    };
    let mut cluster = Cluster::bootstrapped(3);
    let ask = |cluster: &mut Cluster| {
        let epoch = cluster.host(1).node.epoch();
        answers(cluster, 1, lease_request(epoch, FencingToken::floor(epoch.0 + 1)))
    };
    // The failure of a node changes only the members, not the voters.
    cluster.hosts.remove(&address(3));
    while cluster.host(1).node.epoch() == Epoch::FIRST {
        cluster.run(STEP);
    }
    assert!(!refused(&ask(&mut cluster)));
    // Another node takes over the vote.
    let mut replacement = config(4, 3);
    replacement.bootstrap_addresses.clear();
    cluster.start(replacement, None);
    let new_id = cluster.host(4).node.id();
    cluster.run(SECOND);
    while !cluster.host(1).node.view().is_some_and(|view| view.is_voter(new_id)) {
        cluster.run(STEP);
    }
    assert!(refused(&ask(&mut cluster)));
    cluster.run(SECOND);
    assert!(!refused(&ask(&mut cluster)));
}

#[test]
fn nodes_that_all_leave_together_wait_for_nobody() {
    let mut cluster = Cluster::bootstrapped(3);
    (1..=3).for_each(|index| cluster.input(&address(index), Input::Leave));
    cluster.deliver();
    assert!((1..=3).all(|index| cluster.host(index).node.can_leave(cluster.now)));
}
