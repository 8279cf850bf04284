//! Writes to replicas: how many disks a change is written to, hedging, repair, invalid messages.

use millrudder_protocol::frame::MAX_CONTENT_BYTES;
use millrudder_protocol::message::Message;
use millrudder_protocol::store::{BetweenStores, FromDispatcher, QueryAnswer, ToDispatcher};
use millrudder_protocol::{Epoch, MessageId, RequestNumber};
use millrudder_queue::{Config, Input, Ticket};

use crate::harness::{message, store_id, StoreHarness, SHARD};
use crate::support::{start_replacing_learner, three_stores};

#[test]
fn a_write_needs_two_disks_of_three() {
    let mut harness = three_stores();
    harness.processes[1].stalled = true;
    harness.processes[2].stalled = true;
    harness.accept(0, 1, message(), true);
    harness.advance(14);
    assert_eq!(harness.acceptances(), 0);
    harness.processes[1].stalled = false;
    harness.sync(1);
    harness.advance(0);
    harness.input(0, Input::Tick);
    assert_eq!(harness.acceptances(), 1);
}

#[test]
fn only_a_write_quorum_is_written_to() {
    let mut harness = three_stores();
    let before = harness.sent_writes;
    let id = harness.accept(0, 1, message(), true);
    assert_eq!(harness.sent_writes - before, 1);
    let holders = (0..3).filter(|store| harness.state(*store, id).is_some()).count();
    assert_eq!(holders, 2);
}

#[test]
fn a_slow_replica_is_hedged() {
    let mut harness = three_stores();
    harness.processes[1].is_inbound_paused = true;
    let first = harness.accept(0, 1, message(), true);
    assert_eq!(harness.acceptances(), 0);
    harness.advance(60);
    assert_eq!(harness.acceptances(), 1, "the third replica has it");
    assert!(harness.state(2, first).is_some());
    harness.accept(0, 1, message(), true);
    assert_eq!(harness.acceptances(), 2, "further messages are sent to the third replica at once");
}

#[test]
fn a_slow_local_disk_is_hedged() {
    let mut harness = three_stores();
    harness.processes[0].stalled = true;
    harness.accept(0, 1, message(), true);
    harness.advance(60);
    assert_eq!(harness.acceptances(), 1, "both other replicas have it");
    harness.accept(0, 1, message(), true);
    assert_eq!(harness.acceptances(), 2);
}

#[test]
fn a_reconnected_replica_is_sent_unacknowledged_writes() {
    let mut harness = three_stores();
    harness.set_link(0, 1, false);
    harness.set_link(0, 2, false);
    harness.accept(0, 1, message(), true);
    harness.advance(1_000);
    assert_eq!(harness.acceptances(), 0);
    harness.set_link(0, 2, true);
    assert_eq!(harness.acceptances(), 1);
}

#[test]
fn an_acknowledged_message_survives_power_loss_and_one_lost_disk() {
    for lost in 0..3 {
        let mut harness = three_stores();
        let id = harness.accept(0, 1, message(), true);
        assert_eq!(harness.acceptances(), 1);
        for store in 0..3 {
            harness.kill(store);
        }
        let left: Vec<usize> = (0..3).filter(|store| *store != lost).collect();
        for store in &left {
            harness.start(*store);
        }
        harness.move_primary(left[0]);
        assert!(harness.state(left[0], id).is_some(), "the message was lost with disk {lost}");
        assert_eq!(harness.state(left[0], id).unwrap().message, Some(message()));
    }
}

#[test]
fn any_replica_answers_queries() {
    let mut harness = three_stores();
    let id = harness.accept(0, 1, message(), true);
    harness.send_from_dispatcher(
        1,
        2,
        FromDispatcher::Query { request: RequestNumber(1), id, with_body: true },
    );
    let answer =
        ToDispatcher::State { request: RequestNumber(1), answer: QueryAnswer::Body { body: message().body } };
    assert!(harness.sent_to_dispatchers.iter().any(|(_, message)| *message == answer));
}

#[test]
fn under_replicated_messages_are_repaired() {
    let mut harness = three_stores();
    harness.processes[2].is_inbound_paused = true;
    let id = harness.accept(0, 1, message(), true);
    harness.processes[2].is_inbound_paused = false;
    assert!(harness.state(2, id).is_none());
    harness.kill(1);
    harness.placement.epoch = Epoch(2);
    harness.placement.shards[0].replicas = vec![store_id(0), store_id(2)];
    harness.publish_placement();
    assert!(harness.state(2, id).is_some());
}

#[test]
fn a_snapshot_is_sent_in_bounded_chunks() {
    let config = Config { snapshot_chunk_bytes: 4_000, ..Config::default() };
    let mut harness = StoreHarness::with(3, 1, config);
    harness.hello(0, 1, 7, "zone-0", Vec::new());
    let ids: Vec<MessageId> =
        (0..50).map(|_| harness.accept(0, 1, Message { body: vec![1; 1_000], ..message() }, true)).collect();
    harness.kill(0);
    harness.move_primary(2);
    assert_eq!(harness.processes[2].node.as_ref().unwrap().health(harness.now()).primary_shards, 0);
    harness.advance(200);
    assert_eq!(harness.processes[2].node.as_ref().unwrap().health(harness.now()).primary_shards, 1);
    assert!(ids.iter().all(|id| harness.state(2, *id).is_some()));
}

#[test]
fn invalid_messages_between_stores_are_ignored() {
    let mut harness = three_stores();
    let id = harness.accept(0, 1, message(), true);
    let invalid = [
        BetweenStores::Written { number: RequestNumber(u64::MAX) },
        BetweenStores::Fenced { number: RequestNumber(3), shard: SHARD, term: Epoch(0) },
        BetweenStores::Promise { shard: SHARD, term: Epoch(9), states: Vec::new(), last: true },
        BetweenStores::Prepare { shard: SHARD, term: Epoch(0) },
        BetweenStores::Write { number: RequestNumber(1), shard: SHARD, term: Epoch(0), records: Vec::new() },
        BetweenStores::Pong,
    ];
    for message in invalid {
        harness.input(0, Input::Store { from: store_id(9), message });
    }
    assert_eq!(harness.processes[0].node.as_ref().unwrap().health(harness.now()).primary_shards, 1);
    assert!(harness.state(0, id).is_some());
}

/// Each process numbers its own writes. A replica's late acknowledgement of a write of the former process must
/// not be taken for the acknowledgement of a write of the current one.
#[test]
fn a_late_acknowledgement_for_a_former_process_is_ignored() {
    let mut harness = three_stores();
    harness.set_link(0, 2, false);
    harness.processes[1].stalled = true;
    for _ in 0..10 {
        harness.accept(0, 1, message(), true);
    }
    let before = Ticket(harness.processes[1].records.len() as u64);
    harness.kill(0);
    harness.start(0);
    harness.set_link(0, 2, true);
    harness.set_link(0, 2, false);
    harness.hello(0, 11, 7, "zone-0", Vec::new());
    harness.sent_to_dispatchers.clear();
    let id = harness.accept(0, 11, message(), true);
    assert!(harness.state(1, id).is_some(), "the replica has received it but not synced it");

    harness.input(1, Input::Synced { ticket: before });
    assert_eq!(harness.acceptances(), 0, "only the primary's own disk has it");
    harness.processes[1].stalled = false;
    harness.sync(1);
    harness.input(0, Input::Tick);
    assert_eq!(harness.acceptances(), 1);
}

#[test]
fn an_acknowledgement_of_a_former_incarnations_write_is_ignored() {
    let mut harness = three_stores();
    harness.processes[1].is_inbound_paused = true;
    harness.processes[2].is_inbound_paused = true;
    harness.accept(0, 1, message(), true);
    for number in [7, u64::MAX] {
        let answer = BetweenStores::Written { number: RequestNumber(number) };
        harness.input(0, Input::Store { from: store_id(1), message: answer });
    }
    assert_eq!(harness.acceptances(), 0);
    harness.resume_inbound(1);
    assert_eq!(harness.acceptances(), 1);
}

/// A message with a body of so many bytes.
fn with_body(bytes: usize) -> Message {
    Message { body: vec![b'x'; bytes], ..message() }
}

/// The body of the largest message that an edge accepts.
fn largest_body() -> usize {
    Message::MAX_ENCODED_BYTES - with_body(0).encoded_bytes()
}

// Guards against a `Write` above the length of a frame, which is dropped, while the acknowledgement of the next one counts
// for it too: messages that were granted in one turn, to a replica that lacks them, would be on one disk only.
#[test]
fn messages_granted_in_one_turn_are_written_in_frames() {
    let mut harness = three_stores();
    harness.set_link(0, 2, false);
    harness.credits(0, 1, "service", 0);
    let ids: Vec<MessageId> = (0..12).map(|_| harness.accept(0, 1, with_body(1_000_000), false)).collect();
    harness.set_link(0, 1, false);
    harness.set_link(0, 2, true);
    harness.longest_sent_bytes = 0;
    harness.credits(0, 1, "service", 64);
    assert_eq!(harness.take_grants().len(), 12);
    assert!(ids.iter().all(|id| harness.state(2, *id).is_some()));
    assert!(harness.longest_sent_bytes <= MAX_CONTENT_BYTES, "{} bytes", harness.longest_sent_bytes);
}

// Guards against a repair or a snapshot above the length of a frame: a large message beside smaller ones.
#[test]
fn repairs_and_snapshots_of_the_largest_messages_are_sent_in_frames() {
    let mut harness = three_stores();
    harness.set_link(0, 2, false);
    let bodies = [100_000, 100_000, largest_body(), 100_000, largest_body()];
    let ids = bodies.map(|bytes| harness.accept(0, 1, with_body(bytes), false));
    harness.set_link(0, 2, true);
    harness.longest_sent_bytes = 0;
    let learner = start_replacing_learner(&mut harness);
    harness.publish_placement();
    harness.advance(2_000);
    assert!(ids.iter().all(|id| harness.state(learner, *id).is_some()));
    harness.kill(0);
    harness.move_primary(1);
    harness.advance(2_000);
    assert!(ids.iter().all(|id| harness.state(1, *id).is_some()));
    assert!(harness.longest_sent_bytes <= MAX_CONTENT_BYTES, "{} bytes", harness.longest_sent_bytes);
}

// Guards against repair work that grows with the product of what is queued for a slow store and what is in flight there: a
// replacement under load did not catch up within `catchUpS`, and the next lost disk took messages with it (review/1).
#[test]
fn each_further_overdue_write_does_not_assign_the_whole_queue_again() {
    const QUEUED: u64 = 2_000;
    const OVERDUE_WRITES: u64 = 300;
    let mut harness = three_stores();
    harness.set_link(0, 1, false);
    harness.processes[2].stalled = true;
    for _ in 0..QUEUED {
        harness.accept(0, 1, with_body(2_000), false);
    }
    harness.advance(100);
    harness.processes[1].is_inbound_paused = true;
    harness.set_link(0, 1, true);
    let assignments =
        |harness: &StoreHarness| harness.processes[0].node.as_ref().unwrap().repair_assignments();
    let before = assignments(&harness);
    for _ in 0..OVERDUE_WRITES {
        harness.accept(0, 1, message(), false);
        harness.advance(1);
    }
    let made = assignments(&harness) - before;
    assert!(made <= 4 * (QUEUED + OVERDUE_WRITES), "{made} assignments of {QUEUED} messages");
    harness.processes[2].stalled = false;
    harness.sync(2);
    harness.resume_inbound(1);
    harness.advance(2_000);
    assert_eq!(harness.acceptances() as u64, QUEUED + OVERDUE_WRITES);
}
