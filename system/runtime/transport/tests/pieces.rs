//! Frames in any pieces, and any bytes, on a connection of an internal port.

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
const MOST_MESSAGES: usize = 6;
const MOST_BODY_BYTES: usize = 40_000;
const MOST_CUTS: usize = 10;

/// What arrived on a connection up to its end.
#[derive(Debug, PartialEq)]
struct Arrived {
    messages: Vec<ToDispatcher>,
    ends: usize,
}

fn play(pieces: Vec<Vec<u8>>) -> Arrived {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let (address, seen) = listen().await;
        let mut stream = TcpStream::connect(address).await.unwrap();
        stream.set_nodelay(true).unwrap();
        for piece in pieces {
            if stream.write_all(&piece).await.is_err() {
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
        (any::<u64>(), prop::collection::vec(any::<u8>(), 0..MOST_BODY_BYTES)).prop_map(|(request, body)| {
            ToDispatcher::State { request: RequestNumber(request), answer: QueryAnswer::Body { body } }
        });
    let withdrawn = (any::<u16>(), any::<u64>()).prop_map(|(shard, unique)| {
        let id = MessageId { shard: ShardId(shard), unique };
        ToDispatcher::Withdrawn { id }
    });
    prop_oneof![state, withdrawn, Just(ToDispatcher::Pong)]
}

/// The frames of these messages, a keep-alive after each, cut at these places.
fn pieces(messages: &[ToDispatcher], cuts: &[usize]) -> Vec<Vec<u8>> {
    let mut bytes = Vec::new();
    for message in messages {
        frame::encode(message, &mut bytes).unwrap();
        bytes.extend_from_slice(&frame::KEEP_ALIVE);
    }
    let mut cuts: Vec<usize> = cuts.iter().map(|cut| cut % (bytes.len() + 1)).collect();
    cuts.extend([0, bytes.len()]);
    cuts.sort_unstable();
    cuts.windows(2).map(|cut| bytes[cut[0]..cut[1]].to_vec()).collect()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: CASES, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn frames_in_any_pieces_are_the_same_messages(
        messages in prop::collection::vec(message(), 0..=MOST_MESSAGES),
        cuts in prop::collection::vec(any::<usize>(), 0..=MOST_CUTS),
    ) {
        prop_assert_eq!(play(pieces(&messages, &cuts)), Arrived { messages, ends: 1 });
    }

    #[test]
    fn what_follows_a_damaged_frame_is_not_read(
        messages in prop::collection::vec(message(), 1..=MOST_MESSAGES),
        damaged in any::<prop::sample::Index>(),
        bit in 0..8_u32,
    ) {
        let mut bytes = pieces(&messages, &[]).concat();
        let at = damaged.index(bytes.len());
        bytes[at] ^= 1 << bit;
        let arrived = play(vec![bytes]);
        // Damage to a keep-alive's checksum, which says nothing, is passed over.
        prop_assert!(arrived.messages.len() <= messages.len());
        prop_assert_eq!(&arrived.messages[..], &messages[..arrived.messages.len()]);
    }

    #[test]
    fn any_bytes_end_the_connection_without_a_message(
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
