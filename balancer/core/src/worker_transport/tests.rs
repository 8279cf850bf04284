//! Unit tests of `worker_transport`.

use super::*;
use millrudder_exchange::{AttemptEnd, ForwardedRequest, Front, Inbox, Message};
use nix::sys::socket::{listen, Backlog};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};

const ATTEMPT: AttemptId = AttemptId { ticket: 1, number: 0 };

/// A delivery attempt whose worker has got the request and has not answered yet.
fn attempt_at_worker(cancel_grace: f64) -> (HttpTransport, WorkerEndpoint, Arc<Job>, TcpStream, Inbox) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (transport, worker, job, inbox) = start_attempt(&listener, cancel_grace);
    let mut peer = listener.accept().unwrap().0;
    assert!(read_to(&mut peer, "body").starts_with("POST /api HTTP/1.1"));
    (transport, worker, job, peer, inbox)
}

fn start_attempt(
    listener: &TcpListener,
    cancel_grace: f64,
) -> (HttpTransport, WorkerEndpoint, Arc<Job>, Inbox) {
    let open = Arc::new(AtomicBool::new(true));
    let worker = WorkerEndpoint { id: 3, address: listener.local_addr().unwrap(), accepts_jobs: open };
    let (exchange, inbox) = Exchange::new();
    let clock = Clock::start();
    let limits = ConnectionLimits {
        connections: 4,
        connect_timeout: 60_000.0,
        conn_idle: 1e9,
        cancel_grace,
        reuse_delay: 60_000.0,
    };
    let transport = HttpTransport::new(limits, exchange, PeerProcess::default(), Arc::default(), clock);
    let forwarded = ForwardedRequest {
        method: "POST".to_owned(),
        target: "/api".to_owned(),
        body: b"body".to_vec(),
        idempotency_key: None,
        content_type: None,
    };
    let deadline = clock.now() + 600_000.0;
    let (trace_id, class) = ("9b1f".to_owned(), "c".to_owned());
    let job =
        Arc::new(Job { front: Front::Http, trace_id, class, slots: 1.0, memory: 0.0, deadline, forwarded });
    transport.deliver(ATTEMPT, worker.clone(), job.clone(), deadline);
    (transport, worker, job, inbox)
}

/// A listener whose accept queue is full, and the connection that fills it.
fn listener_with_full_backlog() -> (TcpListener, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listen(&listener, Backlog::new(0).unwrap()).unwrap();
    let first = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    (listener, first)
}

/// Starts an attempt whose connect waits in a full accept queue until `meanwhile` has run. Checks that it
/// ends as not sent and that the worker receives nothing.
fn assert_not_sent(meanwhile: impl Fn(&HttpTransport, &WorkerEndpoint)) {
    let (listener, first) = listener_with_full_backlog();
    let (transport, worker, _, inbox) = start_attempt(&listener, 0.0);
    meanwhile(&transport, &worker);
    drop((listener.accept().unwrap(), first));
    let mut peer = listener.accept().unwrap().0;
    let end = inbox.recv_timeout(span(20_000.0));
    assert!(matches!(end, Ok(Message::Ended { end: AttemptEnd::NotSent, .. })));
    transport.close_idle(3);
    assert_eq!(read_to(&mut peer, "never"), "");
}

#[test]
fn an_attempt_answered_while_connecting_is_not_sent() {
    // A job was answered while its attempt was still connecting, and was sent to the worker 55 ms later all
    // the same.
    assert_not_sent(|transport, _| transport.withhold_unsent(ATTEMPT));
}

#[test]
fn nothing_is_sent_to_a_worker_that_starts_draining_while_connecting() {
    assert_not_sent(|_, worker| worker.accepts_jobs.store(false, Ordering::Release));
}

fn read_to(peer: &mut TcpStream, end: &str) -> String {
    let (mut text, mut byte) = (String::new(), [0]);
    while !text.ends_with(end) && peer.read(&mut byte).unwrap() > 0 {
        text.push(char::from(byte[0]));
    }
    text
}

#[test]
fn a_cancel_waits_for_the_202_and_keeps_the_connection() {
    // Closing the connection to cancel cost a new connection for nearly every cancelled copy: 277 on one day
    // with a deployment.
    let (transport, worker, job, mut peer, inbox) = attempt_at_worker(60_000.0);
    transport.cancel(ATTEMPT, worker, job, false, false);
    peer.write_all(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n").unwrap();
    assert!(read_to(&mut peer, "\r\n\r\n").starts_with("DELETE /jobs/9b1f HTTP/1.1"));
    peer.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").unwrap();
    assert!(matches!(inbox.recv(), Ok(Message::CancelFinished { attempt: ATTEMPT })));
}

#[test]
fn waiting_for_a_descriptor_or_connection_does_not_count_as_a_silent_worker() {
    // The time allowed for the answer once began before that wait, so that a lack of descriptors here could
    // end as a silent worker.
    let (listener, first) = listener_with_full_backlog();
    let (transport, _, _, _inbox) = start_attempt(&listener, 0.0);
    let due = || transport.unanswered().get(&ATTEMPT).map(|control| control.answer_deadline());
    assert_eq!(due(), Some(f64::INFINITY));
    drop((listener.accept().unwrap(), first));
    let mut peer = listener.accept().unwrap().0;
    assert!(read_to(&mut peer, "body").starts_with("POST /api"));
    assert!(due().is_some_and(f64::is_finite), "{:?}", due());
}

#[test]
fn the_expires_in_header_counts_from_the_first_byte() {
    // The header was once computed before the wait for a connection, and was up to 1.5 s too long.
    let (listener, first) = listener_with_full_backlog();
    let (transport, _, job, _inbox) = start_attempt(&listener, 0.0);
    let (clock, began) = (transport.0.clock, transport.0.clock.now());
    while clock.now() < began + 20.0 {
        std::thread::yield_now();
    }
    let left = job.deadline - clock.now();
    drop((listener.accept().unwrap(), first));
    let head = read_to(&mut listener.accept().unwrap().0, "body");
    let sent_ms = head.lines().find_map(|line| line.strip_prefix("X-Expires-In: ")?.strip_suffix('u'));
    let sent_ms = sent_ms.unwrap().parse::<f64>().unwrap() / 1000.0;
    assert!(sent_ms > 0.0 && sent_ms <= left, "{sent_ms} of {left} ms");
}

/// Accepts the next connection; fails instead of hanging if none comes.
fn accept_in_time(listener: &TcpListener) -> TcpStream {
    listener.set_nonblocking(true).unwrap();
    let end = std::time::Instant::now() + span(20_000.0);
    loop {
        match listener.accept() {
            Ok((stream, _)) => break stream,
            Err(_) => assert!(std::time::Instant::now() < end, "no connection comes"),
        }
        std::thread::yield_now();
    }
}

#[test]
fn after_a_response_that_may_be_duplicated_the_next_job_uses_another_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (transport, worker, job, inbox) = start_attempt(&listener, 0.0);
    let mut first = listener.accept().unwrap().0;
    read_to(&mut first, "body");
    first.write_all(b"HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n").unwrap();
    assert!(matches!(inbox.recv(), Ok(Message::Ended { end: AttemptEnd::NeverRan, .. })));
    let until = job.deadline;
    transport.deliver(AttemptId { number: 1, ..ATTEMPT }, worker.clone(), job.clone(), until);
    let mut second = accept_in_time(&listener);
    read_to(&mut second, "body");
    second.write_all(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n").unwrap();
    assert!(matches!(inbox.recv(), Ok(Message::Accepted { .. })));
    // After a 202, the connection is reused at once.
    transport.deliver(AttemptId { number: 2, ..ATTEMPT }, worker, job, until);
    assert!(read_to(&mut second, "body").starts_with("POST /api"));
}

#[test]
fn a_confirmed_cancel_is_retried_until_it_is_answered() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (transport, worker, job, inbox) = start_attempt(&listener, 60_000.0);
    let mut peer = listener.accept().unwrap().0;
    listener.set_nonblocking(true).unwrap();
    read_to(&mut peer, "body");
    transport.cancel(ATTEMPT, worker, job, false, true);
    peer.write_all(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n").unwrap();
    // On an overloaded machine the 1 s allowed for a cancel may pass before the request is written or the
    // answer is read; it is then sent again on another connection. Only cancels that arrived are counted, and
    // three of them get no answer.
    let mut arrived = 0;
    let answered = loop {
        let request = read_to(&mut peer, "\r\n\r\n");
        if !request.is_empty() {
            assert!(request.starts_with("DELETE /jobs/9b1f HTTP/1.1"), "not a cancel: {request}");
            arrived += 1;
        }
        if arrived > 3 {
            let _ = peer.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
        } else {
            assert!(inbox.try_recv().is_err(), "the worker may not have got the cancel");
            drop(peer);
        }
        match answer_or_retry(&inbox, &listener) {
            Ok(message) => break message,
            Err(next) => peer = next,
        }
    };
    assert!(arrived > 3, "the cancel was not repeated");
    assert!(matches!(answered, Message::CancelFinished { attempt: ATTEMPT }));
}

/// The next message, or the connection on which the cancel is sent again.
fn answer_or_retry(inbox: &Inbox, listener: &TcpListener) -> Result<Message, TcpStream> {
    loop {
        if let Ok(message) = inbox.try_recv() {
            return Ok(message);
        }
        if let Ok((stream, _)) = listener.accept() {
            return Err(stream);
        }
        std::thread::yield_now();
    }
}

#[test]
fn a_confirmed_cancel_is_sent_even_without_a_202() {
    // The 202 may have been lost; closing the connection does not cancel the job at the worker then.
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (transport, worker, job, inbox) = start_attempt(&listener, 0.0);
    let mut peer = listener.accept().unwrap().0;
    read_to(&mut peer, "body");
    transport.cancel(ATTEMPT, worker, job, false, true);
    assert_eq!(read_to(&mut peer, "never"), "");
    let mut second = accept_in_time(&listener);
    assert!(read_to(&mut second, "\r\n\r\n").starts_with("DELETE /jobs/9b1f HTTP/1.1"));
    assert!(inbox.try_recv().is_err(), "the worker may not have got the cancel");
    second.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n").unwrap();
    assert!(matches!(inbox.recv(), Ok(Message::CancelFinished { attempt: ATTEMPT })));
}

#[test]
fn a_cancel_without_a_202_closes_the_connection() {
    let (transport, worker, job, mut peer, inbox) = attempt_at_worker(0.0);
    transport.cancel(ATTEMPT, worker, job, false, false);
    assert_eq!(read_to(&mut peer, "never"), "");
    assert!(matches!(inbox.recv(), Ok(Message::CancelFinished { attempt: ATTEMPT })));
}

#[test]
fn an_unanswered_request_ends_as_silent_not_as_reset() {
    let (transport, _, _, mut peer, inbox) = attempt_at_worker(0.0);
    let now = transport.0.clock.now();
    assert!(
        transport.unanswered().values().all(|control| control.answer_deadline() < now + 3_000.0),
        "overdue before the job's deadline"
    );
    transport.unanswered().values().for_each(|control| control.set_answer_deadline(now - 1.0));
    transport.abort_overdue();
    assert!(matches!(inbox.recv(), Ok(Message::Ended { end: AttemptEnd::Silent, .. })));
    assert_eq!(read_to(&mut peer, "never"), "", "closing the connection before the 202 cancels the attempt");
}
