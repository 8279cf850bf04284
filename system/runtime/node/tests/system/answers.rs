//! Answers to clients and operators, byte for byte as earlier versions give them.
//!
//! `tests/golden/answers.txt` holds each answer as it comes on the connection; names of messages, which are drawn at
//! random, stand there as `{message}`.

use crate::cluster::{Cluster, ClusterSize};
use millrudder_system_standins::{ConfigurationBuilder, Route, Service};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const GOLDEN: &str = "tests/golden/answers.txt";
const HOST: &str = "shop.example";
const TITLE: &str = "=== ";
const MESSAGE_ID: &str = "x-message-id: ";

/// Sends one request on a connection of its own; the complete answer.
async fn answer(to: SocketAddr, line: &str, headers: &[&str], body: &str) -> String {
    let mut request = format!("{line} HTTP/1.1\r\nHost: {HOST}\r\nConnection: close\r\n");
    for header in headers {
        request += &format!("{header}\r\n");
    }
    request += &format!("Content-Length: {}\r\n\r\n{body}", body.len());
    let mut connection = TcpStream::connect(to).await.unwrap();
    connection.write_all(request.as_bytes()).await.unwrap();
    let mut bytes = Vec::new();
    connection.read_to_end(&mut bytes).await.unwrap();
    String::from_utf8(bytes).unwrap()
}

/// The name of the message that an answer tells.
fn message_id(answer: &str) -> String {
    let line = answer.lines().find_map(|line| line.strip_prefix(MESSAGE_ID));
    line.unwrap_or_else(|| panic!("no name of a message in {answer}")).trim().to_owned()
}

fn read_golden() -> BTreeMap<String, String> {
    let text = std::fs::read_to_string(GOLDEN).unwrap();
    let blocks = text.split(TITLE).filter(|block| !block.is_empty());
    let entry = |block: &str| {
        let (name, answer) = block.split_once('\n').unwrap();
        (name.to_owned(), answer.strip_suffix('\n').unwrap().replace("\\r", "\r"))
    };
    blocks.map(entry).collect()
}

/// Compares the answers with the golden file, or writes it where the environment asks for that.
fn compare(answers: &BTreeMap<String, String>) {
    if std::env::var_os(millrudder_testing::golden::WRITE_VARIABLE).is_some() {
        let blocks =
            answers.iter().map(|(name, answer)| format!("{TITLE}{name}\n{}\n", answer.replace('\r', "\\r")));
        std::fs::write(GOLDEN, blocks.collect::<String>()).unwrap();
        return;
    }
    assert_eq!(*answers, read_golden());
}

async fn answers_to_clients(front: SocketAddr, answers: &mut BTreeMap<String, String>) {
    let mut add = |name: &str, answer: String| answers.insert(format!("client: {name}"), answer);
    let id = ["X-Request-Id: request-1"];
    add("no route", answer(front, "POST /elsewhere", &id, "body").await);
    add("no request id", answer(front, "POST /plain/1", &[], "body").await);
    add("bad delay", answer(front, "POST /plain/1", &[id[0], "X-Delay-Ms: soon"], "body").await);
    add("bad call-back", answer(front, "POST /called/1", &[id[0], "X-Callback-Url: there"], "body").await);
    add("empty order key", answer(front, "POST /ordered/1", &[id[0], "X-Order-Key: "], "body").await);
    add("repeated header", answer(front, "POST /plain/1", &[id[0], id[0]], "body").await);
    add("unknown message", answer(front, "GET /message/ffff0000000000000001", &[], "").await);
    add("no name of a message", answer(front, "GET /message/nothing", &[], "").await);
    add("unknown body", answer(front, "GET /message-body/nothing", &[], "").await);

    let accepted = answer(front, "POST /plain/1?a=b", &[id[0], "X-Delay-Ms: 600000"], "the body").await;
    let name = message_id(&accepted);
    add("accepted", accepted.replace(&name, "{message}"));
    add("queued", answer(front, &format!("GET /message/{name}"), &[], "").await);
    add("body of a queued message", answer(front, &format!("GET /message-body/{name}"), &[], "").await);
}

async fn answers_to_operators(core: SocketAddr, answers: &mut BTreeMap<String, String>) {
    let mut add = |name: &str, answer: String| answers.insert(format!("operator: {name}"), answer);
    let put = "POST /Config.Put";
    add("no configuration", answer(core, put, &["X-If-Version: 1"], "nothing").await);
    add("bad version", answer(core, put, &["X-If-Version: last"], "{}").await);
    add("not found", answer(core, "GET /nothing", &[], "").await);
    add("bad method", answer(core, "GET /Config.Put", &[], "").await);
    add("unknown machine", answer(core, "POST /Retire.Start/nowhere", &[], "").await);
    add("retirement of an unknown machine", answer(core, "GET /Retire.Get/nowhere", &[], "").await);
}

#[tokio::test]
async fn answers_keep_their_bytes() {
    let cluster = Cluster::start(ClusterSize::FULL).await;
    let configuration = ConfigurationBuilder::new(1)
        .service(Service::listed("plain"))
        .route(Route::plain("plain", HOST, "/plain/", "plain"))
        .route(Route::plain("ordered", HOST, "/ordered/", "plain").fifo())
        .route(Route::plain("called", HOST, "/called/", "plain").callback());
    let mut answers = BTreeMap::new();
    let core = cluster.control_planes()[0];
    cluster.configure(&configuration).await;
    answers_to_clients(cluster.fronts()[0], &mut answers).await;
    answers_to_operators(core, &mut answers).await;
    compare(&answers);
}
