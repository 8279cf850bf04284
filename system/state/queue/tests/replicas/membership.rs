//! A shard's replicas change.

use millrudder_protocol::control::CaughtUpShard;
use millrudder_protocol::store::{FromDispatcher, QueryAnswer, ToDispatcher};
use millrudder_protocol::{Epoch, MessageId, RequestNumber};

use crate::support::{moving_to_a_learner, replaces, three_stores};
use crate::wired::{message, store_id, Wired, SHARD};

#[test]
fn a_store_that_holds_a_shard_no_more_does_not_say_that_a_message_is_unknown() {
    let mut wired = three_stores();
    let id = wired.name();
    let ask = |wired: &mut Wired| {
        wired.told.clear();
        wired.say(1, 2, FromDispatcher::Query { request: RequestNumber(1), id, with_body: false });
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
    assert_eq!(wired.caught_up, [(learner, CaughtUpShard { shard: SHARD, change: Epoch(2) })]);
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
    assert_eq!(wired.caught_up, [(learner, CaughtUpShard { shard: SHARD, change: Epoch(2) })]);
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
    assert_eq!(wired.caught_up.last(), Some(&(learner, CaughtUpShard { shard: SHARD, change: Epoch(4) })));
    assert!(wired.state(learner, between).is_some());
}
