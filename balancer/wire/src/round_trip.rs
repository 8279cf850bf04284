//! One request and its response on a connection that this program opened, for next hops and discovery alike.

use crate::http::{Decoder, FrameError, Response};
use crate::socket::{CancelToken, Got, Socket};
use millrudder_exchange::clock::span;
use std::io;

const READ_SIZE: usize = 2048;
/// A round trip to a next hop, with room: by then a connection that is dead has said so (ms).
const HOLD_BACK_MS: f64 = 0.5;

/// How far a conversation came before it failed: only before the last byte is it certain that nothing ran.
#[derive(Debug)]
pub enum RoundTripError {
    NotSent(io::Error),
    Unanswered(io::Error),
}

/// Ends early once it is cut. What is `wanted` no more when its last byte is due never gets that byte: an answer may
/// have been given meanwhile, and a job must not be sent on after its answer.
///
/// The last byte is held back until the rest is out and nothing has come back for a round trip: a connection that
/// the peer's machine or one between has dropped without a word answers the first bytes with a reset. Had the last
/// byte been among them, the request might have run; so it is certain that it has not.
pub fn round_trip(
    socket: &Socket,
    request: &[u8],
    cancel: &CancelToken,
    wanted: impl Fn() -> bool,
) -> Result<Response, RoundTripError> {
    cancel.attach(socket);
    let (first, last) = request.split_at(request.len().saturating_sub(1));
    let written = socket.write_all(first, || cancel.is_cancelled()).and_then(|()| {
        may::coroutine::sleep(span(HOLD_BACK_MS));
        socket.check_quiet()?;
        socket.write_all(last, || cancel.is_cancelled() || !wanted())
    });
    written.map_err(RoundTripError::NotSent)?;
    read_response(socket, cancel).map_err(RoundTripError::Unanswered)
}

fn read_response(socket: &Socket, cancel: &CancelToken) -> io::Result<Response> {
    let mut decoder = Decoder::<Response>::default();
    let mut buffer = vec![0; READ_SIZE];
    loop {
        let next = match socket.try_read(&mut buffer)? {
            Got::Bytes(n) => {
                decoder.push(&buffer[..n]);
                decoder.next_message()
            }
            Got::End => decoder.finish().and_then(|r| r.ok_or(FrameError::CutShort).map(Some)),
            Got::Nothing if cancel.is_cancelled() => return Err(io::ErrorKind::TimedOut.into()),
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
mod tests;
