//! Unit tests of `worker_transport`.

use super::*;
use millrudder_exchange::{AttemptEnd, Front, Inbox, Message, Verbatim};
use nix::sys::socket::{listen, Backlog};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};

const ATTEMPT: AttemptId = AttemptId { ticket: 1, number: 0 };

/// A delivery attempt that has reached its worker, which has not answered yet.
fn under_way(cancel_grace: f64) -> (HttpTransport, WorkerEndpoint, Arc<Job>, TcpStream, Inbox) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (transport, worker, job, inbox) = begun(&listener, cancel_grace);
    let mut peer = listener.accept().unwrap().0;
    assert!(read_to(&mut peer, "body").starts_with("POST /api HTTP/1.1"));
    (transport, worker, job, peer, inbox)
}

fn begun(listener: &TcpListener, cancel_grace: f64) -> (HttpTransport, WorkerEndpoint, Arc<Job>, Inbox) {
    let open = Arc::new(AtomicBool::new(true));
    let worker = WorkerEndpoint { id: 3, address: listener.local_addr().unwrap(), open };
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
    let verbatim = Verbatim {
        method: "POST".to_owned(),
        target: "/api".to_owned(),
        body: b"body".to_vec(),
        idempotency_key: None,
        content_type: None,
    };
    let deadline = clock.now() + 600_000.0;
    let (trace_id, class) = ("9b1f".to_owned(), "c".to_owned());
    let job =
        Arc::new(Job { front: Front::Http, trace_id, class, slots: 1.0, memory: 0.0, deadline, verbatim });
    transport.deliver(ATTEMPT, worker.clone(), job.clone(), deadline);
    (transport, worker, job, inbox)
}

/// A listener whose accept queue is full with this one.
fn crowded() -> (TcpListener, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listen(&listener, Backlog::new(0).unwrap()).unwrap();
    let first = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    (listener, first)
}

/// An attempt whose connection waits in a full accept queue until `meanwhile` has happened: it ends as not sent,
/// and the worker sees nothing of it.
fn ends_unsent(meanwhile: impl Fn(&HttpTransport, &WorkerEndpoint)) {
    let (listener, first) = crowded();
    let (transport, worker, _, inbox) = begun(&listener, 0.0);
    meanwhile(&transport, &worker);
    drop((listener.accept().unwrap(), first));
    let mut peer = listener.accept().unwrap().0;
    let end = inbox.recv_timeout(span(20_000.0));
    assert!(matches!(end, Ok(Message::Ended { end: AttemptEnd::NotSent, .. })));
    transport.release(3);
    assert_eq!(read_to(&mut peer, "never"), "");
}

#[test]
fn what_is_owed_no_more_when_its_connection_comes_up_is_not_sent() {
    // A job was answered while its attempt's connection came up, and sent on 55 ms later.
    ends_unsent(|transport, _| transport.hold_back(ATTEMPT));
}

#[test]
fn nothing_is_sent_to_one_that_began_to_leave_while_the_connection_came_up() {
    ends_unsent(|_, worker| worker.open.store(false, Ordering::Release));
}

fn read_to(peer: &mut TcpStream, end: &str) -> String {
    let (mut text, mut byte) = (String::new(), [0]);
    while !text.ends_with(end) && peer.read(&mut byte).unwrap() > 0 {
        text.push(char::from(byte[0]));
    }
    text
}

#[test]
fn a_call_off_waits_for_the_202_and_keeps_the_connection() {
    // Closing it cost a new connection for nearly each copy that was called off: 277 on one deploy day.
    let (transport, worker, job, mut peer, inbox) = under_way(60_000.0);
    transport.call_off(ATTEMPT, worker, job, false, false);
    peer.write_all(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n").unwrap();
    assert!(read_to(&mut peer, "\r\n\r\n").starts_with("DELETE /jobs/9b1f HTTP/1.1"));
    peer.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").unwrap();
    assert!(matches!(inbox.recv(), Ok(Message::CalledOff { attempt: ATTEMPT })));
}

#[test]
fn a_wait_for_a_descriptor_or_a_connection_is_no_silence_of_the_worker() {
    // The answer's time ran from before that wait: a lack here could end as a silent worker.
    let (listener, first) = crowded();
    let (transport, _, _, _inbox) = begun(&listener, 0.0);
    let due = || transport.waiting().get(&ATTEMPT).map(|stop| stop.due());
    assert_eq!(due(), Some(f64::INFINITY));
    drop((listener.accept().unwrap(), first));
    let mut peer = listener.accept().unwrap().0;
    assert!(read_to(&mut peer, "body").starts_with("POST /api"));
    assert!(due().is_some_and(f64::is_finite), "{:?}", due());
}

#[test]
fn how_long_a_client_waits_is_told_as_of_the_requests_first_byte() {
    // It was told as of before the wait for a connection, up to a second and a half too long.
    let (listener, first) = crowded();
    let (transport, _, job, _inbox) = begun(&listener, 0.0);
    let (clock, began) = (transport.0.clock, transport.0.clock.now());
    while clock.now() < began + 20.0 {
        std::thread::yield_now();
    }
    let left = job.deadline - clock.now();
    drop((listener.accept().unwrap(), first));
    let head = read_to(&mut listener.accept().unwrap().0, "body");
    let told = head.lines().find_map(|line| line.strip_prefix("X-Expires-In: ")?.strip_suffix('u'));
    let told = told.unwrap().parse::<f64>().unwrap() / 1000.0;
    assert!(told > 0.0 && told <= left, "{told} of {left} ms");
}

/// The next connection; a failure rather than a hang if none comes.
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
fn after_an_answer_that_may_come_twice_the_next_job_goes_by_another_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (transport, worker, job, inbox) = begun(&listener, 0.0);
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
    // One that only took a job serves the next at once.
    transport.deliver(AttemptId { number: 2, ..ATTEMPT }, worker, job, until);
    assert!(read_to(&mut second, "body").starts_with("POST /api"));
}

#[test]
fn a_firm_call_off_is_told_until_it_is_answered() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (transport, worker, job, inbox) = begun(&listener, 60_000.0);
    let mut peer = listener.accept().unwrap().0;
    listener.set_nonblocking(true).unwrap();
    read_to(&mut peer, "body");
    transport.call_off(ATTEMPT, worker, job, false, true);
    peer.write_all(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n").unwrap();
    // A starved machine may let the call-off's second pass before the request is written or the answer is read; it is sent
    // again on another connection then. Only those that arrived count, and three of them get no answer.
    let mut arrived = 0;
    let answered = loop {
        let request = read_to(&mut peer, "\r\n\r\n");
        if !request.is_empty() {
            assert!(request.starts_with("DELETE /jobs/9b1f HTTP/1.1"), "not a call-off: {request}");
            arrived += 1;
        }
        if arrived > 3 {
            let _ = peer.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
        } else {
            assert!(inbox.try_recv().is_err(), "the worker may not know");
            drop(peer);
        }
        match answered_or_told_again(&inbox, &listener) {
            Ok(message) => break message,
            Err(next) => peer = next,
        }
    };
    assert!(arrived > 3, "it was not told again");
    assert!(matches!(answered, Message::CalledOff { attempt: ATTEMPT }));
}

/// The next message, or the connection on which the call-off comes again.
fn answered_or_told_again(inbox: &Inbox, listener: &TcpListener) -> Result<Message, TcpStream> {
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
fn a_firm_call_off_without_a_202_is_told_all_the_same() {
    // The 202 may be lost: closing the connection gives nothing up then.
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (transport, worker, job, inbox) = begun(&listener, 0.0);
    let mut peer = listener.accept().unwrap().0;
    read_to(&mut peer, "body");
    transport.call_off(ATTEMPT, worker, job, false, true);
    assert_eq!(read_to(&mut peer, "never"), "");
    let mut told = accept_in_time(&listener);
    assert!(read_to(&mut told, "\r\n\r\n").starts_with("DELETE /jobs/9b1f HTTP/1.1"));
    assert!(inbox.try_recv().is_err(), "the worker may not know");
    told.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n").unwrap();
    assert!(matches!(inbox.recv(), Ok(Message::CalledOff { attempt: ATTEMPT })));
}

#[test]
fn a_call_off_without_a_202_closes_the_connection() {
    let (transport, worker, job, mut peer, inbox) = under_way(0.0);
    transport.call_off(ATTEMPT, worker, job, false, false);
    assert_eq!(read_to(&mut peer, "never"), "");
    assert!(matches!(inbox.recv(), Ok(Message::CalledOff { attempt: ATTEMPT })));
}

#[test]
fn a_worker_that_says_nothing_is_silent_and_its_own_close_no_reset() {
    let (transport, _, _, mut peer, inbox) = under_way(0.0);
    let now = transport.0.clock.now();
    assert!(transport.waiting().values().all(|stop| stop.due() < now + 3_000.0), "not only at the deadline");
    transport.waiting().values().for_each(|stop| stop.answer_by(now - 1.0));
    transport.cut_overdue();
    assert!(matches!(inbox.recv(), Ok(Message::Ended { end: AttemptEnd::Silent, .. })));
    assert_eq!(read_to(&mut peer, "never"), "", "before the 202 a close gives the attempt up");
}
