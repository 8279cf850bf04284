//! Storage machines that are to be emptied: what the order of commands decides.

use millrudder_chain::{Machine, NodeId, Sequence};
use millrudder_control_state::{Command, ControlState, Reply, RetireOrder};
use millrudder_protocol::placement::{Placement, StoreEntry};
use millrudder_protocol::{Address, Epoch, StoreId};
use std::collections::BTreeSet;

fn founded(stores: u64) -> ControlState {
    let entry = |id: u64| StoreEntry {
        id: StoreId(id),
        name: name(id),
        zone: "a".into(),
        address: Address(([127, 0, 0, 1], 7000).into()),
        alive: true,
    };
    let placement = Placement {
        epoch: Epoch(1),
        tolerated_losses: 1,
        stores: (1..=stores).map(entry).collect(),
        shards: Vec::new(),
    };
    let mut state = ControlState::default();
    apply(&mut state, Command::SetPlacement { placement });
    state
}

fn name(id: u64) -> String {
    format!("store-{id}")
}

fn apply(state: &mut ControlState, command: Command) -> Reply {
    state.apply(Sequence(1), &command)
}

fn retire(state: &mut ControlState, id: u64, well: &[u64]) -> Reply {
    let well = well.iter().map(|id| name(*id)).collect();
    let order = RetireOrder { name: name(id), is_known: false, core: vec![NodeId(id)], well };
    apply(state, Command::Retire { order })
}

#[test]
fn a_machine_with_enough_others_is_emptied() {
    let mut state = founded(4);
    assert_eq!(retire(&mut state, 1, &[1, 2, 3, 4]), Reply::Retiring);
    assert_eq!(state.retiring(), BTreeSet::from([name(1)]));
    assert_eq!(state.retiring_core_of("store-1"), Some(&BTreeSet::from([NodeId(1)])));
}

#[test]
fn the_same_order_again_is_acknowledged_again_whatever_has_become_of_the_others() {
    let mut state = founded(4);
    retire(&mut state, 1, &[1, 2, 3, 4]);
    assert_eq!(retire(&mut state, 1, &[2]), Reply::Retiring);
}

#[test]
fn an_unknown_machine_is_not_emptied() {
    let mut state = founded(4);
    assert_eq!(retire(&mut state, 9, &[1, 2, 3, 4]), Reply::RetireUnknown);
    assert_eq!(state.retiring(), BTreeSet::new());
}

#[test]
fn a_machine_that_has_registered_is_known_though_it_holds_nothing() {
    let mut state = founded(3);
    let well = [1, 2, 3, 4].map(name).to_vec();
    let order = RetireOrder { name: name(4), is_known: true, core: Vec::new(), well };
    assert_eq!(apply(&mut state, Command::Retire { order }), Reply::Retiring);
}

#[test]
fn as_many_as_a_shard_has_replicas_must_remain() {
    let mut state = founded(3);
    assert_eq!(retire(&mut state, 1, &[1, 2, 3]), Reply::RetireTooFew);
    let mut state = founded(4);
    assert_eq!(retire(&mut state, 1, &[1, 2, 3]), Reply::RetireTooFew, "the fourth is away");
}

#[test]
fn two_orders_that_were_checked_at_the_same_time_do_not_both_pass() {
    let mut state = founded(4);
    let all = [1, 2, 3, 4];
    assert_eq!(retire(&mut state, 1, &all), Reply::Retiring);
    assert_eq!(retire(&mut state, 2, &all), Reply::RetireTooFew);
}

#[test]
fn what_is_to_be_emptied_outlives_a_restart() {
    let mut state = founded(4);
    retire(&mut state, 1, &[1, 2, 3, 4]);
    let restored = ControlState::restore(&state.snapshot()).unwrap();
    assert_eq!(restored.retiring(), state.retiring());
    assert_eq!(restored.retiring_core_of("store-1"), Some(&BTreeSet::from([NodeId(1)])));
}
