//! One request and its response on a connection that this program opened, for next hops and discovery alike.

use crate::http::{Decoder, FrameError, Response};
use crate::socket::{Cut, Got, Socket};
use std::io;

const READ_SIZE: usize = 2048;

/// How far a conversation came before it failed: only before the last byte is it certain that nothing ran.
#[derive(Debug)]
pub enum Broken {
    BeforeWritten(io::Error),
    AfterWritten(io::Error),
}

/// Ends early once it is cut.
pub fn converse(socket: &Socket, request: &[u8], cut: &Cut) -> Result<Response, Broken> {
    cut.wakes(socket);
    socket.write_all(request, || cut.is_done()).map_err(Broken::BeforeWritten)?;
    read_response(socket, cut).map_err(Broken::AfterWritten)
}

fn read_response(socket: &Socket, cut: &Cut) -> io::Result<Response> {
    let mut decoder = Decoder::<Response>::default();
    let mut buffer = vec![0; READ_SIZE];
    loop {
        let next = match socket.try_read(&mut buffer)? {
            Got::Bytes(n) => {
                decoder.push(&buffer[..n]);
                decoder.next()
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
