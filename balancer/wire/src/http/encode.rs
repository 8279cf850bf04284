//! Encoding of messages.

/// The interim response to `Expect: 100-continue`.
pub const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        204 => "No Content",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        414 => "URI Too Long",
        431 => "Request Header Fields Too Large",
        501 => "Not Implemented",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Other",
    }
}

fn finish(mut head: String, headers: &[(&str, &str)], body: &[u8], length: bool) -> Vec<u8> {
    for (name, value) in headers {
        head.push_str(name);
        head.push_str(": ");
        head.push_str(value);
        head.push_str("\r\n");
    }
    if length {
        head.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Encodes a request. `headers` must not contain line breaks; headers read by the decoder never do.
pub fn request(method: &str, target: &str, host: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let head = format!("{method} {target} HTTP/1.1\r\nHost: {host}\r\n");
    finish(head, headers, body, !matches!(method, "GET" | "HEAD" | "DELETE") || !body.is_empty())
}

/// Encodes a response; `close` announces that the connection will be closed.
pub fn response(status: u16, headers: &[(&str, &str)], body: &[u8], close: bool) -> Vec<u8> {
    let close = if close { "Connection: close\r\n" } else { "" };
    finish(format!("HTTP/1.1 {status} {}\r\n{close}", reason(status)), headers, body, status != 204)
}
