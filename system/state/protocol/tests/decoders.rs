//! Whatever content a frame has, each decoder of an internal port ends in a message or an error, and allocates no more
//! than a small multiple of the content, whatever lengths stand in it.
//!
//! One test only: allocations of others would be counted with it.

use cap::Cap;
use millrudder_protocol::control::{
    CaughtUpShard, FromCore, Registrant, StoreHealth, ToCore, WorkerEntry, WorkerList, WorkerState,
};
use millrudder_protocol::frame::{decode, encode, Content, HEADER_BYTES};
use millrudder_protocol::message::{End, Grant, Header, Message, MessageState};
use millrudder_protocol::placement::{ChangeReason, MemberChange, Placement, ShardEntry, StoreEntry};
use millrudder_protocol::store::{
    ActiveLease, BetweenStores, FromDispatcher, QueryAnswer, Record, ScrubEntry, ServiceCredit, ToDispatcher,
    ToStore,
};
use millrudder_protocol::{
    Address, DispatcherId, Epoch, LeaseToken, MessageId, RequestNumber, Sequence, ShardId, StoreId,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, TestRunner};
use speedy::{LittleEndian, Readable, Writable};
use std::alloc::System;
use xxhash_rust::xxh3::xxh3_64;

#[global_allocator]
static ALLOCATOR: Cap<System> = Cap::new(System, 1 << 30);

const CASES: u32 = 4_000;
const MAX_RANDOM_BYTES: usize = 2_000;
/// Bytes in memory for each byte of a frame: what is short on the wire (an empty text, an absent value) is not in
/// memory, and a list grows by doubling.
const MEMORY_FACTOR: usize = 64;
const MEMORY_BASE: usize = 4 << 10;
/// Lengths that lie, in the place of a true one.
const LENGTHS: [u32; 6] = [0, 1, 1 << 16, 1 << 24, u32::MAX >> 1, u32::MAX];

fn id() -> MessageId {
    MessageId { shard: ShardId(3), unique: 77 }
}

fn address() -> Address {
    Address(([10, 1, 0, 40], 8069).into())
}

fn message() -> Message {
    Message {
        request_id: "9c41d07be2a35f68".into(),
        method: "POST".into(),
        path: "/bose230/zi72/2f?a=b".into(),
        host: "boye61.example".into(),
        headers: vec![Header { name: "x-a".into(), value: vec![0xe9, b'b'] }; 3],
        body: b"body".to_vec(),
        order_key: Some("key".into()),
        callback_url: Some("http://10.0.0.4:8080/done".into()),
        service: "huvo11a".into(),
        priority: 2,
        delay_ms: 1_500,
        target_start_ms: 800,
        max_attempts: 4,
        retention_ms: 90_000,
    }
}

fn state() -> MessageState {
    MessageState {
        id: id(),
        sequence: Sequence(9),
        age_ms: 5,
        message: Some(message()),
        failed_attempts: 1,
        grant: Some(Grant { dispatcher: DispatcherId(4), token: LeaseToken(8) }),
        resolved_through: LeaseToken(7),
        end: Some(End::Completed { signature: "3e1b.07".into() }),
        ended_age_ms: 1,
        callback_done: false,
    }
}

fn placement() -> Placement {
    let store = |number: u64| StoreEntry {
        id: StoreId(number),
        name: format!("storage-{number}"),
        zone: "zone-1".into(),
        address: address(),
        alive: true,
    };
    let replicas = vec![StoreId(1), StoreId(2), StoreId(3)];
    let (joins, leaves) = (StoreId(4), Some(StoreId(1)));
    let change = Some(MemberChange { joins, leaves, epoch: Epoch(2), reason: ChangeReason::Repair });
    let shard = ShardEntry { primary: StoreId(1), replicas, change, term: Epoch(2) };
    Placement {
        epoch: Epoch(5),
        tolerated_losses: 1,
        stores: (1..5).map(store).collect(),
        shards: vec![shard; 4],
    }
}

/// The content of each kind of message.
fn contents() -> Vec<Vec<u8>> {
    let mut all = Vec::new();
    let mut add = |content: Result<Vec<u8>, speedy::Error>| all.push(content.unwrap());
    let (store, request, token) = (StoreId(1), RequestNumber(6), LeaseToken(8));
    let (shard, term, number) = (ShardId(3), Epoch(2), RequestNumber(11));
    let hello = FromDispatcher::Hello {
        dispatcher: DispatcherId(4),
        name: "edge".into(),
        zone: "zone-1".into(),
        epoch: Epoch(5),
        active_leases: vec![ActiveLease { id: id(), token }; 3],
        in_doubt: vec![id(); 3],
    };
    let accept =
        FromDispatcher::Accept { request, id: id(), message: Box::new(message()), wants_lease: true };
    let credits =
        FromDispatcher::Credits { credits: vec![ServiceCredit { service: "a".into(), limit: 3 }; 3] };
    for message in [hello, accept, credits] {
        add(message.write_to_vec());
        add(ToStore::Dispatcher { message }.write_to_vec());
    }
    let records = vec![
        Record::State { state: Box::new(state()) },
        Record::Failed { id: id(), token, failed_attempts: 2 },
        Record::Ended { id: id(), end: End::DeadLetter },
    ];
    let entries = vec![ScrubEntry { unique: 7, digest: 8 }; 4];
    for message in [
        BetweenStores::Write { number, shard, term, records },
        BetweenStores::Promise { shard, term, states: vec![state(); 2], last: true },
        BetweenStores::Scrub { shard, term, entries },
        BetweenStores::Scrubbed { shard, term, differing: vec![id(); 4] },
    ] {
        add(message.write_to_vec());
        add(ToStore::Store { message }.write_to_vec());
    }
    let message = Some(Box::new(message()));
    let end = End::Completed { signature: "s".into() };
    add(ToDispatcher::Deliver { id: id(), token, age_ms: 3, failed_attempts: 1, message: message.clone() }
        .write_to_vec());
    add(ToDispatcher::CallBack { id: id(), token, end, message }.write_to_vec());
    add(ToDispatcher::State { request, answer: QueryAnswer::Body { body: b"body".to_vec() } }.write_to_vec());
    add(ToDispatcher::Welcome { store, epoch: term }.write_to_vec());
    let worker = WorkerEntry {
        instance_id: "i-7f3a91c2".into(),
        service: "huvo11a".into(),
        address: address(),
        zone: "zone-1".into(),
        capacity: 6,
        state: WorkerState::Ready,
        warm_up_left_ms: 0,
    };
    add(FromCore::Workers { list: WorkerList { fencing: 3, number: 4, workers: vec![worker; 3] } }
        .write_to_vec());
    add(FromCore::Placement { placement: placement() }.write_to_vec());
    add(FromCore::CoreAddresses { addresses: vec![address(); 3] }.write_to_vec());
    let registrant = Registrant::Store {
        id: store,
        name: "a".into(),
        zone: "b".into(),
        address: address(),
        bootstrap: true,
    };
    add(ToCore::Register { registrant, configuration_version: 7, placement_epoch: 5 }.write_to_vec());
    add(ToCore::Heartbeat { health: Some(StoreHealth::default()) }.write_to_vec());
    add(ToCore::LearnerCaughtUp { shards: vec![CaughtUpShard { shard, change: Epoch(2) }; 5] }.write_to_vec());
    all
}

/// A mutation of a content.
#[derive(Clone, Debug)]
enum Mutation {
    Byte { at: usize, value: u8 },
    Length { at: usize, length: u32 },
    Truncate { at: usize },
    Insert { at: usize, bytes: Vec<u8> },
}

impl Mutation {
    fn apply(&self, content: &mut Vec<u8>) {
        let position = |at: usize, length: usize| at % (length + 1);
        match self {
            Mutation::Byte { at, value } => {
                let at = position(*at, content.len().saturating_sub(1));
                if let Some(byte) = content.get_mut(at) {
                    *byte = *value;
                }
            }
            Mutation::Length { at, length } => {
                let at = position(*at, content.len().saturating_sub(4));
                if let Some(bytes) = content.get_mut(at..at + 4) {
                    bytes.copy_from_slice(&length.to_le_bytes());
                }
            }
            Mutation::Truncate { at } => content.truncate(position(*at, content.len())),
            Mutation::Insert { at, bytes } => {
                let at = position(*at, content.len());
                content.splice(at..at, bytes.iter().copied());
            }
        }
    }
}

fn mutation() -> impl Strategy<Value = Mutation> {
    let at = any::<usize>();
    prop_oneof![
        (at, any::<u8>()).prop_map(|(at, value)| Mutation::Byte { at, value }),
        (at, prop::sample::select(LENGTHS.to_vec())).prop_map(|(at, length)| Mutation::Length { at, length }),
        at.prop_map(|at| Mutation::Truncate { at }),
        (at, prop::collection::vec(any::<u8>(), 1..9)).prop_map(|(at, bytes)| Mutation::Insert { at, bytes }),
    ]
}

fn content() -> impl Strategy<Value = Vec<u8>> {
    let mutated = (prop::sample::select(contents()), prop::collection::vec(mutation(), 0..4));
    let mutated = mutated.prop_map(|(mut content, mutations)| {
        mutations.iter().for_each(|mutation| mutation.apply(&mut content));
        content
    });
    let random = prop::collection::vec(any::<u8>(), 1..MAX_RANDOM_BYTES);
    // A variant of a message, then nothing but lengths.
    let lengths = prop::collection::vec(prop::sample::select(LENGTHS.to_vec()), 0..12);
    let false_lengths = (0..24_u32, lengths).prop_map(|(kind, lengths)| {
        std::iter::once(kind).chain(lengths).flat_map(u32::to_le_bytes).collect::<Vec<u8>>()
    });
    prop_oneof![4 => mutated, 1 => random, 1 => false_lengths]
}

fn frame_of(content: &[u8]) -> Vec<u8> {
    let mut frame = u32::try_from(content.len()).unwrap().to_le_bytes().to_vec();
    let checksum = u32::try_from(xxh3_64(content) & u64::from(u32::MAX)).unwrap();
    frame.extend_from_slice(&checksum.to_le_bytes());
    frame.extend_from_slice(content);
    frame
}

/// Decodes a frame as one kind of message; one that can be decoded is encoded and decoded to the same.
fn decode_as<M>(frame: &[u8]) -> Result<(), TestCaseError>
where
    M: for<'a> Readable<'a, LittleEndian> + Writable<LittleEndian> + PartialEq + std::fmt::Debug,
{
    let before = ALLOCATOR.total_allocated();
    let decoded = decode::<M>(frame);
    let allocated = ALLOCATOR.total_allocated() - before;
    let max_allocated = MEMORY_BASE + MEMORY_FACTOR * frame.len();
    prop_assert!(allocated <= max_allocated, "{allocated} bytes for a frame of {}", frame.len());
    if let Ok(Some(decoded)) = decoded {
        prop_assert_eq!(decoded.consumed, frame.len());
        let Content::Message(message) = decoded.content else { return Ok(()) };
        let mut again = Vec::new();
        encode(&message, &mut again).unwrap();
        let read_back = decode::<M>(&again).unwrap().unwrap();
        prop_assert_eq!(read_back.content, Content::Message(message));
    }
    Ok(())
}

#[test]
fn any_content_decodes_within_bounds() {
    let config = Config { cases: CASES, failure_persistence: None, ..Config::default() };
    let outcome = TestRunner::new(config).run(&content(), |content| {
        let frame = frame_of(&content);
        prop_assert!(frame.len() >= HEADER_BYTES);
        decode_as::<FromDispatcher>(&frame)?;
        decode_as::<ToDispatcher>(&frame)?;
        decode_as::<BetweenStores>(&frame)?;
        decode_as::<ToStore>(&frame)?;
        decode_as::<ToCore>(&frame)?;
        decode_as::<FromCore>(&frame)
    });
    if let Err(error) = outcome {
        panic!("{error}");
    }
}
