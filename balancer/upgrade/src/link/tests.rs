//! Unit tests of `link`.

use super::*;
use millrudder_handover::PeerKind;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};

fn pair() -> (Link, Link) {
    let (a, b) = UnixStream::pair().unwrap();
    (Link::new(a).unwrap(), Link::new(b).unwrap())
}

const RECEIVE_TIMEOUT: Duration = Duration::from_secs(60);

#[test]
fn a_connection_is_passed_on_with_its_unread_bytes() {
    let (here, mut there) = pair();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let served = listener.accept().unwrap().0;
    client.write_all(b"unread").unwrap();
    here.send(&Message::DrainClients { on: true }, None).unwrap();
    here.send(&Message::Connection { peer: PeerKind::Client }, Some(served.as_fd())).unwrap();
    drop(served);
    let mut received = Vec::new();
    while received.len() < 2 {
        received.extend(there.receive(RECEIVE_TIMEOUT).unwrap());
    }
    assert_eq!((&received[0].0, received[0].1.is_none()), (&Message::DrainClients { on: true }, true));
    let mut taken = TcpStream::from(received.pop().unwrap().1.expect("a descriptor with the connection"));
    let mut text = [0; 6];
    taken.read_exact(&mut text).unwrap();
    assert_eq!(&text, b"unread");
    assert!(there.is_same_user());
}

#[test]
fn a_closed_link_or_an_invalid_message_is_an_error() {
    let (here, mut there) = pair();
    drop(here);
    assert!(there.receive(RECEIVE_TIMEOUT).is_err());
    let (mut a, b) = UnixStream::pair().unwrap();
    a.write_all(b"HTTP/1.1 200 OK\r\n\r\n").unwrap();
    assert!(Link::new(b).unwrap().receive(RECEIVE_TIMEOUT).is_err());
}
