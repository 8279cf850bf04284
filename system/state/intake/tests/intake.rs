//! Submissions and queries against stores whose replies are scripted.

use millrudder_clock::Instant;
use millrudder_intake::{
    CallNumber, Input, Intake, Output, QueryResult, Submission, SubmissionResult, TargetShard,
};
use millrudder_protocol::message::{End, Message};
use millrudder_protocol::placement::{Placement, ShardEntry, StoreEntry};
use millrudder_protocol::store::{AcceptRejection, FromDispatcher, QueryAnswer, ToDispatcher};
use millrudder_protocol::{Address, Epoch, LeaseToken, MessageId, RequestNumber, ShardId, StoreId};
use std::time::Duration;

const LOCAL: StoreId = StoreId(1);
const REMOTE_1: StoreId = StoreId(2);
const REMOTE_2: StoreId = StoreId(3);
const ADDED: StoreId = StoreId(4);
const CALL: CallNumber = CallNumber(7);

fn placement(epoch: u64, primaries: [StoreId; 3]) -> Placement {
    let store = |id: StoreId, zone: &str| StoreEntry {
        id,
        name: format!("store-{}", id.0),
        zone: zone.into(),
        address: Address(([127, 0, 0, 1], 7000).into()),
        alive: true,
    };
    let shard = |primary| ShardEntry {
        primary,
        replicas: vec![LOCAL, REMOTE_1, REMOTE_2],
        change: None,
        term: Epoch(epoch),
    };
    Placement {
        epoch: Epoch(epoch),
        tolerated_losses: 1,
        stores: vec![store(LOCAL, "a"), store(REMOTE_1, "b"), store(REMOTE_2, "c")],
        shards: primaries.into_iter().map(shard).collect(),
    }
}

fn message() -> Message {
    Message {
        request_id: "r1".into(),
        method: "POST".into(),
        path: "/x".into(),
        host: "h".into(),
        headers: Vec::new(),
        body: b"body".to_vec(),
        order_key: None,
        callback_url: None,
        service: "s".into(),
        priority: 0,
        delay_ms: 0,
        target_start_ms: 800,
        max_attempts: 3,
        retention_ms: 90_000,
    }
}

struct TestIntake {
    intake: Intake,
    outputs: Vec<Output>,
}

impl TestIntake {
    fn new() -> Self {
        let mut test = TestIntake { intake: Intake::new("a", 1), outputs: Vec::new() };
        test.handle(0, Input::Placement(placement(1, [LOCAL, REMOTE_1, REMOTE_2])));
        for store in [LOCAL, REMOTE_1, REMOTE_2] {
            test.handle(0, Input::StoreConnected { store });
        }
        test
    }

    fn handle(&mut self, now: u64, input: Input) -> Vec<Output> {
        self.outputs.clear();
        self.intake.handle(Instant::from_millis(now), input, &mut self.outputs);
        self.outputs.clone()
    }

    fn submit(&mut self, target: TargetShard) -> Vec<Output> {
        self.submit_until(target, 500)
    }

    /// Submits a message whose client waits until `deadline` (milliseconds).
    fn submit_until(&mut self, target: TargetShard, deadline: u64) -> Vec<Output> {
        let submission = Submission { message: message(), target, deadline: Instant::from_millis(deadline) };
        self.handle(0, Input::Submit { call: CALL, submission: Box::new(submission) })
    }

    fn receive(&mut self, now: u64, store: StoreId, message: ToDispatcher) -> Vec<Output> {
        self.handle(now, Input::FromStore { store, message })
    }

    /// Ticks at each deadline up to `until` (milliseconds) and returns all outputs.
    fn run(&mut self, until: u64) -> Vec<Output> {
        let mut all = Vec::new();
        while let Some(due) = self.intake.next_deadline().filter(|due| due.as_millis() <= until) {
            all.extend(self.handle(due.as_millis(), Input::Tick));
        }
        all
    }
}

fn accept_request(outputs: &[Output]) -> Option<(StoreId, RequestNumber, MessageId)> {
    outputs.iter().find_map(|output| match output {
        Output::ToStore { store, message: FromDispatcher::Accept { request, id, .. } } => {
            Some((*store, *request, *id))
        }
        _ => None,
    })
}

fn submission_result(outputs: &[Output]) -> Option<SubmissionResult> {
    outputs.iter().find_map(|output| match output {
        Output::SubmissionEnded { result, .. } => Some(*result),
        _ => None,
    })
}

fn withdrawals(outputs: &[Output]) -> Vec<(StoreId, MessageId)> {
    let withdrawn = outputs.iter().filter_map(|output| match output {
        Output::ToStore { store, message: FromDispatcher::Withdraw { id } } => Some((*store, *id)),
        _ => None,
    });
    withdrawn.collect()
}

#[test]
fn the_store_in_the_dispatchers_zone_accepts_a_message_and_grants_its_lease() {
    let mut test = TestIntake::new();
    let (store, request, id) = accept_request(&test.submit(TargetShard::Any)).unwrap();
    assert_eq!(store, LOCAL);
    let token = LeaseToken(3);
    let outputs = test.receive(5, LOCAL, ToDispatcher::Accepted { request, token: Some(token) });
    assert_eq!(submission_result(&outputs), Some(SubmissionResult::Accepted { id }));
    assert!(outputs.contains(&Output::Deliver { store: LOCAL, id, token, call: CALL }));
    assert_eq!(test.intake.next_deadline(), None);
}

#[test]
fn a_slow_store_is_hedged_and_its_attempt_is_withdrawn() {
    let mut test = TestIntake::new();
    let (_, _, first) = accept_request(&test.submit(TargetShard::Any)).unwrap();
    let (store, request, second) = accept_request(&test.run(90)).unwrap();
    assert_ne!(store, LOCAL);
    assert_ne!(first, second);
    let outputs = test.receive(130, store, ToDispatcher::Accepted { request, token: None });
    assert_eq!(submission_result(&outputs), Some(SubmissionResult::Accepted { id: second }));
    assert_eq!(withdrawals(&outputs), vec![(LOCAL, first)]);
}

#[test]
fn the_first_answer_wins_even_if_it_is_late() {
    let mut test = TestIntake::new();
    let (_, request, first) = accept_request(&test.submit(TargetShard::Any)).unwrap();
    let (store, _, second) = accept_request(&test.run(90)).unwrap();
    let outputs = test.receive(130, LOCAL, ToDispatcher::Accepted { request, token: None });
    assert_eq!(submission_result(&outputs), Some(SubmissionResult::Accepted { id: first }));
    assert_eq!(withdrawals(&outputs), vec![(store, second)]);
}

#[test]
fn a_pending_withdrawal_is_sent_again_when_the_store_reconnects() {
    let mut test = TestIntake::new();
    let (_, _, first) = accept_request(&test.submit(TargetShard::Any)).unwrap();
    let (store, request, _) = accept_request(&test.handle(10, Input::StoreClosed { store: LOCAL })).unwrap();
    test.receive(20, store, ToDispatcher::Accepted { request, token: None });
    let outputs = test.handle(900, Input::StoreConnected { store: LOCAL });
    assert_eq!(withdrawals(&outputs), vec![(LOCAL, first)]);
    test.receive(901, LOCAL, ToDispatcher::Withdrawn { id: first });
    test.handle(950, Input::StoreClosed { store: LOCAL });
    assert_eq!(withdrawals(&test.handle(960, Input::StoreConnected { store: LOCAL })), vec![]);
}

// Guards against a withdrawal that is lost without a connection having closed: a store drops it if it arrives before the
// placement that makes the store the primary, and the message that was withdrawn then ran a second time (review/2).
#[test]
fn a_withdrawal_that_a_store_has_dropped_is_sent_again_in_time() {
    let mut test = TestIntake::new();
    let (_, _, first) = accept_request(&test.submit(TargetShard::Any)).unwrap();
    let (store, request, _) = accept_request(&test.run(90)).unwrap();
    test.receive(130, store, ToDispatcher::Accepted { request, token: None });
    assert_eq!(withdrawals(&test.run(1_130)), vec![(LOCAL, first)]);
    assert_eq!(withdrawals(&test.run(3_130)), vec![(LOCAL, first)], "the interval doubles");
    test.receive(3_140, LOCAL, ToDispatcher::Withdrawn { id: first });
    assert_eq!(withdrawals(&test.run(600_000)), vec![]);
}

// Guards against a dispatcher that sends thousands of withdrawals again and again which no store can confirm, since
// another dispatcher may have run these messages.
#[test]
fn a_withdrawal_that_no_store_confirms_is_sent_less_and_less_often() {
    let mut test = TestIntake::new();
    accept_request(&test.submit(TargetShard::ByName("key-1".into()))).unwrap();
    assert_eq!(withdrawals(&test.run(60_000)).len(), 7, "at 500 ms, and 0.6, 1.2, 2.4 s and so on later");
    assert_eq!(withdrawals(&test.run(660_000)).len(), 16, "every 38.4 s");
}

#[test]
fn a_message_with_a_given_shard_keeps_its_id_at_the_next_primary() {
    let mut test = TestIntake::new();
    let (store, _, first) = accept_request(&test.submit(TargetShard::ByName("key-1".into()))).unwrap();
    test.handle(10, Input::StoreClosed { store });
    let next = if store == LOCAL { REMOTE_1 } else { LOCAL };
    let mut later = placement(2, [LOCAL, REMOTE_1, REMOTE_2]);
    later.shards[usize::from(first.shard.0)].primary = next;
    let (second_store, request, second) = accept_request(&test.handle(200, Input::Placement(later))).unwrap();
    assert_eq!((second_store, second), (next, first));
    let outputs = test.receive(210, next, ToDispatcher::Accepted { request, token: None });
    assert_eq!(submission_result(&outputs), Some(SubmissionResult::Accepted { id: first }));
    assert_eq!(withdrawals(&outputs), vec![]);
}

#[test]
fn a_message_that_a_store_may_have_is_never_rejected() {
    let mut test = TestIntake::new();
    accept_request(&test.submit(TargetShard::ByName("key-1".into()))).unwrap();
    let outputs = test.run(1000);
    assert_eq!(submission_result(&outputs), Some(SubmissionResult::InDoubt));
    assert_eq!(withdrawals(&outputs).len(), 1);
}

#[test]
fn without_a_reachable_store_a_message_is_rejected_at_once() {
    let mut test = TestIntake::new();
    for store in [LOCAL, REMOTE_1, REMOTE_2] {
        test.handle(0, Input::StoreClosed { store });
    }
    let answer = submission_result(&test.submit(TargetShard::Any));
    assert!(matches!(answer, Some(SubmissionResult::Rejected { .. })), "{answer:?}");
}

/// The primary of the shard to which `key` is mapped.
fn primary_of(key: &str) -> StoreId {
    let placement = placement(1, [LOCAL, REMOTE_1, REMOTE_2]);
    placement.shard(placement.shard_of(key).unwrap()).unwrap().primary
}

/// The initial placement with `next` in place of `lost` as primary.
fn with_replaced_primary(lost: StoreId, next: StoreId) -> Placement {
    placement(2, [LOCAL, REMOTE_1, REMOTE_2].map(|primary| if primary == lost { next } else { primary }))
}

#[test]
fn a_message_with_a_given_shard_waits_for_the_next_primary_of_a_lost_one() {
    let mut test = TestIntake::new();
    let lost = primary_of("key-1");
    let next = if lost == LOCAL { REMOTE_1 } else { LOCAL };
    test.handle(0, Input::StoreClosed { store: lost });
    let outputs = submit_at(&mut test, 200, 7, TargetShard::ByName("key-1".into()));
    assert_eq!((accept_request(&outputs), submission_result(&outputs)), (None, None));
    assert_eq!(test.run(600), vec![]);
    let (store, request, id) =
        accept_request(&test.handle(610, Input::Placement(with_replaced_primary(lost, next)))).unwrap();
    assert_eq!(store, next);
    let outputs = test.receive(615, next, ToDispatcher::Accepted { request, token: None });
    assert_eq!(submission_result(&outputs), Some(SubmissionResult::Accepted { id }));
}

#[test]
fn a_message_whose_lost_primary_is_not_replaced_is_rejected_in_time() {
    let mut test = TestIntake::new();
    test.handle(0, Input::StoreClosed { store: primary_of("key-1") });
    submit_at(&mut test, 200, 7, TargetShard::ByName("key-1".into()));
    assert_eq!(submission_result(&test.run(699)), None);
    let answer = submission_result(&test.run(700));
    assert!(matches!(answer, Some(SubmissionResult::Rejected { .. })), "{answer:?}");
    submit_at(&mut test, 701, 8, TargetShard::ByName("key-1".into()));
    let answer = submission_result(&test.run(900));
    assert!(matches!(answer, Some(SubmissionResult::Rejected { .. })), "{answer:?}");
}

#[test]
fn a_client_whose_deadline_is_before_the_usual_replacement_of_a_primary_is_rejected_at_once() {
    let mut test = TestIntake::new();
    test.handle(0, Input::StoreClosed { store: primary_of("key-1") });
    let outputs = submit_at(&mut test, 10, 8, TargetShard::ByName("key-1".into()));
    assert!(matches!(submission_result(&outputs), Some(SubmissionResult::Rejected { .. })), "{outputs:?}");
}

#[test]
fn a_message_that_waits_is_sent_to_the_former_primary_if_that_reconnects() {
    let mut test = TestIntake::new();
    let lost = primary_of("key-1");
    test.handle(0, Input::StoreClosed { store: lost });
    submit_at(&mut test, 200, 7, TargetShard::ByName("key-1".into()));
    assert_eq!(accept_request(&test.handle(400, Input::StoreConnected { store: lost })).unwrap().0, lost);
}

#[test]
fn a_message_does_not_wait_for_a_primary_that_was_lost_long_ago() {
    let mut test = TestIntake::new();
    test.handle(0, Input::StoreClosed { store: primary_of("key-1") });
    let outputs = submit_at(&mut test, 5000, 8, TargetShard::ByName("key-1".into()));
    assert!(matches!(submission_result(&outputs), Some(SubmissionResult::Rejected { .. })), "{outputs:?}");
}

#[test]
fn without_a_quorum_of_replicas_a_message_does_not_wait_for_the_next_primary() {
    let mut test = TestIntake::new();
    let lost = primary_of("key-1");
    let other = if lost == LOCAL { REMOTE_1 } else { LOCAL };
    for store in [lost, other] {
        test.handle(0, Input::StoreClosed { store });
    }
    let answer = submission_result(&submit_at(&mut test, 200, 7, TargetShard::ByName("key-1".into())));
    assert!(matches!(answer, Some(SubmissionResult::Rejected { .. })), "{answer:?}");
}

#[test]
fn full_stores_reject_with_their_retry_after() {
    let mut test = TestIntake::new();
    let (store, request, _) = accept_request(&test.submit(TargetShard::ByName("key".into()))).unwrap();
    let reason = AcceptRejection::Full { retry_after_ms: 2500 };
    let outputs = test.receive(5, store, ToDispatcher::Rejected { request, reason });
    let retry_after = Duration::from_millis(2500);
    assert_eq!(submission_result(&outputs), Some(SubmissionResult::Rejected { retry_after }));
}

#[test]
fn after_a_rejection_by_a_former_primary_another_store_is_attempted_at_once() {
    let mut test = TestIntake::new();
    let (_, request, _) = accept_request(&test.submit(TargetShard::Any)).unwrap();
    let reason = AcceptRejection::NotPrimary { epoch: Epoch(1) };
    let outputs = test.receive(5, LOCAL, ToDispatcher::Rejected { request, reason });
    assert_ne!(accept_request(&outputs).unwrap().0, LOCAL);
}

/// Rejects the attempt in `outputs` because the store does not serve the shard, and then each attempt at another store that
/// follows at once. Returns the last outputs.
fn reject_all(test: &mut TestIntake, now: u64, mut outputs: Vec<Output>) -> Vec<Output> {
    while let Some((store, request, _)) = accept_request(&outputs) {
        let reason = AcceptRejection::NotPrimary { epoch: Epoch(1) };
        outputs = test.receive(now, store, ToDispatcher::Rejected { request, reason });
    }
    outputs
}

// Guards against the first messages after a start that are answered with 503, because stores are connected before they
// serve their shards.
#[test]
fn a_message_waits_while_no_store_serves_a_shard() {
    let mut test = TestIntake::new();
    let outputs = test.submit(TargetShard::Any);
    let outputs = reject_all(&mut test, 5, outputs);
    assert_eq!(submission_result(&outputs), None, "it may be accepted soon");
    let outputs = test.handle(20, Input::Tick);
    let (store, request, id) = accept_request(&outputs).expect("it is sent again");
    let outputs = test.receive(25, store, ToDispatcher::Accepted { request, token: None });
    assert_eq!(submission_result(&outputs), Some(SubmissionResult::Accepted { id }));
}

// Guards against clients that wait until their deadline for shards that are served by nobody for long.
#[test]
fn a_message_that_no_store_serves_is_rejected_after_a_second() {
    let mut test = TestIntake::new();
    let mut outputs = test.submit_until(TargetShard::Any, 5_000);
    let mut rounds = 0;
    let mut now = 0;
    while submission_result(&outputs).is_none() {
        outputs = reject_all(&mut test, now, outputs);
        if submission_result(&outputs).is_none() {
            now = test.intake.next_deadline().unwrap().as_millis();
            outputs = test.handle(now, Input::Tick);
            rounds += 1;
        }
    }
    assert!(matches!(submission_result(&outputs), Some(SubmissionResult::Rejected { .. })));
    assert!((900..1_200).contains(&now), "{now}");
    assert!(rounds < 10, "the delay grows: {rounds}");
}

fn query_requests(outputs: &[Output]) -> Vec<(StoreId, RequestNumber)> {
    let queries = outputs.iter().filter_map(|output| match output {
        Output::ToStore { store, message: FromDispatcher::Query { request, .. } } => Some((*store, *request)),
        _ => None,
    });
    queries.collect()
}

fn query_result(outputs: &[Output]) -> Option<QueryResult> {
    outputs.iter().find_map(|output| match output {
        Output::QueryEnded { result, .. } => Some(result.clone()),
        _ => None,
    })
}

const QUERIED: MessageId = MessageId { shard: ShardId(1), unique: 5 };

#[test]
fn the_primary_is_asked_first_and_its_answer_is_final() {
    let mut test = TestIntake::new();
    let requests =
        query_requests(&test.handle(0, Input::Query { call: CALL, id: QUERIED, with_body: false }));
    assert_eq!(requests.len(), 1);
    assert_eq!(requests[0].0, REMOTE_1);
    let answer = QueryAnswer::Queued;
    let outputs = test.receive(3, REMOTE_1, ToDispatcher::State { request: requests[0].1, answer });
    assert_eq!(query_result(&outputs), Some(QueryResult::Queued));
}

#[test]
fn a_query_to_a_slow_primary_is_hedged_to_a_replica() {
    let mut test = TestIntake::new();
    test.handle(0, Input::Query { call: CALL, id: QUERIED, with_body: false });
    let requests = query_requests(&test.run(300));
    let end = End::Completed { signature: "s".into() };
    let answer = QueryAnswer::Ended { end };
    let outputs = test.receive(310, requests[0].0, ToDispatcher::State { request: requests[0].1, answer });
    assert_eq!(query_result(&outputs), Some(QueryResult::Completed { signature: "s".into() }));
}

#[test]
fn a_message_is_unknown_only_if_all_replicas_say_so() {
    let mut test = TestIntake::new();
    let mut requests =
        query_requests(&test.handle(0, Input::Query { call: CALL, id: QUERIED, with_body: false }));
    for _ in 0..2 {
        let (store, request) = requests[0];
        let outputs = test.receive(5, store, ToDispatcher::State { request, answer: QueryAnswer::Unknown });
        assert_eq!(query_result(&outputs), None);
        requests = query_requests(&outputs);
    }
    let (store, request) = requests[0];
    let outputs = test.receive(9, store, ToDispatcher::State { request, answer: QueryAnswer::Unknown });
    assert_eq!(query_result(&outputs), Some(QueryResult::Unknown));
}

#[test]
fn an_answer_of_a_store_that_is_not_a_replica_does_not_make_a_message_unknown() {
    let mut test = TestIntake::new();
    let mut requests =
        query_requests(&test.handle(0, Input::Query { call: CALL, id: QUERIED, with_body: false }));
    let answers = [QueryAnswer::Unknown, QueryAnswer::NotReplica, QueryAnswer::Unknown];
    let mut result = None;
    for answer in answers {
        let (store, request) = requests[0];
        let outputs = test.receive(5, store, ToDispatcher::State { request, answer });
        result = query_result(&outputs);
        requests = query_requests(&outputs);
    }
    assert_eq!(result, Some(QueryResult::Unavailable));
}

#[test]
fn answers_of_former_replicas_are_ignored() {
    let mut test = TestIntake::new();
    let mut requests =
        query_requests(&test.handle(0, Input::Query { call: CALL, id: QUERIED, with_body: false }));
    let (store, request) = requests[0];
    assert_eq!(store, REMOTE_1);
    requests = query_requests(&test.receive(
        5,
        store,
        ToDispatcher::State { request, answer: QueryAnswer::Unknown },
    ));
    let late = requests[0];
    let mut next = placement(2, [LOCAL, ADDED, REMOTE_2]);
    next.shards[1].replicas = vec![LOCAL, ADDED, REMOTE_2];
    let outputs = test.handle(6, Input::Placement(next));
    assert_eq!(query_requests(&outputs).len(), 1, "the query restarts at the first of the current replicas");
    let outputs =
        test.receive(7, late.0, ToDispatcher::State { request: late.1, answer: QueryAnswer::Unknown });
    assert_eq!(query_result(&outputs), None, "an answer to an earlier request is ignored");
    let all = test.run(3_000);
    assert!(!all
        .iter()
        .any(|output| matches!(output, Output::QueryEnded { result: QueryResult::Unknown, .. })));
}

#[test]
fn a_query_ends_well_before_clients_time_out() {
    let mut test = TestIntake::new();
    test.handle(0, Input::Query { call: CALL, id: QUERIED, with_body: false });
    assert_eq!(query_result(&test.run(1_600)), Some(QueryResult::Unavailable));
}

#[test]
fn a_query_without_answers_ends_as_unavailable_in_time() {
    let mut test = TestIntake::new();
    test.handle(0, Input::Query { call: CALL, id: QUERIED, with_body: true });
    assert_eq!(query_result(&test.run(1900)), Some(QueryResult::Unavailable));
}

fn submit_at(test: &mut TestIntake, now: u64, call: u64, target: TargetShard) -> Vec<Output> {
    let submission = Submission { message: message(), target, deadline: Instant::from_millis(now + 500) };
    test.handle(now, Input::Submit { call: CallNumber(call), submission: Box::new(submission) })
}

#[test]
fn unresponsive_stores_get_no_new_requests_and_messages_are_rejected_at_once() {
    let mut test = TestIntake::new();
    test.submit(TargetShard::Any);
    test.run(480);
    let outputs = submit_at(&mut test, 490, 8, TargetShard::Any);
    assert_eq!(accept_request(&outputs), None);
    assert!(matches!(submission_result(&outputs), Some(SubmissionResult::Rejected { .. })), "{outputs:?}");
    test.handle(495, Input::StoreActive { store: REMOTE_2 });
    assert_eq!(accept_request(&submit_at(&mut test, 496, 9, TargetShard::Any)).unwrap().0, REMOTE_2);
}

#[test]
fn unresponsive_stores_are_pinged() {
    let mut test = TestIntake::new();
    test.submit(TargetShard::Any);
    let pings = test
        .run(400)
        .into_iter()
        .filter(|output| matches!(output, Output::ToStore { store: LOCAL, message: FromDispatcher::Ping }));
    assert!((2..=5).contains(&pings.count()));
}

#[test]
fn a_slow_store_that_sends_something_is_not_unresponsive() {
    let mut test = TestIntake::new();
    test.submit(TargetShard::Any);
    test.handle(50, Input::StoreActive { store: LOCAL });
    test.run(70);
    assert_eq!(accept_request(&submit_at(&mut test, 75, 8, TargetShard::Any)).unwrap().0, LOCAL);
}

fn reconnect(test: &mut TestIntake, now: u64, store: StoreId) {
    test.handle(now, Input::StoreClosed { store });
    test.handle(now, Input::StoreConnected { store });
}

/// A request that was sent to a store on its previous connection.
#[derive(Clone, Copy)]
struct SentRequest {
    call: CallNumber,
    request: RequestNumber,
    id: MessageId,
}

/// Submits four messages to the store of a key. The store accepts the first one and reconnects. Returns the other
/// three.
fn submit_and_reconnect(test: &mut TestIntake) -> Vec<SentRequest> {
    let mut sent = Vec::new();
    for call in 0..4 {
        let outputs = submit_at(test, 0, call, TargetShard::ByName("key".into()));
        let (store, request, id) = accept_request(&outputs).unwrap();
        assert_eq!(store, REMOTE_1);
        sent.push(SentRequest { call: CallNumber(call), request, id });
    }
    let first = sent.remove(0);
    test.receive(0, REMOTE_1, ToDispatcher::Accepted { request: first.request, token: None });
    reconnect(test, 1, REMOTE_1);
    sent
}

/// Request numbers are not reused, so a late reply from the previous connection cannot match a later request.
#[test]
fn a_late_reply_to_a_request_before_a_reconnect_answers_that_request_and_no_other() {
    let mut test = TestIntake::new();
    for SentRequest { call, request, id } in submit_and_reconnect(&mut test) {
        let outputs = test.receive(3, REMOTE_1, ToDispatcher::Accepted { request, token: None });
        let answered: Vec<&Output> =
            outputs.iter().filter(|output| matches!(output, Output::SubmissionEnded { .. })).collect();
        assert_eq!(answered, [&Output::SubmissionEnded { call, result: SubmissionResult::Accepted { id } }]);
    }
}

#[test]
fn a_late_rejection_from_before_a_reconnect_rejects_no_other_request() {
    let mut test = TestIntake::new();
    let sent_before = submit_and_reconnect(&mut test);
    test.run(600);
    for call in 4..8 {
        submit_at(&mut test, 600, call, TargetShard::Any);
    }
    for SentRequest { request, .. } in sent_before {
        let reason = AcceptRejection::Full { retry_after_ms: 1 };
        let outputs = test.receive(601, REMOTE_1, ToDispatcher::Rejected { request, reason });
        assert_eq!(outputs, []);
    }
}

#[test]
fn a_late_reply_to_a_query_before_a_reconnect_answers_that_query_and_no_other() {
    let mut test = TestIntake::new();
    let mut sent_before = Vec::new();
    for call in 0..4 {
        let id = MessageId { unique: 5 + call, ..QUERIED };
        let requests =
            query_requests(&test.handle(0, Input::Query { call: CallNumber(call), id, with_body: false }));
        sent_before.push(SentRequest { call: CallNumber(call), request: requests[0].1, id });
    }
    let state =
        |request| ToDispatcher::State { request, answer: QueryAnswer::Ended { end: End::DeadLetter } };
    let first = sent_before.remove(0);
    test.receive(0, REMOTE_1, state(first.request));
    reconnect(&mut test, 1, REMOTE_1);
    for SentRequest { call, request, .. } in sent_before {
        let outputs = test.receive(2, REMOTE_1, state(request));
        assert_eq!(outputs, [Output::QueryEnded { call, result: QueryResult::DeadLetter }]);
    }
}
