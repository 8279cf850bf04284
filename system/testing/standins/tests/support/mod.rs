//! A server that gives one reply after the other, whatever it is asked.

#![allow(dead_code, reason = "each test file uses its own part")]

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Generous: a test that waits so long has failed.
pub const BOUND: Duration = Duration::from_secs(10);

#[derive(Clone, Debug)]
pub enum Reply {
    Bytes(String),
    Silence,
    Close,
}

impl Reply {
    pub fn status(status: u16) -> Self {
        Self::with(status, "", "")
    }

    /// `headers` are whole lines.
    pub fn with(status: u16, headers: &str, body: &str) -> Self {
        Reply::Bytes(format!(
            "HTTP/1.1 {status} Reason\r\nContent-Length: {}\r\n{headers}\r\n{body}",
            body.len()
        ))
    }
}

#[derive(Clone)]
pub struct ReplyServer {
    pub address: SocketAddr,
    requests: Arc<Mutex<Vec<String>>>,
}

impl ReplyServer {
    /// The last reply is given again and again.
    pub async fn start(replies: Vec<Reply>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let requests = Arc::new(Mutex::new(Vec::new()));
        let seen = requests.clone();
        tokio::spawn(async move {
            let mut kept = Vec::new();
            for number in 0.. {
                let (mut stream, _) = listener.accept().await.unwrap();
                let request = read_request(&mut stream).await;
                seen.lock().unwrap().push(request);
                match &replies[number.min(replies.len() - 1)] {
                    Reply::Bytes(bytes) => stream.write_all(bytes.as_bytes()).await.unwrap(),
                    Reply::Silence => kept.push(stream),
                    Reply::Close => {}
                }
            }
        });
        Self { address, requests }
    }

    /// Each request as it came.
    pub fn requests(&self) -> Vec<String> {
        self.requests.lock().unwrap().clone()
    }
}

async fn read_request(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    while !whole(&bytes) {
        if stream.read_buf(&mut bytes).await.unwrap_or(0) == 0 {
            break;
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn whole(bytes: &[u8]) -> bool {
    let text = String::from_utf8_lossy(bytes).to_ascii_lowercase();
    let Some((head, body)) = text.split_once("\r\n\r\n") else { return false };
    if head.contains("transfer-encoding: chunked") {
        return body.contains("0\r\n\r\n");
    }
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: ")?.parse().ok());
    body.len() >= length.unwrap_or(0)
}
