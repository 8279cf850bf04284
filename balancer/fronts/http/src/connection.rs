//! One inbound connection, from its first byte to its end, in one coroutine.

use super::connection_table::{Activity, ConnectionHandle};
use super::intake::{self, Refusal, RoutedRequest};
use super::{answer, call_back, Shared};
use may::net::TcpStream;
use millrudder_exchange::{Answer, Failure, Front, Job, PeerRole, Reply, Transfer};
use millrudder_wire::http::{self, Decoder, Request};
use millrudder_wire::socket::{Got, Socket};
use std::io;
use std::sync::Arc;

const READ_BUFFER_BYTES: usize = 2048;
/// What is read of a refused message before its connection is closed all the same.
const LINGER_LIMIT_BYTES: usize = 1024 * 1024;
/// What a client sends ahead while its job is here is kept up to this. More is read and dropped, to see it leave, and
/// the connection ends with the job's answer: what a close crosses is sent once more.
const PIPELINED_BYTES: usize = 4 * 1024;
/// ... and no peer that sends without end is read past this: its job ends as failed, and so does the connection.
const DISCARD_LIMIT_BYTES: usize = LINGER_LIMIT_BYTES;
/// What a client is told that finds the place crowded (ms): about the time in which running jobs end.
const JOB_LIMIT_RETRY_MS: f64 = 500.0;

pub struct Connection {
    socket: Socket,
    shared: Arc<Shared>,
    handle: ConnectionHandle,
    decoder: Decoder<Request>,
    buffer: Vec<u8>,
    /// When the first byte of the request now being read came: its client's time runs from there.
    received_at: f64,
}

/// Why the next request does not come.
enum NoRequest {
    Refused(Refusal),
    Closed,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.shared.connections.unregister(&self.handle);
    }
}

impl Connection {
    pub fn new(stream: TcpStream, role: PeerRole, shared: &Arc<Shared>) -> io::Result<Self> {
        let socket = Socket::new(stream)?;
        let received_at = shared.clock.now();
        let handle = shared.connections.register(socket.waker(), received_at);
        shared.connections.raise_role(&handle, role);
        let (decoder, buffer) = (Decoder::default(), vec![0; READ_BUFFER_BYTES]);
        Ok(Connection { socket, shared: shared.clone(), handle, decoder, buffer, received_at })
    }

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

    /// Says what is wrong, and ends the connection: who sends what is not served should not hold a descriptor.
    fn refuse(&mut self, refusal: &Refusal) -> io::Result<()> {
        refusal.count(&self.shared.counters);
        self.write(&answer::rejection(refusal))?;
        self.linger();
        Err(io::ErrorKind::ConnectionAborted.into())
    }

    /// Reads past what the peer still sends of a refused message, within bounds of bytes and time: closing over
    /// unread bytes resets the connection, and the peer would never see why it was refused.
    fn linger(&mut self) {
        self.socket.end();
        self.decoder = Decoder::default();
        self.shared.connections.set_buffered(&self.handle, 0);
        self.set_activity(Activity::Lingering);
        let mut left = LINGER_LIMIT_BYTES;
        while left > 0 && !self.handle.must_close() {
            match self.socket.try_read(&mut self.buffer) {
                Ok(Got::Bytes(n)) => left = left.saturating_sub(n),
                Ok(Got::Nothing) => self.socket.wait(),
                Ok(Got::End) | Err(_) => return,
            }
        }
    }

    fn set_activity(&self, activity: Activity) {
        self.shared.connections.set_activity(&self.handle, activity, self.shared.clock.now());
    }

    fn next_request(&mut self) -> Result<Request, NoRequest> {
        self.received_at = self.shared.clock.now();
        loop {
            let next =
                self.decoder.next_message().map_err(|error| NoRequest::Refused(Refusal::Framing(error)))?;
            if let Some(request) = next {
                // Chosen to leave just as its request came: it stays for that one.
                self.handle.cancel_close();
                return Ok(request);
            }
            if self.decoder.take_expectation() {
                self.write(http::CONTINUE).map_err(|_| NoRequest::Closed)?;
            }
            let idle = self.decoder.is_idle();
            self.set_activity(if idle { Activity::Idle } else { Activity::Reading });
            match self.read() {
                Ok(Got::Bytes(_))
                    if !self.shared.connections.set_buffered(&self.handle, self.decoder.held()) =>
                {
                    return Err(NoRequest::Refused(Refusal::NoMemory));
                }
                Ok(Got::Bytes(_)) if idle => self.received_at = self.shared.clock.now(),
                Ok(Got::Bytes(_)) => {}
                Ok(Got::Nothing) if idle && self.hand_over() => return Err(NoRequest::Closed),
                // What has come is read before a connection is ended: a request may be in it.
                Ok(Got::Nothing) if self.handle.must_close() && idle => return Err(NoRequest::Closed),
                Ok(Got::Nothing) if self.handle.must_close() => {
                    return Err(NoRequest::Refused(Refusal::TooSlow))
                }
                Ok(Got::Nothing) => self.socket.wait(),
                Ok(Got::End) | Err(_) => return Err(NoRequest::Closed),
            }
        }
    }

    /// To the other process of an upgrade, which takes it up where it stands: nothing of a request has been read.
    /// What comes meanwhile waits in the socket.
    fn hand_over(&self) -> bool {
        let peer_process = &self.shared.peer_process;
        if !peer_process.takes_connections() {
            return false;
        }
        let role = self.shared.connections.role(&self.handle);
        let transfer = self.socket.to_pass_on().map(|stream| Transfer::Connection(stream, role));
        transfer.is_ok_and(|transfer| peer_process.put(transfer).is_ok())
    }

    fn read(&mut self) -> io::Result<Got> {
        let got = self.socket.try_read(&mut self.buffer)?;
        if let Got::Bytes(n) = got {
            self.decoder.push(&self.buffer[..n]);
        }
        Ok(got)
    }

    /// Reads on while a job is here, to see its client leave; what it sends ahead waits, within bounds. `dropped`
    /// counts what did not.
    fn read_ahead(&mut self, discarded: &mut usize) -> io::Result<Got> {
        if *discarded == 0 && self.decoder.held() <= PIPELINED_BYTES {
            return self.read();
        }
        let got = self.socket.try_read(&mut self.buffer)?;
        if let Got::Bytes(n) = got {
            *discarded += n + self.decoder.held();
            self.decoder = Decoder::default();
        }
        Ok(got)
    }

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
                    self.shared.connections.raise_role(&self.handle, PeerRole::Caller);
                }
                self.respond(keep_alive, answer::no_content)
            }
            Ok(RoutedRequest::Job(job)) => self.serve_job(*job, keep_alive),
            Err(refusal) => self.refuse(&refusal),
        }
    }

    fn serve_job(&mut self, job: Job, keep_alive: bool) -> io::Result<()> {
        if self.rejects_new_jobs() {
            let advice = (!self.shared.stopping.has_begun()).then_some(JOB_LIMIT_RETRY_MS);
            return self.defer(advice, false);
        }
        let permit = match self.shared.admission_gate.enter(Front::Http, job.verbatim.body.len()) {
            Ok(permit) => permit,
            Err(refused) => {
                return self.defer(Some(refused.retry_after), keep_alive);
            }
        };
        self.set_activity(Activity::AwaitingAnswer);
        self.shared.connections.set_buffered(&self.handle, self.decoder.held() + job.verbatim.body.len());
        let waker = self.socket.waker();
        let reply = Reply::new(move || waker.wakeup());
        let ticket = self.shared.exchange.submit(job, reply.clone());
        let mut discarded = 0;
        loop {
            if let Some(answer) = reply.take() {
                // A client that is slow to read holds no place for a job.
                drop(permit);
                return match answer {
                    Answer::Failed(Failure::Repeated) => self.refuse(&Refusal::Repeated),
                    answer => self.send_job_answer(&answer, keep_alive && discarded == 0),
                };
            }
            match self.read_ahead(&mut discarded) {
                Ok(Got::Bytes(_)) if discarded > DISCARD_LIMIT_BYTES => {
                    self.shared.exchange.withdraw(ticket);
                    return self.refuse(&Refusal::TooMuchPipelined);
                }
                Ok(Got::Bytes(_)) => {}
                Ok(Got::Nothing) => self.socket.wait(),
                Ok(Got::End) | Err(_) => {
                    self.shared.exchange.withdraw(ticket);
                    return Err(io::ErrorKind::ConnectionAborted.into());
                }
            }
        }
    }

    /// A job that is not taken on, with advice (ms) where the settings allow any.
    fn defer(&mut self, advice: Option<f64>, keep_alive: bool) -> io::Result<()> {
        self.shared.counters.turned_away.add();
        let retry_after = advice.filter(|_| self.shared.advice.is_allowed());
        self.respond(keep_alive, |close| answer::job_answer(&Answer::Defer { retry_after }, close))
    }

    fn send_job_answer(&mut self, answer: &Answer, keep_alive: bool) -> io::Result<()> {
        self.shared.connections.raise_role(&self.handle, PeerRole::Client);
        self.shared.connections.set_buffered(&self.handle, self.decoder.held());
        // Its client has somewhere else to go.
        let keep_alive = keep_alive && !self.shared.drain.is_on();
        self.respond(keep_alive, |close| answer::job_answer(answer, close))
    }

    /// No new job is taken on: the dispatcher stops, or the rest of the descriptors is kept for others.
    fn rejects_new_jobs(&self) -> bool {
        let shared = &self.shared;
        shared.stopping.grace_is_over(shared.clock.now())
            || shared.connections.job_limit_reached(&self.handle)
    }

    /// Writes an answer; an error tells that the connection is at its end.
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

    fn write(&self, bytes: &[u8]) -> io::Result<()> {
        self.set_activity(Activity::Writing);
        if self.handle.must_close() {
            // It has had its time: a last word, if it fits.
            return self.socket.try_write(bytes).map(drop);
        }
        self.socket.write_all(bytes, || self.handle.must_close())
    }
}
