//! Unit tests of `predecessor`.

use super::*;
use crate::Front;
use millrudder_admission::Capacity;
use millrudder_exchange::clock::Clock;
use millrudder_exchange::intake::Classes;
use millrudder_exchange::shutdown::Stopping;
use millrudder_exchange::{AdmissionGate, Exchange, FrontContext, Inbox, PeerRole, RetryAdvice};
use millrudder_handover::VERSION;
use std::net::TcpStream;
use std::os::unix::net::UnixStream;
use std::sync::Arc;

struct NoFront;

impl Front for NoFront {
    fn adopt(&self, _: TcpStream, _: PeerRole) {}
    fn take_news(&self, _: &[u8]) {}
    fn inbound(&self) -> usize {
        0
    }
}

fn context() -> (UpgradeContext, Inbox) {
    let ((exchange, inbox), clock) = (Exchange::new(), Clock::start());
    let core = FrontContext {
        exchange,
        admission_gate: AdmissionGate::new(Capacity { places: 1, bytes: 1 }, &[], clock),
        counters: Arc::default(),
        stopping: Stopping::new(1_000.0),
        drain: Default::default(),
        peer_process: Default::default(),
        serving: Arc::default(),
        clock,
        classes: Classes::new(Vec::new()),
        advice: RetryAdvice::new(true),
        log: slog::Logger::root(slog::Discard, slog::o!()),
    };
    (UpgradeContext { core, front: Arc::new(NoFront), path: "unused".into() }, inbox)
}

#[test]
fn accepting_resumes_if_the_core_does_not_answer_during_a_handover() {
    // The core fails to answer after the process has stopped accepting, before the state machine knows of that.
    // Without a reset no process would accept any more.
    let (context, inbox) = context();
    let (here, there) = UnixStream::pair().unwrap();
    let here = Link::new(here).unwrap();
    let there = Link::new(there).unwrap();
    let session_context = context.clone();
    let session = std::thread::spawn(move || Session::begin(here, &session_context).unwrap().run());
    let hello = Message::Hello { version: VERSION, min_version: VERSION, program: "test".to_owned() };
    there.send(&hello, None).unwrap();
    let mut stopped_accepting = false;
    while let Ok(message) = inbox.recv_timeout(Duration::from_secs(60)) {
        match message {
            Inbound::PeerRequest(PeerRequest::Export(give)) => {
                give.send(Vec::new()).unwrap();
                there.send(&Message::Checked, None).unwrap();
                there.send(&Message::Ready, None).unwrap();
            }
            // The core is stuck: the request is dropped without an answer.
            Inbound::PeerRequest(PeerRequest::UnfinishedJobs(_)) => {
                stopped_accepting = !context.core.peer_process.accepts()
            }
            Inbound::PeerRequest(PeerRequest::PeerEnded) => break,
            _ => {}
        }
    }
    session.join().unwrap();
    assert!(stopped_accepting && context.core.peer_process.accepts());
}
