//! While a disk is stalled for minutes, the data that waits for it must be bounded. Otherwise the process runs out of
//! memory and is killed, along with the requests of other nodes that it was serving.
//!
//! The journal's queue has no bound of its own, so the state machine that fills it must limit it. Formerly, if no other
//! node could replace the stalled ones, the head continued to append commands, and those abandoned by their callers
//! stayed in its log and in the queue. Every answer that depended on records was kept as well, even if a newer answer
//! to the same node had made it obsolete.

use millrudder_chain::{CoreMessage, Epoch, FencingToken, Input, RequestId, Role};
use millrudder_lease::LeaseRequest;

use crate::cluster::{Cluster, SECOND, STEP};
use crate::concat_machine::address;

/// Bytes of one command.
const COMMAND_BYTES: usize = 64 << 10;
/// Time-out of a caller, in steps of the cluster.
const TIMEOUT_STEPS: usize = 50;
/// Bound on the bytes that wait for a disk: a core holds the active configuration, the next one, and a copy of each in
/// flight, which are four bodies of the maximum size (4 MiB, `docs/design/control/catchup.md`).
const MAX_WAITING_BYTES: usize = 16 << 20;
/// Each record may have one effect on the log and one answer. A peer has at most one mebibyte of records in flight.
const EFFECTS_PER_RECORD: u64 = 2;
/// Allowance for other effects: a few kinds of answers to each of two peers.
const MAX_OTHER_EFFECTS: u64 = 100;

/// Maximum number of records that may wait: slightly more than the number of smallest commands that a peer may have in
/// flight.
const MAX_WAITING_RECORDS: u64 = 40_000;

/// Submits a command at each step, and abandons each one after [`TIMEOUT_STEPS`].
fn submit_for(cluster: &mut Cluster, index: usize, steps: usize) {
    let first = 1_000;
    for step in 0..steps {
        let command = "a".repeat(COMMAND_BYTES);
        let request_id = RequestId((first + step) as u128);
        cluster.input(&address(index), Input::Submit { request_id, command });
        if let Some(abandoned) = step.checked_sub(TIMEOUT_STEPS) {
            let request_id = RequestId((first + abandoned) as u128);
            cluster.input(&address(index), Input::Abandon { request_id });
        }
        cluster.run(STEP);
    }
}

#[test]
fn commands_that_wait_for_stalled_disks_are_bounded() {
    let mut cluster = Cluster::bootstrapped(3);
    (1..=3).for_each(|index| cluster.stall(index));
    let head = cluster.host(1).node.view().and_then(|view| view.head()).expect("a head");
    let index = (1..=3).find(|index| cluster.host(*index).node.id() == head).expect("the head's host");
    // 94 MiB in 30 s.
    submit_for(&mut cluster, index, 1_500);
    for index in 1..=3 {
        let waiting = cluster.host(index).waiting_bytes;
        assert!(waiting <= MAX_WAITING_BYTES, "machine {index} has {} MiB waiting", waiting >> 20);
    }
    (1..=3).for_each(|index| cluster.resume(index));
    cluster.run(3 * SECOND);
    cluster.submit(1, 7, "b");
    cluster.run(3 * SECOND);
    for index in 1..=3 {
        assert!(cluster.host(index).node.machine().0.ends_with('b'), "machine {index}");
    }
}

#[test]
fn effects_that_wait_for_a_stalled_disk_are_bounded() {
    let mut cluster = Cluster::bootstrapped(3);
    for index in 1..=3 {
        cluster.stall(index);
        for number in 0..100 {
            cluster.submit(index % 3 + 1, 100 * index as u128 + number, "a");
            cluster.input(&address(index), Input::Read { request_id: RequestId(10_000 + number) });
            cluster.run(SECOND);
        }
        let backlog = cluster.host(index).node.disk_backlog();
        let bound = backlog.records * EFFECTS_PER_RECORD + MAX_OTHER_EFFECTS;
        assert!(backlog.effects as u64 <= bound, "machine {index}: {backlog:?}");
        cluster.resume(index);
        cluster.run(5 * SECOND);
    }
}

/// A voter records each token that it grants. Candidates that never win keep requesting higher ones.
#[test]
fn records_that_wait_for_a_stalled_disk_are_bounded() {
    let mut cluster = Cluster::bootstrapped(3);
    cluster.stall(1);
    let from = cluster.host(2).node.id();
    let epoch = cluster.host(1).node.epoch();
    for number in 0..2 * MAX_WAITING_RECORDS {
        let request = LeaseRequest {
            role: Role("reader".to_owned()),
            attempt: number,
            fencing_token: FencingToken(FencingToken::floor(Epoch::FIRST.0).0 + 1 + number),
            is_renewal: false,
        };
        let message = CoreMessage::LeaseRequest { epoch, request };
        cluster.input(&address(1), Input::Message { from, message });
    }
    let backlog = cluster.host(1).node.disk_backlog();
    assert!(backlog.records > 0 && backlog.records <= MAX_WAITING_RECORDS, "{backlog:?}");
    cluster.resume(1);
    cluster.run(3 * SECOND);
    cluster.submit(1, 7, "b");
    cluster.run(3 * SECOND);
    assert!(cluster.hosts.values().all(|host| host.node.machine().0 == "b"));
}
