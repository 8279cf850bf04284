//! Who votes, who keeps the state, and when a machine may go.

use std::collections::BTreeSet;

use millrudder_chain::{CoreMessage, Epoch, FencingToken, Input, NodeId, RequestId, Role, View};
use millrudder_lease::{LeaseAnswer, LeaseRequest, Refusal};
use millrudder_view::{Ballot, ViewMessage};

use crate::cluster::{config, Cluster, SECOND, STEP_MICROS};
use crate::concat_machine::address;

#[test]
fn a_spare_follows_a_full_core_and_takes_the_place_of_a_lost_member() {
    let mut cluster = Cluster::default();
    for place in 1..=4 {
        let mut config = config(place, 3);
        config.voters = 3;
        cluster.start(config, None);
    }
    cluster.run(3 * SECOND);
    cluster.submit(4, 1, "a");
    cluster.input(&address(4), Input::Read { request_id: RequestId(2) });
    cluster.run(SECOND);
    let spare = cluster.host(4);
    assert!(!spare.node.is_member());
    assert_eq!(spare.node.machine().0, "a");
    assert_eq!(spare.ready, vec![RequestId(2)]);
    cluster.hosts.remove(&address(2));
    cluster.run(2 * SECOND);
    assert!(cluster.host(4).node.is_member() && cluster.host(4).node.is_in_step());
}

#[test]
fn a_machine_at_another_address_takes_over_the_vote_of_a_lost_one() {
    let mut cluster = Cluster::founded(3);
    cluster.submit(1, 1, "a");
    let lost = cluster.hosts.remove(&address(3)).expect("the third host");
    let lost_id = lost.node.id();
    let mut replacement = config(4, 3);
    replacement.founders.clear();
    cluster.start(replacement, None);
    cluster.run(4 * SECOND);
    let new_id = cluster.host(4).node.id();
    let view = cluster.host(1).node.view().expect("a view").clone();
    assert!(view.is_voter(new_id) && !view.is_voter(lost_id));
    assert_eq!(view.voters.len(), 3);
    // The lost disk comes back: it does not vote, and the core goes on with one of its earlier machines only.
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
fn a_lost_machine_keeps_its_vote_while_nobody_takes_it_over() {
    let mut cluster = Cluster::founded(3);
    let host = cluster.hosts.remove(&address(3)).expect("the third host");
    cluster.run(3 * SECOND);
    let view = cluster.host(1).node.view().expect("a view").clone();
    assert_eq!(view.members.len(), 2);
    assert!(view.is_voter(host.node.id()) && view.voters.len() == 3);
    // It comes back, and before it is admitted another goes.
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
fn an_excluded_machine_stays_until_another_holds_the_state_and_its_vote() {
    let mut cluster = Cluster::founded(3);
    cluster.submit(1, 1, "a");
    let excluded = cluster.host(2).node.id();
    cluster.hosts.remove(&address(3));
    cluster.run(2 * SECOND);
    for place in 1..=2 {
        cluster.input(&address(place), Input::Exclude { ids: BTreeSet::from([excluded]) });
    }
    cluster.run(2 * SECOND);
    let is_needed =
        |cluster: &Cluster, place: usize| !cluster.host(place).node.can_do_without(cluster.now, excluded);
    assert!(cluster.host(2).node.is_member() && is_needed(&cluster, 1));
    // One more machine takes the place of the lost one first, the next that of the excluded one.
    for place in 4..=5 {
        let mut newcomer = config(place, 3);
        newcomer.founders.clear();
        cluster.start(newcomer, None);
        cluster.input(&address(place), Input::Exclude { ids: BTreeSet::from([excluded]) });
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
fn an_excluded_voter_that_nobody_replaces_keeps_its_vote() {
    let mut cluster = Cluster::founded(3);
    let excluded = cluster.host(2).node.id();
    for place in 1..=3 {
        cluster.input(&address(place), Input::Exclude { ids: BTreeSet::from([excluded]) });
    }
    cluster.run(3 * SECOND);
    let view = cluster.host(1).node.view().expect("a view").clone();
    assert_eq!((view.voters.len(), view.members.len()), (3, 2));
    assert!(!cluster.host(1).node.can_do_without(cluster.now, excluded));
}

/// The machine goes as soon as it may, and another one's disk with it.
#[test]
fn any_other_machine_may_be_lost_as_soon_as_an_excluded_one_may_go() {
    for lost in [1, 3, 4] {
        let mut cluster = Cluster::founded(3);
        cluster.submit(1, 1, "a");
        let mut newcomer = config(4, 3);
        newcomer.founders.clear();
        cluster.start(newcomer, None);
        cluster.run(4 * SECOND);
        let excluded = cluster.host(2).node.id();
        for place in 1..=4 {
            cluster.input(&address(place), Input::Exclude { ids: BTreeSet::from([excluded]) });
        }
        let asked = if lost == 1 { 3 } else { 1 };
        let patience = cluster.now + 5 * SECOND;
        while !cluster.host(asked).node.can_do_without(cluster.now, excluded) {
            assert!(cluster.now < patience, "the excluded machine is never dispensable");
            cluster.run(SECOND / 100);
        }
        cluster.hosts.remove(&address(2));
        cluster.hosts.remove(&address(lost));
        cluster.run(3 * SECOND);
        cluster.submit(asked, 2, "b");
        cluster.run(SECOND);
        assert_eq!(cluster.host(asked).node.machine().0, "ab", "without machine {lost}");
    }
}

#[test]
fn of_more_founders_than_voters_the_others_follow() {
    let mut cluster = Cluster::default();
    for place in 1..=7 {
        let mut config = config(place, 7);
        config.minimum_members = 2;
        cluster.start(config, None);
    }
    cluster.run(3 * SECOND);
    let view = cluster.host(1).node.view().expect("a view").clone();
    assert_eq!((view.voters.len(), view.members.len()), (3, 3));
    cluster.submit(7, 1, "a");
    cluster.run(SECOND);
    assert!((1..=7).all(|place| cluster.host(place).node.machine().0 == "a"));
}

#[test]
fn a_leaving_member_may_go_once_others_have_done_without_it() {
    let mut cluster = Cluster::founded(3);
    cluster.submit(1, 1, "a");
    cluster.input(&address(2), Input::Leave);
    cluster.deliver();
    assert!(!cluster.host(2).node.may_go(cluster.now));
    cluster.run(2 * SECOND);
    assert!(cluster.host(2).node.may_go(cluster.now));
    assert!(!cluster.host(2).node.is_member());
}

#[test]
fn a_leaving_member_stays_while_too_few_others_hold_the_state() {
    let mut cluster = Cluster::founded(3);
    cluster.hosts.remove(&address(3));
    cluster.run(2 * SECOND);
    cluster.input(&address(2), Input::Leave);
    cluster.run(3 * SECOND);
    assert!(cluster.host(2).node.is_member() && !cluster.host(2).node.may_go(cluster.now));
    cluster.submit(1, 1, "a");
    assert_eq!(cluster.host(1).node.machine().0, "a");
    let mut replacement = config(4, 3);
    replacement.founders.clear();
    cluster.start(replacement, None);
    cluster.run(4 * SECOND);
    assert!(cluster.host(2).node.may_go(cluster.now));
    cluster.hosts.remove(&address(2));
    cluster.submit(4, 2, "b");
    cluster.run(SECOND);
    assert_eq!(cluster.host(4).node.machine().0, "ab");
}

#[test]
fn a_leaving_member_stays_until_its_successor_has_caught_up() {
    let mut cluster = Cluster::founded(3);
    cluster.hosts.remove(&address(3));
    let mut replacement = config(4, 3);
    replacement.founders.clear();
    cluster.start(replacement, None);
    let new_id = cluster.host(4).node.id();
    cluster.unfed.insert(new_id);
    cluster.run(4 * SECOND);
    assert!(cluster.host(4).node.is_member() && !cluster.host(4).node.is_in_step());
    cluster.input(&address(2), Input::Leave);
    cluster.run(2 * SECOND);
    assert!(cluster.host(2).node.is_member() && !cluster.host(2).node.may_go(cluster.now));
    cluster.unfed.clear();
    cluster.run(2 * SECOND);
    assert!(!cluster.host(2).node.is_member() && cluster.host(2).node.may_go(cluster.now));
}

/// What a machine sends in answer to one message.
fn answers(cluster: &mut Cluster, place: usize, message: CoreMessage) -> Vec<CoreMessage> {
    let from = NodeId(1 << 40);
    let id = cluster.host(place).node.id();
    cluster.in_flight.clear();
    cluster.input(&address(place), Input::Message { from, message });
    let sent = std::mem::take(&mut cluster.in_flight);
    sent.into_iter()
        .filter(|(sender, to, _)| *sender == id && *to == from)
        .map(|(.., message)| message)
        .collect()
}

fn lease_request(epoch: Epoch, fencing: FencingToken) -> CoreMessage {
    let request = LeaseRequest { role: Role("any".to_owned()), round: 1, fencing, held: false };
    CoreMessage::LeaseRequest { epoch, request }
}

#[test]
fn a_voter_that_has_accepted_a_next_view_vouches_for_nothing() {
    let mut cluster = Cluster::founded(3);
    let view = cluster.host(2).node.view().expect("a view").clone();
    let epoch = view.epoch;
    let confirm = CoreMessage::ConfirmEpoch { epoch, round: 7 };
    let confirmed = CoreMessage::EpochConfirmed { epoch, round: 7 };
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
    let vouches = |message: &CoreMessage| matches!(message, CoreMessage::Heartbeat(beat) if beat.vouches);
    let id = cluster.host(2).node.id();
    assert!(!cluster.in_flight.iter().any(|(from, _, message)| *from == id && vouches(message)));
}

#[test]
fn grants_are_withheld_only_where_the_voters_have_changed() {
    let refused = |answers: &[CoreMessage]| {
        let refused = |message: &CoreMessage| {
            let CoreMessage::LeaseAnswer { answer, .. } = message else {
                return false;
            };
            matches!(answer, LeaseAnswer::Refused { refusal: Refusal::Withheld, .. })
        };
        assert_eq!(answers.len(), 1);
        refused(&answers[0])
    };
    let mut cluster = Cluster::founded(3);
    let ask = |cluster: &mut Cluster| {
        let epoch = cluster.host(1).node.epoch();
        answers(cluster, 1, lease_request(epoch, FencingToken::floor(epoch.0 + 1)))
    };
    // A loss changes members only.
    cluster.hosts.remove(&address(3));
    while cluster.host(1).node.epoch() == Epoch::FOUNDING {
        cluster.run(STEP_MICROS);
    }
    assert!(!refused(&ask(&mut cluster)));
    // Another takes over the vote.
    let mut replacement = config(4, 3);
    replacement.founders.clear();
    cluster.start(replacement, None);
    let new_id = cluster.host(4).node.id();
    cluster.run(SECOND);
    while !cluster.host(1).node.view().is_some_and(|view| view.is_voter(new_id)) {
        cluster.run(STEP_MICROS);
    }
    assert!(refused(&ask(&mut cluster)));
    cluster.run(SECOND);
    assert!(!refused(&ask(&mut cluster)));
}

#[test]
fn all_that_leave_together_wait_for_nobody() {
    let mut cluster = Cluster::founded(3);
    (1..=3).for_each(|place| cluster.input(&address(place), Input::Leave));
    cluster.deliver();
    assert!((1..=3).all(|place| cluster.host(place).node.may_go(cluster.now)));
}
