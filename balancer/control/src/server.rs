//! The server of the control socket, in the dispatcher.

use crate::messages::{to_line, Answer, Question, LINE_LIMIT};
use nix::sys::socket::{getsockopt, sockopt::PeerCredentials};
use nix::unistd::{geteuid, Uid};
use std::io::{self, ErrorKind, Read, Write};
use std::os::unix::fs::{FileTypeExt, PermissionsExt};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Most connections that are served at once; further ones are closed. Questions come from people, few at a time.
pub const MAX_CONNECTIONS: usize = 4;
/// Time limit for a client to send its whole question, and for it to read the answer.
const TIMEOUT: Duration = Duration::from_millis(500);
/// Delay after a failed accept, for example if no descriptor is free; retrying at once would spin.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Mode of the socket's file: only the dispatcher's own user may open it.
const SOCKET_MODE: u32 = 0o600;

type Answers = dyn Fn(Question) -> Answer + Send + Sync;

/// An open control socket. Its file is removed when this is dropped.
pub struct Control {
    path: PathBuf,
}

impl Control {
    /// Opens the socket and answers questions on threads of its own for as long as the program runs.
    ///
    /// # Errors
    /// Another process listens on the socket, the path is not a socket, or its folder cannot be written.
    pub fn open(
        path: &Path,
        answers: impl Fn(Question) -> Answer + Send + Sync + 'static,
    ) -> io::Result<Self> {
        remove_stale_socket(path)?;
        let listener = UnixListener::bind(path)?;
        std::fs::set_permissions(path, std::fs::Permissions::from_mode(SOCKET_MODE))?;
        let answers: Arc<Answers> = Arc::new(answers);
        std::thread::Builder::new().name("control".to_owned()).spawn(move || accept(&listener, &answers))?;
        Ok(Control { path: path.to_owned() })
    }
}

impl Drop for Control {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.path);
    }
}

/// Removes the socket file of a process that has died; fails if anything else is at the path.
fn remove_stale_socket(path: &Path) -> io::Result<()> {
    let found = match std::fs::symlink_metadata(path) {
        Ok(found) => found,
        Err(error) if error.kind() == ErrorKind::NotFound => return Ok(()),
        Err(error) => return Err(error),
    };
    if !found.file_type().is_socket() {
        return Err(io::Error::new(ErrorKind::AlreadyExists, "something else than a socket is there"));
    }
    match UnixStream::connect(path) {
        Ok(_) => Err(io::Error::new(ErrorKind::AddrInUse, "another process listens there")),
        Err(error) if error.kind() == ErrorKind::ConnectionRefused => std::fs::remove_file(path),
        Err(error) => Err(error),
    }
}

fn accept(listener: &UnixListener, answers: &Arc<Answers>) {
    let open = Arc::new(AtomicUsize::new(0));
    loop {
        let Ok((stream, _)) = listener.accept() else {
            std::thread::sleep(ACCEPT_RETRY_DELAY);
            continue;
        };
        if open.fetch_add(1, Ordering::AcqRel) >= MAX_CONNECTIONS {
            open.fetch_sub(1, Ordering::AcqRel);
            continue;
        }
        let slot = ConnectionSlot(open.clone());
        let answers = answers.clone();
        let run = move || {
            let _slot = slot;
            let _ = serve(stream, answers.as_ref());
        };
        // If no thread can be started, dropping the closure closes the connection and frees its slot.
        let _ = std::thread::Builder::new().name("control".to_owned()).spawn(run);
    }
}

/// One of the [`MAX_CONNECTIONS`]; free again when this is dropped.
struct ConnectionSlot(Arc<AtomicUsize>);

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

fn serve(mut stream: UnixStream, answers: &Answers) -> io::Result<()> {
    stream.set_write_timeout(Some(TIMEOUT))?;
    let peer = getsockopt(&stream, PeerCredentials)?;
    let answer = match is_allowed_user(Uid::from_raw(peer.uid())) {
        // The file's mode already keeps other users out, but a connection may have been passed to another user's
        // process.
        false => Answer::Refused("another user's".to_owned()),
        true => match read_line(&mut stream)? {
            line if line.len() > LINE_LIMIT => Answer::Refused(format!("over {LINE_LIMIT} bytes")),
            line => match serde_json::from_slice(&line) {
                Ok(question) => answers(question),
                Err(error) => Answer::Refused(format!("no question: {error}")),
            },
        },
    };
    stream.write_all(&to_line(&answer))
}

fn is_allowed_user(peer: Uid) -> bool {
    peer == geteuid() || peer.is_root()
}

/// Reads a line within [`TIMEOUT`]. If it is too long, returns more than [`LINE_LIMIT`] bytes.
fn read_line(stream: &mut UnixStream) -> io::Result<Vec<u8>> {
    let (end, mut line, mut part) = (Instant::now() + TIMEOUT, Vec::new(), [0; 512]);
    loop {
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(ErrorKind::TimedOut.into());
        }
        stream.set_read_timeout(Some(left))?;
        match stream.read(&mut part)? {
            0 => return Err(ErrorKind::UnexpectedEof.into()),
            n => line.extend_from_slice(&part[..n]),
        }
        if let Some(at) = line.iter().position(|b| *b == b'\n') {
            line.truncate(at);
            return Ok(line);
        }
        if line.len() > LINE_LIMIT {
            return Ok(line);
        }
    }
}
