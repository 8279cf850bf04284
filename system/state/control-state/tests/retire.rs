//! Retiring storage machines: what the order of commands decides.

use millrudder_chain::{Machine, NodeId, Sequence};
use millrudder_control_state::{Command, ControlState, Reply, RetireRequest};
use millrudder_protocol::placement::{Placement, StoreEntry};
use millrudder_protocol::{Address, Epoch, StoreId};
use std::collections::BTreeSet;

fn with_stores(stores: u64) -> ControlState {
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

fn retire(state: &mut ControlState, id: u64, healthy: &[u64]) -> Reply {
    let healthy_machines = healthy.iter().map(|id| name(*id)).collect();
    let request = RetireRequest {
        name: name(id),
        is_registered: false,
        core_members: vec![NodeId(id)],
        healthy_machines,
    };
    apply(state, Command::Retire { request })
}

#[test]
fn a_machine_with_enough_others_retires() {
    let mut state = with_stores(4);
    assert_eq!(retire(&mut state, 1, &[1, 2, 3, 4]), Reply::Retiring);
    assert_eq!(state.retiring_machines(), BTreeSet::from([name(1)]));
    assert_eq!(state.retiring_core_members("store-1"), Some(&BTreeSet::from([NodeId(1)])));
}

#[test]
fn a_retry_is_acknowledged_whatever_has_become_of_the_other_machines() {
    let mut state = with_stores(4);
    retire(&mut state, 1, &[1, 2, 3, 4]);
    assert_eq!(retire(&mut state, 1, &[2]), Reply::Retiring);
}

#[test]
fn an_unknown_machine_does_not_retire() {
    let mut state = with_stores(4);
    assert_eq!(retire(&mut state, 9, &[1, 2, 3, 4]), Reply::RetireUnknownMachine);
    assert_eq!(state.retiring_machines(), BTreeSet::new());
}

#[test]
fn a_registered_machine_without_shards_retires() {
    let mut state = with_stores(3);
    let healthy_machines = [1, 2, 3, 4].map(name).to_vec();
    let request =
        RetireRequest { name: name(4), is_registered: true, core_members: Vec::new(), healthy_machines };
    assert_eq!(apply(&mut state, Command::Retire { request }), Reply::Retiring);
}

#[test]
fn as_many_as_a_shard_has_replicas_must_remain() {
    let mut state = with_stores(3);
    assert_eq!(retire(&mut state, 1, &[1, 2, 3]), Reply::RetireTooFewRemain);
    let mut state = with_stores(4);
    assert_eq!(retire(&mut state, 1, &[1, 2, 3]), Reply::RetireTooFewRemain, "the fourth is unhealthy");
}

#[test]
fn two_concurrent_requests_do_not_both_pass() {
    let mut state = with_stores(4);
    let all = [1, 2, 3, 4];
    assert_eq!(retire(&mut state, 1, &all), Reply::Retiring);
    assert_eq!(retire(&mut state, 2, &all), Reply::RetireTooFewRemain);
}

#[test]
fn retiring_machines_survive_a_restart() {
    let mut state = with_stores(4);
    retire(&mut state, 1, &[1, 2, 3, 4]);
    let restored = ControlState::restore(&state.snapshot()).unwrap();
    assert_eq!(restored.retiring_machines(), state.retiring_machines());
    assert_eq!(restored.retiring_core_members("store-1"), Some(&BTreeSet::from([NodeId(1)])));
}
