//! Load reports of workers, in each of the forms that the protocol allows.

use crate::http::Response;
use crate::json::{self, JsonError, Node};
use millrudder_exchange::LoadReport;
use tinyjson::JsonValue;

/// Response header with a load report.
const HEADER: &str = "endpoint-load-metrics";

/// Reads the text form, such as `TEXT inflight=7, queue=2`: the name of the format, then names with numbers.
/// Entries that cannot be read are skipped: a report is a hint, and one bad entry should not invalidate the
/// others.
fn read_text(text: &str) -> Option<LoadReport> {
    let figures = text.trim().strip_prefix("TEXT").unwrap_or(text);
    let figure = |part: &str| {
        let (name, value) = part.split_once('=')?;
        let value: f64 = value.trim().parse().ok().filter(|v: &f64| v.is_finite())?;
        Some((name.trim().to_owned(), value))
    };
    let report: LoadReport = figures.split(',').filter_map(figure).collect();
    (!report.is_empty()).then_some(report)
}

/// Reads the `load` object of a call-back.
pub fn read_load(node: &Node, value: Option<&JsonValue>) -> Result<Option<LoadReport>, JsonError> {
    match value {
        None | Some(JsonValue::Null) => Ok(None),
        Some(JsonValue::Object(map)) => {
            let figures = map.keys().filter_map(|name| match node.at(name).number() {
                Ok(Some(value)) => Some((name.clone(), value)),
                _ => None,
            });
            let mut report: LoadReport = figures.collect();
            report.sort_by(|a, b| a.0.cmp(&b.0));
            Ok(Some(report))
        }
        Some(_) => node.wrong("an object"),
    }
}

/// Reads the load report in a response's header, if there is one.
pub fn of_response(response: &Response) -> Option<LoadReport> {
    response.headers.get(HEADER).and_then(read_text)
}

/// Reads the load report of a probe's response: from the header or else from the body, which is a JSON object
/// or the text form.
pub fn of_probe(response: &Response) -> Option<LoadReport> {
    let header = of_response(response);
    header.or_else(|| {
        let document = json::parse(&response.body).ok();
        match document {
            Some(value @ JsonValue::Object(_)) => read_load(&Node::root(&value), Some(&value)).ok().flatten(),
            _ => std::str::from_utf8(&response.body).ok().and_then(read_text),
        }
    })
}

#[cfg(test)]
mod tests;
