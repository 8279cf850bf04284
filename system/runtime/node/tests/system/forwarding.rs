//! What a worker gets is what the sender sent: method, target, headers and body, byte by byte, from the dispatcher that
//! took the message as from a store.

use crate::cluster::{Cluster, ClusterSize, BOUND};
use http::{HeaderMap, HeaderName, HeaderValue};
use millrudder_system_standins::{
    eventually, Arrival, BodyHash, ConfigurationBuilder, ProcessSignal, RawConnection, Role, Route, Service,
    WorkerPlan,
};
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::TestRunner;
use std::net::SocketAddr;

const HOST: &str = "boye61.example";
const SMALL: ClusterSize = ClusterSize { core: 1, storage: 1, edge: 1, tolerated_losses: 0 };
/// Requests that a store hands back, and requests that the dispatcher still has.
const REQUESTS: usize = 60;
const MAX_HEADERS: usize = 6;
const MAX_BODY_BYTES: usize = 2_000;
const MAX_KEY_BYTES: usize = 128;
/// Headers of the request that are the dispatcher's to set or to leave out.
const OWN: [&str; 9] = [
    "host",
    "x-request-id",
    "x-deadline-ms",
    "x-delay-ms",
    "x-expect-instance",
    "content-length",
    "transfer-encoding",
    "connection",
    "accept",
];

/// A request as its sender wrote it.
#[derive(Clone, Debug)]
struct Sent {
    id: String,
    method: String,
    target: String,
    headers: Vec<(String, Vec<u8>)>,
    body: Vec<u8>,
    chunked: bool,
}

impl Sent {
    fn bytes(&self) -> Vec<u8> {
        let mut bytes = format!("{} {} HTTP/1.1\r\nHost: {HOST}\r\n", self.method, self.target).into_bytes();
        bytes.extend_from_slice(format!("X-Request-Id: {}\r\n", self.id).as_bytes());
        for (name, value) in &self.headers {
            bytes.extend_from_slice(name.as_bytes());
            bytes.extend_from_slice(b": ");
            bytes.extend_from_slice(value);
            bytes.extend_from_slice(b"\r\n");
        }
        bytes.extend(self.framed_body());
        bytes
    }

    fn framed_body(&self) -> Vec<u8> {
        if !self.chunked {
            let mut bytes = format!("Content-Length: {}\r\n\r\n", self.body.len()).into_bytes();
            bytes.extend_from_slice(&self.body);
            return bytes;
        }
        let mut bytes = b"Transfer-Encoding: chunked\r\n\r\n".to_vec();
        for chunk in self.body.chunks(700) {
            bytes.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
            bytes.extend_from_slice(chunk);
            bytes.extend_from_slice(b"\r\n");
        }
        bytes.extend_from_slice(b"0\r\n\r\n");
        bytes
    }

    fn header_map(&self) -> HeaderMap {
        let mut map = HeaderMap::new();
        for (name, value) in &self.headers {
            let name = HeaderName::from_bytes(name.as_bytes()).unwrap();
            map.append(name, HeaderValue::from_bytes(value).unwrap());
        }
        map
    }

    fn arrived_as_sent(&self, arrival: &Arrival) {
        assert_eq!(arrival.method, self.method, "{self:?}");
        assert_eq!(arrival.target, self.target, "{self:?}");
        assert_eq!(arrival.body_hash, BodyHash::of(&self.body), "{self:?}");
        let mut headers = arrival.headers.clone();
        for name in OWN {
            headers.remove(name);
        }
        assert_eq!(headers, self.header_map(), "{self:?}");
    }
}

fn letters(max_length: usize) -> impl Strategy<Value = String> {
    prop::collection::vec(prop::sample::select(b"abcXYZ019-_".to_vec()), 1..=max_length)
        .prop_map(|bytes| String::from_utf8(bytes).unwrap())
}

/// Any value of a header: inner spaces and tabs, bytes that are no ASCII, nothing at all.
fn value() -> impl Strategy<Value = Vec<u8>> {
    let byte = prop_oneof![0x21..=0x7e_u8, Just(b' '), Just(b'\t'), 0x80..=0xff_u8];
    prop::collection::vec(byte, 0..40).prop_map(|bytes| bytes.trim_ascii().to_vec())
}

/// A key of an ordered route: visible characters with spaces among them.
fn order_key() -> impl Strategy<Value = Vec<u8>> {
    let byte = prop_oneof![4 => 0x21..=0x7e_u8, 1 => Just(b' ')];
    prop::collection::vec(byte, 1..=MAX_KEY_BYTES)
        .prop_map(|bytes| bytes.trim_ascii().to_vec())
        .prop_filter("not empty", |bytes| !bytes.is_empty())
}

/// What may stand behind the route's prefix: nothing is decoded, joined or left out.
fn target_suffix() -> impl Strategy<Value = String> {
    let piece = prop::sample::select(vec![
        "a", "B", "7", "/", "//", "/../", "/./", "%2e%2E", "%2F", "%00", "%", ";x=1", "?", "?a=b", "&&", "=",
        "+", "~", "'", "(", "*", "!", "@", ":", ",", "$",
    ]);
    prop::collection::vec(piece, 0..8).prop_map(|pieces| pieces.concat())
}

fn request() -> impl Strategy<Value = Sent> {
    let method =
        prop::sample::select(vec!["POST", "PUT", "PATCH", "DELETE", "GET", "OPTIONS", "PURGE", "post"]);
    let other = (letters(12).prop_map(|name| format!("X-T-{name}")), value());
    let headers = prop::collection::vec(other, 0..MAX_HEADERS);
    let ordered = (Just("/ordered/"), order_key().prop_map(|key| vec![key]));
    let plain = (Just("/plain/"), prop::collection::vec(value(), 0..3));
    let keyed = prop_oneof![ordered, plain];
    let body = prop::collection::vec(any::<u8>(), 0..MAX_BODY_BYTES);
    (method, keyed, target_suffix(), headers, body, any::<bool>()).prop_map(
        |(method, (prefix, keys), rest, mut headers, body, chunked)| {
            headers.extend(keys.into_iter().map(|key| ("X-Order-Key".to_owned(), key)));
            let (method, target) = (method.to_owned(), format!("{prefix}{rest}"));
            Sent { id: String::new(), method, target, headers, body, chunked }
        },
    )
}

/// Drawn from a fixed seed.
fn requests() -> Vec<Sent> {
    let mut runner = TestRunner::deterministic();
    let mut draw = || request().new_tree(&mut runner).unwrap().current();
    (0..REQUESTS).map(|number| Sent { id: format!("r-{number}"), ..draw() }).collect()
}

async fn send(front: SocketAddr, bytes: &[u8]) -> String {
    let mut connection = RawConnection::open(front).await.unwrap();
    connection.write(bytes).await.unwrap();
    let answer = connection.read_until(b"\r\n", BOUND).await.unwrap();
    String::from_utf8_lossy(&answer).into_owned()
}

fn configuration() -> ConfigurationBuilder {
    ConfigurationBuilder::new(1)
        .service(Service::listed("records"))
        .route(Route::plain("plain", HOST, "/plain/", "records"))
        .route(Route::plain("ordered", HOST, "/ordered/", "records").fifo())
}

#[tokio::test]
async fn workers_receive_what_was_sent() {
    let mut cluster = Cluster::configured(SMALL, &configuration()).await;
    let edge = cluster.processes_of(Role::Edge)[0];
    let front = cluster.fronts()[0];
    let all = requests();
    let (through_a_store, at_once) = all.split_at(REQUESTS / 2);
    for sent in through_a_store {
        let answer = send(front, &sent.bytes()).await;
        assert!(answer.starts_with("HTTP/1.1 202"), "{answer}: {sent:?}");
    }
    // Another process has none of these messages itself.
    cluster.signal(edge, ProcessSignal::Terminate);
    cluster.exit_within_grace(edge).await;
    cluster.start_process(edge);
    cluster.all_ready().await;
    let _worker = cluster.worker(WorkerPlan { capacity: 8, ..WorkerPlan::new("records", "i-1") }).await;
    for sent in at_once {
        let answer = send(front, &sent.bytes()).await;
        assert!(answer.starts_with("HTTP/1.1 202"), "{answer}: {sent:?}");
    }
    for sent in &all {
        let id = sent.id.as_str().into();
        let arrived = eventually(BOUND, || !cluster.arrival_log.arrivals_of(&id).is_empty()).await;
        assert!(arrived.is_ok(), "never delivered: {sent:?}");
        cluster.arrival_log.arrivals_of(&id).iter().for_each(|arrival| sent.arrived_as_sent(arrival));
    }
}

/// Of these, a worker could only get something else than was sent, or two readers could take two things for it.
#[tokio::test]
async fn requests_that_cannot_be_forwarded_unchanged_are_rejected() {
    let cluster = Cluster::configured(SMALL, &configuration()).await;
    let _worker = cluster.worker(WorkerPlan::new("records", "i-1")).await;
    let head = |target: &str, headers: &str| {
        format!("POST {target} HTTP/1.1\r\nHost: {HOST}\r\n{headers}Content-Length: 0\r\n\r\n")
    };
    let refused = [
        head("/ordered/a#b", "X-Request-Id: r\r\n"),
        head("/ordered/a", "X-Request-Id: r\r\nX-Request-Id: s\r\n"),
        head("/ordered/a", "X-Request-Id: r\r\nX-Order-Key: a\r\nX-Order-Key: b\r\n"),
        head("/ordered/a", "X-Request-Id: r\r\nX-Order-Key: \r\n"),
        head("/ordered/a", "X-Request-Id: r\r\nX-Order-Key: \u{e9}\r\n"),
        head("/ordered/a", &format!("X-Request-Id: r\r\nX-Order-Key: {}\r\n", "k".repeat(MAX_KEY_BYTES + 1))),
        head("/ordered/a", "X-Request-Id: r\r\nX-Delay-Ms: 1\r\nX-Delay-Ms: 2\r\n"),
        head("/ordered/a", "X-Request-Id: \r\n"),
    ];
    for request in &refused {
        let answer = send(cluster.fronts()[0], request.as_bytes()).await;
        assert!(answer.starts_with("HTTP/1.1 400"), "{answer}: {request}");
    }
    // The host of the request line goes before the header, also where the message is resolved again.
    let absolute = format!(
        "POST http://{HOST}:80/plain/a HTTP/1.1\r\nHost: other.example\r\nX-Request-Id: absolute\r\nContent-Length: 0\r\n\r\n"
    );
    let answer = send(cluster.fronts()[0], absolute.as_bytes()).await;
    assert!(answer.starts_with("HTTP/1.1 202"), "{answer}");
    let id = "absolute".into();
    eventually(BOUND, || !cluster.arrival_log.arrivals_of(&id).is_empty()).await.unwrap();
    assert_eq!(cluster.arrival_log.arrivals_of(&id)[0].target, "/plain/a");
    assert_eq!(cluster.arrival_log.arrivals().len(), 1);
}
