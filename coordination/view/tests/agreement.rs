//! Unit tests of the agreement on views; each covers one rule.

use millrudder_view::{
    AcceptedView, Ballot, Epoch, Member, NodeId, Step, TargetView, View, ViewAgreement, ViewMessage,
    ViewRecord, ViewState,
};

const SECOND_EPOCH: Epoch = Epoch(2);

fn member(id: u64) -> Member {
    Member { id: NodeId(id), address: format!("10.0.0.{id}:9000") }
}

fn view(epoch: u64, ids: &[u64]) -> View {
    View::of_members(Epoch(epoch), ids.iter().copied().map(member).collect())
}

/// Returns a view with the voters 1, 2 and 3 and the given members.
fn view_of_three_voters(epoch: u64, ids: &[u64]) -> View {
    View { voters: view(epoch, &[1, 2, 3]).voters, ..view(epoch, ids) }
}

/// Returns a target with the voters 1, 2 and 3 and the given members.
fn target(ids: &[u64]) -> TargetView {
    let View { voters, members, .. } = view_of_three_voters(2, ids);
    TargetView::new(voters, members)
}

fn agreement(id: u64) -> ViewAgreement {
    ViewAgreement::new(NodeId(id), ViewState::from_view(view(1, &[1, 2, 3])), 2)
}

fn ballot_of(step: &Step) -> Ballot {
    match step.messages.first().map(|envelope| &envelope.message) {
        Some(ViewMessage::Prepare { ballot, .. }) => *ballot,
        other => panic!("not a phase 1 request: {other:?}"),
    }
}

fn promise(ballot: Ballot, accepted: Option<AcceptedView>, complete: bool) -> ViewMessage {
    ViewMessage::Promise { instance: SECOND_EPOCH, ballot, accepted, complete }
}

fn accepted_views(step: &Step) -> Vec<View> {
    let views = step.messages.iter().filter_map(|envelope| match &envelope.message {
        ViewMessage::Accept { view, .. } => Some(view.clone()),
        _ => None,
    });
    views.collect()
}

#[test]
fn an_incomplete_member_never_becomes_the_first_of_a_view() {
    let mut proposer = agreement(3);
    let ballot = ballot_of(&proposer.propose(target(&[2, 3])));
    let own = proposer.handle(NodeId(3), promise(ballot, None, true), true);
    let incomplete = proposer.handle(NodeId(2), promise(ballot, None, false), true);
    assert!(own.messages.is_empty() && incomplete.messages.is_empty());
    let complete = proposer.handle(NodeId(2), promise(ballot, None, true), true);
    assert_eq!(accepted_views(&complete), vec![view_of_three_voters(2, &[2, 3]); 3]);
}

#[test]
fn no_view_is_proposed_before_all_its_present_voters_have_promised() {
    let mut proposer = agreement(2);
    let next = view(2, &[1, 2, 4]);
    let next = TargetView::new(next.voters, next.members);
    let ballot = ballot_of(&proposer.propose(next));
    let own = proposer.handle(NodeId(2), promise(ballot, None, true), true);
    let leaving_voter = proposer.handle(NodeId(3), promise(ballot, None, true), true);
    assert!(own.messages.is_empty() && leaving_voter.messages.is_empty());
    let step = proposer.handle(NodeId(1), promise(ballot, None, true), true);
    assert_eq!(accepted_views(&step), vec![view(2, &[1, 2, 4]); 3]);
}

#[test]
fn the_view_accepted_at_the_highest_ballot_is_proposed_again() {
    let mut proposer = agreement(2);
    let ballot = ballot_of(&proposer.propose(target(&[1, 2])));
    let earlier = |round, ids: &[u64]| {
        let ballot = Ballot { round, node: NodeId(3) };
        Some(AcceptedView { ballot, view: view(2, ids) })
    };
    let _ = proposer.handle(NodeId(1), promise(ballot, earlier(1, &[1, 2, 3]), true), true);
    let step = proposer.handle(NodeId(3), promise(ballot, earlier(2, &[1, 3]), true), true);
    assert_eq!(
        accepted_views(&step),
        vec![view(2, &[1, 3]); 3],
        "the view accepted at the highest ballot must be proposed"
    );
    let mut proposer = agreement(2);
    let ballot = ballot_of(&proposer.propose(target(&[1, 2])));
    let _ = proposer.handle(NodeId(2), promise(ballot, None, true), true);
    let step = proposer.handle(NodeId(3), promise(ballot, earlier(2, &[1, 3]), true), true);
    assert_eq!(accepted_views(&step), vec![view(2, &[1, 3]); 3]);
}

#[test]
fn an_acceptor_records_before_it_answers_and_refuses_lower_ballots() {
    let mut acceptor = agreement(1);
    let high = Ballot { round: 5, node: NodeId(2) };
    let low = Ballot { round: 4, node: NodeId(3) };
    let step =
        acceptor.handle(NodeId(2), ViewMessage::Prepare { instance: SECOND_EPOCH, ballot: high }, true);
    assert_eq!(step.record, Some(ViewRecord::Promised { instance: SECOND_EPOCH, ballot: high }));
    let accept = ViewMessage::Accept { instance: SECOND_EPOCH, ballot: low, view: view(2, &[1, 3]) };
    let step = acceptor.handle(NodeId(3), accept, true);
    assert_eq!(step.record, None);
    assert!(matches!(step.messages[0].message, ViewMessage::Refused { promised, .. } if promised == high));
    assert!(!acceptor.has_accepted_next_view());
    let accept = ViewMessage::Accept { instance: SECOND_EPOCH, ballot: high, view: view(2, &[1, 2]) };
    let step = acceptor.handle(NodeId(2), accept, true);
    assert!(matches!(step.record, Some(ViewRecord::Accepted { .. })));
    assert!(acceptor.has_accepted_next_view());
}

#[test]
fn a_proposer_goes_above_the_ballot_that_refused_it() {
    let mut proposer = agreement(1);
    let ballot = ballot_of(&proposer.propose(target(&[1, 2])));
    let promised = Ballot { round: 9, node: NodeId(3) };
    let refused = ViewMessage::Refused { instance: SECOND_EPOCH, ballot, promised };
    let _ = proposer.handle(NodeId(2), refused, true);
    assert!(!proposer.is_proposing());
    assert!(ballot_of(&proposer.propose(target(&[1, 2]))) > promised);
}

#[test]
fn a_peer_behind_gets_the_view_and_a_peer_ahead_is_queried() {
    let mut node = agreement(1);
    let ballot = Ballot { round: 1, node: NodeId(2) };
    let step = node.handle(NodeId(2), ViewMessage::Prepare { instance: Epoch(1), ballot }, true);
    assert!(matches!(&step.messages[0].message, ViewMessage::Decided { view } if view.epoch == Epoch(1)));
    let step = node.handle(NodeId(2), ViewMessage::Prepare { instance: Epoch(5), ballot }, true);
    assert_eq!(step.messages[0].message, ViewMessage::Query { known: Epoch(1) });
}

#[test]
fn a_non_voter_neither_promises_nor_proposes() {
    let mut non_voter = agreement(9);
    let ballot = Ballot { round: 1, node: NodeId(2) };
    let step = non_voter.handle(NodeId(2), ViewMessage::Prepare { instance: SECOND_EPOCH, ballot }, true);
    assert_eq!(step, Step::default());
    assert_eq!(non_voter.propose(target(&[1, 9])), Step::default());
}

#[test]
fn views_that_are_too_small_or_malformed_are_rejected() {
    let mut node = agreement(1);
    assert_eq!(node.propose(target(&[1])), Step::default());
    let with_duplicate_member = View::of_members(Epoch(7), vec![member(1), member(1)]);
    assert_eq!(
        node.handle(NodeId(2), ViewMessage::Decided { view: with_duplicate_member }, true),
        Step::default()
    );
    assert_eq!(node.handle(NodeId(2), ViewMessage::Decided { view: view(7, &[]) }, true), Step::default());
    let with_non_voting_member = ViewMessage::Decided { view: view_of_three_voters(7, &[1, 4]) };
    assert_eq!(node.handle(NodeId(2), with_non_voting_member, true), Step::default());
    assert_eq!(node.epoch(), Epoch(1));
}

#[test]
fn replaying_the_records_rebuilds_the_state() {
    let mut node = agreement(1);
    let mut replayed_state = ViewState::from_view(view(1, &[1, 2, 3]));
    let ballot = Ballot { round: 3, node: NodeId(2) };
    let messages = [
        ViewMessage::Prepare { instance: SECOND_EPOCH, ballot },
        ViewMessage::Accept { instance: SECOND_EPOCH, ballot, view: view(2, &[1, 2]) },
        ViewMessage::Decided { view: view(2, &[1, 2]) },
        ViewMessage::Prepare { instance: Epoch(3), ballot },
    ];
    for message in messages {
        let step = node.handle(NodeId(2), message, true);
        replayed_state.apply(&step.record.expect("each of these messages changes the durable state"));
        assert_eq!(replayed_state, *node.state());
    }
}

#[test]
fn voters_that_are_no_members_decide_but_never_become_the_first() {
    // Two members and a voter that is no member; the second member has failed.
    let state = || ViewState::from_view(view_of_three_voters(1, &[1, 2]));
    let mut proposer = ViewAgreement::new(NodeId(1), state(), 2);
    let ballot = ballot_of(&proposer.propose(target(&[1, 3])));
    let _ = proposer.handle(NodeId(1), promise(ballot, None, true), true);
    let step = proposer.handle(NodeId(3), promise(ballot, None, true), true);
    assert_eq!(accepted_views(&step), vec![view_of_three_voters(2, &[1, 3]); 3]);
    // The voter reports that it is complete, but it is no member of the current view.
    let mut proposer = ViewAgreement::new(NodeId(3), state(), 2);
    let ballot = ballot_of(&proposer.propose(target(&[3, 1])));
    let _ = proposer.handle(NodeId(1), promise(ballot, None, true), true);
    let step = proposer.handle(NodeId(3), promise(ballot, None, true), true);
    assert_eq!(accepted_views(&step), Vec::new());
}

#[test]
fn no_view_begins_with_too_few_complete_members() {
    let state = || ViewState::from_view(view_of_three_voters(1, &[1, 2]));
    let mut proposer = ViewAgreement::new(NodeId(1), state(), 2);
    let ballot = ballot_of(&proposer.propose(target(&[1, 3])));
    let _ = proposer.handle(NodeId(1), promise(ballot, None, true), true);
    let step = proposer.handle(NodeId(3), promise(ballot, None, false), true);
    assert_eq!(accepted_views(&step), Vec::new(), "only one member holds every committed command");
    let step = proposer.handle(NodeId(3), promise(ballot, None, true), true);
    assert_eq!(accepted_views(&step), vec![view_of_three_voters(2, &[1, 3]); 3]);
}

#[test]
fn completeness_of_a_non_voter_counts() {
    let target_with = |complete: &[u64]| TargetView {
        complete: complete.iter().copied().map(NodeId).collect(),
        ..TargetView::new(view(2, &[1, 2, 4]).voters, view(2, &[1, 4]).members)
    };
    for (complete, proposed) in [(&[][..], 0), (&[2][..], 0), (&[4][..], 3)] {
        let mut proposer = agreement(1);
        let ballot = ballot_of(&proposer.propose(target_with(complete)));
        let _ = proposer.handle(NodeId(1), promise(ballot, None, true), true);
        let step = proposer.handle(NodeId(2), promise(ballot, None, false), true);
        assert_eq!(accepted_views(&step).len(), proposed, "complete: {complete:?}");
    }
}

#[test]
fn a_majority_of_voters_decides_whatever_the_number_of_members() {
    let base = View { voters: view(1, &[1, 2, 3, 4, 5]).voters, ..view(1, &[1, 2, 3]) };
    let mut proposer = ViewAgreement::new(NodeId(1), ViewState::from_view(base.clone()), 2);
    let next = TargetView::new(base.voters.clone(), view(2, &[1, 2]).members);
    let ballot = ballot_of(&proposer.propose(next));
    let _ = proposer.handle(NodeId(1), promise(ballot, None, true), true);
    let after_two_promises = proposer.handle(NodeId(2), promise(ballot, None, true), true);
    assert!(after_two_promises.messages.is_empty(), "two of five voters are not a majority");
    let after_three_promises = proposer.handle(NodeId(5), promise(ballot, None, false), true);
    assert_eq!(accepted_views(&after_three_promises).len(), 5);
    for from in [1, 2] {
        let accepted = ViewMessage::Accepted { instance: SECOND_EPOCH, ballot };
        let _ = proposer.handle(NodeId(from), accepted, true);
        assert_eq!(proposer.epoch(), Epoch(1));
    }
    let accepted = ViewMessage::Accepted { instance: SECOND_EPOCH, ballot };
    let _ = proposer.handle(NodeId(4), accepted, true);
    assert_eq!(proposer.epoch(), SECOND_EPOCH);
}

#[test]
fn voters_change_one_at_a_time() {
    let mut node = agreement(1);
    let change = |ids: &[u64]| TargetView::new(view(2, ids).voters, view(2, &[1, 2]).members);
    assert_eq!(node.propose(change(&[1, 2, 4, 5])), Step::default());
    assert_eq!(node.propose(change(&[1])), Step::default());
    for one in [&[1, 2, 4][..], &[1, 2], &[1, 2, 3, 4], &[1, 2, 3]] {
        assert_eq!(node.propose(change(one)).messages.len(), 3);
    }
}

#[test]
fn an_acceptor_rejects_a_view_of_another_epoch() {
    let mut acceptor = agreement(1);
    let ballot = Ballot { round: 5, node: NodeId(2) };
    let accept = ViewMessage::Accept { instance: SECOND_EPOCH, ballot, view: view(3, &[1, 2]) };
    assert_eq!(acceptor.handle(NodeId(2), accept, true), Step::default());
    assert!(!acceptor.has_accepted_next_view());
}
