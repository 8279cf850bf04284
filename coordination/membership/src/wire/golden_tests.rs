//! Compares the encodings of datagrams byte for byte with those of earlier versions.

use super::{Details, Endpoint, Message, Packet, Record, Sequence};
use crate::digest::BUCKETS;
use crate::identity::{GroupId, Incarnation, MemberId, MemberName, ProcessStart, Zone};
use crate::member::Status;
use millrudder_testing::golden::Golden;
use std::net::SocketAddr;

const SEQUENCE: Sequence = Sequence(0x0102_0304);

fn member(name: &str) -> MemberId {
    MemberId { name: MemberName::new(name).unwrap(), start: ProcessStart(0x1112_1314_1516_1718) }
}

fn endpoint() -> Endpoint {
    Endpoint::from(SocketAddr::from(([10, 0, 0, 4], 7780)))
}

fn endpoint_v6() -> Endpoint {
    Endpoint::from(SocketAddr::from(([0xfd00, 0, 0, 0, 1, 2, 3, 4], 7781)))
}

fn record(name: &str, status: Status, address: Option<Endpoint>) -> Record {
    let zone = Zone::new("zone-1").unwrap();
    let details = address.map(|address| Details { address, zone, metadata: vec![1, 2, 3] });
    Record { id: member(name), incarnation: Incarnation(0x2122), status, details }
}

fn packet(message: Message) -> Packet {
    let records = vec![
        record("a", Status::Alive, Some(endpoint())),
        record("b", Status::Suspect, Some(endpoint_v6())),
        record("c", Status::Dead, None),
        record("d", Status::Left, None),
    ];
    Packet { group: GroupId(0x3132), sender: member("sender"), digest: 0x4142, message, records }
}

#[test]
fn each_kind_of_datagram() {
    let digests: Vec<u64> = (0..BUCKETS as u64).map(|bucket| bucket * 0x0101).collect();
    let sync = |answer| Message::SyncRequest { answer, digests: digests.clone() };
    let indirect =
        Message::IndirectPing { sequence: SEQUENCE, target: member("target"), address: endpoint() };
    let mut golden = Golden::open("tests/golden/datagrams.txt");
    for (name, message) in [
        ("ping", Message::Ping { sequence: SEQUENCE, target: member("target") }),
        ("ack", Message::Ack { sequence: SEQUENCE }),
        ("wrong_target", Message::WrongTarget { sequence: SEQUENCE }),
        ("indirect_ping", indirect),
        ("nack", Message::Nack { sequence: SEQUENCE }),
        ("sync_request", sync(false)),
        ("sync_request_answer", sync(true)),
        ("sync_records", Message::SyncRecords { more: true }),
        ("gossip", Message::Gossip),
    ] {
        golden.check(name, &packet(message), Packet::encode, |bytes| Packet::decode(bytes).unwrap());
    }
    golden.finish();
}
