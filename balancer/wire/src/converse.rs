//! One request and its response on a connection that this program opened, for next hops and discovery alike.

use crate::http::{Decoder, FrameError, Response};
use crate::socket::{Cut, Got, Socket};
use millrudder_exchange::clock::span;
use std::io;

const READ_SIZE: usize = 2048;
/// A round trip to a next hop, with room: by then a connection that is dead has said so (ms).
const HOLD_BACK_MS: f64 = 0.5;

/// How far a conversation came before it failed: only before the last byte is it certain that nothing ran.
#[derive(Debug)]
pub enum Broken {
    BeforeWritten(io::Error),
    AfterWritten(io::Error),
}

/// Ends early once it is cut. What is `wanted` no more when its last byte is due never gets that byte: an answer may
/// have been given meanwhile, and a job must not be sent on after its answer.
///
/// The last byte is held back until the rest is out and nothing has come back for a round trip: a connection that
/// the peer's machine or one between has dropped without a word answers the first bytes with a reset. Had the last
/// byte been among them, the request might have run; so it is certain that it has not.
pub fn converse(
    socket: &Socket,
    request: &[u8],
    cut: &Cut,
    wanted: impl Fn() -> bool,
) -> Result<Response, Broken> {
    cut.wakes(socket);
    let (first, last) = request.split_at(request.len().saturating_sub(1));
    let written = socket.write_all(first, || cut.is_done()).and_then(|()| {
        may::coroutine::sleep(span(HOLD_BACK_MS));
        socket.check_quiet()?;
        socket.write_all(last, || cut.is_done() || !wanted())
    });
    written.map_err(Broken::BeforeWritten)?;
    read_response(socket, cut).map_err(Broken::AfterWritten)
}

fn read_response(socket: &Socket, cut: &Cut) -> io::Result<Response> {
    let mut decoder = Decoder::<Response>::default();
    let mut buffer = vec![0; READ_SIZE];
    loop {
        let next = match socket.try_read(&mut buffer)? {
            Got::Bytes(n) => {
                decoder.push(&buffer[..n]);
                decoder.next_message()
            }
            Got::End => decoder.finish().and_then(|r| r.ok_or(FrameError::CutShort).map(Some)),
            Got::Nothing if cut.is_done() => return Err(io::ErrorKind::TimedOut.into()),
            Got::Nothing => {
                socket.wait();
                continue;
            }
        };
        if let Some(response) = next.map_err(io::Error::other)? {
            return Ok(response);
        }
    }
}

#[cfg(test)]
mod tests {
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
            converse(&socket, b"POST /api HTTP/1.1\r\n\r\n", &Cut::default(), || true)
        };
        let result = may::go!(talk).join().expect("the test's coroutine");
        assert!(matches!(result, Err(Broken::BeforeWritten(_))), "{result:?}");
    }

    #[test]
    fn what_is_given_up_while_its_last_byte_is_held_back_never_gets_it() {
        // It was sent on after its answer: a broken rule, once in 200,000 attempts (join+vast, overloaded).
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let to = listener.local_addr().unwrap();
        let talk = move || {
            let socket = Socket::connect(to, Duration::from_secs(60)).unwrap();
            converse(&socket, b"POST /api HTTP/1.1\r\n\r\n", &Cut::default(), || false)
        };
        let talking = may::go!(talk);
        let mut peer = listener.accept().unwrap().0;
        let (mut seen, mut byte) = (Vec::new(), [0]);
        while !seen.ends_with(b"\r\n\r\n") && peer.read(&mut byte).unwrap() > 0 {
            seen.push(byte[0]);
        }
        drop(peer);
        let result = talking.join().expect("the test's coroutine");
        assert!(matches!(result, Err(Broken::BeforeWritten(_))), "{result:?}");
        assert_eq!(seen, b"POST /api HTTP/1.1\r\n\r");
    }
}
