//! What a process does between the failure of its disk and the time at which the disk takes writes again.
//!
//! A core machine whose disk failed closed the connections that others had opened, but kept those that it had opened
//! itself: the other machines went on to talk to one that was out (`Supervisor::serve` kept the host until the disk was
//! back). And while a core machine or a store waited for its disk, nobody emptied the queue of its events: whatever other
//! processes sent stayed in memory, without a bound.

use crate::cluster::{Cluster, ClusterProcess, ClusterSize, BOUND};
use millrudder_protocol::control::{Registrant, ToCore};
use millrudder_protocol::frame;
use millrudder_protocol::store::{FromDispatcher, ToStore};
use millrudder_protocol::{DispatcherId, Epoch};
use millrudder_system_standins::{eventually, ConfigurationBuilder, Message, Role, Route, Service};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

const HOST: &str = "huno84.example";
const SIZE: ClusterSize = ClusterSize { core: 3, storage: 3, edge: 1, tolerated_losses: 1 };
/// Bytes of one message of a flood; longer ones would be compressed.
const FLOOD_MESSAGE_BYTES: usize = 1 << 10;
/// Messages that are written at once.
const BATCH_MESSAGES: usize = 1 << 10;
/// Batches of a flood: 256 MiB in all.
const BATCHES: usize = 256;
/// A process that keeps what it is sent grows by the whole flood; one that does not, by what is in its buffers.
const MAX_GROWTH_BYTES: usize = BATCHES * BATCH_MESSAGES * FLOOD_MESSAGE_BYTES / 8;
/// Position of messages of dispatchers and stores among those that arrive at a core machine (`ToCorePort::Client`).
const CLIENT_VARIANT: u32 = 4;
/// A frame that a process does not read within this time is not sent.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

fn configuration(version: u64) -> ConfigurationBuilder {
    let route = Route::plain("births", HOST, "/births/", "records");
    ConfigurationBuilder::new(version).service(Service::listed("records")).route(route)
}

/// A core machine whose disk has failed, in a core that goes on without it.
async fn with_a_failed_core_disk() -> (Cluster, ClusterProcess) {
    let mut cluster = Cluster::configured(SIZE, &configuration(1)).await;
    cluster.core_is_complete().await;
    let failed = cluster.processes_of(Role::Core)[2];
    cluster.fail_disk(failed);
    cluster.put(&configuration(2).build().unwrap(), 1).await;
    cluster.writes(failed, "core machine fenced itself: disk error").await;
    (cluster, failed)
}

/// Sends messages that are never asked for, again from the start where a connection is closed.
fn flood(address: SocketAddr, frame: &[u8]) {
    let mut connection: Option<TcpStream> = None;
    let batch = frame.repeat(BATCH_MESSAGES);
    for _ in 0..BATCHES {
        let open = connection.take().or_else(|| TcpStream::connect(address).ok());
        let Some(mut stream) = open else { continue };
        stream.set_write_timeout(Some(WRITE_TIMEOUT)).expect("a time-out");
        connection = stream.write_all(&batch).is_ok().then_some(stream);
    }
}

/// A process grows by no more than its buffers, whatever it is sent.
async fn keeps_nothing_of_a_flood(cluster: &mut Cluster, process: ClusterProcess, frame: &[u8]) {
    let address = cluster.internal_address_of(process);
    let before = cluster.memory_of(process);
    flood(address, frame);
    let grown = cluster.memory_of(process).saturating_sub(before);
    assert!(grown <= MAX_GROWTH_BYTES, "{} grew by {} MiB", cluster.name_of(process), grown >> 20);
}

#[tokio::test]
async fn a_core_machine_with_a_failed_disk_closes_its_own_connections() {
    let (mut cluster, failed) = with_a_failed_core_disk().await;
    let mut others = cluster.processes_of(Role::Core);
    others.retain(|process| *process != failed);
    for other in others {
        let address = cluster.internal_address_of(other);
        let closed = eventually(BOUND, || cluster.connections_to(failed, address) == 0).await;
        assert!(closed.is_ok(), "connections to {address} are still open");
    }
    cluster.restore_disk(failed);
    cluster.core_is_complete().await;
    cluster.core_agrees(&configuration(2).build().unwrap()).await;
}

#[tokio::test]
async fn a_core_machine_with_a_failed_disk_keeps_nothing_that_it_is_sent() {
    let (mut cluster, failed) = with_a_failed_core_disk().await;
    let registrant =
        Registrant::Dispatcher { name: "flood".to_owned(), zone: "z".repeat(FLOOD_MESSAGE_BYTES) };
    let register = ToCore::Register { registrant, configuration_version: 0, placement_epoch: 0 };
    let mut bytes = Vec::new();
    frame::encode(&(CLIENT_VARIANT, register), &mut bytes).expect("a frame");
    keeps_nothing_of_a_flood(&mut cluster, failed, &bytes).await;
    cluster.restore_disk(failed);
    cluster.core_is_complete().await;
    cluster.core_agrees(&configuration(2).build().unwrap()).await;
}

#[tokio::test]
async fn a_store_with_a_failed_disk_keeps_nothing_that_it_is_sent() {
    let mut cluster = Cluster::configured(SIZE, &configuration(1)).await;
    let front = cluster.fronts()[0];
    let failed = cluster.processes_of(Role::Storage)[0];
    cluster.fail_disk(failed);
    let mut number = 0;
    // Whichever shard a message falls into, its replicas are on two of three stores.
    while !cluster.log_of(failed).iter().any(|line| line.contains("store fenced itself: disk error")) {
        number += 1;
        cluster.accept(front, &Message::new(HOST, "/births/", format!("before-{number}"))).await;
    }
    let hello = FromDispatcher::Hello {
        dispatcher: DispatcherId(1),
        name: "flood".to_owned(),
        zone: "z".repeat(FLOOD_MESSAGE_BYTES),
        epoch: Epoch::default(),
        active_leases: Vec::new(),
        in_doubt: Vec::new(),
    };
    let mut bytes = Vec::new();
    frame::encode(&ToStore::Dispatcher { message: hello }, &mut bytes).expect("a frame");
    keeps_nothing_of_a_flood(&mut cluster, failed, &bytes).await;
    cluster.restore_disk(failed);
    let opened = |log: &[String]| log.iter().filter(|line| line.contains("store opened")).count() >= 2;
    assert!(eventually(BOUND, || opened(&cluster.log_of(failed))).await.is_ok(), "the store is not back");
    cluster.accept(front, &Message::new(HOST, "/births/", "after")).await;
}
