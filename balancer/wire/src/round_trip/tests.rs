//! Unit tests of `round_trip`.

use super::*;
use may::coroutine::yield_now;
use std::io::Read;
use std::net::TcpListener;
use std::time::Duration;

#[test]
fn a_connection_that_has_ended_gets_no_last_byte() {
    // Written whole in one go, the request might have run, and the job could not be sent elsewhere.
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let to = listener.local_addr().unwrap();
    let talk = move || {
        let socket = Socket::connect(to, Duration::from_secs(60)).unwrap();
        drop(listener.accept().unwrap());
        while socket.is_quiet() {
            yield_now();
        }
        round_trip(&socket, b"POST /api HTTP/1.1\r\n\r\n", &CancelToken::default(), || true)
    };
    let result = may::go!(talk).join().expect("the test's coroutine");
    assert!(matches!(result, Err(RoundTripError::NotSent(_))), "{result:?}");
}

#[test]
fn what_is_given_up_while_its_last_byte_is_held_back_never_gets_it() {
    // It was sent on after its answer: a broken rule, once in 200,000 attempts (join+vast, overloaded).
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let to = listener.local_addr().unwrap();
    let talk = move || {
        let socket = Socket::connect(to, Duration::from_secs(60)).unwrap();
        round_trip(&socket, b"POST /api HTTP/1.1\r\n\r\n", &CancelToken::default(), || false)
    };
    let talking = may::go!(talk);
    let mut peer = listener.accept().unwrap().0;
    let (mut seen, mut byte) = (Vec::new(), [0]);
    while !seen.ends_with(b"\r\n\r\n") && peer.read(&mut byte).unwrap() > 0 {
        seen.push(byte[0]);
    }
    drop(peer);
    let result = talking.join().expect("the test's coroutine");
    assert!(matches!(result, Err(RoundTripError::NotSent(_))), "{result:?}");
    assert_eq!(seen, b"POST /api HTTP/1.1\r\n\r");
}
