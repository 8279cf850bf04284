//! A replicated state machine for tests, and the addresses of the test nodes.

use millrudder_chain::{Machine, RestoreError, Sequence};

/// State machine whose commands append text; a reply is the new length.
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
