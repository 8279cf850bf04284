//! One inbound connection, from its first byte to its end, in one coroutine.

use super::connection_table::{Doing, Pass};
use super::intake::{self, Intake, Refusal};
use super::{answer, call_back, Shared};
use may::net::TcpStream;
use millrudder_exchange::{Answer, Failure, Front, Job, PeerRole, Reply, Transfer};
use millrudder_wire::http::{self, Decoder, Request};
use millrudder_wire::socket::{Got, Socket};
use std::io;
use std::sync::Arc;

const READ_SIZE: usize = 2048;
/// What is read of a refused message before its connection is closed all the same.
const LINGER_BYTES: usize = 1024 * 1024;
/// What a client sends ahead while its job is here is kept up to this. More is read and dropped, to see it leave, and
/// the connection ends with the job's answer: what a close crosses is sent once more.
const AHEAD_BYTES: usize = 4 * 1024;
/// ... and no peer that sends without end is read past this: its job ends as failed, and so does the connection.
const DROPPED_BYTES: usize = LINGER_BYTES;
/// What a client is told that finds the place crowded (ms): about the time in which running jobs end.
const CROWDED_RETRY_MS: f64 = 500.0;

pub struct Connection {
    socket: Socket,
    shared: Arc<Shared>,
    pass: Pass,
    decoder: Decoder<Request>,
    buffer: Vec<u8>,
    /// When the first byte of the request now being read came: its client's time runs from there.
    began: f64,
}

/// Why the next request does not come.
enum NoRequest {
    Refused(Refusal),
    Gone,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.shared.doors.leave(&self.pass);
    }
}

impl Connection {
    pub fn new(stream: TcpStream, standing: PeerRole, shared: &Arc<Shared>) -> io::Result<Self> {
        let socket = Socket::new(stream)?;
        let began = shared.clock.now();
        let pass = shared.doors.enter(socket.waker(), began);
        shared.doors.proved(&pass, standing);
        let (decoder, buffer) = (Decoder::default(), vec![0; READ_SIZE]);
        Ok(Connection { socket, shared: shared.clone(), pass, decoder, buffer, began })
    }

    pub fn serve(mut self) {
        loop {
            let handled = match self.next_request() {
                Ok(request) => self.handle(request),
                Err(NoRequest::Refused(refusal)) => self.refuse(&refusal),
                Err(NoRequest::Gone) => return,
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
        self.shared.doors.holds(&self.pass, 0);
        self.doing(Doing::Lingering);
        let mut left = LINGER_BYTES;
        while left > 0 && !self.pass.is_ended() {
            match self.socket.try_read(&mut self.buffer) {
                Ok(Got::Bytes(n)) => left = left.saturating_sub(n),
                Ok(Got::Nothing) => self.socket.wait(),
                Ok(Got::End) | Err(_) => return,
            }
        }
    }

    fn doing(&self, doing: Doing) {
        self.shared.doors.now_doing(&self.pass, doing, self.shared.clock.now());
    }

    fn next_request(&mut self) -> Result<Request, NoRequest> {
        self.began = self.shared.clock.now();
        loop {
            let next =
                self.decoder.next_message().map_err(|error| NoRequest::Refused(Refusal::Framing(error)))?;
            if let Some(request) = next {
                // Chosen to leave just as its request came: it stays for that one.
                self.pass.spare();
                return Ok(request);
            }
            if self.decoder.take_expectation() {
                self.write(http::CONTINUE).map_err(|_| NoRequest::Gone)?;
            }
            let idle = self.decoder.is_idle();
            self.doing(if idle { Doing::Idle } else { Doing::Reading });
            match self.read() {
                Ok(Got::Bytes(_)) if !self.shared.doors.holds(&self.pass, self.decoder.held()) => {
                    return Err(NoRequest::Refused(Refusal::NoMemory));
                }
                Ok(Got::Bytes(_)) if idle => self.began = self.shared.clock.now(),
                Ok(Got::Bytes(_)) => {}
                Ok(Got::Nothing) if idle && self.pass_on() => return Err(NoRequest::Gone),
                // What has come is read before a connection is ended: a request may be in it.
                Ok(Got::Nothing) if self.pass.is_ended() && idle => return Err(NoRequest::Gone),
                Ok(Got::Nothing) if self.pass.is_ended() => return Err(NoRequest::Refused(Refusal::TooSlow)),
                Ok(Got::Nothing) => self.socket.wait(),
                Ok(Got::End) | Err(_) => return Err(NoRequest::Gone),
            }
        }
    }

    /// To the other process of an upgrade, which takes it up where it stands: nothing of a request has been read.
    /// What comes meanwhile waits in the socket.
    fn pass_on(&self) -> bool {
        let peer_process = &self.shared.peer_process;
        if !peer_process.takes_connections() {
            return false;
        }
        let standing = self.shared.doors.standing(&self.pass);
        let parcel = self.socket.to_pass_on().map(|stream| Transfer::Connection(stream, standing));
        parcel.is_ok_and(|parcel| peer_process.put(parcel).is_ok())
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
    fn read_ahead(&mut self, dropped: &mut usize) -> io::Result<Got> {
        if *dropped == 0 && self.decoder.held() <= AHEAD_BYTES {
            return self.read();
        }
        let got = self.socket.try_read(&mut self.buffer)?;
        if let Got::Bytes(n) = got {
            *dropped += n + self.decoder.held();
            self.decoder = Decoder::default();
        }
        Ok(got)
    }

    fn handle(&mut self, request: Request) -> io::Result<()> {
        self.doing(Doing::Reading);
        let keep = request.keep_alive;
        match intake::route(request, self.began, &self.shared.classes.now()) {
            Ok(Intake::Ready) if self.shared.drain.is_on() => {
                self.reply(keep, |close| answer::plain(503, "drained\n", close))
            }
            Ok(Intake::Ready) => self.reply(keep, |close| answer::plain(200, "ready\n", close)),
            Ok(Intake::Counters) => {
                let text = self.shared.counters.print();
                self.reply(keep, |close| answer::plain(200, &text, close))
            }
            Ok(Intake::News(body)) => {
                if call_back::take(&self.shared, body) {
                    self.shared.doors.proved(&self.pass, PeerRole::Caller);
                }
                self.reply(keep, answer::no_content)
            }
            Ok(Intake::Job(job)) => self.serve_job(*job, keep),
            Err(refusal) => self.refuse(&refusal),
        }
    }

    fn serve_job(&mut self, job: Job, keep: bool) -> io::Result<()> {
        if self.is_closing() {
            let advice = (!self.shared.stopping.has_begun()).then_some(CROWDED_RETRY_MS);
            return self.turn_away(advice, false);
        }
        let permit = match self.shared.admission_gate.enter(Front::Http, job.verbatim.body.len()) {
            Ok(permit) => permit,
            Err(refused) => {
                return self.turn_away(Some(refused.retry_after), keep);
            }
        };
        self.doing(Doing::Waiting);
        self.shared.doors.holds(&self.pass, self.decoder.held() + job.verbatim.body.len());
        let waker = self.socket.waker();
        let reply = Reply::new(move || waker.wakeup());
        let ticket = self.shared.exchange.submit(job, reply.clone());
        let mut dropped = 0;
        loop {
            if let Some(answer) = reply.take() {
                // A client that is slow to read holds no place for a job.
                drop(permit);
                return match answer {
                    Answer::Failed(Failure::Repeated) => self.refuse(&Refusal::Repeated),
                    answer => self.give(&answer, keep && dropped == 0),
                };
            }
            match self.read_ahead(&mut dropped) {
                Ok(Got::Bytes(_)) if dropped > DROPPED_BYTES => {
                    self.shared.exchange.withdraw(ticket);
                    return self.refuse(&Refusal::Flood);
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
    fn turn_away(&mut self, advice: Option<f64>, keep: bool) -> io::Result<()> {
        self.shared.counters.turned_away.add();
        let retry_after = advice.filter(|_| self.shared.advice.is_allowed());
        self.reply(keep, |close| answer::of_job(&Answer::Defer { retry_after }, close))
    }

    fn give(&mut self, answer: &Answer, keep: bool) -> io::Result<()> {
        self.shared.doors.proved(&self.pass, PeerRole::Client);
        self.shared.doors.holds(&self.pass, self.decoder.held());
        // Its client has somewhere else to go.
        let keep = keep && !self.shared.drain.is_on();
        self.reply(keep, |close| answer::of_job(answer, close))
    }

    /// No new job is taken on: the dispatcher stops, or the rest of the descriptors is kept for others.
    fn is_closing(&self) -> bool {
        let shared = &self.shared;
        shared.stopping.grace_is_over(shared.clock.now()) || shared.doors.is_crowded(&self.pass)
    }

    /// Writes an answer; an error tells that the connection is at its end.
    fn reply(&mut self, keep: bool, write: impl FnOnce(bool) -> Vec<u8>) -> io::Result<()> {
        let ends = self.shared.stopping.grace_is_over(self.shared.clock.now());
        let close = !keep || ends && !self.shared.peer_process.takes_connections();
        self.write(&write(close))?;
        if close {
            self.socket.end();
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        Ok(())
    }

    fn write(&self, bytes: &[u8]) -> io::Result<()> {
        self.doing(Doing::Writing);
        if self.pass.is_ended() {
            // It has had its time: a last word, if it fits.
            return self.socket.try_write(bytes).map(drop);
        }
        self.socket.write_all(bytes, || self.pass.is_ended())
    }
}
