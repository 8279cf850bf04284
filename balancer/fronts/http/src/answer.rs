//! Answers as bytes.

use super::intake::Refusal;
use millrudder_exchange::{Answer, Failure};
use millrudder_wire::http;

pub fn plain_text(status: u16, text: &str, close: bool) -> Vec<u8> {
    http::response(status, &[("Content-Type", "text/plain")], text.as_bytes(), close)
}

pub fn no_content(close: bool) -> Vec<u8> {
    http::response(204, &[], b"", close)
}

/// The last answer on its connection.
pub fn rejection(refusal: &Refusal) -> Vec<u8> {
    let text = format!("{refusal}\n");
    match refusal {
        Refusal::WrongMethod(allowed) => http::response(405, &[("Allow", allowed)], text.as_bytes(), true),
        _ => plain_text(refusal.status(), &text, true),
    }
}

/// 200 only with what a next hop made; 503 only where a further try is harmless; a failure promises nothing.
pub fn job_answer(answer: &Answer, close: bool) -> Vec<u8> {
    match answer {
        Answer::Served { result } => http::response(200, &[], result, close),
        Answer::Defer { retry_after: Some(ms) } => {
            let seconds = format!("{:.3}", ms / 1000.0);
            http::response(503, &[("Retry-After", &seconds)], b"deferred, try again later\n", close)
        }
        Answer::Defer { retry_after: None } => plain_text(503, "deferred, try again\n", close),
        Answer::Failed(Failure::Attempts) => plain_text(502, "failed\n", close),
        Answer::Failed(Failure::Refused) => plain_text(400, "no next hop can use this job\n", close),
        Answer::Failed(Failure::Late) => plain_text(504, "not done in time\n", close),
        Answer::Failed(Failure::Repeated) => rejection(&Refusal::Repeated),
    }
}
