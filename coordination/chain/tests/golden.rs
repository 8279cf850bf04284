//! Golden tests: the encodings of messages and of durable state match those of earlier versions byte for byte.

use millrudder_chain::{
    AppendBatch, CoreMessage, DurableState, Entry, Epoch, FencingToken, Heartbeat, InstallSnapshotChunk,
    Member, NodeId, Position, ProcessTimestamp, Record, RequestId, Role, Sequence, Snapshot, SnapshotChunk,
    SnapshotId, TimestampEcho, View,
};
use millrudder_lease::{LeaseAnswer, LeaseRecord, LeaseRelease, LeaseRequest};
use millrudder_testing::golden::Golden;
use millrudder_view::{Ballot, ViewMessage, ViewRecord};
use speedy::{LittleEndian, Readable, Writable};
use std::fmt::Debug;

const EPOCH: Epoch = Epoch(0x0102_0304_0506_0708);
const REQUEST: RequestId = RequestId(0x1112_1314_1516_1718_191a_1b1c_1d1e_1f20);
const POSITION: Position = Position { sequence: Sequence(0x2122), epoch: Epoch(0x3132) };
const END: Position = Position { sequence: Sequence(0x4142), epoch: Epoch(0x5152) };
const COMMITTED: Sequence = Sequence(0x6162);
const COMPLETE_AT: Sequence = Sequence(0x7172);
const SNAPSHOT: SnapshotId = SnapshotId { position: POSITION, digest: 0x8182_8384_8586_8788, length: 0x9192 };

fn check<T>(golden: &mut Golden, name: &str, value: &T)
where
    T: Debug + PartialEq + Writable<LittleEndian> + for<'a> Readable<'a, LittleEndian>,
{
    let encode = |value: &T| value.write_to_vec().unwrap();
    golden.check(name, value, encode, |bytes| T::read_from_buffer(bytes).unwrap());
}

fn entry(sequence: u64) -> Entry {
    Entry {
        position: Position { sequence: Sequence(sequence), epoch: Epoch(3) },
        request_id: RequestId(REQUEST.0 + u128::from(sequence)),
        origin: NodeId(0xa1a2),
        command: vec![1, 2, 3, sequence as u8],
    }
}

fn view() -> View {
    let member = |id: u64| Member { id: NodeId(id), address: format!("127.0.0.1:{}", 9_000 + id) };
    View {
        epoch: Epoch(4),
        voters: vec![member(1), member(2), member(3)],
        members: vec![member(2), member(1)],
    }
}

/// Heartbeats with exactly one flag set, for each flag, so that swapped fields are detected.
fn heartbeats() -> Vec<(&'static str, Heartbeat)> {
    let plain = Heartbeat {
        epoch: EPOCH,
        address: "127.0.0.1:9001".to_owned(),
        timestamp: ProcessTimestamp { process: 0xb1b2, micros: 0xc1c2 },
        timestamp_echoes: vec![TimestampEcho {
            peer: NodeId(0xd1d2),
            timestamp: ProcessTimestamp { process: 0xe1e2, micros: 0xf1f2 },
        }],
        log_end: END,
        committed: COMMITTED,
        is_caught_up: false,
        is_complete: false,
        confirms_epoch: false,
        is_leaving: false,
        is_disk_lagging: false,
    };
    vec![
        ("heartbeat_synced", Heartbeat { is_caught_up: true, ..plain.clone() }),
        ("heartbeat_complete", Heartbeat { is_complete: true, ..plain.clone() }),
        ("heartbeat_vouches", Heartbeat { confirms_epoch: true, ..plain.clone() }),
        ("heartbeat_leaving", Heartbeat { is_leaving: true, ..plain.clone() }),
        ("heartbeat_lagging", Heartbeat { is_disk_lagging: true, ..plain.clone() }),
        ("heartbeat", plain),
    ]
}

#[test]
fn messages_between_core_nodes() {
    let role = || Role("reader".to_owned());
    let append = |sealed| {
        CoreMessage::Append(AppendBatch {
            epoch: EPOCH,
            previous: POSITION,
            entries: vec![entry(7), entry(8)],
            committed: COMMITTED,
            complete_at: COMPLETE_AT,
            sealed,
        })
    };
    let install = |conflict_at| {
        CoreMessage::InstallSnapshot(InstallSnapshotChunk {
            epoch: EPOCH,
            chunk: SnapshotChunk { id: SNAPSHOT, offset: 0x0f0e, bytes: b"part".to_vec() },
            complete_at: COMPLETE_AT,
            sealed: true,
            conflict_at,
        })
    };
    let request = LeaseRequest { role: role(), attempt: 5, fencing_token: FencingToken(6), is_renewal: true };
    let answer = LeaseAnswer::Granted { role: role(), attempt: 5, bound_micros: 7 };
    let prepare = ViewMessage::Prepare { instance: EPOCH, ballot: Ballot { round: 1, node: NodeId(2) } };

    let mut messages: Vec<(&str, CoreMessage)> = Vec::new();
    messages.extend(heartbeats().into_iter().map(|(name, beat)| (name, CoreMessage::Heartbeat(beat))));
    messages.extend([
        ("view", CoreMessage::View(prepare)),
        ("append", append(false)),
        ("append_sealed", append(true)),
        ("install", install(None)),
        ("install_differs", install(Some(END))),
        ("install_received", CoreMessage::SnapshotReceived { epoch: EPOCH, id: SNAPSHOT, received: 0x0a0b }),
        ("appended", CoreMessage::Appended { epoch: EPOCH, end: END, committed: COMMITTED }),
        ("gap", CoreMessage::Gap { epoch: EPOCH, end: END }),
        ("submit", CoreMessage::Submit { request_id: REQUEST, command: vec![1, 2] }),
        ("answer", CoreMessage::Reply { request_id: REQUEST, reply: vec![3, 4] }),
        ("read_index", CoreMessage::ReadIndex { epoch: EPOCH, request_id: REQUEST }),
        ("read_indexed", CoreMessage::ReadIndexed { request_id: REQUEST, sequence: COMMITTED }),
        ("confirm_epoch", CoreMessage::ConfirmEpoch { epoch: EPOCH, attempt: 9 }),
        ("epoch_confirmed", CoreMessage::EpochConfirmed { epoch: EPOCH, attempt: 9 }),
        ("lease_request", CoreMessage::LeaseRequest { epoch: EPOCH, request }),
        ("lease_answer", CoreMessage::LeaseAnswer { epoch: EPOCH, answer }),
        (
            "lease_released",
            CoreMessage::LeaseReleased {
                release: LeaseRelease { role: role(), fencing_token: FencingToken(6) },
            },
        ),
    ]);
    let mut golden = Golden::open("tests/golden/messages.txt");
    for (name, message) in messages {
        golden.check(name, &message, CoreMessage::encode, |bytes| CoreMessage::decode(bytes).unwrap());
    }
    golden.finish();
}

/// A snapshot with one retained reply, as encoded by an earlier version.
fn snapshot() -> Snapshot {
    let (sequence, epoch, machine) = (5_u64, 3_u64, b"machine".to_vec());
    let mut bytes = Vec::new();
    bytes.extend(sequence.to_le_bytes());
    bytes.extend(epoch.to_le_bytes());
    bytes.extend((machine.len() as u32).to_le_bytes());
    bytes.extend(machine);
    bytes.extend(1_u32.to_le_bytes());
    bytes.extend(REQUEST.0.to_le_bytes());
    bytes.extend(5_u32.to_le_bytes());
    bytes.extend(b"reply");
    Snapshot::read_from_buffer(&bytes).unwrap()
}

#[test]
fn records_and_checkpoints_of_a_core_node() {
    let lease = LeaseRecord { role: Role("reader".to_owned()), fencing_token: FencingToken(6) };
    let appended = |sequences: [u64; 2], committed| Record::Appended {
        entries: sequences.map(entry).to_vec(),
        committed: Sequence(committed),
        complete: committed == 7,
    };
    let records = [
        ("identity", Record::Identity { id: NodeId(0x0d0c) }),
        ("view", Record::View(ViewRecord::Decided { view: view() })),
        ("installed", Record::SnapshotInstalled { snapshot: snapshot(), complete: false }),
        ("appended", appended([6, 7], 6)),
        ("appended_complete", appended([8, 9], 7)),
        ("sealed", Record::Sealed { epoch: Epoch(4) }),
        ("lease", Record::Lease(lease)),
        ("left", Record::UncommittedDropped { committed: Sequence(8) }),
    ];
    let mut golden = Golden::open("tests/golden/durable.txt");
    let mut state = DurableState::default();
    check(&mut golden, "state_of_an_empty_disk", &state);
    for (name, record) in records {
        check(&mut golden, name, &record);
        state.apply(&record);
        check(&mut golden, &format!("state_after_{name}"), &state);
    }
    golden.finish();
}
