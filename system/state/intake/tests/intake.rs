//! Submissions and queries against scripted stores.

use millrudder_intake::{AcceptAnswer, CallNumber, Input, Intake, Output, Place, QueryResult, Submission};
use millrudder_protocol::message::{End, Message};
use millrudder_protocol::placement::{Placement, ShardEntry, StoreEntry};
use millrudder_protocol::store::{AcceptRejection, FromDispatcher, QueryAnswer, ToDispatcher};
use millrudder_protocol::{Address, Epoch, LeaseToken, MessageId, RequestNumber, ShardId, StoreId};

const HERE: StoreId = StoreId(1);
const THERE: StoreId = StoreId(2);
const FAR: StoreId = StoreId(3);
const NEW: StoreId = StoreId(4);
const CALL: CallNumber = CallNumber(7);

fn placement(epoch: u64, primaries: [StoreId; 3]) -> Placement {
    let store = |id: StoreId, zone: &str| StoreEntry {
        id,
        name: format!("store-{}", id.0),
        zone: zone.into(),
        address: Address(([127, 0, 0, 1], 7000).into()),
        alive: true,
    };
    let shard =
        |primary| ShardEntry { primary, replicas: vec![HERE, THERE, FAR], change: None, term: Epoch(epoch) };
    Placement {
        epoch: Epoch(epoch),
        tolerated_losses: 1,
        stores: vec![store(HERE, "a"), store(THERE, "b"), store(FAR, "c")],
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

struct Rig {
    intake: Intake,
    out: Vec<Output>,
}

impl Rig {
    fn new() -> Self {
        let mut rig = Rig { intake: Intake::new("a", 1), out: Vec::new() };
        rig.give(0, Input::Placement(placement(1, [HERE, THERE, FAR])));
        for store in [HERE, THERE, FAR] {
            rig.give(0, Input::StoreConnected { store });
        }
        rig
    }

    fn give(&mut self, now: u64, input: Input) -> Vec<Output> {
        self.out.clear();
        self.intake.handle(now, input, &mut self.out);
        self.out.clone()
    }

    fn submit(&mut self, place: Place) -> Vec<Output> {
        let submission = Submission { message: message(), place, deadline: 500 };
        self.give(0, Input::Submit { call: CALL, submission: Box::new(submission) })
    }

    fn store_says(&mut self, now: u64, store: StoreId, message: ToDispatcher) -> Vec<Output> {
        self.give(now, Input::FromStore { store, message })
    }

    /// Ticks at each deadline up to `until`, and returns all that came out.
    fn run(&mut self, until: u64) -> Vec<Output> {
        let mut all = Vec::new();
        while let Some(due) = self.intake.next_deadline().filter(|due| *due <= until) {
            all.extend(self.give(due, Input::Tick));
        }
        all
    }
}

fn accept_in(outputs: &[Output]) -> Option<(StoreId, RequestNumber, MessageId)> {
    outputs.iter().find_map(|output| match output {
        Output::ToStore { store, message: FromDispatcher::Accept { request, id, .. } } => {
            Some((*store, *request, *id))
        }
        _ => None,
    })
}

fn answer_in(outputs: &[Output]) -> Option<AcceptAnswer> {
    outputs.iter().find_map(|output| match output {
        Output::Answered { answer, .. } => Some(*answer),
        _ => None,
    })
}

fn withdrawn_in(outputs: &[Output]) -> Vec<(StoreId, MessageId)> {
    let withdrawn = outputs.iter().filter_map(|output| match output {
        Output::ToStore { store, message: FromDispatcher::Withdraw { id } } => Some((*store, *id)),
        _ => None,
    });
    withdrawn.collect()
}

#[test]
fn the_store_of_the_zone_keeps_it_and_grants_its_delivery() {
    let mut rig = Rig::new();
    let (store, request, id) = accept_in(&rig.submit(Place::Any)).unwrap();
    assert_eq!(store, HERE);
    let token = LeaseToken(3);
    let out = rig.store_says(5, HERE, ToDispatcher::Accepted { request, token: Some(token) });
    assert_eq!(answer_in(&out), Some(AcceptAnswer::Kept { id }));
    assert!(out.contains(&Output::Deliver { store: HERE, id, token, call: CALL }));
    assert_eq!(rig.intake.next_deadline(), None);
}

#[test]
fn a_slow_store_is_not_waited_for_and_its_copy_is_withdrawn() {
    let mut rig = Rig::new();
    let (_, _, first) = accept_in(&rig.submit(Place::Any)).unwrap();
    let (store, request, second) = accept_in(&rig.run(90)).unwrap();
    assert_ne!(store, HERE);
    assert_ne!(first, second);
    let out = rig.store_says(130, store, ToDispatcher::Accepted { request, token: None });
    assert_eq!(answer_in(&out), Some(AcceptAnswer::Kept { id: second }));
    assert_eq!(withdrawn_in(&out), vec![(HERE, first)]);
}

#[test]
fn the_first_answer_counts_also_when_it_is_late() {
    let mut rig = Rig::new();
    let (_, request, first) = accept_in(&rig.submit(Place::Any)).unwrap();
    let (store, _, second) = accept_in(&rig.run(90)).unwrap();
    let out = rig.store_says(130, HERE, ToDispatcher::Accepted { request, token: None });
    assert_eq!(answer_in(&out), Some(AcceptAnswer::Kept { id: first }));
    assert_eq!(withdrawn_in(&out), vec![(store, second)]);
}

#[test]
fn an_owed_withdrawal_is_told_again_when_the_store_is_back() {
    let mut rig = Rig::new();
    let (_, _, first) = accept_in(&rig.submit(Place::Any)).unwrap();
    let (store, request, _) = accept_in(&rig.give(10, Input::StoreClosed { store: HERE })).unwrap();
    rig.store_says(20, store, ToDispatcher::Accepted { request, token: None });
    let out = rig.give(900, Input::StoreConnected { store: HERE });
    assert_eq!(withdrawn_in(&out), vec![(HERE, first)]);
    rig.store_says(901, HERE, ToDispatcher::Withdrawn { id: first });
    rig.give(950, Input::StoreClosed { store: HERE });
    assert_eq!(withdrawn_in(&rig.give(960, Input::StoreConnected { store: HERE })), vec![]);
}

#[test]
fn a_message_with_a_given_shard_keeps_its_name_at_the_next_primary() {
    let mut rig = Rig::new();
    let (store, _, first) = accept_in(&rig.submit(Place::Named("key-1".into()))).unwrap();
    rig.give(10, Input::StoreClosed { store });
    let next = if store == HERE { THERE } else { HERE };
    let mut later = placement(2, [HERE, THERE, FAR]);
    later.shards[usize::from(first.shard.0)].primary = next;
    let (second_store, request, second) = accept_in(&rig.give(200, Input::Placement(later))).unwrap();
    assert_eq!((second_store, second), (next, first));
    let out = rig.store_says(210, next, ToDispatcher::Accepted { request, token: None });
    assert_eq!(answer_in(&out), Some(AcceptAnswer::Kept { id: first }));
    assert_eq!(withdrawn_in(&out), vec![]);
}

#[test]
fn what_may_lie_on_a_disk_is_never_refused() {
    let mut rig = Rig::new();
    accept_in(&rig.submit(Place::Named("key-1".into()))).unwrap();
    let out = rig.run(1000);
    assert_eq!(answer_in(&out), Some(AcceptAnswer::InDoubt));
    assert_eq!(withdrawn_in(&out).len(), 1);
}

#[test]
fn where_no_store_can_be_reached_it_is_refused_at_once() {
    let mut rig = Rig::new();
    for store in [HERE, THERE, FAR] {
        rig.give(0, Input::StoreClosed { store });
    }
    let answer = answer_in(&rig.submit(Place::Any));
    assert!(matches!(answer, Some(AcceptAnswer::Refused { .. })), "{answer:?}");
}

/// The store that leads the shard of this key.
fn primary_of(key: &str) -> StoreId {
    let placement = placement(1, [HERE, THERE, FAR]);
    placement.shard(placement.shard_of(key).unwrap()).unwrap().primary
}

/// The same shards, with `next` in the place of `lost`.
fn without(lost: StoreId, next: StoreId) -> Placement {
    placement(2, [HERE, THERE, FAR].map(|primary| if primary == lost { next } else { primary }))
}

#[test]
fn a_message_with_a_given_shard_waits_for_the_next_primary_of_a_lost_one() {
    let mut rig = Rig::new();
    let lost = primary_of("key-1");
    let next = if lost == HERE { THERE } else { HERE };
    rig.give(0, Input::StoreClosed { store: lost });
    let out = submit_as(&mut rig, 200, 7, Place::Named("key-1".into()));
    assert_eq!((accept_in(&out), answer_in(&out)), (None, None));
    assert_eq!(rig.run(600), vec![]);
    let (store, request, id) = accept_in(&rig.give(610, Input::Placement(without(lost, next)))).unwrap();
    assert_eq!(store, next);
    let out = rig.store_says(615, next, ToDispatcher::Accepted { request, token: None });
    assert_eq!(answer_in(&out), Some(AcceptAnswer::Kept { id }));
}

#[test]
fn a_message_that_waits_in_vain_for_a_primary_is_refused_in_time() {
    let mut rig = Rig::new();
    rig.give(0, Input::StoreClosed { store: primary_of("key-1") });
    submit_as(&mut rig, 200, 7, Place::Named("key-1".into()));
    assert_eq!(answer_in(&rig.run(699)), None);
    let answer = answer_in(&rig.run(700));
    assert!(matches!(answer, Some(AcceptAnswer::Refused { .. })), "{answer:?}");
    submit_as(&mut rig, 701, 8, Place::Named("key-1".into()));
    let answer = answer_in(&rig.run(900));
    assert!(matches!(answer, Some(AcceptAnswer::Refused { .. })), "{answer:?}");
}

#[test]
fn a_client_that_leaves_before_a_primary_can_be_replaced_is_told_at_once() {
    let mut rig = Rig::new();
    rig.give(0, Input::StoreClosed { store: primary_of("key-1") });
    let out = submit_as(&mut rig, 10, 8, Place::Named("key-1".into()));
    assert!(matches!(answer_in(&out), Some(AcceptAnswer::Refused { .. })), "{out:?}");
}

#[test]
fn a_primary_that_returns_is_waited_for_as_well() {
    let mut rig = Rig::new();
    let lost = primary_of("key-1");
    rig.give(0, Input::StoreClosed { store: lost });
    submit_as(&mut rig, 200, 7, Place::Named("key-1".into()));
    assert_eq!(accept_in(&rig.give(400, Input::StoreConnected { store: lost })).unwrap().0, lost);
}

#[test]
fn a_primary_that_is_long_lost_is_not_waited_for() {
    let mut rig = Rig::new();
    rig.give(0, Input::StoreClosed { store: primary_of("key-1") });
    let out = submit_as(&mut rig, 5000, 8, Place::Named("key-1".into()));
    assert!(matches!(answer_in(&out), Some(AcceptAnswer::Refused { .. })), "{out:?}");
}

#[test]
fn where_too_few_replicas_are_left_nothing_is_waited_for() {
    let mut rig = Rig::new();
    let lost = primary_of("key-1");
    let other = if lost == HERE { THERE } else { HERE };
    for store in [lost, other] {
        rig.give(0, Input::StoreClosed { store });
    }
    let answer = answer_in(&submit_as(&mut rig, 200, 7, Place::Named("key-1".into())));
    assert!(matches!(answer, Some(AcceptAnswer::Refused { .. })), "{answer:?}");
}

#[test]
fn full_stores_refuse_with_their_advice() {
    let mut rig = Rig::new();
    let (store, request, _) = accept_in(&rig.submit(Place::Named("key".into()))).unwrap();
    let reason = AcceptRejection::Full { retry_after_ms: 2500 };
    let out = rig.store_says(5, store, ToDispatcher::Rejected { request, reason });
    assert_eq!(answer_in(&out), Some(AcceptAnswer::Refused { retry_after_ms: 2500 }));
}

#[test]
fn a_store_that_is_no_primary_any_more_is_passed_over_at_once() {
    let mut rig = Rig::new();
    let (_, request, _) = accept_in(&rig.submit(Place::Any)).unwrap();
    let reason = AcceptRejection::NotPrimary { epoch: Epoch(1) };
    let out = rig.store_says(5, HERE, ToDispatcher::Rejected { request, reason });
    assert_ne!(accept_in(&out).unwrap().0, HERE);
}

fn queries_in(outputs: &[Output]) -> Vec<(StoreId, RequestNumber)> {
    let queries = outputs.iter().filter_map(|output| match output {
        Output::ToStore { store, message: FromDispatcher::Query { request, .. } } => Some((*store, *request)),
        _ => None,
    });
    queries.collect()
}

fn result_in(outputs: &[Output]) -> Option<QueryResult> {
    outputs.iter().find_map(|output| match output {
        Output::Known { result, .. } => Some(result.clone()),
        _ => None,
    })
}

const ASKED: MessageId = MessageId { shard: ShardId(1), unique: 5 };

#[test]
fn the_primary_is_asked_first_and_believed() {
    let mut rig = Rig::new();
    let asked = queries_in(&rig.give(0, Input::Query { call: CALL, id: ASKED, body: false }));
    assert_eq!(asked.len(), 1);
    assert_eq!(asked[0].0, THERE);
    let answer = QueryAnswer::Queued;
    let out = rig.store_says(3, THERE, ToDispatcher::State { request: asked[0].1, answer });
    assert_eq!(result_in(&out), Some(QueryResult::Queued));
}

#[test]
fn a_slow_primary_is_helped_by_a_replica_that_knows_the_end() {
    let mut rig = Rig::new();
    rig.give(0, Input::Query { call: CALL, id: ASKED, body: false });
    let asked = queries_in(&rig.run(300));
    let end = End::Completed { signature: "s".into() };
    let answer = QueryAnswer::Ended { end };
    let out = rig.store_says(310, asked[0].0, ToDispatcher::State { request: asked[0].1, answer });
    assert_eq!(result_in(&out), Some(QueryResult::Completed { signature: "s".into() }));
}

#[test]
fn unknown_needs_all_replicas() {
    let mut rig = Rig::new();
    let mut asked = queries_in(&rig.give(0, Input::Query { call: CALL, id: ASKED, body: false }));
    for _ in 0..2 {
        let (store, request) = asked[0];
        let out = rig.store_says(5, store, ToDispatcher::State { request, answer: QueryAnswer::Unknown });
        assert_eq!(result_in(&out), None);
        asked = queries_in(&out);
    }
    let (store, request) = asked[0];
    let out = rig.store_says(9, store, ToDispatcher::State { request, answer: QueryAnswer::Unknown });
    assert_eq!(result_in(&out), Some(QueryResult::Unknown));
}

#[test]
fn a_store_that_is_no_replica_proves_nothing() {
    let mut rig = Rig::new();
    let mut asked = queries_in(&rig.give(0, Input::Query { call: CALL, id: ASKED, body: false }));
    let answers = [QueryAnswer::Unknown, QueryAnswer::NotReplica, QueryAnswer::Unknown];
    let mut result = None;
    for answer in answers {
        let (store, request) = asked[0];
        let out = rig.store_says(5, store, ToDispatcher::State { request, answer });
        result = result_in(&out);
        asked = queries_in(&out);
    }
    assert_eq!(result, Some(QueryResult::Unavailable));
}

#[test]
fn what_former_replicas_did_not_know_says_nothing_of_the_present_ones() {
    let mut rig = Rig::new();
    let mut asked = queries_in(&rig.give(0, Input::Query { call: CALL, id: ASKED, body: false }));
    let (store, request) = asked[0];
    assert_eq!(store, THERE);
    asked =
        queries_in(&rig.store_says(5, store, ToDispatcher::State { request, answer: QueryAnswer::Unknown }));
    let late = asked[0];
    let mut next = placement(2, [HERE, NEW, FAR]);
    next.shards[1].replicas = vec![HERE, NEW, FAR];
    let out = rig.give(6, Input::Placement(next));
    assert_eq!(queries_in(&out).len(), 1, "the replicas in force are asked from the first one on");
    let out =
        rig.store_says(7, late.0, ToDispatcher::State { request: late.1, answer: QueryAnswer::Unknown });
    assert_eq!(result_in(&out), None, "an answer to a former question counts for nothing");
    let all = rig.run(3_000);
    assert!(!all.iter().any(|output| matches!(output, Output::Known { result: QueryResult::Unknown, .. })));
}

#[test]
fn an_answer_comes_well_before_callers_leave() {
    let mut rig = Rig::new();
    rig.give(0, Input::Query { call: CALL, id: ASKED, body: false });
    assert_eq!(result_in(&rig.run(1_600)), Some(QueryResult::Unavailable));
}

#[test]
fn silence_ends_as_unavailable_in_time() {
    let mut rig = Rig::new();
    rig.give(0, Input::Query { call: CALL, id: ASKED, body: true });
    assert_eq!(result_in(&rig.run(1900)), Some(QueryResult::Unavailable));
}

fn submit_as(rig: &mut Rig, now: u64, call: u64, place: Place) -> Vec<Output> {
    let submission = Submission { message: message(), place, deadline: now + 500 };
    rig.give(now, Input::Submit { call: CallNumber(call), submission: Box::new(submission) })
}

#[test]
fn nothing_new_goes_to_silent_stores_and_it_is_refused_at_once() {
    let mut rig = Rig::new();
    rig.submit(Place::Any);
    rig.run(480);
    let out = submit_as(&mut rig, 490, 8, Place::Any);
    assert_eq!(accept_in(&out), None);
    assert!(matches!(answer_in(&out), Some(AcceptAnswer::Refused { .. })), "{out:?}");
    rig.give(495, Input::Heard { store: FAR });
    assert_eq!(accept_in(&submit_as(&mut rig, 496, 9, Place::Any)).unwrap().0, FAR);
}

#[test]
fn silent_stores_are_asked_for_a_sign_of_life() {
    let mut rig = Rig::new();
    rig.submit(Place::Any);
    let pings = rig
        .run(400)
        .into_iter()
        .filter(|output| matches!(output, Output::ToStore { store: HERE, message: FromDispatcher::Ping }));
    assert!((2..=5).contains(&pings.count()));
}

#[test]
fn a_store_that_is_heard_is_slow_but_not_silent() {
    let mut rig = Rig::new();
    rig.submit(Place::Any);
    rig.give(50, Input::Heard { store: HERE });
    rig.run(70);
    assert_eq!(accept_in(&submit_as(&mut rig, 75, 8, Place::Any)).unwrap().0, HERE);
}

fn reconnect(rig: &mut Rig, now: u64, store: StoreId) {
    rig.give(now, Input::StoreClosed { store });
    rig.give(now, Input::StoreConnected { store });
}

/// One request to a store, sent on its connection before.
#[derive(Clone, Copy)]
struct Asked {
    call: CallNumber,
    request: RequestNumber,
    id: MessageId,
}

/// Has the store of a key asked to keep some messages, the first of which it keeps; then it is connected anew.
fn submit_and_reconnect(rig: &mut Rig) -> Vec<Asked> {
    let mut asked = Vec::new();
    for call in 0..4 {
        let out = submit_as(rig, 0, call, Place::Named("key".into()));
        let (store, request, id) = accept_in(&out).unwrap();
        assert_eq!(store, THERE);
        asked.push(Asked { call: CallNumber(call), request, id });
    }
    let first = asked.remove(0);
    rig.store_says(0, THERE, ToDispatcher::Accepted { request: first.request, token: None });
    reconnect(rig, 1, THERE);
    asked
}

/// A late reply of the connection before carries a number that no later request has.
#[test]
fn a_late_reply_to_a_request_before_a_reconnect_answers_that_request_and_no_other() {
    let mut rig = Rig::new();
    for Asked { call, request, id } in submit_and_reconnect(&mut rig) {
        let out = rig.store_says(3, THERE, ToDispatcher::Accepted { request, token: None });
        let answered: Vec<&Output> =
            out.iter().filter(|output| matches!(output, Output::Answered { .. })).collect();
        assert_eq!(answered, [&Output::Answered { call, answer: AcceptAnswer::Kept { id } }]);
    }
}

#[test]
fn a_late_refusal_from_before_a_reconnect_refuses_no_other_request() {
    let mut rig = Rig::new();
    let before = submit_and_reconnect(&mut rig);
    rig.run(600);
    for call in 4..8 {
        submit_as(&mut rig, 600, call, Place::Any);
    }
    for Asked { request, .. } in before {
        let reason = AcceptRejection::Full { retry_after_ms: 1 };
        let out = rig.store_says(601, THERE, ToDispatcher::Rejected { request, reason });
        assert_eq!(out, []);
    }
}

#[test]
fn a_late_reply_to_a_question_before_a_reconnect_answers_that_question_and_no_other() {
    let mut rig = Rig::new();
    let mut before = Vec::new();
    for call in 0..4 {
        let id = MessageId { unique: 5 + call, ..ASKED };
        let asked = queries_in(&rig.give(0, Input::Query { call: CallNumber(call), id, body: false }));
        before.push(Asked { call: CallNumber(call), request: asked[0].1, id });
    }
    let state =
        |request| ToDispatcher::State { request, answer: QueryAnswer::Ended { end: End::DeadLetter } };
    let first = before.remove(0);
    rig.store_says(0, THERE, state(first.request));
    reconnect(&mut rig, 1, THERE);
    for Asked { call, request, .. } in before {
        let out = rig.store_says(2, THERE, state(request));
        assert_eq!(out, [Output::Known { call, result: QueryResult::DeadLetter }]);
    }
}
