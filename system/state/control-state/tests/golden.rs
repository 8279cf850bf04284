//! Commands, replies and the snapshot of the control state, byte for byte as earlier versions write them.

use millrudder_chain::{Machine, NodeId, Sequence};
use millrudder_control_state::{Command, ControlState, Reply, RetireRequest};
use millrudder_protocol::control::ConfigurationText;
use millrudder_protocol::placement::{Placement, ShardEntry, StoreEntry};
use millrudder_protocol::{Address, Epoch, StoreId};
use millrudder_testing::golden::Golden;
use speedy::{LittleEndian, Readable, Writable};
use std::fmt::Debug;

fn check<T>(golden: &mut Golden, name: &str, value: &T)
where
    T: Debug + PartialEq + Writable<LittleEndian> + for<'a> Readable<'a, LittleEndian>,
{
    let encode = |value: &T| value.write_to_vec().unwrap();
    golden.check(name, value, encode, |bytes| T::read_from_buffer(bytes).unwrap());
}

fn placement() -> Placement {
    let store = |number: u64| StoreEntry {
        id: StoreId(number),
        name: format!("storage-{number}"),
        zone: "zone-1".into(),
        address: Address(([10, 1, 2, 40], 8069).into()),
        alive: true,
    };
    let replicas = vec![StoreId(1), StoreId(2), StoreId(3)];
    let shard = ShardEntry { primary: StoreId(2), replicas, change: None, term: Epoch(1) };
    Placement {
        epoch: Epoch(1),
        tolerated_losses: 1,
        stores: (1..5).map(store).collect(),
        shards: vec![shard],
    }
}

fn commands() -> [(&'static str, Command); 3] {
    let configuration = ConfigurationText { version: 5, json: b"{\"version\": 5}".to_vec() };
    let request = RetireRequest {
        name: "storage-4".into(),
        is_registered: true,
        core_members: vec![NodeId(0x0102), NodeId(0x0304)],
        healthy_machines: (1..5).map(|number| format!("storage-{number}")).collect(),
    };
    [
        ("put_configuration", Command::PutConfiguration { expected_version: 0, configuration }),
        ("set_placement", Command::SetPlacement { placement: placement() }),
        ("retire", Command::Retire { request }),
    ]
}

#[test]
fn commands_and_the_state_after_each() {
    let mut golden = Golden::open("tests/golden/commands.txt");
    let mut state = ControlState::default();
    let restore = |bytes: &[u8]| ControlState::restore(bytes).unwrap();
    golden.check("state_at_first", &state, ControlState::snapshot, restore);
    for (sequence, (name, command)) in commands().into_iter().enumerate() {
        check(&mut golden, name, &command);
        state.apply(Sequence(sequence as u64 + 1), &command);
        golden.check(&format!("state_after_{name}"), &state, ControlState::snapshot, restore);
    }
    golden.finish();
}

#[test]
fn replies() {
    let mut golden = Golden::open("tests/golden/replies.txt");
    for (name, reply) in [
        ("configuration_accepted", Reply::ConfigurationAccepted),
        ("configuration_known", Reply::ConfigurationAlreadyAccepted),
        ("configuration_forgotten", Reply::ConfigurationEvicted),
        ("configuration_conflict", Reply::ConfigurationConflict { current: 0x0102 }),
        ("version_not_higher", Reply::VersionNotHigher { current: 0x0304 }),
        ("placement_set", Reply::PlacementSet),
        ("placement_conflict", Reply::PlacementConflict { current: Epoch(0x0506) }),
        ("retiring", Reply::Retiring),
        ("retire_unknown", Reply::RetireUnknownMachine),
        ("retire_too_few", Reply::RetireTooFewRemain),
    ] {
        check(&mut golden, name, &reply);
    }
    golden.finish();
}
