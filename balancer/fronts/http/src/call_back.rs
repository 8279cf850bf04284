//! Call-backs of workers: `POST /_jobs/news` with the state of a job.

use super::Shared;
use millrudder_exchange::{JobState, Message, WorkerCallBack};
use millrudder_wire::json::{self, JsonError, Node};
use millrudder_wire::report::read_load;
use tinyjson::JsonValue;

/// Forwards a call-back to the core; false if it is malformed. A malformed one is counted, logged at a limited rate and
/// answered like any other, since an error would only make the worker send it again.
pub fn receive(shared: &Shared, body: Vec<u8>) -> bool {
    match parse(&body) {
        Ok(news) => {
            shared.exchange.send(Message::CallBack(WorkerCallBack { body: Some(body), ..news }));
            true
        }
        Err(error) => {
            shared.counters.news_bad.add();
            if shared.bad_call_back_log.allows(shared.clock.now()) {
                slog::warn!(shared.log, "call-back cannot be read"; "problem" => %error);
            }
            false
        }
    }
}

/// Handles a call-back for a job of this process that reached the other process of an upgrade.
pub fn receive_forwarded(shared: &Shared, body: &[u8]) {
    if let Ok(news) = parse(body) {
        shared.exchange.send(Message::CallBack(news));
    }
}

pub(super) fn parse(body: &[u8]) -> Result<WorkerCallBack, JsonError> {
    let document = json::parse(body)?;
    let root = Node::root(&document).object()?;
    let state = match root.at("state").needed_text()? {
        "started" => JobState::Started,
        "running" => JobState::Running { share: root.at("share").number_or(0.0)? },
        "done" => JobState::Done { result: required_result(&root)? },
        "failed" => JobState::Failed,
        "returned" => JobState::Returned,
        "lost" => JobState::Lost,
        _ => return root.at("state").wrong("a known state"),
    };
    let load = match &document {
        JsonValue::Object(map) => read_load(&root.at("load"), map.get("load"))?,
        _ => None,
    };
    Ok(WorkerCallBack {
        trace_id: root.at("id").needed_text()?.to_owned(),
        from: root.at("from").needed_text()?.to_owned(),
        state,
        load,
        body: None,
    })
}

/// The result of a finished job. It may be empty but must be present: an absent one must not be served as empty.
fn required_result(root: &Node) -> Result<Vec<u8>, JsonError> {
    match root.at("result").text()? {
        Some(text) => Ok(text.as_bytes().to_vec()),
        None => root.at("result").wrong("a string"),
    }
}
