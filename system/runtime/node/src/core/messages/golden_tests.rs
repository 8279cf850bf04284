//! Messages at a core machine's internal port, byte for byte as earlier versions send them.

use super::{FromCorePeer, ToCorePort};
use millrudder_chain::{CoreMessage, Epoch, NodeId, RequestId};
use millrudder_protocol::control::{ToCore, WorkerList};
use millrudder_testing::golden::Golden;
use speedy::{Readable, Writable};

#[test]
fn each_kind_of_message() {
    let message = CoreMessage::ReadIndex { epoch: Epoch(0x0102), request_id: RequestId(0x1112) };
    let list = WorkerList { fencing: 0x2122, number: 0x3132, workers: Vec::new() };
    let mut golden = Golden::open("tests/golden/core_port.txt");
    for (name, message) in [
        ("peer", ToCorePort::Peer { id: NodeId(0x4142), address: "127.0.0.1:9000".into() }),
        ("core", ToCorePort::Core { to: NodeId(0x4142), message }),
        ("workers", ToCorePort::Workers { list }),
        ("dispatchers", ToCorePort::Dispatchers { count: 69 }),
        ("client", ToCorePort::Client { message: ToCore::StalenessCheck { sent_at_ms: 0x5152 } }),
    ] {
        let bytes = golden.entry(name, message.write_to_vec().unwrap());
        let decoded = ToCorePort::read_from_buffer(&bytes).unwrap();
        assert_eq!(format!("{decoded:?}"), format!("{message:?}"));
    }
    golden.entry("from_core_peer", FromCorePeer::Unused.write_to_vec().unwrap());
    golden.finish();
}
