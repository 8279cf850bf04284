//! Encodes HTTP answers.

use super::intake::Refusal;
use millrudder_exchange::{Answer, Failure};
use millrudder_wire::http;

pub fn plain_text(status: u16, text: &str, close: bool) -> Vec<u8> {
    http::response(status, &[("Content-Type", "text/plain")], text.as_bytes(), close)
}

pub fn no_content(close: bool) -> Vec<u8> {
    http::response(204, &[], b"", close)
}

/// A refusal with its reason as text; the connection closes after it.
pub fn rejection(refusal: &Refusal) -> Vec<u8> {
    let text = format!("{refusal}\n");
    match refusal {
        Refusal::WrongMethod(allowed) => http::response(405, &[("Allow", allowed)], text.as_bytes(), true),
        _ => plain_text(refusal.status(), &text, true),
    }
}

/// The answer to a job. 200 only with a worker's result; 503 only if the job did not run, so that a retry is safe.
/// Other failures do not say whether the job ran.
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
