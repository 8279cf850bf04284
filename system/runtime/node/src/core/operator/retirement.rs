//! The part of the operator's API that retires storage machines: `Retire.Start` and `Retire.Get`.

use super::request::OperatorRequest;
use http::Method;

const START_PREFIX: &str = "/Retire.Start/";
const GET_PREFIX: &str = "/Retire.Get/";

/// Whether a path belongs to this part of the API.
pub fn is_retirement_path(path: &str) -> bool {
    path.starts_with(START_PREFIX) || path.starts_with(GET_PREFIX)
}

/// The request that a method and a path of this part ask for; `None` where the method does not fit.
///
/// The time that the operator names in the query is not used: a machine is emptied as soon as possible.
pub fn parse(method: &Method, path: &str) -> Option<OperatorRequest> {
    if let Some(name) = path.strip_prefix(START_PREFIX).filter(|_| method == Method::POST) {
        return Some(OperatorRequest::StartRetirement { name: name.to_owned() });
    }
    let name = path.strip_prefix(GET_PREFIX).filter(|_| method == Method::GET)?;
    Some(OperatorRequest::GetRetirement { name: name.to_owned() })
}
