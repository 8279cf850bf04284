//! Each message between processes, byte for byte as earlier versions send it.

use millrudder_protocol::control::{
    CaughtUpShard, ConfigurationText, FromCore, Registrant, StoreHealth, ToCore, WorkerEntry, WorkerList,
    WorkerState,
};
use millrudder_protocol::frame::{decode, encode, Content};
use millrudder_protocol::message::{End, Grant, Header, Message, MessageState};
use millrudder_protocol::placement::{ChangeReason, MemberChange, Placement, ShardEntry, StoreEntry};
use millrudder_protocol::store::{
    AcceptRejection, ActiveLease, AttemptOutcome, BetweenStores, FromDispatcher, QueryAnswer, Record,
    ScrubEntry, ServiceCredit, ServiceRate, ToDispatcher, ToStore,
};
use millrudder_protocol::{
    Address, DispatcherId, Epoch, LeaseToken, MessageId, RequestNumber, Sequence, ShardId, StoreId,
};
use millrudder_testing::golden::Golden;
use speedy::{LittleEndian, Readable, Writable};
use std::fmt::Debug;

const ID: MessageId = MessageId { shard: ShardId(0x0102), unique: 0x0304_0506_0708_090a };
const TOKEN: LeaseToken = LeaseToken(0x1112_1314_1516_1718);
const REQUEST: RequestNumber = RequestNumber(0x2122_2324_2526_2728);
const SHARD: ShardId = ShardId(0x3132);
const TERM: Epoch = Epoch(0x4142_4344_4546_4748);
const EPOCH: Epoch = Epoch(0x5152_5354_5556_5758);
const STORE: StoreId = StoreId(0x6162_6364_6566_6768);
const DISPATCHER: DispatcherId = DispatcherId(0x7172_7374_7576_7778);

fn check<T>(golden: &mut Golden, name: &str, value: &T)
where
    T: Debug + PartialEq + Writable<LittleEndian> + for<'a> Readable<'a, LittleEndian>,
{
    let encode = |value: &T| value.write_to_vec().unwrap();
    golden.check(name, value, encode, |bytes| T::read_from_buffer(bytes).unwrap());
}

fn address() -> Address {
    Address(([10, 1, 2, 40], 8069).into())
}

fn address_v6() -> Address {
    Address(([0xfd00, 0, 0, 0, 1, 2, 3, 4], 9000).into())
}

fn message() -> Message {
    Message {
        request_id: "9c41d07be2a35f68".into(),
        method: "POST".into(),
        path: "/orders/2?a=b".into(),
        host: "shop.example".into(),
        headers: vec![Header { name: "x-a".into(), value: vec![0xe9, b'b'] }],
        body: b"body".to_vec(),
        order_key: Some("key".into()),
        callback_url: Some("http://10.0.0.4:8080/done".into()),
        service: "orders".into(),
        priority: 2,
        delay_ms: 1_500,
        target_start_ms: 800,
        max_attempts: 4,
        retention_ms: 90_000,
    }
}

fn bare_message() -> Message {
    Message { order_key: None, callback_url: None, headers: Vec::new(), ..message() }
}

/// Durations beyond 32 bits of milliseconds.
fn long_lived_message() -> Message {
    Message {
        delay_ms: 0x0001_0000_0002,
        target_start_ms: 0x0003_0000_0004,
        retention_ms: 0x0005_0000_0006,
        ..message()
    }
}

fn state() -> MessageState {
    MessageState {
        id: ID,
        sequence: Sequence(0x8182),
        age_ms: 5,
        message: Some(message()),
        failed_attempts: 1,
        grant: Some(Grant { dispatcher: DISPATCHER, token: TOKEN }),
        resolved_through: LeaseToken(7),
        end: Some(End::Completed { signature: "3e1b.07".into() }),
        ended_age_ms: 3,
        callback_done: true,
    }
}

fn summary() -> MessageState {
    MessageState { message: None, grant: None, end: None, callback_done: false, ..state() }
}

fn placement() -> Placement {
    let store = |number: u64, address: Address| StoreEntry {
        id: StoreId(number),
        name: format!("storage-{number}"),
        zone: "zone-1".into(),
        address,
        alive: number == 1,
    };
    let change = MemberChange {
        joins: StoreId(4),
        leaves: Some(StoreId(1)),
        epoch: TERM,
        reason: ChangeReason::Repair,
    };
    let shard = |change: Option<MemberChange>| ShardEntry {
        primary: StoreId(1),
        replicas: vec![StoreId(1), StoreId(2), StoreId(3)],
        change,
        term: Epoch(2),
    };
    let retire = MemberChange { leaves: None, reason: ChangeReason::Retire, ..change };
    let balance = MemberChange { reason: ChangeReason::Balance, ..change };
    Placement {
        epoch: EPOCH,
        tolerated_losses: 1,
        stores: vec![store(1, address()), store(2, address_v6())],
        shards: vec![shard(None), shard(Some(change)), shard(Some(retire)), shard(Some(balance))],
    }
}

fn from_dispatcher() -> Vec<(&'static str, FromDispatcher)> {
    let attempted = |outcome| FromDispatcher::Attempted { id: ID, token: TOKEN, outcome };
    vec![
        (
            "hello",
            FromDispatcher::Hello {
                dispatcher: DISPATCHER,
                name: "edge-1".into(),
                zone: "zone-2".into(),
                epoch: EPOCH,
                active_leases: vec![ActiveLease { id: ID, token: TOKEN }],
                in_doubt: vec![ID, MessageId { shard: SHARD, unique: 1 }],
            },
        ),
        (
            "accept",
            FromDispatcher::Accept {
                request: REQUEST,
                id: ID,
                message: Box::new(message()),
                wants_lease: true,
            },
        ),
        (
            "accept_bare",
            FromDispatcher::Accept {
                request: REQUEST,
                id: ID,
                message: Box::new(bare_message()),
                wants_lease: false,
            },
        ),
        (
            "accept_long_lived",
            FromDispatcher::Accept {
                request: REQUEST,
                id: ID,
                message: Box::new(long_lived_message()),
                wants_lease: true,
            },
        ),
        ("withdraw", FromDispatcher::Withdraw { id: ID }),
        ("attempted_succeeded", attempted(AttemptOutcome::Succeeded { signature: "5a".into() })),
        ("attempted_refused", attempted(AttemptOutcome::Refused)),
        ("attempted_failed", attempted(AttemptOutcome::Failed)),
        ("attempted_route_gone", attempted(AttemptOutcome::RouteGone)),
        ("attempted_not_run", attempted(AttemptOutcome::NotRun { retry_after_ms: 250 })),
        ("attempted_unknown", attempted(AttemptOutcome::Unknown { retry_after_ms: 251 })),
        (
            "called_back",
            FromDispatcher::CalledBack { id: ID, token: TOKEN, done: true, retry_after_ms: 1_000 },
        ),
        ("need_body", FromDispatcher::NeedBody { id: ID, token: TOKEN }),
        (
            "credits",
            FromDispatcher::Credits { credits: vec![ServiceCredit { service: "orders".into(), limit: 3 }] },
        ),
        ("query", FromDispatcher::Query { request: REQUEST, id: ID, with_body: true }),
        ("leaving", FromDispatcher::ShuttingDown),
        ("ping", FromDispatcher::Ping),
        ("barrier", FromDispatcher::Barrier { number: 77 }),
    ]
}

#[test]
fn messages_of_dispatchers_to_stores() {
    let mut golden = Golden::open("tests/golden/from_dispatcher.txt");
    for (name, message) in from_dispatcher() {
        check(&mut golden, name, &message);
    }
    check(&mut golden, "service_rate", &ServiceRate { service: "orders".into(), per_second: 12.5 });
    golden.finish();
}

#[test]
fn messages_of_stores_to_dispatchers() {
    let state = |answer| ToDispatcher::State { request: REQUEST, answer };
    let rejected = |reason| ToDispatcher::Rejected { request: REQUEST, reason };
    let call_back = |end, message| ToDispatcher::CallBack { id: ID, token: TOKEN, end, message };
    let deliver =
        |message| ToDispatcher::Deliver { id: ID, token: TOKEN, age_ms: 1_234, failed_attempts: 2, message };
    let mut golden = Golden::open("tests/golden/to_dispatcher.txt");
    for (name, message) in [
        ("welcome", ToDispatcher::Welcome { store: STORE, epoch: EPOCH }),
        ("accepted", ToDispatcher::Accepted { request: REQUEST, token: Some(TOKEN) }),
        ("accepted_without_lease", ToDispatcher::Accepted { request: REQUEST, token: None }),
        ("not_accepted_not_primary", rejected(AcceptRejection::NotPrimary { epoch: EPOCH })),
        ("not_accepted_full", rejected(AcceptRejection::Full { retry_after_ms: 90 })),
        ("withdrawn", ToDispatcher::Withdrawn { id: ID }),
        ("deliver", deliver(Some(Box::new(message())))),
        ("deliver_without_message", deliver(None)),
        ("call_back", call_back(End::DeadLetter, Some(Box::new(bare_message())))),
        ("call_back_withdrawn", call_back(End::Withdrawn, None)),
        ("revoke", ToDispatcher::Revoke { id: ID, token: TOKEN }),
        ("recorded", ToDispatcher::Recorded { id: ID, token: TOKEN }),
        ("state_unknown", state(QueryAnswer::Unknown)),
        ("state_not_replica", state(QueryAnswer::NotReplica)),
        ("state_queued", state(QueryAnswer::Queued)),
        ("state_ended", state(QueryAnswer::Ended { end: End::Completed { signature: "5a".into() } })),
        ("state_body", state(QueryAnswer::Body { body: b"body".to_vec() })),
        ("pong", ToDispatcher::Pong),
        ("barrier_reached", ToDispatcher::BarrierReached { number: 77 }),
    ] {
        check(&mut golden, name, &message);
    }
    golden.finish();
}

fn records() -> Vec<(&'static str, Record)> {
    vec![
        ("state", Record::State { state: Box::new(state()) }),
        ("state_summary", Record::State { state: Box::new(summary()) }),
        ("granted", Record::Granted { id: ID, grant: Grant { dispatcher: DISPATCHER, token: TOKEN } }),
        ("failed", Record::Failed { id: ID, token: TOKEN, failed_attempts: 3 }),
        ("ended", Record::Ended { id: ID, end: End::DeadLetter }),
        ("callback_done", Record::CallbackDone { id: ID }),
        ("forgotten", Record::Forgotten { id: ID }),
    ]
}

#[test]
fn messages_among_stores() {
    let mut golden = Golden::open("tests/golden/between_stores.txt");
    for (name, record) in records() {
        check(&mut golden, &format!("record_{name}"), &record);
    }
    let all_records = records().into_iter().map(|(_, record)| record).collect();
    for (name, message) in [
        ("hello", BetweenStores::Hello { store: STORE, epoch: EPOCH }),
        ("write", BetweenStores::Write { number: REQUEST, shard: SHARD, term: TERM, records: all_records }),
        ("written", BetweenStores::Written { number: REQUEST }),
        ("fenced", BetweenStores::Fenced { number: REQUEST, shard: SHARD, term: TERM }),
        ("promise", BetweenStores::Prepare { shard: SHARD, term: TERM }),
        (
            "promised",
            BetweenStores::Promise { shard: SHARD, term: TERM, states: vec![state(), summary()], last: true },
        ),
        (
            "scrub",
            BetweenStores::Scrub {
                shard: SHARD,
                term: TERM,
                entries: vec![ScrubEntry { unique: 0x9192, digest: 0xa1a2 }],
            },
        ),
        ("scrubbed", BetweenStores::Scrubbed { shard: SHARD, term: TERM, differing: vec![ID] }),
        ("filled", BetweenStores::LearnerCaughtUp { shard: SHARD, term: TERM, change: EPOCH }),
        ("ping", BetweenStores::Ping),
        ("pong", BetweenStores::Pong),
    ] {
        check(&mut golden, name, &message);
        check(&mut golden, &format!("to_store_{name}"), &ToStore::Store { message });
    }
    check(&mut golden, "to_store_dispatcher", &ToStore::Dispatcher { message: FromDispatcher::Ping });
    check(&mut golden, "to_store_addressed", &ToStore::Addressed { store: STORE });
    golden.finish();
}

fn workers() -> WorkerList {
    let worker = |state, address| WorkerEntry {
        instance_id: "i-1".into(),
        service: "orders".into(),
        address,
        zone: "zone-3".into(),
        capacity: 8,
        state,
        warm_up_left_ms: 4_500,
    };
    let workers = vec![worker(WorkerState::Ready, address()), worker(WorkerState::Draining, address_v6())];
    WorkerList { fencing: 0xb1b2, number: 0xc1c2, workers }
}

#[test]
fn messages_to_and_from_core_machines() {
    let health = StoreHealth {
        oldest_unsynced_ms: 11,
        disk_bytes: 12,
        live_messages: 13,
        is_shutting_down: true,
        primary_shards: 14,
    };
    let register =
        |registrant| ToCore::Register { registrant, configuration_version: 0xd1d2, placement_epoch: 0xe1e2 };
    let dispatcher = Registrant::Dispatcher { name: "edge-1".into(), zone: "zone-2".into() };
    let store = Registrant::Store {
        id: STORE,
        name: "storage-1".into(),
        zone: "zone-1".into(),
        address: address(),
        bootstrap: true,
    };
    let mut golden = Golden::open("tests/golden/control.txt");
    for (name, message) in [
        ("register_dispatcher", register(dispatcher)),
        ("register_store", register(store)),
        ("heartbeat", ToCore::Heartbeat { health: Some(health) }),
        ("heartbeat_without_health", ToCore::Heartbeat { health: None }),
        (
            "caught_up",
            ToCore::LearnerCaughtUp { shards: vec![CaughtUpShard { shard: SHARD, change: EPOCH }] },
        ),
        ("ask", ToCore::StalenessCheck { sent_at_ms: 0xf1f2 }),
    ] {
        check(&mut golden, &format!("to_core_{name}"), &message);
    }
    let configuration = ConfigurationText { version: 5, json: b"{}".to_vec() };
    for (name, message) in [
        ("configuration", FromCore::Configuration { configuration }),
        ("placement", FromCore::Placement { placement: placement() }),
        ("workers", FromCore::Workers { list: workers() }),
        (
            "heartbeat",
            FromCore::StalenessConfirmed {
                configuration_version: 0xd1d2,
                placement_epoch: 0xe1e2,
                sent_at_ms: 0xf1f2,
            },
        ),
        ("core", FromCore::CoreAddresses { addresses: vec![address(), address_v6()] }),
        ("dispatchers", FromCore::DispatcherCount { count: 69 }),
        ("try_another", FromCore::Redirect),
        ("no_majority", FromCore::NoQuorum),
    ] {
        check(&mut golden, &format!("from_core_{name}"), &message);
    }
    golden.finish();
}

/// The frame of a message, with its length and checksum; long ones are compressed.
fn check_frame(golden: &mut Golden, name: &str, message: &FromCore) {
    let framed = |message: &FromCore| {
        let mut bytes = Vec::new();
        encode(message, &mut bytes).unwrap();
        bytes
    };
    golden.check(name, message, framed, |bytes| {
        let decoded = decode::<FromCore>(bytes).unwrap().unwrap();
        assert_eq!(decoded.consumed, bytes.len());
        let Content::Message(message) = decoded.content else { panic!("a message") };
        message
    });
}

#[test]
fn frames_on_connections() {
    let mut golden = Golden::open("tests/golden/frames.txt");
    check_frame(&mut golden, "short", &FromCore::Placement { placement: placement() });
    let configuration = ConfigurationText { version: 5, json: b"{\"route\": 1}".repeat(400) };
    check_frame(&mut golden, "compressed", &FromCore::Configuration { configuration });
    golden.finish();
}

#[test]
fn names_of_messages_as_clients_see_them() {
    let mut golden = Golden::open("tests/golden/names.txt");
    let encode = |id: &MessageId| id.to_string().into_bytes();
    golden.check("message_id", &ID, encode, |bytes| std::str::from_utf8(bytes).unwrap().parse().unwrap());
    golden.finish();
}
