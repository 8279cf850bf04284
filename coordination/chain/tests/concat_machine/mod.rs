//! A replicated machine for tests, and the addresses of its nodes.

use millrudder_chain::{Machine, RestoreError, Sequence};

/// Concatenates all texts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Text(pub String);

impl Machine for Text {
    type Command = String;
    type Reply = u64;

    fn apply(&mut self, _sequence: Sequence, command: &String) -> u64 {
        self.0.push_str(command);
        self.0.len() as u64
    }

    fn snapshot(&self) -> Vec<u8> {
        self.0.clone().into_bytes()
    }

    fn restore(snapshot: &[u8]) -> Result<Text, RestoreError> {
        String::from_utf8(snapshot.to_vec()).map(Text).map_err(|_| RestoreError::Unreadable)
    }
}

/// Address of the node at `index`.
pub fn address(index: usize) -> String {
    format!("10.0.0.{index}:9000")
}
