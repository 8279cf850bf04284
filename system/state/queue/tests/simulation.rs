//! Several stores in a simulated cluster with random faults: accepted messages are durable, order keys, rate
//! limits and delays are respected, and every message ends.

mod cluster;

use cluster::dispatcher::Dispatcher;
use cluster::request_log::ActualState;
use cluster::{Cluster, Options};
use millrudder_protocol::message::End;
use millrudder_protocol::MessageId;
use millrudder_queue::Config;
use std::time::Duration;

/// Simulated time at which clients and faults stop.
const TRAFFIC_MS: u64 = 9_000;
/// Maximum time after that in which everything must end.
const QUIET_MS: u64 = 22_000;

/// Runs a simulation with faults and checks the state at its end.
fn run_with_faults(options: Options) -> Cluster {
    let mut cluster = Cluster::new(options);
    cluster.run_until(1_000);
    cluster.clients_until(TRAFFIC_MS);
    cluster.faults_until(TRAFFIC_MS);
    cluster.run_until(TRAFFIC_MS + 2_500);
    for dispatcher in &mut cluster.dispatchers {
        dispatcher.reliable_workers = true;
    }
    for store in &mut cluster.stores {
        store.sync_ms = 2;
    }
    run_until_all_ended(&mut cluster);
    let accepted =
        cluster.request_log.messages.values().filter(|actual| actual.accepted_ms.is_some()).count();
    let (starts, repeats) = (cluster.request_log.starts, cluster.request_log.repeats);
    let sent = cluster.request_log.messages.len();
    println!("{sent} sent, {accepted} accepted, {starts} starts, {repeats} repeats");
    cluster
}

/// Runs until everything has ended, but at most for a limited time, and for a while longer.
fn run_until_all_ended(cluster: &mut Cluster) {
    while !has_ended(cluster) && cluster.now_ms < TRAFFIC_MS + QUIET_MS {
        cluster.run_until(cluster.now_ms + 500);
    }
    check_end(cluster);
    cluster.run_until(cluster.now_ms + 1_000);
    check_end(cluster);
}

fn has_ended(cluster: &Cluster) -> bool {
    let has_message_ended = |(id, actual): (&MessageId, &ActualState)| {
        let state = state_of(cluster, *id);
        let is_called_back = actual.message.callback_url.is_none() || !actual.called_back.is_empty();
        actual.accepted_ms.is_none() || (is_called_back && state.is_some_and(|state| state.end.is_some()))
    };
    cluster.request_log.messages.iter().all(has_message_ended)
        && cluster.dispatchers.iter().all(Dispatcher::is_idle)
}

/// The state of a message at the primary of its shard.
fn state_of(cluster: &Cluster, id: MessageId) -> Option<millrudder_protocol::message::MessageState> {
    let primary = cluster.manager.placement.shard(id.shard)?.primary;
    let index = cluster.store_index(primary)?;
    cluster.stores[index].node.as_ref()?.state_of(id)
}

fn check_end(cluster: &Cluster) {
    assert!(cluster.orphans.is_empty(), "orphaned messages: {:?}", cluster.orphans);
    let mut unended = Vec::new();
    for (id, actual) in &cluster.request_log.messages {
        let state = state_of(cluster, *id);
        if actual.accepted_ms.is_none() {
            assert!(!actual.withdrawn || actual.runs.is_empty(), "{id} ran although it was withdrawn");
            continue;
        }
        let state = state.unwrap_or_else(|| panic!("{id} was accepted but is lost"));
        let Some(end) = state.end else {
            unended.push((
                state.sequence,
                *id,
                actual.message.order_key.clone(),
                actual.message.service.clone(),
            ));
            continue;
        };
        cluster.request_log.check_end(*id, &end, cluster.now_ms);
        let has_succeeded = !actual.signatures.is_empty();
        let completed = matches!(end, End::Completed { .. });
        assert!(completed || !has_succeeded || end == End::DeadLetter, "{id} ended as {end:?}");
        if actual.message.callback_url.is_some() {
            assert!(!actual.called_back.is_empty(), "{id} has not been called back");
        }
    }
    unended.sort();
    assert!(unended.is_empty(), "accepted messages that did not end: {unended:?}");
    for (at, dispatcher) in cluster.dispatchers.iter().enumerate() {
        assert!(dispatcher.is_idle(), "dispatcher {at} still waits for an answer");
    }
}

fn seeds(count: u64) -> std::ops::Range<u64> {
    let first = std::env::var("SEED").ok().and_then(|seed| seed.parse().ok());
    match first {
        Some(first) => first..first + 1,
        None => 0..std::env::var("SEEDS").ok().and_then(|count| count.parse().ok()).unwrap_or(count),
    }
}

#[test]
fn three_stores_tolerate_the_loss_of_one() {
    for seed in seeds(30) {
        println!("seed {seed}");
        let cluster = run_with_faults(Options { seed, ..Options::default() });
        assert!(cluster.request_log.starts > 100, "too few messages ran");
    }
}

#[test]
fn five_stores_tolerate_the_loss_of_two() {
    for seed in seeds(10) {
        println!("seed {seed}");
        run_with_faults(Options { seed, stores: 5, tolerated_losses: 2, ..Options::default() });
    }
}

#[test]
fn faults_may_overlap_while_disks_are_lost_one_at_a_time() {
    for seed in seeds(20) {
        println!("seed {seed}");
        run_with_faults(Options { seed, overlapping_faults: true, ..Options::default() });
    }
}

#[test]
fn a_rolling_restart_causes_no_repeats() {
    for seed in seeds(10) {
        println!("seed {seed}");
        let mut cluster = Cluster::new(Options { seed, ..Options::default() });
        cluster.run_until(1_000);
        cluster.clients_until(TRAFFIC_MS);
        for store in 0..3 {
            cluster.restart_planned(store, 700, 400);
            cluster.run_until(cluster.now_ms + 900);
        }
        cluster.run_until(TRAFFIC_MS);
        for dispatcher in &mut cluster.dispatchers {
            dispatcher.reliable_workers = true;
        }
        run_until_all_ended(&mut cluster);
        let is_lost = |actual: &&ActualState| actual.accepted_ms.is_none() && !actual.withdrawn;
        let lost = cluster.request_log.messages.values().filter(is_lost).count();
        assert_eq!(lost, 0, "requests were left without an answer");
    }
}

/// Stops and starts the dispatchers and the store of each zone in turn, as planned work does.
fn restart_zone(cluster: &mut Cluster, zone: usize) {
    let stores = cluster.stores.len();
    for at in (zone..cluster.dispatchers.len()).step_by(stores) {
        cluster.stop_dispatcher(at);
        cluster.run_until(cluster.now_ms + 1_000);
    }
    cluster.restart_planned(zone, 1_000, 300);
    cluster.run_until(cluster.now_ms + 2_500);
}

/// Restarts all zones twice under traffic, beside slow disks and takeovers that read 1,000 bytes of copies in `chunk_interval`.
fn restart_zones_in_turn(seed: u64, chunk_interval: Duration) {
    const TRAFFIC_MS: u64 = 30_000;
    let config = Config {
        snapshot_chunk_bytes: 1_000,
        snapshot_chunk_interval: chunk_interval,
        ..Options::default().config
    };
    let options = Options {
        seed,
        dispatchers: 6,
        rate_limit: None,
        sync_ms: 200,
        config,
        report_backoff: true,
        ..Options::default()
    };
    let mut cluster = Cluster::new(options);
    for dispatcher in &mut cluster.dispatchers {
        dispatcher.reliable_workers = true;
    }
    cluster.run_until(2_000);
    cluster.clients_until(TRAFFIC_MS);
    for round in 0..6 {
        restart_zone(&mut cluster, round % 3);
    }
    cluster.run_until(TRAFFIC_MS + 2_500);
    for store in &mut cluster.stores {
        store.sync_ms = 2;
    }
    cluster.run_until(cluster.now_ms + QUIET_MS);
    check_end(&cluster);
}

// Guards against successes whose reports stores drop while they take a shard over. The shard is served for moments only, and
// the dispatcher stops before it has repeated a report in one of them.
#[test]
fn planned_restarts_beside_slow_takeovers_cause_no_repeats() {
    for seed in seeds(10) {
        println!("seed {seed}");
        restart_zones_in_turn(seed, Duration::from_millis(20));
    }
}

// Guards against successes that only a store's memory has: takeovers outlast the time for which their dispatcher stops, and
// the store is replaced as the primary before it serves the shard.
#[test]
fn planned_restarts_beside_takeovers_longer_than_a_stop_cause_no_repeats() {
    for seed in seeds(10) {
        println!("seed {seed}");
        restart_zones_in_turn(seed, Duration::from_millis(50));
    }
}

#[test]
fn a_drained_store_can_be_removed() {
    for seed in seeds(10) {
        println!("seed {seed}");
        let mut cluster = Cluster::new(Options { seed, stores: 4, ..Options::default() });
        cluster.run_until(1_000);
        cluster.clients_until(TRAFFIC_MS);
        cluster.run_until(2_500);
        let retired = cluster.stores[1].id;
        cluster.stores[1].is_shutting_down = true;
        cluster.manager.retiring = Some(retired);
        while !cluster.is_retired(retired) {
            cluster.run_until(cluster.now_ms + 100);
            assert!(cluster.now_ms < TRAFFIC_MS, "the store was not drained in time");
        }
        // Time for the primaries to replicate again what was on the drained store.
        cluster.run_until(cluster.now_ms + 300);
        cluster.stop_store(1, true);
        cluster.wipe_store(1);
        cluster.run_until(cluster.now_ms + 500);
        cluster.record_fault();
        cluster.stop_and_restart_store(2, 1_500, true, false);
        cluster.run_until(TRAFFIC_MS);
        for dispatcher in &mut cluster.dispatchers {
            dispatcher.reliable_workers = true;
        }
        run_until_all_ended(&mut cluster);
    }
}
