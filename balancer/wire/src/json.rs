//! JSON decoding with bounded nesting, and access to values with errors that name the key.

use std::fmt;
use tinyjson::JsonValue;

/// Deepest nesting that is parsed. tinyjson recurses for each level and a coroutine's stack is small, so deeper
/// text is refused before parsing.
const MAX_DEPTH: usize = 24;

#[derive(Debug, PartialEq)]
pub enum JsonError {
    TooDeep,
    NotText,
    Malformed(String),
    /// The value at this key is missing or not of the wanted kind.
    Wrong {
        key: String,
        wanted: &'static str,
    },
}

impl fmt::Display for JsonError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            JsonError::TooDeep => write!(f, "JSON nested deeper than {MAX_DEPTH} levels"),
            JsonError::NotText => f.write_str("JSON is not UTF-8"),
            JsonError::Malformed(what) => write!(f, "malformed JSON: {what}"),
            JsonError::Wrong { key, wanted } => write!(f, "key {key}: {wanted} is wanted"),
        }
    }
}

impl std::error::Error for JsonError {}

/// Deepest nesting of brackets outside strings.
fn nesting_depth(text: &str) -> usize {
    let (mut depth, mut deepest, mut in_string, mut escaped) = (0usize, 0, false, false);
    for byte in text.bytes() {
        match byte {
            _ if escaped => escaped = false,
            b'\\' if in_string => escaped = true,
            b'"' => in_string = !in_string,
            b'[' | b'{' if !in_string => {
                depth += 1;
                deepest = deepest.max(depth);
            }
            b']' | b'}' if !in_string => depth = depth.saturating_sub(1),
            _ => {}
        }
    }
    deepest
}

pub fn parse(bytes: &[u8]) -> Result<JsonValue, JsonError> {
    let text = std::str::from_utf8(bytes).map_err(|_| JsonError::NotText)?;
    if nesting_depth(text) > MAX_DEPTH {
        return Err(JsonError::TooDeep);
    }
    text.parse().map_err(|e: tinyjson::JsonParseError| JsonError::Malformed(e.to_string()))
}

/// A position in a document: the value there, if any, and its full key for error messages.
#[derive(Clone)]
pub struct Node<'a> {
    value: Option<&'a JsonValue>,
    key: String,
}

type Read<T> = Result<T, JsonError>;

impl<'a> Node<'a> {
    pub fn root(value: &'a JsonValue) -> Self {
        Node { value: Some(value), key: String::new() }
    }

    /// The member `name` of an object; an absent node if there is none or if it is null.
    pub fn at(&self, name: &str) -> Node<'a> {
        let key = if self.key.is_empty() { name.to_owned() } else { format!("{}.{name}", self.key) };
        let value = match self.value {
            Some(JsonValue::Object(map)) => map.get(name).filter(|v| !v.is_null()),
            _ => None,
        };
        Node { value, key }
    }

    /// An error that the value here is missing or not the `wanted` one.
    pub fn wrong<T>(&self, wanted: &'static str) -> Read<T> {
        let key = if self.key.is_empty() { "(whole document)".to_owned() } else { self.key.clone() };
        Err(JsonError::Wrong { key, wanted })
    }

    pub fn is_absent(&self) -> bool {
        self.value.is_none()
    }

    /// The value as a number; `None` if absent.
    pub fn number(&self) -> Read<Option<f64>> {
        match self.value {
            None => Ok(None),
            Some(JsonValue::Number(n)) if n.is_finite() => Ok(Some(*n)),
            Some(_) => self.wrong("a number"),
        }
    }

    pub fn number_or(&self, default: f64) -> Read<f64> {
        Ok(self.number()?.unwrap_or(default))
    }

    /// The value as a whole number from 0 up; `None` if absent.
    pub fn count(&self) -> Read<Option<u64>> {
        match self.number()? {
            None => Ok(None),
            Some(n) if n >= 0.0 && n.fract() == 0.0 && n < 9e15 => Ok(Some(n as u64)),
            Some(_) => self.wrong("a whole number from 0 up"),
        }
    }

    /// The value as a Boolean; false if absent.
    pub fn flag(&self) -> Read<bool> {
        match self.value {
            None => Ok(false),
            Some(JsonValue::Boolean(b)) => Ok(*b),
            Some(_) => self.wrong("true or false"),
        }
    }

    pub fn text(&self) -> Read<Option<&'a str>> {
        match self.value {
            None => Ok(None),
            Some(JsonValue::String(s)) => Ok(Some(s)),
            Some(_) => self.wrong("a string"),
        }
    }

    pub fn needed_text(&self) -> Read<&'a str> {
        match self.text()? {
            Some(s) if !s.is_empty() => Ok(s),
            _ => self.wrong("a string that is not empty"),
        }
    }

    /// The items of an array, each with its own key; empty if absent.
    pub fn items(&self) -> Read<Vec<Node<'a>>> {
        match self.value {
            None => Ok(Vec::new()),
            Some(JsonValue::Array(items)) => Ok(items
                .iter()
                .enumerate()
                .map(|(i, v)| Node { value: Some(v), key: format!("{}[{i}]", self.key) })
                .collect()),
            Some(_) => self.wrong("an array"),
        }
    }

    pub fn texts(&self) -> Read<Vec<String>> {
        self.items()?.iter().map(|item| item.needed_text().map(str::to_owned)).collect()
    }

    pub fn object(&self) -> Read<Node<'a>> {
        match self.value {
            Some(JsonValue::Object(_)) => Ok(self.clone()),
            _ => self.wrong("an object"),
        }
    }
}

#[cfg(test)]
mod tests;
