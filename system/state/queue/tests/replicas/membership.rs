//! Membership changes: the replicas of a shard change.

use millrudder_protocol::control::CaughtUpShard;
use millrudder_protocol::store::{FromDispatcher, QueryAnswer, ToDispatcher};
use millrudder_protocol::{Epoch, MessageId, RequestNumber};

use crate::harness::{message, store_id, StoreHarness, SHARD};
use crate::support::{replaces, start_replacing_learner, three_stores};

#[test]
fn a_former_replica_does_not_answer_unknown() {
    let mut harness = three_stores();
    let id = harness.next_message_id();
    let ask = |harness: &mut StoreHarness| {
        harness.sent_to_dispatchers.clear();
        harness.send_from_dispatcher(
            1,
            2,
            FromDispatcher::Query { request: RequestNumber(1), id, with_body: false },
        );
        let (_, answer) = harness.sent_to_dispatchers.pop().expect("an answer");
        answer
    };
    let state = |answer: QueryAnswer| ToDispatcher::State { request: RequestNumber(1), answer };
    assert_eq!(ask(&mut harness), state(QueryAnswer::Unknown));
    harness.placement.epoch = Epoch(2);
    harness.placement.shards[0].replicas = vec![store_id(0), store_id(2)];
    harness.publish_placement();
    assert_eq!(ask(&mut harness), state(QueryAnswer::NotReplica));
}

#[test]
fn a_filled_learner_may_replace_a_lost_store() {
    let mut harness = three_stores();
    let before: Vec<MessageId> = (0..30).map(|_| harness.accept(0, 1, message(), true)).collect();
    harness.kill(1);
    let learner = harness.add_process();
    harness.placement.shards[0].change = Some(replaces(1, learner, Epoch(2)));
    harness.placement.epoch = Epoch(2);
    harness.start(learner);
    harness.publish_placement();
    let during = harness.accept(0, 1, message(), true);
    assert_eq!(harness.caught_up, [(learner, CaughtUpShard { shard: SHARD, change: Epoch(2) })]);
    for id in before.iter().chain([&during]) {
        assert!(harness.state(learner, *id).is_some());
    }
    harness.placement.shards[0].change = None;
    harness.placement.shards[0].replicas = vec![store_id(0), store_id(2), store_id(learner)];
    harness.placement.epoch = Epoch(3);
    harness.publish_placement();
    harness.kill(0);
    harness.move_primary(2);
    for id in before {
        assert!(harness.state(2, id).is_some());
    }
}

#[test]
fn during_a_membership_change_a_write_needs_both_quorums() {
    let mut harness = three_stores();
    let learner = start_replacing_learner(&mut harness);
    harness.publish_placement();
    harness.set_link(0, 1, false);
    harness.processes[learner].is_inbound_paused = true;
    let id = harness.accept(0, 1, message(), true);
    assert!(harness.state(2, id).is_some());
    assert_eq!(harness.last_accepted(), None, "stores 0 and 2 are a quorum of the current membership only");
    harness.resume_inbound(learner);
    assert!(harness.last_accepted().is_some());
}

#[test]
fn acknowledged_writes_survive_a_leaving_replica_and_the_primary() {
    let mut harness = three_stores();
    harness.set_link(0, 1, false);
    let id = harness.accept(0, 1, message(), true);
    assert!(harness.last_accepted().is_some() && harness.state(2, id).is_some());
    harness.set_link(0, 1, true);
    assert!(harness.state(1, id).is_none());
    let learner = start_replacing_learner(&mut harness);
    harness.publish_placement();
    assert_eq!(harness.caught_up, [(learner, CaughtUpShard { shard: SHARD, change: Epoch(2) })]);
    harness.placement.shards[0].change = None;
    harness.placement.shards[0].replicas = vec![store_id(0), store_id(1), store_id(learner)];
    harness.placement.epoch = Epoch(3);
    harness.publish_placement();
    harness.kill(2);
    harness.kill(0);
    harness.move_primary(1);
    assert!(harness.state(1, id).is_some());
}

#[test]
fn during_a_membership_change_a_takeover_reads_both_quorums() {
    let mut harness = three_stores();
    let learner = start_replacing_learner(&mut harness);
    harness.publish_placement();
    harness.hello(1, 2, 7, "zone-0", Vec::new());
    harness.kill(0);
    harness.processes[2].is_inbound_paused = true;
    harness.move_primary(1);
    harness.accept(1, 2, message(), true);
    assert_eq!(
        harness.last_accepted(),
        None,
        "stores 1 and {learner} are a quorum of the next membership only"
    );
    harness.processes[2].is_inbound_paused = false;
    harness.resume_inbound(2);
    harness.accept(1, 2, message(), true);
    assert!(harness.last_accepted().is_some());
}

#[test]
fn an_aborted_membership_change_fills_its_learner_again() {
    let mut harness = three_stores();
    let learner = start_replacing_learner(&mut harness);
    harness.publish_placement();
    harness.placement.shards[0].change = None;
    harness.placement.epoch = Epoch(3);
    harness.publish_placement();
    let between = harness.accept(0, 1, message(), true);
    assert!(harness.state(learner, between).is_none());
    harness.placement.shards[0].change = Some(replaces(2, learner, Epoch(4)));
    harness.placement.epoch = Epoch(4);
    harness.publish_placement();
    assert_eq!(harness.caught_up.last(), Some(&(learner, CaughtUpShard { shard: SHARD, change: Epoch(4) })));
    assert!(harness.state(learner, between).is_some());
}
