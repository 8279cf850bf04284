//! A node becomes a member only once it holds the state; until then the member that it replaces remains one.

use millrudder_chain::{NodeId, RequestId};

use crate::cluster::{config, Cluster, SECOND, STEP};
use crate::concat_machine::address;

/// A core of three that continued without the third node. That node has restarted with its disk, but its appends are
/// blocked.
fn cluster_with_lagging_voter() -> (Cluster, NodeId) {
    let mut cluster = Cluster::bootstrapped(3);
    let third = cluster.hosts.remove(&address(3)).expect("the third host");
    let third_id = third.node.id();
    cluster.run(2 * SECOND);
    cluster.submit(1, 1, "a");
    cluster.without_appends.insert(third_id);
    cluster.start(config(3, 3), Some(third.disk));
    cluster.run(SECOND / 2);
    (cluster, third_id)
}

#[test]
fn the_only_complete_member_may_be_lost_while_another_catches_up() {
    let (mut cluster, third) = cluster_with_lagging_voter();
    let second = cluster.hosts.remove(&address(2)).expect("the second host");
    cluster.run(2 * SECOND);
    let view = cluster.host(1).node.view().expect("a view").clone();
    assert!(view.is_member(second.node.id()) && !view.is_member(third), "{view:?}");
    // The first machine is lost with its disk; the second restarts with its own.
    cluster.hosts.remove(&address(1));
    cluster.without_appends.clear();
    cluster.start(config(2, 3), Some(second.disk));
    cluster.run(3 * SECOND);
    cluster.submit(3, 2, "b");
    cluster.run(SECOND);
    for index in [2, 3] {
        assert!(cluster.host(index).node.is_caught_up(), "machine {index}");
        assert_eq!(cluster.host(index).node.machine().0, "ab");
    }
}

#[test]
fn a_member_is_replaced_as_soon_as_the_other_holds_the_state() {
    let (mut cluster, third) = cluster_with_lagging_voter();
    let second = cluster.hosts.remove(&address(2)).expect("the second host").node.id();
    cluster.run(2 * SECOND);
    cluster.submit(1, 2, "b");
    cluster.without_appends.clear();
    cluster.run(SECOND / 2);
    let view = cluster.host(1).node.view().expect("a view").clone();
    assert!(view.is_member(third) && !view.is_member(second), "{view:?}");
    assert_eq!(cluster.host(3).node.machine().0, "ab");
    assert!(cluster.host(1).replies.contains(&(RequestId(2), 2)), "{:?}", cluster.host(1).replies);
}

#[test]
fn a_sealed_core_accepts_commands_again_once_its_members_are_back() {
    let (mut cluster, _) = cluster_with_lagging_voter();
    let second = cluster.hosts.remove(&address(2)).expect("the second host");
    cluster.run(2 * SECOND);
    let sealed = cluster.host(1).node.epoch();
    // The failed member returns before the third node has caught up.
    cluster.start(config(2, 3), Some(second.disk));
    cluster.run(SECOND);
    cluster.submit(2, 2, "b");
    cluster.run(SECOND);
    assert!(cluster.host(1).node.epoch() > sealed);
    assert_eq!(cluster.host(2).node.machine().0, "ab");
}

#[test]
fn a_seal_survives_a_restart() {
    let (mut cluster, _) = cluster_with_lagging_voter();
    let first = cluster.hosts.remove(&address(1)).expect("the first host");
    cluster.run(2 * SECOND);
    let second = cluster.hosts.remove(&address(2)).expect("the second host");
    let sealed = second.node.epoch();
    cluster.start(config(2, 3), Some(second.disk));
    // The third machine may have caught up with the second's log and count as complete: no further command may be
    // committed before the next view.
    cluster.start(config(1, 3), Some(first.disk));
    cluster.submit(1, 2, "b");
    for _ in 0..SECOND.as_micros() / STEP.as_micros() {
        cluster.run(STEP);
        let node = &cluster.host(2).node;
        assert!(!node.machine().0.contains('b') || node.epoch() > sealed);
    }
    assert_eq!(cluster.host(2).node.machine().0, "ab");
}
