//! How many disks a fact is written to, and what is told between stores.

use millrudder_protocol::message::Message;
use millrudder_protocol::store::{BetweenStores, FromDispatcher, QueryAnswer, ToDispatcher};
use millrudder_protocol::{Epoch, MessageId, RequestNumber};
use millrudder_queue::{Config, Input, Ticket};

use crate::support::three_stores;
use crate::wired::{message, store_id, Wired, SHARD};

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
fn a_replica_answers_questions_whoever_is_primary() {
    let mut wired = three_stores();
    let id = wired.accept(0, 1, message(), true);
    wired.say(1, 2, FromDispatcher::Query { request: RequestNumber(1), id, body: true });
    let answer =
        ToDispatcher::State { request: RequestNumber(1), answer: QueryAnswer::Body { body: message().body } };
    assert!(wired.told.iter().any(|(_, message)| *message == answer));
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
fn many_states_come_in_bounded_pieces() {
    let config = Config { snapshot_chunk_bytes: 4_000, ..Config::default() };
    let mut wired = Wired::with(3, 1, config);
    wired.hello(0, 1, 7, "zone-0", Vec::new());
    let ids: Vec<MessageId> =
        (0..50).map(|_| wired.accept(0, 1, Message { body: vec![1; 1_000], ..message() }, true)).collect();
    wired.kill(0);
    wired.move_primary(2);
    assert_eq!(wired.places[2].node.as_ref().unwrap().health(wired.now()).serving, 0);
    wired.advance(200);
    assert_eq!(wired.places[2].node.as_ref().unwrap().health(wired.now()).serving, 1);
    assert!(ids.iter().all(|id| wired.state(2, *id).is_some()));
}

#[test]
fn garbage_between_stores_changes_nothing() {
    let mut wired = three_stores();
    let id = wired.accept(0, 1, message(), true);
    let stray = [
        BetweenStores::Written { number: RequestNumber(u64::MAX) },
        BetweenStores::Fenced { number: RequestNumber(3), shard: SHARD, term: Epoch(0) },
        BetweenStores::Promise { shard: SHARD, term: Epoch(9), states: Vec::new(), last: true },
        BetweenStores::Prepare { shard: SHARD, term: Epoch(0) },
        BetweenStores::Write { number: RequestNumber(1), shard: SHARD, term: Epoch(0), records: Vec::new() },
        BetweenStores::Pong,
    ];
    for message in stray {
        wired.input(0, Input::Store { from: store_id(9), message });
    }
    assert_eq!(wired.places[0].node.as_ref().unwrap().health(wired.now()).serving, 1);
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
