//! A shard's primary changes.

use millrudder_protocol::message::{End, Message};
use millrudder_protocol::store::{ActiveLease, AttemptOutcome, FromDispatcher, NotAccepted, ToDispatcher};
use millrudder_protocol::{Epoch, MessageId};
use millrudder_queue::{ConnectionId, DiskRecord, Input};

use crate::support::{accepted_token, announce, completed, lose_disk, success, three_stores};
use crate::wired::{message, store_id, with_key};

#[test]
fn a_new_primary_has_all_that_was_acknowledged() {
    let mut wired = three_stores();
    let ids: Vec<MessageId> = (0..20).map(|_| wired.accept(0, 1, message(), true)).collect();
    wired.kill(0);
    wired.move_primary(2);
    for id in ids {
        assert!(wired.state(2, id).is_some());
    }
    let health = wired.places[2].node.as_ref().unwrap().health(wired.now());
    assert_eq!(health.serving, 1);
}

#[test]
fn a_message_withdrawn_while_its_primary_changes_does_not_run() {
    let mut wired = three_stores();
    let id = wired.accept(0, 1, message(), true);
    wired.kill(0);
    wired.places[1].held = true;
    wired.move_primary(2);
    wired.hello(2, 30, 30, "zone-2", Vec::new());
    announce(&mut wired, 2, Vec::new());
    wired.say(2, 3, FromDispatcher::Withdraw { id });
    wired.release(1);
    assert_eq!(wired.state(2, id).unwrap().end, Some(End::Withdrawn));
    wired.advance(1_000);
    assert!(wired.take_grants().is_empty());
}

#[test]
fn a_message_is_not_accepted_before_a_read_quorum_was_heard() {
    let mut wired = three_stores();
    wired.kill(0);
    wired.kill(1);
    wired.move_primary(2);
    wired.accept(2, 3, message(), true);
    let refused = |message: &ToDispatcher| {
        matches!(
            message,
            ToDispatcher::NotAccepted { reason: NotAccepted::NotPrimary { epoch: Epoch(2) }, .. }
        )
    };
    assert!(wired.told.iter().any(|(_, message)| refused(message)));
    wired.start(1);
    wired.accept(2, 3, message(), true);
    assert_eq!(wired.acceptances(), 1);
}

#[test]
fn an_old_primary_that_knows_nothing_of_the_new_one_acknowledges_nothing() {
    let mut wired = three_stores();
    wired.places[0].held = true;
    wired.move_primary(1);
    let node = wired.places[0].node.as_ref().unwrap();
    assert_eq!(node.health(wired.now()).serving, 1, "it still believes to be primary");
    wired.accept(0, 1, message(), true);
    wired.advance(1_000);
    assert_eq!(wired.acceptances(), 0);
    wired.release(0);
    let node = wired.places[0].node.as_ref().unwrap();
    assert_eq!(node.health(wired.now()).serving, 0, "the refusal tells it");
    assert_eq!(wired.acceptances(), 0);
}

#[test]
fn a_store_killed_between_sync_and_reply_leaves_the_message_to_the_next_primary() {
    let mut wired = three_stores();
    wired.places[0].stalled = true;
    let id = wired.accept(0, 1, message(), true);
    assert_eq!(wired.acceptances(), 0);
    wired.kill(0);
    wired.move_primary(1);
    wired.accept_as(1, 2, id, message(), true);
    assert_eq!(wired.acceptances(), 1, "asked again, the next primary acknowledges it");
    announce(&mut wired, 1, Vec::new());
    assert_eq!(wired.take_grants().iter().filter(|granted| granted.id == id).count(), 1);
}

#[test]
fn two_stores_that_disagree_on_the_last_record_are_joined() {
    let mut wired = three_stores();
    let id = wired.accept(0, 1, message(), true);
    let token = accepted_token(&wired);
    wired.places[1].held = true;
    wired.places[2].held = true;
    wired.attempted(0, 1, id, token, success());
    assert!(!wired.is_recorded(id, token), "only the primary knows the end");
    wired.kill(0);
    wired.release(2);
    wired.release(1);
    wired.kill(1);
    wired.start(0);
    wired.move_primary(2);
    assert_eq!(wired.state(2, id).unwrap().end, completed());
    announce(&mut wired, 2, vec![ActiveLease { id, token }]);
    wired.attempted(2, 3, id, token, success());
    assert!(wired.is_recorded(id, token));
    wired.advance(10_000);
    assert!(wired.take_grants().is_empty(), "it does not run again");
}

#[test]
fn a_lease_of_an_old_primary_stays_with_its_holder() {
    let mut wired = three_stores();
    wired.hello(1, 20, 20, "zone-1", Vec::new());
    let id = wired.accept(0, 1, message(), true);
    let token = accepted_token(&wired);
    wired.kill(0);
    wired.move_primary(1);
    wired.hello(1, 20, 20, "zone-1", Vec::new());
    assert!(wired.take_grants().is_empty(), "the other dispatcher says nothing about it");
    announce(&mut wired, 1, vec![ActiveLease { id, token }]);
    for _ in 0..10 {
        wired.advance(500);
        wired.say(1, 2, FromDispatcher::Ping);
        wired.say(1, 20, FromDispatcher::Ping);
    }
    assert!(wired.take_grants().is_empty());
    wired.attempted(1, 2, id, token, success());
    assert!(wired.is_recorded(id, token));
    assert_eq!(wired.state(1, id).unwrap().end, completed());
}

#[test]
fn a_lease_that_its_holder_does_not_list_is_granted_at_once() {
    let mut wired = three_stores();
    let id = wired.accept(0, 1, message(), true);
    let token = accepted_token(&wired);
    wired.kill(0);
    wired.move_primary(1);
    announce(&mut wired, 1, Vec::new());
    let granted = wired.take_grants();
    assert_eq!(granted[0].id, id);
    assert!(granted[0].token > token);
}

#[test]
fn a_message_in_doubt_that_is_learnt_after_the_hello_runs_nowhere_else() {
    let mut wired = three_stores();
    wired.hello(1, 20, 20, "zone-1", Vec::new());
    let id = wired.accept(0, 1, message(), true);
    wired.kill(0);
    wired.places[2].held = true;
    wired.move_primary(1);
    wired.hello(1, 20, 20, "zone-1", Vec::new());
    wired.hello_in_doubt(1, 2, 1, "zone-0", Vec::new(), vec![id]);
    wired.release(2);
    wired.advance(400);
    assert!(wired.take_grants().is_empty(), "the dispatcher that asked has not said what becomes of it");
    wired.say(1, 2, FromDispatcher::Withdraw { id });
    wired.advance(5000);
    assert!(wired.take_grants().is_empty());
}

#[test]
fn a_message_in_doubt_runs_nowhere_else_and_can_be_withdrawn() {
    let mut wired = three_stores();
    wired.hello(1, 20, 20, "zone-1", Vec::new());
    let id = wired.accept(0, 1, message(), true);
    wired.kill(0);
    wired.move_primary(1);
    wired.hello(1, 20, 20, "zone-1", Vec::new());
    wired.hello_in_doubt(1, 2, 1, "zone-0", Vec::new(), vec![id]);
    wired.advance(400);
    assert!(wired.take_grants().is_empty(), "the dispatcher that asked has not said what becomes of it");
    wired.say(1, 2, FromDispatcher::Withdraw { id });
    wired.advance(5000);
    assert!(wired.take_grants().is_empty());
    assert_eq!(wired.state(1, id).unwrap().end, Some(End::Withdrawn));
}

#[test]
fn a_list_that_was_told_before_the_takeover_ended_counts() {
    let mut wired = three_stores();
    let id = wired.accept(0, 1, message(), true);
    let token = accepted_token(&wired);
    wired.kill(0);
    wired.places[2].held = true;
    wired.move_primary(1);
    announce(&mut wired, 1, vec![ActiveLease { id, token }]);
    wired.release(2);
    wired.advance(1_000);
    assert!(wired.take_grants().is_empty());
    wired.say(1, 2, FromDispatcher::Ping);
    wired.advance(2_500);
    assert!(wired.take_grants().is_empty(), "the holder listed it");
}

#[test]
fn a_dispatcher_lost_between_success_and_its_record_has_the_message_run_again() {
    let mut wired = three_stores();
    wired.hello(0, 20, 20, "zone-1", Vec::new());
    let id = wired.accept(0, 1, with_key("k"), true);
    let next = wired.accept(0, 20, with_key("k"), true);
    wired.input(0, Input::DispatcherClosed { connection: ConnectionId(1) });
    wired.advance(1_600);
    let granted = wired.take_grants();
    assert_eq!((granted.len(), granted[0].id), (1, id), "the next of its key still waits");
    wired.attempted(0, 20, id, granted[0].token, success());
    assert_eq!(wired.take_grants()[0].id, next);
}

#[test]
fn a_key_keeps_its_order_while_its_primary_changes() {
    let mut wired = three_stores();
    wired.hello(0, 20, 20, "zone-1", Vec::new());
    let first = wired.accept(0, 1, with_key("k"), true);
    let first_token = accepted_token(&wired);
    let second = wired.accept(0, 20, with_key("k"), true);
    wired.move_primary(1);
    wired.hello(1, 21, 20, "zone-1", Vec::new());
    let third = wired.accept(1, 21, with_key("k"), true);
    assert!(wired.take_grants().is_empty());
    announce(&mut wired, 1, vec![ActiveLease { id: first, token: first_token }]);
    assert!(wired.take_grants().is_empty(), "the first is still out");
    wired.attempted(1, 2, first, first_token, success());
    let granted = wired.take_grants();
    assert_eq!(granted.iter().map(|granted| granted.id).collect::<Vec<_>>(), [second]);
    wired.attempted(1, granted[0].connection.0, second, granted[0].token, success());
    assert_eq!(wired.take_grants()[0].id, third);
}

#[test]
fn a_failure_reported_to_two_primaries_counts_once() {
    let mut wired = three_stores();
    let id = wired.accept(0, 1, message(), true);
    let token = accepted_token(&wired);
    wired.attempted(0, 1, id, token, AttemptOutcome::Failed);
    wired.move_primary(1);
    announce(&mut wired, 1, vec![ActiveLease { id, token }]);
    wired.attempted(1, 2, id, token, AttemptOutcome::Failed);
    assert!(wired.is_recorded(id, token));
    assert_eq!(wired.state(1, id).unwrap().failed_attempts, 1);
}

#[test]
fn tokens_and_sequences_are_not_given_twice_by_a_process_that_starts_again() {
    let mut wired = three_stores();
    let first = wired.accept(0, 1, message(), true);
    let token = accepted_token(&wired);
    wired.kill(0);
    wired.start(0);
    announce(&mut wired, 0, vec![ActiveLease { id: first, token }]);
    let second = wired.accept(0, 1, message(), true);
    assert!(accepted_token(&wired) > token);
    let sequence = |id| wired.state(0, id).unwrap().sequence;
    assert!(sequence(second) > sequence(first));
}

#[test]
fn a_message_that_only_a_late_replica_knows_is_kept_after_all() {
    let mut wired = three_stores();
    wired.places[0].stalled = true;
    wired.set_link(0, 2, false);
    let id = wired.accept(0, 1, message(), true);
    assert!(wired.state(1, id).is_some(), "its record is under way to this one's disk");
    wired.kill(0);
    wired.places[1].held = true;
    wired.places[0].records.retain(|(_, record)| !matches!(record, DiskRecord::Message { .. }));
    wired.places[0].stalled = false;
    wired.start(0);
    wired.set_link(0, 2, true);
    wired.placement.epoch = Epoch(2);
    wired.placement.shards[0].primary = store_id(2);
    wired.placement.shards[0].term = Epoch(2);
    wired.spread();
    assert!(wired.state(2, id).is_none());
    wired.release(1);
    assert!(wired.state(2, id).is_some());
}

#[test]
fn what_a_store_only_heard_while_taking_over_is_not_told_as_held() {
    let mut wired = three_stores();
    wired.places[0].stalled = true;
    wired.set_link(0, 2, false);
    let id = wired.accept(0, 1, message(), true);
    wired.kill(0);
    wired.places[0].records.retain(|(_, record)| !matches!(record, DiskRecord::Message { .. }));
    wired.places[0].stalled = false;
    assert_eq!(wired.acceptances(), 0, "only the disk of store 1 has it");
    wired.places[2].stalled = true;
    wired.move_primary(2);
    wired.move_primary(1);
    wired.places[2].stalled = false;
    wired.sync(2);
    wired.input(2, Input::Tick);
    announce(&mut wired, 1, Vec::new());
    wired.accept_as(1, 2, id, message(), true);
    assert_eq!(wired.acceptances(), 1);
    lose_disk(&mut wired, 1);
    wired.kill(2);
    wired.start(0);
    wired.start(2);
    wired.move_primary(2);
    assert!(wired.state(2, id).is_some(), "acknowledged, and lost with one disk");
}

#[test]
fn what_was_joined_counts_on_the_own_disk_once_it_is_synced() {
    let mut wired = three_stores();
    wired.places[0].stalled = true;
    wired.set_link(0, 2, false);
    // A delay, so that no grant adds to what is known.
    let later = || Message { delay_ms: 20_000, ..message() };
    let id = wired.accept(0, 1, later(), false);
    wired.kill(0);
    wired.places[1].held = true;
    wired.move_primary(2);
    wired.places[2].stalled = true;
    wired.release(1);
    announce(&mut wired, 2, Vec::new());
    wired.accept_as(2, 3, id, later(), false);
    assert_eq!(wired.acceptances(), 0, "only the disk of store 1 has it");
    wired.places[2].stalled = false;
    wired.sync(2);
    wired.input(2, Input::Tick);
    assert_eq!(wired.acceptances(), 1);
}

#[test]
fn what_a_former_primary_only_heard_bears_no_further_facts() {
    let mut wired = three_stores();
    let id = wired.accept(0, 1, message(), true);
    let token = accepted_token(&wired);
    wired.places[2].stalled = true;
    wired.move_primary(2);
    wired.places[2].stalled = false;
    wired.sync(2);
    wired.input(2, Input::Tick);
    assert!(wired.state(2, id).is_some(), "stores 0 and 1 told it");
    wired.places[0].held = true;
    wired.move_primary(1);
    announce(&mut wired, 1, vec![ActiveLease { id, token }]);
    wired.attempted(1, 2, id, token, success());
    assert!(wired.is_recorded(id, token));
    lose_disk(&mut wired, 1);
    wired.kill(2);
    wired.kill(0);
    wired.places[0].held = false;
    wired.start(0);
    wired.start(2);
    wired.move_primary(2);
    assert_eq!(wired.state(2, id).unwrap().end, completed(), "recorded, and lost with one disk");
}

#[test]
fn what_a_late_replica_told_is_on_the_primarys_disk() {
    let mut wired = three_stores();
    wired.places[0].stalled = true;
    wired.set_link(0, 2, false);
    let id = wired.accept(0, 1, message(), true);
    wired.kill(0);
    wired.places[1].held = true;
    wired.places[0].records.retain(|(_, record)| !matches!(record, DiskRecord::Message { .. }));
    wired.places[0].stalled = false;
    wired.start(0);
    wired.set_link(0, 2, true);
    wired.move_primary(2);
    wired.release(1);
    let is_of = |record: &DiskRecord| matches!(record, DiskRecord::Message { record } if record.id() == id);
    assert!(wired.places[2].records.iter().any(|(_, record)| is_of(record)));
}
