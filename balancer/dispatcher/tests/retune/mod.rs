//! Settings that change while jobs are open.

use crate::peers::{client, counter, Dispatcher, Reply, ScriptedWorker};

fn job(id: &str, class: &str) -> String {
    format!(
        "POST /api HTTP/1.1\r\nX-Trace-Id: {id}\r\nX-Qos: {class}\r\nX-Expires-In: 20000m\r\n\
        Content-Length: 4\r\n\r\nbody"
    )
}

/// The job classes of the newer settings: the first configuration's class, whose jobs may run at most once, is replaced
/// by one whose jobs may be repeated.
const NEWER: &str =
    r#""lanes":[{"name":"audit","aim":10000,"hard_limit":15000,"worth":1,"effect":"idempotent"}]"#;

fn with_newer(config: String) -> String {
    let start = config.find("\"lanes\":[").unwrap();
    let end = start + config[start..].find(']').unwrap() + 1;
    config[..start].to_owned() + NEWER + &config[end..]
}

#[test]
fn new_classes_come_dropped_ones_go_and_open_jobs_keep_their_rules() {
    let hop = ScriptedWorker::start();
    let dispatcher = Dispatcher::start(&hop, 256);
    let (mut open, mut asks) = (client(&dispatcher.listen), client(&dispatcher.listen));
    open.send(&job("a1", "copy-issue"));
    let at_hop = hop.next();
    dispatcher.reload("127.0.0.1:1", with_newer);
    dispatcher.until_counted("reloads_good 1\n");
    // A job that may already have run is not sent again, although the settings that are now in force would allow it.
    at_hop.answer(Reply::Break);
    assert_eq!(open.answer().status, 502);
    assert!(dispatcher.counters().contains("attempts_sent 1\n"));
    // A job of the new class follows its own rules and is sent again.
    asks.send(&job("a2", "audit"));
    hop.next().answer(Reply::Break);
    hop.next().answer(Reply::Accept);
    let done = r#"{"id":"a2","from":"s-1","state":"done","result":"made"}"#;
    assert_eq!(dispatcher.news(done), 204);
    assert_eq!(asks.answer().status, 200);
    // The removed class is unknown once no client may use it any more.
    let end = std::time::Instant::now() + crate::peers::WAIT;
    for i in 0.. {
        assert!(std::time::Instant::now() < end, "it is never dropped");
        let mut asks = client(&dispatcher.listen);
        let taken = counter(&dispatcher.listen, "taken");
        asks.send(&job(&format!("d{i}"), "copy-issue"));
        while counter(&dispatcher.listen, "taken") == taken
            && counter(&dispatcher.listen, "rejected_headers") == 0
        {
            std::thread::sleep(std::time::Duration::from_millis(2));
        }
        if counter(&dispatcher.listen, "rejected_headers") == 1 {
            assert_eq!(asks.answer().status, 400);
            break;
        }
    }
}

#[test]
fn a_file_that_cannot_be_used_changes_nothing_at_all() {
    let hop = ScriptedWorker::start();
    let dispatcher = Dispatcher::start(&hop, 256);
    let bad: [fn(String) -> String; 5] = [
        |_| String::new(),
        |config| config[..config.len() / 2].to_owned(),
        |config| with_newer(config).replace("\"max_attempts\":5,", ""),
        |config| with_newer(config).replace("15000", "\"15000\""),
        |config| with_newer(config).replace("\"max_attempts\":5", "\"max_attempts\":0"),
    ];
    let good = dispatcher.config();
    for (i, change) in bad.iter().enumerate() {
        dispatcher.reload("127.0.0.1:1", change);
        dispatcher.until_counted(&format!("reloads_bad {}\n", i + 1));
        dispatcher.write_config(&good);
    }
    let counters = dispatcher.counters();
    assert!(counters.contains("map_moves 0\n") && counters.contains("reloads_good 0\n"), "{counters}");
    let mut asks = client(&dispatcher.listen);
    asks.send(&job("b1", "audit"));
    assert_eq!(asks.answer().status, 400, "the new class of a refused file is unknown");
    let mut asks = client(&dispatcher.listen);
    asks.send(&job("b2", "copy-issue"));
    hop.next().answer(Reply::Break);
    assert_eq!(asks.answer().status, 502);
    // After a hundred reloads, valid and invalid in turn, the last valid settings are in force.
    for i in 0..100 {
        dispatcher.write_config(&if i % 2 == 0 { String::new() } else { with_newer(good.clone()) });
        dispatcher.signal("HUP");
    }
    dispatcher.write_config(&with_newer(good));
    dispatcher.signal("HUP");
    let end = std::time::Instant::now() + crate::peers::WAIT;
    for i in 0.. {
        assert!(std::time::Instant::now() < end, "the last file is read in the end");
        let (mut asks, id) = (client(&dispatcher.listen), format!("c{i}"));
        let before = counter(&dispatcher.listen, "rejected_headers");
        asks.send(&job(&id, "audit"));
        while counter(&dispatcher.listen, "rejected_headers") == before
            && counter(&dispatcher.listen, "attempts_sent") < 2
        {
            std::thread::sleep(std::time::Duration::from_millis(2));
        }
        if counter(&dispatcher.listen, "attempts_sent") == 2 {
            hop.next().answer(Reply::Accept);
            let done = format!(r#"{{"id":"{id}","from":"s-1","state":"done","result":"x"}}"#);
            assert_eq!(dispatcher.news(&done), 204);
            assert_eq!(asks.answer().status, 200);
            break;
        }
    }
}
