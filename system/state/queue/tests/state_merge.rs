//! Merging the states of a message is monotonic: records that are merged in any order, or recovered from any
//! prefix of a disk, give the combination of what they contain.

mod cluster;

use cluster::{Cluster, Options};
use millrudder_clock::Instant;
use millrudder_protocol::message::{End, Grant, Message, MessageState};
use millrudder_protocol::store::Record;
use millrudder_protocol::{DispatcherId, LeaseToken, MessageId, Sequence, ShardId, StoreId};
use millrudder_queue::{Config, DiskRecord, Recovered, StoreNode};
use proptest::prelude::*;
use std::time::Duration;

const ID: MessageId = MessageId { shard: ShardId(0), unique: 1 };
/// A time long after everything that the records describe, so that no age is truncated.
const NOW: Instant = Instant::from_millis(1_000_000);

fn body() -> Message {
    cluster::plain_message()
}

fn end() -> impl Strategy<Value = End> {
    prop_oneof![
        "[ab]".prop_map(|signature| End::Completed { signature }),
        Just(End::DeadLetter),
        Just(End::Withdrawn),
    ]
}

prop_compose! {
    fn state()(
        age_ms in 0_u64..1_000,
        failed_attempts in 0_u32..4,
        token in proptest::option::of(1_u64..5),
        resolved_through in 0_u64..5,
        end in proptest::option::of(end()),
        ended_age_ms in 0_u64..1_000,
        callback_done in any::<bool>(),
    ) -> MessageState {
        let grant = |token| Grant { dispatcher: DispatcherId(token), token: LeaseToken(token) };
        MessageState {
            id: ID,
            sequence: Sequence(5),
            age_ms,
            message: Some(body()),
            failed_attempts,
            grant: token.map(grant),
            resolved_through: LeaseToken(resolved_through),
            ended_age_ms: if end.is_some() { ended_age_ms } else { 0 },
            end,
            callback_done,
        }
    }
}

fn recover(records: &[Record]) -> StoreNode {
    let recovered = records.iter().map(|record| Recovered {
        record: DiskRecord::Message { record: record.clone() },
        age: Duration::ZERO,
    });
    StoreNode::new(Config::default(), StoreId(1), "zone".to_owned(), NOW, recovered)
}

fn merge(states: &[MessageState]) -> MessageState {
    let record = |state: &MessageState| Record::State { state: Box::new(state.clone()) };
    let records: Vec<Record> = states.iter().map(record).collect();
    let merged = recover(&records).state_of(ID).expect("known");
    // The time of the end is taken from the first record that contains it, so it depends on the order. Only the
    // end itself must agree.
    MessageState { ended_age_ms: 0, ..merged }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn merge_order_does_not_matter(states in proptest::collection::vec(state(), 1..5), rotation in 0_usize..5) {
        let merged = merge(&states);
        let mut rotated = states.clone();
        rotated.rotate_left(rotation % states.len());
        prop_assert_eq!(&merge(&rotated), &merged);
        rotated.reverse();
        prop_assert_eq!(&merge(&rotated), &merged);
        let twice: Vec<MessageState> = states.iter().chain(&states).cloned().collect();
        prop_assert_eq!(&merge(&twice), &merged);
        let again: Vec<MessageState> = states.into_iter().chain([merged.clone()]).collect();
        prop_assert_eq!(merge(&again), merged);
    }

    #[test]
    fn a_known_end_only_gains_precedence(first in end(), second in end()) {
        let with = |end: &End| MessageState { end: Some(end.clone()), ..unended() };
        let merged = merge(&[with(&first), with(&second)]);
        prop_assert_eq!(merged.end, Some(first.min(second)));
    }
}

fn unended() -> MessageState {
    MessageState {
        id: ID,
        sequence: Sequence(5),
        age_ms: 0,
        message: Some(body()),
        failed_attempts: 0,
        grant: None,
        resolved_through: LeaseToken(0),
        end: None,
        ended_age_ms: 0,
        callback_done: false,
    }
}

#[test]
fn a_change_of_an_unknown_message_is_ignored() {
    let records = [Record::Ended { id: ID, end: End::DeadLetter }, Record::CallbackDone { id: ID }];
    assert_eq!(recover(&records).state_of(ID), None);
}

/// Asserts that the later state includes everything in the earlier one.
fn assert_includes(before: &MessageState, after: &MessageState) {
    assert!(after.failed_attempts >= before.failed_attempts);
    assert!(after.resolved_through >= before.resolved_through);
    assert!(after.grant.map(|grant| grant.token) >= before.grant.map(|grant| grant.token));
    assert!(after.callback_done || !before.callback_done);
    if let Some(end) = &before.end {
        assert!(after.end.as_ref().is_some_and(|known| known <= end));
    }
}

#[test]
fn every_prefix_of_a_disk_recovers() {
    let mut cluster = Cluster::new(Options { seed: 3, ..Options::default() });
    cluster.run_until(1_000);
    cluster.clients_until(2_500);
    cluster.run_until(3_500);
    let records = cluster.stores[0].disk.recover(NOW.as_millis());
    assert!(records.len() > 100);
    let ids: Vec<MessageId> = cluster.request_log.messages.keys().copied().collect();
    let mut before: Vec<Option<MessageState>> = vec![None; ids.len()];
    for length in 0..=records.len() {
        let prefix = records[..length].iter().cloned();
        let node = StoreNode::new(Config::default(), StoreId(1), "zone".to_owned(), NOW, prefix);
        for (id, known) in ids.iter().zip(&mut before) {
            let after = node.state_of(*id);
            if let (Some(before), Some(after)) = (known.as_ref(), after.as_ref()) {
                assert_includes(before, after);
            }
            assert!(after.is_some() || known.is_none(), "{id} was known before and is missing now");
            *known = after;
        }
    }
}

#[test]
fn a_compacted_store_recovers_the_same_state() {
    let mut cluster = Cluster::new(Options { seed: 4, ..Options::default() });
    cluster.run_until(1_000);
    cluster.clients_until(3_000);
    cluster.run_until(3_200);
    let node = cluster.stores[0].node.as_ref().expect("runs");
    let states: Vec<MessageState> =
        cluster.request_log.messages.keys().filter_map(|id| node.state_of(*id)).collect();
    assert!(states.len() > 20);
    let record = |state: &MessageState| Recovered {
        record: DiskRecord::Message { record: Record::State { state: Box::new(state.clone()) } },
        age: Duration::ZERO,
    };
    let promises = node.promised_terms().into_iter().map(|record| Recovered { record, age: Duration::ZERO });
    let compacted: Vec<Recovered> = states.iter().map(record).chain(promises).collect();
    let again = StoreNode::new(
        Config::default(),
        StoreId(100),
        "zone".to_owned(),
        Instant::from_millis(cluster.now_ms),
        compacted.into_iter(),
    );
    for state in states {
        assert_eq!(again.state_of(state.id), Some(state));
    }
    assert_eq!(again.promised_terms(), node.promised_terms());
}
