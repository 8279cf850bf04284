//! One inbound connection, from its first byte to its end, in one coroutine.

use super::connection_table::{Activity, ConnectionHandle};
use super::intake::{self, Refusal, RoutedRequest};
use super::{answer, call_back, Shared};
use may::net::TcpStream;
use millrudder_exchange::{Answer, Failure, Front, Job, PeerRole, Reply, Transfer};
use millrudder_wire::http::{self, Decoder, Request};
use millrudder_wire::socket::{ReadOutcome, Socket};
use std::io;
use std::sync::Arc;

/// Bytes read from the socket at once.
const READ_BUFFER_BYTES: usize = 2048;
/// Bytes read and discarded of a refused message before its connection is closed anyway.
const LINGER_LIMIT_BYTES: usize = 1024 * 1024;
/// Bytes kept of what a client pipelines while its job is in progress. Beyond this, input is read and discarded,
/// because only reading shows that the client disconnected. The connection is then closed after the job's answer; a
/// client sends again the requests that the close cut off.
const PIPELINED_BYTES: usize = 4 * 1024;
/// Bytes discarded after which a client that keeps sending during its job is refused: the job is withdrawn and the
/// connection closed.
const DISCARD_LIMIT_BYTES: usize = LINGER_LIMIT_BYTES;
/// The `Retry-After` (ms) for a job refused by the limit on jobs in progress: about the time in which running jobs end.
const JOB_LIMIT_RETRY_MS: f64 = 500.0;

/// One inbound connection and the request that it is reading.
pub struct Connection {
    socket: Socket,
    shared: Arc<Shared>,
    handle: ConnectionHandle,
    decoder: Decoder<Request>,
    buffer: Vec<u8>,
    /// When the first byte of the current request arrived. Its client's deadline counts from then.
    received_at: f64,
}

/// Why there is no next request.
enum NoRequest {
    /// The peer sent something that is not accepted; it gets an error answer.
    Refused(Refusal),
    /// The connection has ended, must be closed, or now belongs to the other process of an upgrade.
    Closed,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.shared.connections.unregister(&self.handle);
    }
}

impl Connection {
    /// Registers the connection. `role`: what its peer proved to another process, or `Unproven`.
    pub fn new(stream: TcpStream, role: PeerRole, shared: &Arc<Shared>) -> io::Result<Self> {
        let socket = Socket::new(stream)?;
        let received_at = shared.clock.now();
        let handle = shared.connections.register(socket.waker(), received_at);
        shared.connections.raise_role(&handle, role);
        let (decoder, buffer) = (Decoder::default(), vec![0; READ_BUFFER_BYTES]);
        Ok(Connection { socket, shared: shared.clone(), handle, decoder, buffer, received_at })
    }

    /// Serves requests one after another until the connection ends.
    pub fn serve(mut self) {
        loop {
            let handled = match self.next_request() {
                Ok(request) => self.dispatch(request),
                Err(NoRequest::Refused(refusal)) => self.refuse(&refusal),
                Err(NoRequest::Closed) => return,
            };
            if handled.is_err() {
                return;
            }
        }
    }

    /// Sends the reason and closes the connection: a peer whose requests are not served should not hold a descriptor.
    fn refuse(&mut self, refusal: &Refusal) -> io::Result<()> {
        refusal.count(&self.shared.counters);
        self.write(&answer::rejection(refusal))?;
        self.linger();
        Err(io::ErrorKind::ConnectionAborted.into())
    }

    /// Reads and discards the rest of a refused message, up to a limit of bytes and time. Closing a socket with unread
    /// bytes resets the connection, and the peer would never see why it was refused.
    fn linger(&mut self) {
        self.socket.end();
        self.decoder = Decoder::default();
        self.shared.connections.set_buffered(&self.handle, 0);
        self.set_activity(Activity::Lingering);
        let mut left = LINGER_LIMIT_BYTES;
        while left > 0 && !self.handle.must_close() {
            match self.socket.try_read(&mut self.buffer) {
                Ok(ReadOutcome::Bytes(n)) => left = left.saturating_sub(n),
                Ok(ReadOutcome::WouldBlock) => self.socket.wait(),
                Ok(ReadOutcome::End) | Err(_) => return,
            }
        }
    }

    fn set_activity(&self, activity: Activity) {
        self.shared.connections.set_activity(&self.handle, activity, self.shared.clock.now());
    }

    /// Reads until a whole request has arrived.
    fn next_request(&mut self) -> Result<Request, NoRequest> {
        self.received_at = self.shared.clock.now();
        loop {
            let next =
                self.decoder.next_message().map_err(|error| NoRequest::Refused(Refusal::Framing(error)))?;
            if let Some(request) = next {
                // If the connection was told to close just as its request arrived, that request is still served.
                self.handle.cancel_close();
                return Ok(request);
            }
            if self.decoder.take_expectation() {
                self.write(http::CONTINUE).map_err(|_| NoRequest::Closed)?;
            }
            let idle = self.decoder.is_idle();
            self.set_activity(if idle { Activity::Idle } else { Activity::Reading });
            match self.read() {
                Ok(ReadOutcome::Bytes(_))
                    if !self.shared.connections.set_buffered(&self.handle, self.decoder.buffered_bytes()) =>
                {
                    return Err(NoRequest::Refused(Refusal::NoMemory));
                }
                Ok(ReadOutcome::Bytes(_)) if idle => self.received_at = self.shared.clock.now(),
                Ok(ReadOutcome::Bytes(_)) => {}
                Ok(ReadOutcome::WouldBlock) if idle && self.hand_over() => return Err(NoRequest::Closed),
                // Checked only once the socket is empty: a request may be in the bytes that already arrived.
                Ok(ReadOutcome::WouldBlock) if self.handle.must_close() && idle => {
                    return Err(NoRequest::Closed)
                }
                Ok(ReadOutcome::WouldBlock) if self.handle.must_close() => {
                    return Err(NoRequest::Refused(Refusal::TooSlow))
                }
                Ok(ReadOutcome::WouldBlock) => self.socket.wait(),
                Ok(ReadOutcome::End) | Err(_) => return Err(NoRequest::Closed),
            }
        }
    }

    /// Hands the idle connection to the other process of an upgrade; true if it took it. No byte of a request has been
    /// read, and what arrives meanwhile waits in the socket.
    fn hand_over(&self) -> bool {
        let peer_process = &self.shared.peer_process;
        if !peer_process.takes_connections() {
            return false;
        }
        let role = self.shared.connections.role(&self.handle);
        let transfer = self.socket.try_clone_stream().map(|stream| Transfer::Connection(stream, role));
        transfer.is_ok_and(|transfer| peer_process.put(transfer).is_ok())
    }

    /// Reads what has arrived into the decoder.
    fn read(&mut self) -> io::Result<ReadOutcome> {
        let got = self.socket.try_read(&mut self.buffer)?;
        if let ReadOutcome::Bytes(n) = got {
            self.decoder.push(&self.buffer[..n]);
        }
        Ok(got)
    }

    /// Reads while a job is in progress, to notice when its client disconnects. Pipelined bytes are kept up to
    /// [`PIPELINED_BYTES`]; `discarded` counts those beyond.
    fn read_ahead(&mut self, discarded: &mut usize) -> io::Result<ReadOutcome> {
        if *discarded == 0 && self.decoder.buffered_bytes() <= PIPELINED_BYTES {
            return self.read();
        }
        let got = self.socket.try_read(&mut self.buffer)?;
        if let ReadOutcome::Bytes(n) = got {
            *discarded += n + self.decoder.buffered_bytes();
            self.decoder = Decoder::default();
        }
        Ok(got)
    }

    /// Answers one request.
    fn dispatch(&mut self, request: Request) -> io::Result<()> {
        self.set_activity(Activity::Reading);
        let keep_alive = request.keep_alive;
        match intake::route(request, self.received_at, &self.shared.classes.now()) {
            Ok(RoutedRequest::Ready) if self.shared.drain.is_on() => {
                self.respond(keep_alive, |close| answer::plain_text(503, "drained\n", close))
            }
            Ok(RoutedRequest::Ready) => {
                self.respond(keep_alive, |close| answer::plain_text(200, "ready\n", close))
            }
            Ok(RoutedRequest::Counters) => {
                let text = self.shared.counters.print();
                self.respond(keep_alive, |close| answer::plain_text(200, &text, close))
            }
            Ok(RoutedRequest::CallBack(body)) => {
                if call_back::receive(&self.shared, body) {
                    self.shared.connections.raise_role(&self.handle, PeerRole::WorkerOrMonitor);
                }
                self.respond(keep_alive, answer::no_content)
            }
            Ok(RoutedRequest::Job(job)) => self.serve_job(*job, keep_alive),
            Err(refusal) => self.refuse(&refusal),
        }
    }

    /// Submits a job and waits for its answer, or for its client to disconnect.
    fn serve_job(&mut self, job: Job, keep_alive: bool) -> io::Result<()> {
        if self.rejects_new_jobs() {
            let advice = (!self.shared.stopping.has_begun()).then_some(JOB_LIMIT_RETRY_MS);
            return self.defer(advice, false);
        }
        let permit = match self.shared.admission_gate.enter(Front::Http, job.forwarded.body.len()) {
            Ok(permit) => permit,
            Err(refused) => {
                return self.defer(Some(refused.retry_after), keep_alive);
            }
        };
        self.set_activity(Activity::AwaitingAnswer);
        self.shared
            .connections
            .set_buffered(&self.handle, self.decoder.buffered_bytes() + job.forwarded.body.len());
        let waker = self.socket.waker();
        let reply = Reply::new(move || waker.wakeup());
        let ticket = self.shared.exchange.submit(job, reply.clone());
        let mut discarded = 0;
        loop {
            if let Some(answer) = reply.take() {
                // Released before the answer is written, so that a slow reader does not occupy a job's place.
                drop(permit);
                return match answer {
                    Answer::Failed(Failure::Repeated) => self.refuse(&Refusal::Repeated),
                    answer => self.send_job_answer(&answer, keep_alive && discarded == 0),
                };
            }
            match self.read_ahead(&mut discarded) {
                Ok(ReadOutcome::Bytes(_)) if discarded > DISCARD_LIMIT_BYTES => {
                    self.shared.exchange.withdraw(ticket);
                    return self.refuse(&Refusal::TooMuchPipelined);
                }
                Ok(ReadOutcome::Bytes(_)) => {}
                Ok(ReadOutcome::WouldBlock) => self.socket.wait(),
                Ok(ReadOutcome::End) | Err(_) => {
                    self.shared.exchange.withdraw(ticket);
                    return Err(io::ErrorKind::ConnectionAborted.into());
                }
            }
        }
    }

    /// Defers a job that was not accepted. `advice`: when to retry (ms), sent only if the settings allow it.
    fn defer(&mut self, advice: Option<f64>, keep_alive: bool) -> io::Result<()> {
        self.shared.counters.turned_away.add();
        let retry_after = advice.filter(|_| self.shared.advice.is_allowed());
        self.respond(keep_alive, |close| answer::job_answer(&Answer::Defer { retry_after }, close))
    }

    /// Answers a job; having had one answered makes its sender a known client.
    fn send_job_answer(&mut self, answer: &Answer, keep_alive: bool) -> io::Result<()> {
        self.shared.connections.raise_role(&self.handle, PeerRole::Client);
        self.shared.connections.set_buffered(&self.handle, self.decoder.buffered_bytes());
        // During a drain the client is to go to another dispatcher.
        let keep_alive = keep_alive && !self.shared.drain.is_on();
        self.respond(keep_alive, |close| answer::job_answer(answer, close))
    }

    /// Whether new jobs on this connection are deferred: the dispatcher stops, or the job limit has been reached.
    fn rejects_new_jobs(&self) -> bool {
        let shared = &self.shared;
        shared.stopping.grace_is_over(shared.clock.now())
            || shared.connections.job_limit_reached(&self.handle)
    }

    /// Writes an answer. An error means that the connection has ended.
    fn respond(&mut self, keep_alive: bool, write: impl FnOnce(bool) -> Vec<u8>) -> io::Result<()> {
        let ends = self.shared.stopping.grace_is_over(self.shared.clock.now());
        let close = !keep_alive || ends && !self.shared.peer_process.takes_connections();
        self.write(&write(close))?;
        if close {
            self.socket.end();
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        Ok(())
    }

    /// Writes bytes, until the connection must close.
    fn write(&self, bytes: &[u8]) -> io::Result<()> {
        self.set_activity(Activity::Writing);
        if self.handle.must_close() {
            // The connection must close: one attempt without waiting for room in the socket's buffer.
            return self.socket.try_write(bytes).map(drop);
        }
        self.socket.write_all(bytes, || self.handle.must_close())
    }
}
