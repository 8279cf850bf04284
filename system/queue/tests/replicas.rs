//! Several stores: what an acknowledgement needs, what a slow or lost store changes, and what a change of primary
//! leaves.

mod wired;

use millrudder_protocol::control::FilledShard;
use millrudder_protocol::message::{End, Message};
use millrudder_protocol::placement::{ChangeReason, MemberChange};
use millrudder_protocol::store::{
    AttemptOutcome, BetweenStores, FromDispatcher, HeldLease, NotAccepted, QueryAnswer, ToDispatcher,
};
use millrudder_protocol::{Epoch, LeaseToken, MessageId, RequestNumber};
use millrudder_queue::{Config, ConnectionId, DiskRecord, Input, Ticket};
use wired::{message, store_id, with_key, Wired, SHARD};

/// Three stores, of which one may be lost; a dispatcher is connected to each, by the connection of its number.
fn three_stores() -> Wired {
    let mut wired = Wired::new(3, 1);
    for store in 0..3 {
        wired.hello(store, store as u64 + 1, 7, "zone-0", Vec::new());
    }
    wired
}

fn accepted_token(wired: &Wired) -> LeaseToken {
    wired.last_accepted().expect("accepted").expect("with a lease")
}

fn success() -> AttemptOutcome {
    AttemptOutcome::Succeeded { signature: "s".to_owned() }
}

fn completed() -> Option<End> {
    Some(End::Completed { signature: "s".to_owned() })
}

/// The dispatcher has heard of a new placement.
fn announce(wired: &mut Wired, store: usize, held: Vec<HeldLease>) {
    wired.hello(store, store as u64 + 1, 7, "zone-0", held);
}

#[test]
fn two_disks_of_three_are_enough_and_needed() {
    let mut wired = three_stores();
    wired.places[1].stalled = true;
    wired.places[2].stalled = true;
    wired.accept(0, 1, message(), true);
    wired.advance(14);
    assert_eq!(wired.acceptances(), 0);
    wired.places[1].stalled = false;
    wired.sync(1);
    wired.advance(0);
    wired.input(0, Input::Tick);
    assert_eq!(wired.acceptances(), 1);
}

#[test]
fn only_as_many_replicas_are_written_to_as_are_needed() {
    let mut wired = three_stores();
    let before = wired.writes;
    let id = wired.accept(0, 1, message(), true);
    assert_eq!(wired.writes - before, 1);
    let holders = (0..3).filter(|store| wired.state(*store, id).is_some()).count();
    assert_eq!(holders, 2);
}

#[test]
fn a_follower_that_is_late_is_not_waited_for() {
    let mut wired = three_stores();
    wired.places[1].held = true;
    let first = wired.accept(0, 1, message(), true);
    assert_eq!(wired.acceptances(), 0);
    wired.advance(60);
    assert_eq!(wired.acceptances(), 1, "the third replica has it");
    assert!(wired.state(2, first).is_some());
    wired.accept(0, 1, message(), true);
    assert_eq!(wired.acceptances(), 2, "and further messages go there at once");
}

#[test]
fn a_slow_disk_of_the_primary_is_not_waited_for() {
    let mut wired = three_stores();
    wired.places[0].stalled = true;
    wired.accept(0, 1, message(), true);
    wired.advance(60);
    assert_eq!(wired.acceptances(), 1, "two followers have it");
    wired.accept(0, 1, message(), true);
    assert_eq!(wired.acceptances(), 2);
}

#[test]
fn a_follower_that_reconnects_is_sent_what_nobody_acknowledged() {
    let mut wired = three_stores();
    wired.set_link(0, 1, false);
    wired.set_link(0, 2, false);
    wired.accept(0, 1, message(), true);
    wired.advance(1_000);
    assert_eq!(wired.acceptances(), 0);
    wired.set_link(0, 2, true);
    assert_eq!(wired.acceptances(), 1);
}

#[test]
fn a_new_primary_has_all_that_was_acknowledged() {
    let mut wired = three_stores();
    let ids: Vec<MessageId> = (0..20).map(|_| wired.accept(0, 1, message(), true)).collect();
    wired.kill(0);
    wired.move_primary(2);
    for id in ids {
        assert!(wired.state(2, id).is_some());
    }
    let health = wired.places[2].node.as_ref().unwrap().health(wired.now_ms);
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
    assert_eq!(node.health(wired.now_ms).serving, 1, "it still believes to be primary");
    wired.accept(0, 1, message(), true);
    wired.advance(1_000);
    assert_eq!(wired.acceptances(), 0);
    wired.release(0);
    let node = wired.places[0].node.as_ref().unwrap();
    assert_eq!(node.health(wired.now_ms).serving, 0, "the refusal tells it");
    assert_eq!(wired.acceptances(), 0);
}

#[test]
fn power_lost_everywhere_and_a_disk_gone_right_after_the_acknowledgement() {
    for lost in 0..3 {
        let mut wired = three_stores();
        let id = wired.accept(0, 1, message(), true);
        assert_eq!(wired.acceptances(), 1);
        for store in 0..3 {
            wired.kill(store);
        }
        let left: Vec<usize> = (0..3).filter(|store| *store != lost).collect();
        for store in &left {
            wired.start(*store);
        }
        wired.move_primary(left[0]);
        assert!(wired.state(left[0], id).is_some(), "lost with disk {lost}");
        assert_eq!(wired.state(left[0], id).unwrap().message, Some(message()));
    }
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
    announce(&mut wired, 2, vec![HeldLease { id, token }]);
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
    announce(&mut wired, 1, vec![HeldLease { id, token }]);
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
    announce(&mut wired, 1, vec![HeldLease { id, token }]);
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
    announce(&mut wired, 1, vec![HeldLease { id: first, token: first_token }]);
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
    announce(&mut wired, 1, vec![HeldLease { id, token }]);
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
    announce(&mut wired, 0, vec![HeldLease { id: first, token }]);
    let second = wired.accept(0, 1, message(), true);
    assert!(accepted_token(&wired) > token);
    let sequence = |id| wired.state(0, id).unwrap().sequence;
    assert!(sequence(second) > sequence(first));
}

#[test]
fn a_replica_answers_questions_whoever_is_primary() {
    let mut wired = three_stores();
    let id = wired.accept(0, 1, message(), true);
    wired.say(1, 2, FromDispatcher::Query { request: RequestNumber(1), id, body: true });
    let answer =
        ToDispatcher::State { request: RequestNumber(1), answer: QueryAnswer::Body { body: message().body } };
    assert!(wired.told.iter().any(|(_, message)| *message == answer));
}

fn replaces(lost: usize, learner: usize, since: Epoch) -> MemberChange {
    let (joins, leaves) = (store_id(learner), Some(store_id(lost)));
    MemberChange { joins, leaves, since, reason: ChangeReason::Repair }
}

#[test]
fn a_store_that_holds_a_shard_no_more_does_not_say_that_a_message_is_unknown() {
    let mut wired = three_stores();
    let id = wired.name();
    let ask = |wired: &mut Wired| {
        wired.told.clear();
        wired.say(1, 2, FromDispatcher::Query { request: RequestNumber(1), id, body: false });
        let (_, told) = wired.told.pop().expect("an answer");
        told
    };
    let state = |answer: QueryAnswer| ToDispatcher::State { request: RequestNumber(1), answer };
    assert_eq!(ask(&mut wired), state(QueryAnswer::Unknown));
    wired.placement.epoch = Epoch(2);
    wired.placement.shards[0].replicas = vec![store_id(0), store_id(2)];
    wired.spread();
    assert_eq!(ask(&mut wired), state(QueryAnswer::NotReplica));
}

#[test]
fn a_learner_is_filled_and_may_take_a_lost_stores_place() {
    let mut wired = three_stores();
    let before: Vec<MessageId> = (0..30).map(|_| wired.accept(0, 1, message(), true)).collect();
    wired.kill(1);
    let learner = wired.add_place();
    wired.placement.shards[0].change = Some(replaces(1, learner, Epoch(2)));
    wired.placement.epoch = Epoch(2);
    wired.start(learner);
    wired.spread();
    let during = wired.accept(0, 1, message(), true);
    assert_eq!(wired.caught_up, [(learner, FilledShard { shard: SHARD, change: Epoch(2) })]);
    for id in before.iter().chain([&during]) {
        assert!(wired.state(learner, *id).is_some());
    }
    wired.placement.shards[0].change = None;
    wired.placement.shards[0].replicas = vec![store_id(0), store_id(2), store_id(learner)];
    wired.placement.epoch = Epoch(3);
    wired.spread();
    wired.kill(0);
    wired.move_primary(2);
    for id in before {
        assert!(wired.state(2, id).is_some());
    }
}

/// Store 3 is to take the place of store 2, which is well; nothing was said to it yet.
fn moving_to_a_learner(wired: &mut Wired) -> usize {
    let learner = wired.add_place();
    wired.placement.shards[0].change = Some(replaces(2, learner, Epoch(2)));
    wired.placement.epoch = Epoch(2);
    wired.start(learner);
    learner
}

#[test]
fn while_a_replica_moves_a_message_needs_a_quorum_before_and_after() {
    let mut wired = three_stores();
    let learner = moving_to_a_learner(&mut wired);
    wired.spread();
    wired.set_link(0, 1, false);
    wired.places[learner].held = true;
    let id = wired.accept(0, 1, message(), true);
    assert!(wired.state(2, id).is_some());
    assert_eq!(wired.last_accepted(), None, "stores 0 and 2 are a quorum before, not after");
    wired.release(learner);
    assert!(wired.last_accepted().is_some());
}

#[test]
fn what_a_leaving_replica_acknowledged_outlives_it_and_the_primary() {
    let mut wired = three_stores();
    wired.set_link(0, 1, false);
    let id = wired.accept(0, 1, message(), true);
    assert!(wired.last_accepted().is_some() && wired.state(2, id).is_some());
    wired.set_link(0, 1, true);
    assert!(wired.state(1, id).is_none());
    let learner = moving_to_a_learner(&mut wired);
    wired.spread();
    assert_eq!(wired.caught_up, [(learner, FilledShard { shard: SHARD, change: Epoch(2) })]);
    wired.placement.shards[0].change = None;
    wired.placement.shards[0].replicas = vec![store_id(0), store_id(1), store_id(learner)];
    wired.placement.epoch = Epoch(3);
    wired.spread();
    wired.kill(2);
    wired.kill(0);
    wired.move_primary(1);
    assert!(wired.state(1, id).is_some());
}

#[test]
fn a_new_primary_reads_a_quorum_before_and_after() {
    let mut wired = three_stores();
    let learner = moving_to_a_learner(&mut wired);
    wired.spread();
    wired.hello(1, 2, 7, "zone-0", Vec::new());
    wired.kill(0);
    wired.places[2].held = true;
    wired.move_primary(1);
    wired.accept(1, 2, message(), true);
    assert_eq!(wired.last_accepted(), None, "stores 1 and {learner} are a quorum after, not before");
    wired.places[2].held = false;
    wired.release(2);
    wired.accept(1, 2, message(), true);
    assert!(wired.last_accepted().is_some());
}

#[test]
fn a_change_that_was_given_up_and_begun_anew_is_filled_anew() {
    let mut wired = three_stores();
    let learner = moving_to_a_learner(&mut wired);
    wired.spread();
    wired.placement.shards[0].change = None;
    wired.placement.epoch = Epoch(3);
    wired.spread();
    let between = wired.accept(0, 1, message(), true);
    assert!(wired.state(learner, between).is_none());
    wired.placement.shards[0].change = Some(replaces(2, learner, Epoch(4)));
    wired.placement.epoch = Epoch(4);
    wired.spread();
    assert_eq!(wired.caught_up.last(), Some(&(learner, FilledShard { shard: SHARD, change: Epoch(4) })));
    assert!(wired.state(learner, between).is_some());
}

#[test]
fn what_too_few_replicas_hold_is_written_to_more() {
    let mut wired = three_stores();
    wired.places[2].held = true;
    let id = wired.accept(0, 1, message(), true);
    wired.places[2].held = false;
    assert!(wired.state(2, id).is_none());
    wired.kill(1);
    wired.placement.epoch = Epoch(2);
    wired.placement.shards[0].replicas = vec![store_id(0), store_id(2)];
    wired.spread();
    assert!(wired.state(2, id).is_some());
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
    wired.placement.shards[0].since = Epoch(2);
    wired.spread();
    assert!(wired.state(2, id).is_none());
    wired.release(1);
    assert!(wired.state(2, id).is_some());
}

#[test]
fn many_states_come_in_bounded_pieces() {
    let config = Config { piece_bytes: 4_000, ..Config::default() };
    let mut wired = Wired::with(3, 1, config);
    wired.hello(0, 1, 7, "zone-0", Vec::new());
    let ids: Vec<MessageId> =
        (0..50).map(|_| wired.accept(0, 1, Message { body: vec![1; 1_000], ..message() }, true)).collect();
    wired.kill(0);
    wired.move_primary(2);
    assert_eq!(wired.places[2].node.as_ref().unwrap().health(wired.now_ms).serving, 0);
    wired.advance(200);
    assert_eq!(wired.places[2].node.as_ref().unwrap().health(wired.now_ms).serving, 1);
    assert!(ids.iter().all(|id| wired.state(2, *id).is_some()));
}

#[test]
fn garbage_between_stores_changes_nothing() {
    let mut wired = three_stores();
    let id = wired.accept(0, 1, message(), true);
    let stray = [
        BetweenStores::Written { number: RequestNumber(u64::MAX) },
        BetweenStores::Fenced { number: RequestNumber(3), shard: SHARD, since: Epoch(0) },
        BetweenStores::Promised { shard: SHARD, since: Epoch(9), states: Vec::new(), last: true },
        BetweenStores::Promise { shard: SHARD, since: Epoch(0) },
        BetweenStores::Write { number: RequestNumber(1), shard: SHARD, since: Epoch(0), records: Vec::new() },
        BetweenStores::Pong,
    ];
    for message in stray {
        wired.input(0, Input::Store { from: store_id(9), message });
    }
    assert_eq!(wired.places[0].node.as_ref().unwrap().health(wired.now_ms).serving, 1);
    assert!(wired.state(0, id).is_some());
}

/// A process numbers its writes from one on: the follower's late answer to a write of the process before must not pass
/// for the answer to one of the present process.
#[test]
fn a_late_answer_to_the_process_before_acknowledges_nothing() {
    let mut wired = three_stores();
    wired.set_link(0, 2, false);
    wired.places[1].stalled = true;
    for _ in 0..10 {
        wired.accept(0, 1, message(), true);
    }
    let before = Ticket(wired.places[1].records.len() as u64);
    wired.kill(0);
    wired.start(0);
    wired.set_link(0, 2, true);
    wired.set_link(0, 2, false);
    wired.hello(0, 11, 7, "zone-0", Vec::new());
    wired.told.clear();
    let id = wired.accept(0, 11, message(), true);
    assert!(wired.state(1, id).is_some(), "the follower has it, and has not synced it");

    wired.input(1, Input::Synced { ticket: before });
    assert_eq!(wired.acceptances(), 0, "only the primary's own disk has it");
    wired.places[1].stalled = false;
    wired.sync(1);
    wired.input(0, Input::Tick);
    assert_eq!(wired.acceptances(), 1);
}

/// The process ends and its disk is lost: it starts without anything.
fn lose_disk(wired: &mut Wired, store: usize) {
    wired.kill(store);
    wired.places[store].records.clear();
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
    announce(&mut wired, 1, vec![HeldLease { id, token }]);
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
fn an_answer_to_a_write_of_a_former_life_counts_for_nothing() {
    let mut wired = three_stores();
    wired.places[1].held = true;
    wired.places[2].held = true;
    wired.accept(0, 1, message(), true);
    for number in [7, u64::MAX] {
        let answer = BetweenStores::Written { number: RequestNumber(number) };
        wired.input(0, Input::Store { from: store_id(1), message: answer });
    }
    assert_eq!(wired.acceptances(), 0);
    wired.release(1);
    assert_eq!(wired.acceptances(), 1);
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
