//! Requests whose framing can be read in two ways are refused, wherever they lie on a connection and however their
//! bytes are cut; requests beside them are taken.

mod support;

use millrudder_system_http::front::RequestLimits;
use proptest::prelude::*;
use support::{run, TestServer};
use tokio::io::AsyncWriteExt;

/// Each case opens a socket; together they take about a second.
const CASES: u32 = 96;
/// Requests on one connection, and pieces that its bytes are cut into.
const MOST_REQUESTS: usize = 4;
const MOST_CUTS: usize = 12;

/// Requests with one meaning only, each with its body.
const SOUND: [(&str, &str); 8] = [
    ("GET /p HTTP/1.1\r\nHost: a\r\n\r\n", ""),
    ("\r\nGET /p HTTP/1.1\r\nHost: a\r\n\r\n", ""),
    ("POST /p HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n", ""),
    ("POST /p HTTP/1.1\r\ncontent-length:5 \r\nHost: a\r\n\r\nhello", "hello"),
    // A body that looks like a request.
    ("POST /p HTTP/1.1\r\nHost: a\r\nContent-Length: 32\r\n\r\nGET /q HTTP/1.1\nContent-Length\r\n", SOUND_INNER),
    ("POST /p HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n02;x=\"y\"\r\n\r\n\r\n0\r\n\r\n", "abc\r\n"),
    ("POST /p HTTP/1.1\r\nHost: a\r\nTRANSFER-ENCODING:\tChunked\r\n\r\n1 \r\nz\r\n0;e\r\nTrailer: t\r\nContent-Length: 9\r\n\r\n", "z"),
    ("POST /p HTTP/1.1\r\nHost: a\r\nX-Content-Length: 7\r\nX: Transfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\nok", "ok"),
];
const SOUND_INNER: &str = "GET /q HTTP/1.1\nContent-Length\r\n";

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

/// What becomes of a connection.
#[derive(Debug, PartialEq, Eq)]
struct Played {
    /// The bodies that reached the handler.
    bodies: Vec<String>,
    statuses: Vec<u16>,
}

/// Sends the bytes in pieces, ends the own direction, and reads all answers.
fn play(bytes: &[u8], cuts: &[usize]) -> Played {
    let mut played = Played { bodies: Vec::new(), statuses: Vec::new() };
    run(async {
        let server = TestServer::start(RequestLimits::default()).await;
        let mut peer = server.connect().await;
        for piece in pieces(bytes, cuts) {
            if peer.stream.write_all(piece).await.is_err() {
                break;
            }
            tokio::task::yield_now().await;
        }
        let _closed_already = peer.stream.shutdown().await;
        while let Some(response) = peer.read_message().await {
            played.statuses.push(response.status());
        }
        let seen = server.seen.borrow();
        played.bodies = seen.iter().map(|seen| String::from_utf8(seen.body.clone()).unwrap()).collect();
    });
    played
}

fn pieces<'a>(bytes: &'a [u8], cuts: &[usize]) -> Vec<&'a [u8]> {
    let mut cuts: Vec<usize> = cuts.iter().map(|cut| cut % (bytes.len() + 1)).collect();
    cuts.extend([0, bytes.len()]);
    cuts.sort_unstable();
    cuts.windows(2).map(|cut| &bytes[cut[0]..cut[1]]).collect()
}

fn sound(numbers: &[usize]) -> (String, Vec<String>) {
    let requests = numbers.iter().map(|number| SOUND[*number].0);
    let bodies = numbers.iter().map(|number| SOUND[*number].1.to_owned());
    (requests.collect(), bodies.collect())
}

#[test]
fn each_sound_request_is_taken() {
    for (request, body) in SOUND {
        let expected = Played { bodies: vec![body.to_owned()], statuses: vec![202] };
        assert_eq!(play(request.as_bytes(), &[]), expected, "{request:?}");
    }
}

#[test]
fn each_ambiguous_request_is_refused_in_one_piece_and_byte_by_byte() {
    for request in AMBIGUOUS {
        let every_byte: Vec<usize> = (0..request.len()).collect();
        for cuts in [&[], every_byte.as_slice()] {
            let played = play(request.as_bytes(), cuts);
            assert_eq!(played.bodies, Vec::<String>::new(), "{request:?}");
            assert!(played.statuses.iter().all(|status| *status == 400), "{request:?}: {played:?}");
        }
    }
}

#[test]
fn nothing_after_an_ambiguous_request_is_read() {
    let smuggled = "GET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n";
    for request in AMBIGUOUS {
        let played = play(format!("{request}{smuggled}").as_bytes(), &[]);
        assert_eq!(played.bodies, Vec::<String>::new(), "{request:?}");
        assert!(played.statuses.len() <= 1, "{request:?}: {played:?}");
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
    fn sound_requests_are_all_taken_however_they_are_cut(
        numbers in prop::collection::vec(0..SOUND.len(), 1..=MOST_REQUESTS),
        cuts in prop::collection::vec(any::<usize>(), 0..=MOST_CUTS),
    ) {
        let (bytes, bodies) = sound(&numbers);
        let statuses = vec![202; numbers.len()];
        prop_assert_eq!(play(bytes.as_bytes(), &cuts), Played { bodies, statuses });
    }

    #[test]
    fn sound_requests_before_an_ambiguous_one_are_taken_and_it_is_not(
        numbers in prop::collection::vec(0..SOUND.len(), 0..MOST_REQUESTS),
        ambiguous in 0..AMBIGUOUS.len(),
        after in 0..SOUND.len(),
        cuts in prop::collection::vec(any::<usize>(), 0..=MOST_CUTS),
    ) {
        let (before, bodies) = sound(&numbers);
        let bytes = format!("{before}{}{}", AMBIGUOUS[ambiguous], SOUND[after].0);
        let played = play(bytes.as_bytes(), &cuts);
        prop_assert_eq!(&played.bodies, &bodies);
        let refusals = played.statuses.iter().filter(|status| **status != 202);
        prop_assert!(refusals.clone().count() <= 1 && refusals.clone().all(|status| *status == 400));
    }
}
