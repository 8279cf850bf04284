//! Messages of an upgrade, byte for byte as earlier versions send them.

use millrudder_handover::{encode, Call, Decoder, Message, Probation, State, Was};
use millrudder_testing::golden::Golden;

fn messages() -> Vec<(&'static str, Message)> {
    let ids = || vec!["9b1f".to_owned(), "77".to_owned()];
    vec![
        ("hello", Message::Hello { version: 1, least: 2, program: "millrudder 0.1".to_owned() }),
        ("offer", Message::Offer { version: 3 }),
        ("checked", Message::Checked),
        ("state", Message::State(State { core: vec![1, 2, 3], drained: true })),
        ("ready", Message::Ready),
        ("commit", Message::Commit { under_way: ids(), inbound: 7, next_hops: 3 }),
        ("committed", Message::Committed),
        ("report", Message::Report(Probation { served: 3, failed: 1 })),
        ("confirm", Message::Confirm),
        ("take_back", Message::TakeBack),
        ("given_back", Message::GivenBack { under_way: ids() }),
        ("abort", Message::Abort { reason: "bad settings".to_owned() }),
        ("call_back", Message::CallBack(Call { number: 7, body: b"{}".to_vec() })),
        ("ended", Message::Ended { id: "9b1f".to_owned() }),
        ("began", Message::Began { id: "9b1f".to_owned() }),
        ("landed", Message::Landed { worker: "s-1".to_owned(), job: 5, attempt: 2 }),
        ("held", Message::Held { inbound: 12 }),
        ("connection_stranger", Message::Connection { was: Was::Stranger }),
        ("connection_caller", Message::Connection { was: Was::Caller }),
        ("connection_client", Message::Connection { was: Was::Client }),
        ("ban", Message::Ban { id: "s-1".to_owned(), on: true }),
        ("drain", Message::Drain { on: true }),
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
