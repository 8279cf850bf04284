//! Connections over loopback: order, reconnection, garbage, closing.

use millrudder_protocol::store::FromDispatcher;
use millrudder_transport::dialer::Dialer;
use millrudder_transport::{listener, LinkEvent, Outbox};
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver};
use tokio::task::LocalSet;

type Seen = UnboundedReceiver<(Outbox, LinkEvent<FromDispatcher>)>;

async fn listen() -> (SocketAddr, Seen) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (events, seen) = unbounded_channel();
    tokio::task::spawn_local(listener::accept(listener, move |_| {
        let events = events.clone();
        move |outbox: &Outbox, event| drop(events.send((outbox.clone(), event)))
    }));
    (address, seen)
}

fn dial(address: SocketAddr) -> (Dialer, Seen) {
    let (events, seen) = unbounded_channel();
    let report = move |outbox: &Outbox, event| drop(events.send((outbox.clone(), event)));
    (Dialer::start(address, report), seen)
}

fn on_one_thread(test: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}

#[test]
fn messages_arrive_in_order_both_ways() {
    on_one_thread(async {
        let (address, mut server) = listen().await;
        let (_dialer, mut client) = dial(address);
        let (to_server, opened) = client.recv().await.unwrap();
        assert!(matches!(opened, LinkEvent::Opened));
        to_server.send(&FromDispatcher::Ping).unwrap();
        to_server.send(&FromDispatcher::ShuttingDown).unwrap();
        let (to_client, _) = server.recv().await.unwrap();
        assert!(matches!(server.recv().await.unwrap().1, LinkEvent::Message(FromDispatcher::Ping)));
        assert!(matches!(server.recv().await.unwrap().1, LinkEvent::Message(FromDispatcher::ShuttingDown)));
        to_client.send(&FromDispatcher::ShuttingDown).unwrap();
        assert!(matches!(client.recv().await.unwrap().1, LinkEvent::Message(FromDispatcher::ShuttingDown)));
    });
}

#[test]
fn a_closed_connection_is_reopened() {
    on_one_thread(async {
        let (address, mut server) = listen().await;
        let (_dialer, mut client) = dial(address);
        assert!(matches!(client.recv().await.unwrap().1, LinkEvent::Opened));
        server.recv().await.unwrap().0.close();
        assert!(matches!(client.recv().await.unwrap().1, LinkEvent::Closed(_)));
        assert!(matches!(client.recv().await.unwrap().1, LinkEvent::Opened));
    });
}

#[test]
fn garbage_closes_the_connection() {
    on_one_thread(async {
        let (address, mut server) = listen().await;
        let mut stream = TcpStream::connect(address).await.unwrap();
        stream.write_all(&[0xff; 64]).await.unwrap();
        assert!(matches!(server.recv().await.unwrap().1, LinkEvent::Opened));
        assert!(matches!(server.recv().await.unwrap().1, LinkEvent::Closed(_)));
        let mut remaining = Vec::new();
        let end = stream.read_to_end(&mut remaining).await;
        assert!(end.is_err() || remaining.is_empty());
    });
}

#[test]
fn a_dropped_dialer_closes_its_connection() {
    on_one_thread(async {
        let (address, mut server) = listen().await;
        let (dialer, mut client) = dial(address);
        let (outbox, _) = client.recv().await.unwrap();
        server.recv().await.unwrap();
        drop(dialer);
        assert!(matches!(server.recv().await.unwrap().1, LinkEvent::Closed(_)));
        assert!(outbox.send(&FromDispatcher::Ping).is_err());
    });
}
