//! The log: lines on standard error of the form `[time level module] message key=value ...`.
//!
//! Each line has a fixed message; what varies stands in its key-value pairs, under the same key for the same thing
//! everywhere (`store_id`, `message_id`, `epoch`, `error`, ...). docs/operators/logs.md lists the lines of the levels
//! `warn` and `error`.

use env_logger::{Builder, Env, TimestampPrecision};
use log::kv::{self, Key, Source, Value, VisitSource};
use millrudder_protocol::StoreId;
use std::fmt;
use std::io::{self, Write};

/// Starts the log at the level that `RUST_LOG` names, or `info`.
pub fn start() {
    let env = Env::default().default_filter_or("info");
    let mut builder = Builder::from_env(env);
    builder.format_timestamp(Some(TimestampPrecision::Millis));
    builder.format_key_values(|formatter, pairs| write_pairs(formatter, pairs));
    builder.init();
}

/// A store's identity as it stands in log lines: in hexadecimal digits.
#[derive(Clone, Copy, Debug)]
pub struct LoggedStoreId(pub StoreId);

impl fmt::Display for LoggedStoreId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:x}", self.0 .0)
    }
}

/// Writes ` key=value` for each pair.
///
/// # Errors
/// The output cannot be written to.
fn write_pairs(output: &mut dyn Write, pairs: &dyn Source) -> io::Result<()> {
    pairs.visit(&mut PairWriter { output }).map_err(io::Error::other)
}

struct PairWriter<'a> {
    output: &'a mut dyn Write,
}

impl<'pairs> VisitSource<'pairs> for PairWriter<'_> {
    /// A value that is not a single word is quoted, so that the end of each value can be found.
    fn visit_pair(&mut self, key: Key<'_>, value: Value<'pairs>) -> Result<(), kv::Error> {
        let text = value.to_string();
        let is_word =
            !text.is_empty() && !text.contains(|c: char| c.is_whitespace() || c == '"' || c.is_control());
        if is_word {
            write!(self.output, " {key}={text}")?;
        } else {
            write!(self.output, " {key}={text:?}")?;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
