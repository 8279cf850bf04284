//! The replicated state machine of the simulation: a list of the written values.

use millrudder_chain::{Machine, RestoreError, Sequence};
use speedy::{Readable, Writable};

/// Stores every applied value with its sequence, so that a value applied twice appears twice.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct ValueTable {
    pub values: Vec<Written>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub struct Written {
    pub value: u64,
    pub sequence: u64,
}

impl ValueTable {
    pub fn contains(&self, value: u64) -> bool {
        self.values.iter().any(|written| written.value == value)
    }

    pub fn last_sequence(&self) -> u64 {
        self.values.last().map_or(0, |written| written.sequence)
    }
}

impl Machine for ValueTable {
    type Command = u64;
    type Reply = u64;

    fn apply(&mut self, sequence: Sequence, command: &u64) -> u64 {
        self.values.push(Written { value: *command, sequence: sequence.0 });
        sequence.0
    }

    fn snapshot(&self) -> Vec<u8> {
        self.write_to_vec().expect("a table can be written")
    }

    fn restore(snapshot: &[u8]) -> Result<ValueTable, RestoreError> {
        ValueTable::read_from_buffer(snapshot).map_err(|_| RestoreError::Unreadable)
    }
}
