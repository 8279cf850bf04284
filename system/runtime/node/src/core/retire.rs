//! The operator's orders to empty storage machines, and how far they are.

use crate::core::operator::Order;
use http::Method;

const START: &str = "/Retire.Start/";
const GET: &str = "/Retire.Get/";

/// How far the emptying of a machine is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    Running,
    /// Nothing on its disk is a needed copy of anything.
    Completed,
}

impl Progress {
    pub fn to_json(self) -> Vec<u8> {
        let state = match self {
            Progress::Running => "running",
            Progress::Completed => "completed",
        };
        serde_json::json!({ "state": state }).to_string().into_bytes()
    }
}

/// A path of this part of the API.
pub fn is_meant(path: &str) -> bool {
    path.starts_with(START) || path.starts_with(GET)
}

/// What a request asks for; `None` where the method does not fit.
///
/// The time that the operator names is no part of it: a machine is emptied as soon as can be.
pub fn order(method: &Method, path: &str) -> Option<Order> {
    if let Some(name) = path.strip_prefix(START).filter(|_| method == Method::POST) {
        return Some(Order::Retire { name: name.to_owned() });
    }
    let name = path.strip_prefix(GET).filter(|_| method == Method::GET)?;
    Some(Order::Retirement { name: name.to_owned() })
}
