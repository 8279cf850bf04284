//! Compares the encoded messages of an upgrade, byte by byte, with what earlier versions send.

use millrudder_handover::{encode, Callback, Decoder, Message, PeerKind, ProbationReport, State};
use millrudder_testing::golden::Golden;

fn messages() -> Vec<(&'static str, Message)> {
    let ids = || vec!["9b1f".to_owned(), "77".to_owned()];
    vec![
        ("hello", Message::Hello { version: 1, min_version: 2, program: "millrudder 0.1".to_owned() }),
        ("offer", Message::Offer { version: 3 }),
        ("checked", Message::Checked),
        ("state", Message::State(State { core: vec![1, 2, 3], drained: true })),
        ("ready", Message::Ready),
        ("commit", Message::Commit { under_way: ids(), inbound: 7, worker_connections: 3 }),
        ("committed", Message::Committed),
        ("report", Message::Report(ProbationReport { served: 3, failed: 1 })),
        ("confirm", Message::Confirm),
        ("take_back", Message::TakeBack),
        ("given_back", Message::GivenBack { under_way: ids() }),
        ("abort", Message::Abort { reason: "bad settings".to_owned() }),
        ("call_back", Message::Callback(Callback { number: 7, body: b"{}".to_vec() })),
        ("ended", Message::JobEnded { id: "9b1f".to_owned() }),
        ("began", Message::JobStarted { id: "9b1f".to_owned() }),
        ("landed", Message::AttemptEnded { worker: "s-1".to_owned(), job: 5, attempt: 2 }),
        ("held", Message::InboundLeft { inbound: 12 }),
        ("connection_stranger", Message::Connection { peer: PeerKind::Unverified }),
        ("connection_caller", Message::Connection { peer: PeerKind::Caller }),
        ("connection_client", Message::Connection { peer: PeerKind::Client }),
        ("ban", Message::DisableWorker { id: "s-1".to_owned(), on: true }),
        ("drain", Message::DrainClients { on: true }),
    ]
}

#[test]
fn each_kind_of_message() {
    let mut golden = Golden::open("tests/golden/messages.txt");
    for (name, message) in messages() {
        golden.check(
            name,
            &message,
            |message| encode(message).unwrap(),
            |bytes| {
                let mut decoder = Decoder::default();
                decoder.push(bytes);
                decoder.next_message().unwrap().unwrap()
            },
        );
    }
    golden.finish();
}
