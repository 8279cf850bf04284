//! One request and its response on a connection that this program opened to a worker or to discovery.

use crate::http::{Decoder, FrameError, Response};
use crate::socket::{CancelToken, ReadOutcome, Socket};
use millrudder_exchange::clock::span;
use std::io;

/// Size of the read buffer (bytes).
const READ_SIZE: usize = 2048;
/// How long the last byte of a request is held back (ms): longer than a network round trip to a worker, so that
/// a dead connection has reported its reset by then.
const LAST_BYTE_DELAY_MS: f64 = 0.5;

/// How far a round trip came before it failed. Only if the last byte of the request was not sent is it certain
/// that the job did not run.
#[derive(Debug)]
pub enum RoundTripError {
    /// The request was not sent completely.
    NotSent(io::Error),
    /// The request was sent completely, but no complete response came.
    Unanswered(io::Error),
}

/// Sends a request and reads its response; ends early once `cancel` is set.
///
/// The last byte is sent only if `wanted` still returns true then: the client may have got an answer meanwhile,
/// and a job must not reach a worker after its answer.
///
/// The last byte is held back until the rest has been sent and nothing has come back for a network round trip.
/// If the peer's machine or a router has silently dropped the connection, the first bytes are answered with a
/// reset. With the last byte among them the job might have run; without it, it certainly has not.
pub fn round_trip(
    socket: &Socket,
    request: &[u8],
    cancel: &CancelToken,
    wanted: impl Fn() -> bool,
) -> Result<Response, RoundTripError> {
    cancel.attach(socket);
    let (first, last) = request.split_at(request.len().saturating_sub(1));
    let written = socket.write_all(first, || cancel.is_cancelled()).and_then(|()| {
        may::coroutine::sleep(span(LAST_BYTE_DELAY_MS));
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
            ReadOutcome::Bytes(n) => {
                decoder.push(&buffer[..n]);
                decoder.next_message()
            }
            ReadOutcome::End => decoder.finish().and_then(|r| r.ok_or(FrameError::CutShort).map(Some)),
            ReadOutcome::WouldBlock if cancel.is_cancelled() => return Err(io::ErrorKind::TimedOut.into()),
            ReadOutcome::WouldBlock => {
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
