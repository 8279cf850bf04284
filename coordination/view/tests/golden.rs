//! Compares the encodings of messages and records of the agreement on views byte for byte with those of earlier versions.

use millrudder_testing::golden::Golden;
use millrudder_view::{
    AcceptedView, Ballot, Epoch, Member, NodeId, View, ViewMessage, ViewRecord, ViewState,
};
use speedy::{LittleEndian, Readable, Writable};
use std::fmt::Debug;

const INSTANCE: Epoch = Epoch(0x0102_0304_0506_0708);
const BALLOT: Ballot = Ballot { round: 0x1112, node: NodeId(0x2122) };
const PROMISED: Ballot = Ballot { round: 0x3132, node: NodeId(0x4142) };

fn member(id: u64) -> Member {
    Member { id: NodeId(id), address: format!("127.0.0.1:{}", 9_000 + id) }
}

fn view(epoch: u64) -> View {
    View {
        epoch: Epoch(epoch),
        voters: vec![member(1), member(2), member(3)],
        members: vec![member(3), member(1)],
    }
}

fn accepted() -> AcceptedView {
    AcceptedView { ballot: PROMISED, view: view(9) }
}

fn check<T>(golden: &mut Golden, name: &str, value: &T)
where
    T: Debug + PartialEq + Writable<LittleEndian> + for<'a> Readable<'a, LittleEndian>,
{
    let encode = |value: &T| value.write_to_vec().unwrap();
    golden.check(name, value, encode, |bytes| T::read_from_buffer(bytes).unwrap());
}

#[test]
fn messages_of_the_agreement() {
    let promise =
        |accepted, complete| ViewMessage::Promise { instance: INSTANCE, ballot: BALLOT, accepted, complete };
    let mut golden = Golden::open("tests/golden/messages.txt");
    for (name, message) in [
        ("prepare", ViewMessage::Prepare { instance: INSTANCE, ballot: BALLOT }),
        ("promise", promise(None, true)),
        ("promise_accepted", promise(Some(accepted()), false)),
        ("refused", ViewMessage::Refused { instance: INSTANCE, ballot: BALLOT, promised: PROMISED }),
        ("accept", ViewMessage::Accept { instance: INSTANCE, ballot: BALLOT, view: view(9) }),
        ("accepted", ViewMessage::Accepted { instance: INSTANCE, ballot: BALLOT }),
        ("decided", ViewMessage::Decided { view: view(9) }),
        ("query", ViewMessage::Query { known: INSTANCE }),
        ("founding_agreed", ViewMessage::BootstrapAgreed { members: vec![member(1), member(2)] }),
    ] {
        check(&mut golden, name, &message);
    }
    golden.finish();
}

#[test]
fn records_and_durable_state_of_the_agreement() {
    let records = [
        ("founding_agreed", ViewRecord::BootstrapAgreed { members: vec![member(1), member(2)] }),
        ("decided", ViewRecord::Decided { view: view(8) }),
        ("promised", ViewRecord::Promised { instance: Epoch(9), ballot: BALLOT }),
        ("accepted", ViewRecord::Accepted { instance: Epoch(9), accepted: accepted() }),
    ];
    let mut golden = Golden::open("tests/golden/records.txt");
    let mut state = ViewState::default();
    check(&mut golden, "state_of_an_empty_disk", &state);
    for (name, record) in records {
        check(&mut golden, name, &record);
        state.apply(&record);
        check(&mut golden, &format!("state_after_{name}"), &state);
    }
    golden.finish();
}
