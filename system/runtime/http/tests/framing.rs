//! Requests whose framing can be read in two ways are refused, wherever they lie on a connection and however their
//! bytes are cut; requests beside them are taken.

mod support;

use millrudder_system_http::front::RequestLimits;
use proptest::prelude::*;
use support::{run, TestServer};
use tokio::io::AsyncWriteExt;

/// Each case opens a socket; together they take about a second.
const CASES: u32 = 96;
/// Requests on one connection, and chunks that its bytes are cut into.
const MOST_REQUESTS: usize = 4;
const MOST_CUTS: usize = 12;

/// Requests with one meaning only, each with its body.
const VALID: [(&str, &str); 8] = [
    ("GET /p HTTP/1.1\r\nHost: a\r\n\r\n", ""),
    ("\r\nGET /p HTTP/1.1\r\nHost: a\r\n\r\n", ""),
    ("POST /p HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n", ""),
    ("POST /p HTTP/1.1\r\ncontent-length:5 \r\nHost: a\r\n\r\nhello", "hello"),
    // A body that looks like a request.
    ("POST /p HTTP/1.1\r\nHost: a\r\nContent-Length: 32\r\n\r\nGET /q HTTP/1.1\nContent-Length\r\n", INNER_REQUEST),
    ("POST /p HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n02;x=\"y\"\r\n\r\n\r\n0\r\n\r\n", "abc\r\n"),
    ("POST /p HTTP/1.1\r\nHost: a\r\nTRANSFER-ENCODING:\tChunked\r\n\r\n1 \r\nz\r\n0;e\r\nTrailer: t\r\nContent-Length: 9\r\n\r\n", "z"),
    ("POST /p HTTP/1.1\r\nHost: a\r\nX-Content-Length: 7\r\nX: Transfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\nok", "ok"),
];
const INNER_REQUEST: &str = "GET /q HTTP/1.1\nContent-Length\r\n";

/// Requests that somebody might read otherwise, or that nobody can read.
const AMBIGUOUS: [&str; 25] = [
    "POST /p HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "POST /p HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n",
    "POST /p HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxy",
    "POST /p HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nX: y\r\nContent-Length: 2\r\n\r\nxy",
    "POST /p HTTP/1.1\r\nHost: a\r\nContent-Length: 2, 2\r\n\r\nxy",
    "POST /p HTTP/1.1\r\nHost: a\r\nContent-Length: +2\r\n\r\nxy",
    "POST /p HTTP/1.1\r\nHost: a\r\nContent-Length:\r\n\r\nxy",
    "POST /p HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999999999999999999\r\n\r\nxy",
    "POST /p HTTP/1.1\r\nHost: a\r\nContent-Length:                                                           2\r\n\r\nxy",
    "POST /p HTTP/1.1\r\nHost: a\r\nContent-Length : 2\r\n\r\nxy",
    "POST /p HTTP/1.1\r\nHost: a\r\nTransfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
    "POST /p HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n",
    "POST /p HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: identity, chunked\r\n\r\n0\r\n\r\n",
    "POST /p HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
    "POST /p HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "POST /p HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: identity\r\n\r\n",
    "POST /p HTTP/1.1\r\nHost: a\r\nX: y\r\n Content-Length: 2\r\n\r\nxy",
    "POST /p HTTP/1.1\r\nHost: a\r\nTransfer-Encoding:\r\n chunked\r\n\r\n0\r\n\r\n",
    "POST /p HTTP/1.1\r\nHost: a\nContent-Length: 2\r\n\r\nxy",
    "POST /p HTTP/1.1\nHost: a\n\n",
    "GET /p#q HTTP/1.1\r\nHost: a\r\n\r\n",
    "\nGET /p HTTP/1.1\r\nHost: a\r\n\r\n",
    "POST /p HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\nz\r\n0\r\n\r\n",
    "POST /p HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: y\n\r\n\r\n",
    "POST /p HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\n\r\n\r\n",
];

/// The outcome of a connection.
#[derive(Debug, PartialEq, Eq)]
struct Outcome {
    /// The bodies that reached the handler.
    bodies: Vec<String>,
    statuses: Vec<u16>,
}

/// Sends the bytes in chunks, ends the own direction, and reads all answers.
fn send_split(bytes: &[u8], splits: &[usize]) -> Outcome {
    let mut outcome = Outcome { bodies: Vec::new(), statuses: Vec::new() };
    run(async {
        let server = TestServer::start(RequestLimits::default()).await;
        let mut peer = server.connect().await;
        for chunk in chunks(bytes, splits) {
            if peer.stream.write_all(chunk).await.is_err() {
                break;
            }
            tokio::task::yield_now().await;
        }
        let _closed_already = peer.stream.shutdown().await;
        while let Some(response) = peer.read_message().await {
            outcome.statuses.push(response.status());
        }
        let seen = server.seen.borrow();
        outcome.bodies = seen.iter().map(|seen| String::from_utf8(seen.body.clone()).unwrap()).collect();
    });
    outcome
}

fn chunks<'a>(bytes: &'a [u8], splits: &[usize]) -> Vec<&'a [u8]> {
    let mut splits: Vec<usize> = splits.iter().map(|split| split % (bytes.len() + 1)).collect();
    splits.extend([0, bytes.len()]);
    splits.sort_unstable();
    splits.windows(2).map(|split| &bytes[split[0]..split[1]]).collect()
}

fn valid(numbers: &[usize]) -> (String, Vec<String>) {
    let requests = numbers.iter().map(|number| VALID[*number].0);
    let bodies = numbers.iter().map(|number| VALID[*number].1.to_owned());
    (requests.collect(), bodies.collect())
}

#[test]
fn each_valid_request_is_accepted() {
    for (request, body) in VALID {
        let expected = Outcome { bodies: vec![body.to_owned()], statuses: vec![202] };
        assert_eq!(send_split(request.as_bytes(), &[]), expected, "{request:?}");
    }
}

#[test]
fn each_ambiguous_request_is_rejected_at_once_and_byte_by_byte() {
    for request in AMBIGUOUS {
        let every_byte: Vec<usize> = (0..request.len()).collect();
        for splits in [&[], every_byte.as_slice()] {
            let outcome = send_split(request.as_bytes(), splits);
            assert_eq!(outcome.bodies, Vec::<String>::new(), "{request:?}");
            assert!(outcome.statuses.iter().all(|status| *status == 400), "{request:?}: {outcome:?}");
        }
    }
}

#[test]
fn nothing_after_an_ambiguous_request_is_read() {
    let smuggled = "GET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n";
    for request in AMBIGUOUS {
        let outcome = send_split(format!("{request}{smuggled}").as_bytes(), &[]);
        assert_eq!(outcome.bodies, Vec::<String>::new(), "{request:?}");
        assert!(outcome.statuses.len() <= 1, "{request:?}: {outcome:?}");
    }
}

/// The answer comes at once, not when the time for a body that never comes is over.
#[test]
fn two_framings_are_answered_before_the_body() {
    run(async {
        let server = TestServer::start(RequestLimits::default()).await;
        let mut peer = server.connect().await;
        peer.write("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n")
            .await;
        let response = peer.response().await;
        assert_eq!((response.status(), response.header("connection")), (400, Some("close")));
        peer.closed().await;
        assert_eq!(server.handled(), 0);
    });
}

proptest! {
    #![proptest_config(ProptestConfig { cases: CASES, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn valid_requests_are_all_accepted_however_they_are_split(
        numbers in prop::collection::vec(0..VALID.len(), 1..=MOST_REQUESTS),
        splits in prop::collection::vec(any::<usize>(), 0..=MOST_CUTS),
    ) {
        let (bytes, bodies) = valid(&numbers);
        let statuses = vec![202; numbers.len()];
        prop_assert_eq!(send_split(bytes.as_bytes(), &splits), Outcome { bodies, statuses });
    }

    #[test]
    fn valid_requests_before_an_ambiguous_one_are_accepted_and_it_is_not(
        numbers in prop::collection::vec(0..VALID.len(), 0..MOST_REQUESTS),
        ambiguous in 0..AMBIGUOUS.len(),
        after in 0..VALID.len(),
        splits in prop::collection::vec(any::<usize>(), 0..=MOST_CUTS),
    ) {
        let (before, bodies) = valid(&numbers);
        let bytes = format!("{before}{}{}", AMBIGUOUS[ambiguous], VALID[after].0);
        let outcome = send_split(bytes.as_bytes(), &splits);
        prop_assert_eq!(&outcome.bodies, &bodies);
        let refusals = outcome.statuses.iter().filter(|status| **status != 202);
        prop_assert!(refusals.clone().count() <= 1 && refusals.clone().all(|status| *status == 400));
    }
}
