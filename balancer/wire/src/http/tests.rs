use super::*;
use millrudder_testing::{cuts, garbage};

const CHUNKED: &[u8] = b"POST /api?x=1 HTTP/1.1\r\nTransfer-Encoding: chunked\r\nX-Trace-Id: ab\r\n\r\n\
    5;e=1\r\nhello\r\n1\r\n!\r\n0\r\nX-Sum: 1\r\n\r\n";
const SIZED: &[u8] = b"POST /api HTTP/1.1\r\nHost: b\r\nContent-Length: 4\r\n\r\nbody";

fn read<M: decode::Message>(parts: &[&[u8]]) -> Result<Vec<M>, FrameError> {
    let (mut decoder, mut found) = (Decoder::default(), Vec::new());
    for part in parts {
        decoder.push(part);
        while let Some(message) = decoder.next_message()? {
            found.push(message);
        }
    }
    found.extend(decoder.finish()?);
    Ok(found)
}

fn requests(bytes: &[u8]) -> Result<Vec<Request>, FrameError> {
    read(&[bytes])
}

#[test]
fn messages_do_not_depend_on_how_the_bytes_are_split() {
    let bytes = [CHUNKED, SIZED, SIZED, CHUNKED].concat();
    cuts(1, &bytes, |parts| {
        let found: Vec<Request> = read(parts).unwrap();
        let bodies: Vec<&[u8]> = found.iter().map(|r| r.body.as_slice()).collect();
        assert_eq!(bodies, [b"hello!".as_slice(), b"body", b"body", b"hello!"]);
        assert_eq!((found[0].path(), found[0].target.as_str()), ("/api", "/api?x=1"));
        assert_eq!(found[0].headers.get("x-trace-id"), Some("ab"));
    });
    let close = b"HTTP/1.1 200 OK\r\n\r\nuntil the end";
    cuts(2, close, |parts| assert_eq!(read::<Response>(parts).unwrap()[0].body, b"until the end"));
}

#[test]
fn garbage_is_refused_or_read_but_never_panics() {
    for (seed, valid) in [(3, CHUNKED), (4, SIZED)] {
        garbage(seed, valid, |bytes| {
            let _ = requests(bytes);
            let _ = read::<Response>(&[bytes]);
        });
    }
}

#[test]
fn messages_with_an_ambiguous_end_are_refused() {
    for lengths in [
        "Content-Length: 4\r\nContent-Length: 5",
        "Content-Length: 4, 5",
        "Content-Length: +4",
        "Content-Length: ",
        "Content-Length: 4\r\nTransfer-Encoding: chunked",
    ] {
        let bytes = format!("POST /api HTTP/1.1\r\n{lengths}\r\n\r\nbody");
        assert!(matches!(requests(bytes.as_bytes()), Err(FrameError::Malformed(_))), "{lengths}");
    }
    let coded = b"POST /api HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n";
    assert_eq!(requests(coded), Err(FrameError::UnknownCoding));
    assert!(requests(b"POST /api HTTP/1.1\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\nbody").is_ok());
}

#[test]
fn heads_and_bodies_are_bounded() {
    // A peer must not be able to fill the memory with one message.
    let head = |rest: &str| format!("POST /api HTTP/1.1\r\n{rest}");
    let long = head(&format!("X: {}", "a".repeat(HEAD_LIMIT)));
    assert_eq!(requests(long.as_bytes()), Err(FrameError::HeadTooLarge));
    let many = head(&"X: a\r\n".repeat(MAX_HEADERS + 1));
    assert_eq!(requests(many.as_bytes()), Err(FrameError::HeadTooLarge));
    for rest in ["Content-Length: 65537\r\n\r\n", "Content-Length: 99999999999999999999999\r\n\r\n"] {
        assert_eq!(requests(head(rest).as_bytes()), Err(FrameError::BodyTooLarge));
    }
    let chunk = format!("8000\r\n{}\r\n", "a".repeat(0x8000));
    let chunks = head(&format!("Transfer-Encoding: chunked\r\n\r\n{chunk}{chunk}1\r\n"));
    assert_eq!(requests(chunks.as_bytes()), Err(FrameError::BodyTooLarge));
    let most = head(&format!("Content-Length: 65536\r\n\r\n{}", "a".repeat(BODY_LIMIT)));
    assert_eq!(requests(most.as_bytes()).unwrap()[0].body.len(), BODY_LIMIT);
}

#[test]
fn interim_responses_are_skipped() {
    let bytes = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";
    cuts(9, bytes, |parts| assert_eq!(read::<Response>(parts).unwrap()[0].status, 202));
}

#[test]
fn keep_alive_follows_the_http_version() {
    let keeps = |text: &str| requests(text.as_bytes()).unwrap()[0].keep_alive;
    assert!(keeps("GET / HTTP/1.1\r\n\r\n"));
    assert!(!keeps("GET / HTTP/1.1\r\nConnection: Close\r\n\r\n"));
    assert!(!keeps("GET / HTTP/1.0\r\n\r\n"));
    assert!(keeps("GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n"));
}

#[test]
fn an_expectation_of_continue_is_reported_once() {
    let mut decoder = Decoder::<Request>::default();
    decoder.push(b"POST /api HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
    assert_eq!(decoder.next_message(), Ok(None));
    assert!(decoder.take_expectation());
    assert!(!decoder.take_expectation());
    decoder.push(b"ok");
    assert_eq!(decoder.next_message().unwrap().unwrap().body, b"ok");
    assert!(decoder.is_idle());
}

#[test]
fn encoded_messages_are_decoded_unchanged() {
    let bytes = response(503, &[("Retry-After", "0.250")], b"later", true);
    let found: Vec<Response> = read(&[&bytes]).unwrap();
    assert_eq!((found[0].status, found[0].keep_alive), (503, false));
    assert_eq!(found[0].headers.get("retry-after"), Some("0.250"));
    let bytes = request("POST", "/api?a=b", "h:1", &[("X-Trace-Id", "t")], b"");
    let found = requests(&bytes).unwrap();
    assert_eq!((found[0].target.as_str(), found[0].headers.get("content-length")), ("/api?a=b", Some("0")));
}
