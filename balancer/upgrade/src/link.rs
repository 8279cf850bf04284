//! The Unix socket between the two processes. It carries messages of package `handover`, and file descriptors with
//! some of them.

use millrudder_handover::{encode, Decoder, Message};
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use rustix::io::Errno;
use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use std::collections::VecDeque;
use std::io::{self, ErrorKind, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::time::{Duration, Instant};

/// Longest wait for room in the socket; a peer that reads nothing for this long is treated as gone.
const SEND_TIMEOUT: Duration = Duration::from_millis(500);
/// Most descriptors that may wait for their messages. Each such message has one, and messages arrive in order.
const MAX_PENDING_DESCRIPTORS: usize = 64;
/// Most bytes read from the socket at once.
const READ_SIZE: usize = 64 * 1024;

pub struct Link {
    stream: UnixStream,
    decoder: Decoder,
    descriptors: VecDeque<OwnedFd>,
}

/// A message, and the descriptor that came with it.
pub type Received = (Message, Option<OwnedFd>);

impl Link {
    pub fn new(stream: UnixStream) -> io::Result<Self> {
        stream.set_nonblocking(true)?;
        Ok(Link { stream, decoder: Decoder::default(), descriptors: VecDeque::new() })
    }

    pub fn connect(path: &Path) -> io::Result<Self> {
        Link::new(UnixStream::connect(path)?)
    }

    /// Sends a message, with a descriptor if one is given.
    ///
    /// # Errors
    /// The other process is gone, or has read nothing for [`SEND_TIMEOUT`].
    pub fn send(&self, message: &Message, descriptor: Option<BorrowedFd>) -> io::Result<()> {
        let bytes = encode(message).map_err(|e| io::Error::new(ErrorKind::InvalidData, e))?;
        let (mut left, mut descriptor) = (bytes.as_slice(), descriptor);
        let end = Instant::now() + SEND_TIMEOUT;
        while !left.is_empty() {
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
            let mut control = SendAncillaryBuffer::new(&mut space);
            let rights = descriptor.map(|fd| [fd]);
            if let Some(rights) = &rights {
                control.push(SendAncillaryMessage::ScmRights(rights));
            }
            let flags = SendFlags::NOSIGNAL | SendFlags::DONTWAIT;
            match sendmsg(&self.stream, &[IoSlice::new(left)], &mut control, flags) {
                // The descriptor went with the first bytes; the rest of the message goes without it.
                Ok(n) => (left, descriptor) = (&left[n..], None),
                Err(Errno::INTR) => {}
                Err(Errno::AGAIN) if Instant::now() < end => self.wait(PollFlags::OUT, SEND_TIMEOUT),
                Err(Errno::AGAIN) => return Err(ErrorKind::TimedOut.into()),
                Err(error) => return Err(error.into()),
            }
        }
        Ok(())
    }

    /// Returns the messages that have come; waits for `wait` at most if there are none.
    ///
    /// # Errors
    /// The other process is gone, or sent something that is not a message.
    pub fn receive(&mut self, wait: Duration) -> io::Result<Vec<Received>> {
        self.wait(PollFlags::IN, wait);
        let mut part = vec![0; READ_SIZE];
        loop {
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_PENDING_DESCRIPTORS))];
            let mut control = RecvAncillaryBuffer::new(&mut space);
            let flags = RecvFlags::CMSG_CLOEXEC | RecvFlags::DONTWAIT;
            match recvmsg(&self.stream, &mut [IoSliceMut::new(&mut part)], &mut control, flags) {
                Ok(got) => {
                    for message in control.drain() {
                        if let RecvAncillaryMessage::ScmRights(rights) = message {
                            self.descriptors.extend(rights);
                        }
                    }
                    match got.bytes {
                        0 => return Err(ErrorKind::UnexpectedEof.into()),
                        n => self.decoder.push(&part[..n]),
                    }
                }
                Err(Errno::INTR) => {}
                Err(Errno::AGAIN) => break,
                Err(error) => return Err(error.into()),
            }
        }
        let received = self.decode()?;
        match self.descriptors.len() {
            n if n > MAX_PENDING_DESCRIPTORS => Err(ErrorKind::InvalidData.into()),
            _ => Ok(received),
        }
    }

    fn decode(&mut self) -> io::Result<Vec<Received>> {
        let mut received = Vec::new();
        while let Some(message) =
            self.decoder.next_message().map_err(|e| io::Error::new(ErrorKind::InvalidData, e))?
        {
            let descriptor = match message {
                Message::Connection { .. } => self.descriptors.pop_front(),
                _ => None,
            };
            received.push((message, descriptor));
        }
        Ok(received)
    }

    fn wait(&self, what: PollFlags, time: Duration) {
        let time = Timespec { tv_sec: time.as_secs() as i64, tv_nsec: time.subsec_nanos().into() };
        // An error of `poll` needs no handling, it is an interruption: the caller's next read or write finds out the
        // state of the socket.
        let _ = poll(&mut [PollFd::new(&self.stream, what)], Some(&time));
    }

    /// Whether the other process runs as the same user as this one.
    pub fn is_same_user(&self) -> bool {
        let peer = rustix::net::sockopt::socket_peercred(self.stream.as_fd());
        peer.is_ok_and(|peer| peer.uid == rustix::process::geteuid())
    }
}

#[cfg(test)]
mod tests;
