//! Frames split at any offsets, and random bytes, on a connection to an internal port.

use millrudder_protocol::frame;
use millrudder_protocol::store::{FromDispatcher, QueryAnswer, ToDispatcher};
use millrudder_protocol::{MessageId, RequestNumber, ShardId};
use millrudder_transport::{listener, LinkEvent, Outbox};
use proptest::prelude::*;
use std::net::SocketAddr;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver};
use tokio::task::LocalSet;

/// Each case opens a connection.
const CASES: u32 = 64;
const MAX_MESSAGES: usize = 6;
const MAX_BODY_BYTES: usize = 40_000;
const MAX_SPLITS: usize = 10;

/// What arrived on a connection up to its end.
#[derive(Debug, PartialEq)]
struct Arrived {
    messages: Vec<ToDispatcher>,
    ends: usize,
}

fn play(chunks: Vec<Vec<u8>>) -> Arrived {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let (address, seen) = listen().await;
        let mut stream = TcpStream::connect(address).await.unwrap();
        stream.set_nodelay(true).unwrap();
        for chunk in chunks {
            if stream.write_all(&chunk).await.is_err() {
                break;
            }
            tokio::task::yield_now().await;
        }
        let _closed_already = stream.shutdown().await;
        arrived(seen).await
    })
}

async fn listen() -> (SocketAddr, UnboundedReceiver<LinkEvent<ToDispatcher>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (events, seen) = unbounded_channel();
    tokio::task::spawn_local(listener::accept(listener, move |_| {
        let events = events.clone();
        move |_: &Outbox, event| drop(events.send(event))
    }));
    (address, seen)
}

async fn arrived(mut seen: UnboundedReceiver<LinkEvent<ToDispatcher>>) -> Arrived {
    let mut arrived = Arrived { messages: Vec::new(), ends: 0 };
    while arrived.ends == 0 {
        match seen.recv().await.unwrap() {
            LinkEvent::Opened => {}
            LinkEvent::Message(message) => arrived.messages.push(message),
            LinkEvent::Closed(_) => arrived.ends += 1,
        }
    }
    arrived
}

fn message() -> impl Strategy<Value = ToDispatcher> {
    let state =
        (any::<u64>(), prop::collection::vec(any::<u8>(), 0..MAX_BODY_BYTES)).prop_map(|(request, body)| {
            ToDispatcher::State { request: RequestNumber(request), answer: QueryAnswer::Body { body } }
        });
    let withdrawn = (any::<u16>(), any::<u64>()).prop_map(|(shard, unique)| {
        let id = MessageId { shard: ShardId(shard), unique };
        ToDispatcher::Withdrawn { id }
    });
    prop_oneof![state, withdrawn, Just(ToDispatcher::Pong)]
}

/// The frames of these messages, a keep-alive after each, split at these offsets.
fn chunks(messages: &[ToDispatcher], splits: &[usize]) -> Vec<Vec<u8>> {
    let mut bytes = Vec::new();
    for message in messages {
        frame::encode(message, &mut bytes).unwrap();
        bytes.extend_from_slice(&frame::KEEP_ALIVE);
    }
    let mut splits: Vec<usize> = splits.iter().map(|split| split % (bytes.len() + 1)).collect();
    splits.extend([0, bytes.len()]);
    splits.sort_unstable();
    splits.windows(2).map(|split| bytes[split[0]..split[1]].to_vec()).collect()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: CASES, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn frames_are_decoded_however_they_are_split(
        messages in prop::collection::vec(message(), 0..=MAX_MESSAGES),
        splits in prop::collection::vec(any::<usize>(), 0..=MAX_SPLITS),
    ) {
        prop_assert_eq!(play(chunks(&messages, &splits)), Arrived { messages, ends: 1 });
    }

    #[test]
    fn nothing_is_read_after_a_damaged_frame(
        messages in prop::collection::vec(message(), 1..=MAX_MESSAGES),
        damaged in any::<prop::sample::Index>(),
        bit in 0..8_u32,
    ) {
        let mut bytes = chunks(&messages, &[]).concat();
        let position = damaged.index(bytes.len());
        bytes[position] ^= 1 << bit;
        let arrived = play(vec![bytes]);
        // Damage to a keep-alive's checksum, which says nothing, is passed over.
        prop_assert!(arrived.messages.len() <= messages.len());
        prop_assert_eq!(&arrived.messages[..], &messages[..arrived.messages.len()]);
    }

    #[test]
    fn random_bytes_close_the_connection_without_a_message(
        bytes in prop::collection::vec(any::<u8>(), 0..4_000),
    ) {
        prop_assert_eq!(play(vec![bytes]), Arrived { messages: Vec::new(), ends: 1 });
    }
}

/// Requests from the other side of the protocol are no messages either.
#[test]
fn frames_of_another_kind_of_message_end_the_connection() {
    let mut bytes = Vec::new();
    frame::encode(&FromDispatcher::Credits { credits: Vec::new() }, &mut bytes).unwrap();
    assert_eq!(play(vec![bytes]).messages, []);
}
