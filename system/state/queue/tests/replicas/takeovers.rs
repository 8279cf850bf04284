//! Takeovers: the primary of a shard changes.

use millrudder_protocol::message::{End, Message};
use millrudder_protocol::store::{
    AcceptRejection, ActiveLease, AttemptOutcome, FromDispatcher, ToDispatcher,
};
use millrudder_protocol::{Epoch, MessageId};
use millrudder_queue::{ConnectionId, DiskRecord, Input};

use crate::harness::{message, store_id, with_key, StoreHarness};
use crate::support::{accepted_token, announce, completed, lose_disk, success, three_stores};

#[test]
fn a_new_primary_has_every_acknowledged_message() {
    let mut harness = three_stores();
    let ids: Vec<MessageId> = (0..20).map(|_| harness.accept(0, 1, message(), true)).collect();
    harness.kill(0);
    harness.move_primary(2);
    for id in ids {
        assert!(harness.state(2, id).is_some());
    }
    let health = harness.processes[2].node.as_ref().unwrap().health(harness.now());
    assert_eq!(health.primary_shards, 1);
}

#[test]
fn a_message_withdrawn_during_a_takeover_does_not_run() {
    let mut harness = three_stores();
    let id = harness.accept(0, 1, message(), true);
    harness.kill(0);
    harness.processes[1].is_inbound_paused = true;
    harness.move_primary(2);
    harness.hello(2, 30, 30, "zone-2", Vec::new());
    announce(&mut harness, 2, Vec::new());
    harness.send_from_dispatcher(2, 3, FromDispatcher::Withdraw { id });
    harness.resume_inbound(1);
    assert_eq!(harness.state(2, id).unwrap().end, Some(End::Withdrawn));
    harness.advance(1_000);
    assert!(harness.take_grants().is_empty());
}

// Guards against the two halves of a lost withdrawal drifting apart: a store that does not know yet that it is the primary
// drops it without an answer, so that the dispatcher has to send it again (`intake`, `withdrawals.rs`).
#[test]
fn a_withdrawal_before_the_placement_is_dropped_and_holds_when_it_is_sent_again() {
    let mut harness = three_stores();
    let id = harness.accept(0, 1, message(), true);
    harness.kill(0);
    harness.send_from_dispatcher(2, 3, FromDispatcher::Withdraw { id });
    harness.move_primary(2);
    harness.hello(2, 30, 30, "zone-2", Vec::new());
    harness.hello_in_doubt(2, 3, 7, "zone-0", Vec::new(), vec![id]);
    let is_confirmed = |(_, message): &(_, ToDispatcher)| *message == ToDispatcher::Withdrawn { id };
    assert!(!harness.sent_to_dispatchers.iter().any(is_confirmed));
    assert_eq!(harness.state(2, id).unwrap().end, None);
    harness.send_from_dispatcher(2, 3, FromDispatcher::Withdraw { id });
    assert_eq!(harness.state(2, id).unwrap().end, Some(End::Withdrawn));
    harness.advance(1_000);
    assert!(harness.take_grants().is_empty());
}

#[test]
fn nothing_is_accepted_before_a_read_quorum_promised() {
    let mut harness = three_stores();
    harness.kill(0);
    harness.kill(1);
    harness.move_primary(2);
    harness.accept(2, 3, message(), true);
    let refused = |message: &ToDispatcher| {
        matches!(
            message,
            ToDispatcher::Rejected { reason: AcceptRejection::NotPrimary { epoch: Epoch(2) }, .. }
        )
    };
    assert!(harness.sent_to_dispatchers.iter().any(|(_, message)| refused(message)));
    harness.start(1);
    harness.accept(2, 3, message(), true);
    assert_eq!(harness.acceptances(), 1);
}

#[test]
fn a_stale_primary_acknowledges_nothing() {
    let mut harness = three_stores();
    harness.processes[0].is_inbound_paused = true;
    harness.move_primary(1);
    let node = harness.processes[0].node.as_ref().unwrap();
    assert_eq!(node.health(harness.now()).primary_shards, 1, "it still considers itself the primary");
    harness.accept(0, 1, message(), true);
    harness.advance(1_000);
    assert_eq!(harness.acceptances(), 0);
    harness.resume_inbound(0);
    let node = harness.processes[0].node.as_ref().unwrap();
    assert_eq!(node.health(harness.now()).primary_shards, 0, "the rejected write makes it step down");
    assert_eq!(harness.acceptances(), 0);
}

#[test]
fn a_store_killed_between_sync_and_reply_leaves_the_message_to_the_next_primary() {
    let mut harness = three_stores();
    harness.processes[0].stalled = true;
    let id = harness.accept(0, 1, message(), true);
    assert_eq!(harness.acceptances(), 0);
    harness.kill(0);
    harness.move_primary(1);
    harness.accept_as(1, 2, id, message(), true);
    assert_eq!(harness.acceptances(), 1, "the next primary acknowledges the repeated request");
    announce(&mut harness, 1, Vec::new());
    assert_eq!(harness.take_grants().iter().filter(|granted| granted.id == id).count(), 1);
}

#[test]
fn replicas_that_differ_in_the_last_record_are_merged() {
    let mut harness = three_stores();
    let id = harness.accept(0, 1, message(), true);
    let token = accepted_token(&harness);
    harness.processes[1].is_inbound_paused = true;
    harness.processes[2].is_inbound_paused = true;
    harness.attempted(0, 1, id, token, success());
    assert!(!harness.is_recorded(id, token), "only the primary has the end");
    harness.kill(0);
    harness.resume_inbound(2);
    harness.resume_inbound(1);
    harness.kill(1);
    harness.start(0);
    harness.move_primary(2);
    assert_eq!(harness.state(2, id).unwrap().end, completed());
    announce(&mut harness, 2, vec![ActiveLease { id, token }]);
    harness.attempted(2, 3, id, token, success());
    assert!(harness.is_recorded(id, token));
    harness.advance(10_000);
    assert!(harness.take_grants().is_empty(), "it does not run again");
}

#[test]
fn a_lease_of_a_former_primary_stays_with_its_dispatcher() {
    let mut harness = three_stores();
    harness.hello(1, 20, 20, "zone-1", Vec::new());
    let id = harness.accept(0, 1, message(), true);
    let token = accepted_token(&harness);
    harness.kill(0);
    harness.move_primary(1);
    harness.hello(1, 20, 20, "zone-1", Vec::new());
    assert!(harness.take_grants().is_empty(), "the lease does not belong to this dispatcher");
    announce(&mut harness, 1, vec![ActiveLease { id, token }]);
    for _ in 0..10 {
        harness.advance(500);
        harness.send_from_dispatcher(1, 2, FromDispatcher::Ping);
        harness.send_from_dispatcher(1, 20, FromDispatcher::Ping);
    }
    assert!(harness.take_grants().is_empty());
    harness.attempted(1, 2, id, token, success());
    assert!(harness.is_recorded(id, token));
    assert_eq!(harness.state(1, id).unwrap().end, completed());
}

#[test]
fn a_lease_that_is_not_announced_is_granted_again_at_once() {
    let mut harness = three_stores();
    let id = harness.accept(0, 1, message(), true);
    let token = accepted_token(&harness);
    harness.kill(0);
    harness.move_primary(1);
    announce(&mut harness, 1, Vec::new());
    let granted = harness.take_grants();
    assert_eq!(granted[0].id, id);
    assert!(granted[0].token > token);
}

#[test]
fn a_message_in_doubt_recovered_after_the_hello_runs_nowhere_else() {
    let mut harness = three_stores();
    harness.hello(1, 20, 20, "zone-1", Vec::new());
    let id = harness.accept(0, 1, message(), true);
    harness.kill(0);
    harness.processes[2].is_inbound_paused = true;
    harness.move_primary(1);
    harness.hello(1, 20, 20, "zone-1", Vec::new());
    harness.hello_in_doubt(1, 2, 1, "zone-0", Vec::new(), vec![id]);
    harness.resume_inbound(2);
    harness.advance(400);
    assert!(harness.take_grants().is_empty(), "the dispatcher that sent it has not resolved the doubt yet");
    harness.send_from_dispatcher(1, 2, FromDispatcher::Withdraw { id });
    harness.advance(5000);
    assert!(harness.take_grants().is_empty());
}

#[test]
fn a_message_in_doubt_runs_nowhere_else_and_can_be_withdrawn() {
    let mut harness = three_stores();
    harness.hello(1, 20, 20, "zone-1", Vec::new());
    let id = harness.accept(0, 1, message(), true);
    harness.kill(0);
    harness.move_primary(1);
    harness.hello(1, 20, 20, "zone-1", Vec::new());
    harness.hello_in_doubt(1, 2, 1, "zone-0", Vec::new(), vec![id]);
    harness.advance(400);
    assert!(harness.take_grants().is_empty(), "the dispatcher that sent it has not resolved the doubt yet");
    harness.send_from_dispatcher(1, 2, FromDispatcher::Withdraw { id });
    harness.advance(5000);
    assert!(harness.take_grants().is_empty());
    assert_eq!(harness.state(1, id).unwrap().end, Some(End::Withdrawn));
}

#[test]
fn leases_announced_during_the_takeover_count() {
    let mut harness = three_stores();
    let id = harness.accept(0, 1, message(), true);
    let token = accepted_token(&harness);
    harness.kill(0);
    harness.processes[2].is_inbound_paused = true;
    harness.move_primary(1);
    announce(&mut harness, 1, vec![ActiveLease { id, token }]);
    harness.resume_inbound(2);
    harness.advance(1_000);
    assert!(harness.take_grants().is_empty());
    harness.send_from_dispatcher(1, 2, FromDispatcher::Ping);
    harness.advance(2_500);
    assert!(harness.take_grants().is_empty(), "its holder announced the lease");
}

/// Three stores whose primary is lost while a dispatcher holds a lease that it granted.
fn lost_primary() -> (StoreHarness, ActiveLease) {
    let mut harness = three_stores();
    let id = harness.accept(0, 1, message(), true);
    let token = accepted_token(&harness);
    harness.kill(0);
    (harness, ActiveLease { id, token })
}

// Guards against a success that is dropped because its shard is being taken over: its dispatcher had stopped before it
// could repeat the report, and the message ran again.
#[test]
fn a_report_during_a_takeover_counts_although_its_dispatcher_stops() {
    let (mut harness, ActiveLease { id, token }) = lost_primary();
    harness.processes[2].is_inbound_paused = true;
    harness.move_primary(1);
    announce(&mut harness, 1, vec![ActiveLease { id, token }]);
    harness.attempted(1, 2, id, token, success());
    assert!(!harness.is_recorded(id, token), "the shard is not served yet");
    harness.input(1, Input::DispatcherClosed { connection: ConnectionId(2) });
    harness.hello(1, 20, 20, "zone-1", Vec::new());
    harness.resume_inbound(2);
    assert_eq!(harness.state(1, id).unwrap().end, completed());
    harness.advance(10_000);
    assert!(harness.take_grants().is_empty(), "it does not run again");
}

// Guards against the same where the dispatcher knows of the placement before the store does.
#[test]
fn a_report_before_the_placement_is_recorded_once_the_shard_is_served() {
    let (mut harness, ActiveLease { id, token }) = lost_primary();
    harness.attempted(1, 2, id, token, success());
    harness.move_primary(1);
    assert!(harness.is_recorded(id, token));
    assert_eq!(harness.state(1, id).unwrap().end, completed());
    harness.advance(10_000);
    assert!(harness.take_grants().is_empty(), "it does not run again");
}

// Guards against reports that outlive the placement under which they were sent, as their dispatchers send them elsewhere.
#[test]
fn a_report_is_dropped_where_another_store_becomes_the_primary() {
    let (mut harness, ActiveLease { id, token }) = lost_primary();
    harness.attempted(1, 2, id, token, success());
    harness.move_primary(2);
    harness.move_primary(1);
    assert!(!harness.is_recorded(id, token));
    harness.attempted(1, 2, id, token, success());
    assert!(harness.is_recorded(id, token), "its dispatcher repeats it");
}

#[test]
fn a_success_lost_with_its_dispatcher_is_retried() {
    let mut harness = three_stores();
    harness.hello(0, 20, 20, "zone-1", Vec::new());
    let id = harness.accept(0, 1, with_key("k"), true);
    let next = harness.accept(0, 20, with_key("k"), true);
    harness.input(0, Input::DispatcherClosed { connection: ConnectionId(1) });
    harness.advance(1_600);
    let granted = harness.take_grants();
    assert_eq!((granted.len(), granted[0].id), (1, id), "the next message of its key still waits");
    harness.attempted(0, 20, id, granted[0].token, success());
    assert_eq!(harness.take_grants()[0].id, next);
}

#[test]
fn a_key_keeps_its_order_while_its_primary_changes() {
    let mut harness = three_stores();
    harness.hello(0, 20, 20, "zone-1", Vec::new());
    let first = harness.accept(0, 1, with_key("k"), true);
    let first_token = accepted_token(&harness);
    let second = harness.accept(0, 20, with_key("k"), true);
    harness.move_primary(1);
    harness.hello(1, 21, 20, "zone-1", Vec::new());
    let third = harness.accept(1, 21, with_key("k"), true);
    assert!(harness.take_grants().is_empty());
    announce(&mut harness, 1, vec![ActiveLease { id: first, token: first_token }]);
    assert!(harness.take_grants().is_empty(), "the first message is still in flight");
    harness.attempted(1, 2, first, first_token, success());
    let granted = harness.take_grants();
    assert_eq!(granted.iter().map(|granted| granted.id).collect::<Vec<_>>(), [second]);
    harness.attempted(1, granted[0].connection.0, second, granted[0].token, success());
    assert_eq!(harness.take_grants()[0].id, third);
}

#[test]
fn a_failure_reported_to_two_primaries_counts_once() {
    let mut harness = three_stores();
    let id = harness.accept(0, 1, message(), true);
    let token = accepted_token(&harness);
    harness.attempted(0, 1, id, token, AttemptOutcome::Failed);
    harness.move_primary(1);
    announce(&mut harness, 1, vec![ActiveLease { id, token }]);
    harness.attempted(1, 2, id, token, AttemptOutcome::Failed);
    assert!(harness.is_recorded(id, token));
    assert_eq!(harness.state(1, id).unwrap().failed_attempts, 1);
}

#[test]
fn a_restarted_process_does_not_reuse_tokens_and_sequences() {
    let mut harness = three_stores();
    let first = harness.accept(0, 1, message(), true);
    let token = accepted_token(&harness);
    harness.kill(0);
    harness.start(0);
    announce(&mut harness, 0, vec![ActiveLease { id: first, token }]);
    let second = harness.accept(0, 1, message(), true);
    assert!(accepted_token(&harness) > token);
    let sequence = |id| harness.state(0, id).unwrap().sequence;
    assert!(sequence(second) > sequence(first));
}

#[test]
fn a_message_known_only_to_a_late_replica_is_accepted() {
    let mut harness = three_stores();
    harness.processes[0].stalled = true;
    harness.set_link(0, 2, false);
    let id = harness.accept(0, 1, message(), true);
    assert!(harness.state(1, id).is_some(), "store 1 has received its record");
    harness.kill(0);
    harness.processes[1].is_inbound_paused = true;
    harness.processes[0].records.retain(|(_, record)| !matches!(record, DiskRecord::Message { .. }));
    harness.processes[0].stalled = false;
    harness.start(0);
    harness.set_link(0, 2, true);
    harness.placement.epoch = Epoch(2);
    harness.placement.shards[0].primary = store_id(2);
    harness.placement.shards[0].term = Epoch(2);
    harness.publish_placement();
    assert!(harness.state(2, id).is_none());
    harness.resume_inbound(1);
    assert!(harness.state(2, id).is_some());
}

#[test]
fn what_a_takeover_received_is_not_reported_before_its_sync() {
    let mut harness = three_stores();
    harness.processes[0].stalled = true;
    harness.set_link(0, 2, false);
    let id = harness.accept(0, 1, message(), true);
    harness.kill(0);
    harness.processes[0].records.retain(|(_, record)| !matches!(record, DiskRecord::Message { .. }));
    harness.processes[0].stalled = false;
    assert_eq!(harness.acceptances(), 0, "only the disk of store 1 has it");
    harness.processes[2].stalled = true;
    harness.move_primary(2);
    harness.move_primary(1);
    harness.processes[2].stalled = false;
    harness.sync(2);
    harness.input(2, Input::Tick);
    announce(&mut harness, 1, Vec::new());
    harness.accept_as(1, 2, id, message(), true);
    assert_eq!(harness.acceptances(), 1);
    lose_disk(&mut harness, 1);
    harness.kill(2);
    harness.start(0);
    harness.start(2);
    harness.move_primary(2);
    assert!(harness.state(2, id).is_some(), "the message was acknowledged but is lost with a single disk");
}

#[test]
fn merged_records_count_on_the_local_disk_once_synced() {
    let mut harness = three_stores();
    harness.processes[0].stalled = true;
    harness.set_link(0, 2, false);
    // The delay ensures that no grant adds to the state.
    let later = || Message { delay_ms: 20_000, ..message() };
    let id = harness.accept(0, 1, later(), false);
    harness.kill(0);
    harness.processes[1].is_inbound_paused = true;
    harness.move_primary(2);
    harness.processes[2].stalled = true;
    harness.resume_inbound(1);
    announce(&mut harness, 2, Vec::new());
    harness.accept_as(2, 3, id, later(), false);
    assert_eq!(harness.acceptances(), 0, "only the disk of store 1 has it");
    harness.processes[2].stalled = false;
    harness.sync(2);
    harness.input(2, Input::Tick);
    assert_eq!(harness.acceptances(), 1);
}

#[test]
fn changes_of_what_a_former_primary_only_received_do_not_count() {
    let mut harness = three_stores();
    let id = harness.accept(0, 1, message(), true);
    let token = accepted_token(&harness);
    harness.processes[2].stalled = true;
    harness.move_primary(2);
    harness.processes[2].stalled = false;
    harness.sync(2);
    harness.input(2, Input::Tick);
    assert!(harness.state(2, id).is_some(), "stores 0 and 1 reported it");
    harness.processes[0].is_inbound_paused = true;
    harness.move_primary(1);
    announce(&mut harness, 1, vec![ActiveLease { id, token }]);
    harness.attempted(1, 2, id, token, success());
    assert!(harness.is_recorded(id, token));
    lose_disk(&mut harness, 1);
    harness.kill(2);
    harness.kill(0);
    harness.processes[0].is_inbound_paused = false;
    harness.start(0);
    harness.start(2);
    harness.move_primary(2);
    assert_eq!(
        harness.state(2, id).unwrap().end,
        completed(),
        "the outcome was recorded but is lost with a single disk"
    );
}

#[test]
fn what_a_late_replica_reports_is_appended_by_the_primary() {
    let mut harness = three_stores();
    harness.processes[0].stalled = true;
    harness.set_link(0, 2, false);
    let id = harness.accept(0, 1, message(), true);
    harness.kill(0);
    harness.processes[1].is_inbound_paused = true;
    harness.processes[0].records.retain(|(_, record)| !matches!(record, DiskRecord::Message { .. }));
    harness.processes[0].stalled = false;
    harness.start(0);
    harness.set_link(0, 2, true);
    harness.move_primary(2);
    harness.resume_inbound(1);
    let is_of = |record: &DiskRecord| matches!(record, DiskRecord::Message { record } if record.id() == id);
    assert!(harness.processes[2].records.iter().any(|(_, record)| is_of(record)));
}
