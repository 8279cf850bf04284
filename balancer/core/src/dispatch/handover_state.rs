//! What a process leaves to its successor: the worker list with its position, bans, what the module has learnt.
//! Numbers of workers, classes and kinds are this process's own, so names go with them.

use millrudder as mr;
use millrudder_config::{position, Names};
use millrudder_exchange::{WorkerEntry, WorkerId, WorkerListUpdate};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Of this form; another is refused whole.
const VERSION: u32 = 1;

/// Deepest nesting of the CBOR that is read; what is written nests less deeply.
const MAX_NESTING: usize = 16;

/// Why bytes are not what a predecessor of this version leaves.
#[derive(Debug, Error)]
pub enum HandoverStateError {
    /// They are no CBOR, or lack a field.
    #[error(transparent)]
    Malformed(#[from] ciborium::de::Error<std::io::Error>),
    /// Another version of the program wrote them.
    #[error("a legacy of form {found}, {VERSION} is wanted")]
    Version {
        /// The form that they say they have.
        found: u32,
    },
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HandoverState {
    pub(super) version: u32,
    pub(super) generation: Option<u64>,
    pub(super) map: Vec<WorkerEntry>,
    /// Names by number.
    #[serde(rename = "hops")]
    pub(super) workers: Vec<String>,
    pub(super) classes: Vec<String>,
    pub(super) kinds: Vec<String>,
    pub(super) memory: mr::LearnedState,
}

impl HandoverState {
    pub(super) fn new(
        generation: Option<u64>,
        map: Vec<WorkerEntry>,
        workers: Vec<String>,
        names: &Names,
        memory: mr::LearnedState,
    ) -> Self {
        let (classes, kinds) = (names.classes.clone(), names.kinds.clone());
        HandoverState { version: VERSION, generation, map, workers, classes, kinds, memory }
    }

    pub(super) fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::new();
        // Into memory nothing can fail but memory itself.
        let _ = ciborium::into_writer(self, &mut bytes);
        bytes
    }

    /// Reads what a predecessor left.
    ///
    /// # Errors
    /// [`LegacyError`]: the bytes are of another form, or of none.
    pub fn decode(bytes: &[u8]) -> Result<Self, HandoverStateError> {
        let legacy: HandoverState = ciborium::de::from_reader_with_recursion_limit(bytes, MAX_NESTING)?;
        match legacy.version {
            VERSION => Ok(legacy),
            found => Err(HandoverStateError::Version { found }),
        }
    }

    /// The map, as the predecessor held it.
    pub fn worker_list(&self) -> WorkerListUpdate {
        WorkerListUpdate { whole: true, generation: self.generation, entries: self.map.clone() }
    }

    pub fn generation(&self) -> Option<u64> {
        self.generation
    }

    /// The memory in a successor's numbers; what has no name there is left out.
    pub(super) fn memory(&self, names: &Names, mut number: impl FnMut(&str) -> WorkerId) -> mr::LearnedState {
        let numbers: Vec<WorkerId> = self.workers.iter().map(|name| number(name)).collect();
        let new_id = |id: WorkerId| numbers.get(id as usize).copied();
        let kind = |known: &mr::LearnedKind| {
            let kind = match known.kind {
                None => None,
                Some(k) => Some(position(&names.kinds, self.kinds.get(k as usize)?)?),
            };
            Some(mr::LearnedKind { kind, ..known.clone() })
        };
        let time = |name: &String| {
            let known = self.classes.iter().position(|class| class == name);
            known.and_then(|i| self.memory.class_time.get(i)).copied().unwrap_or_default()
        };
        let worker =
            |known: &mr::LearnedWorker| Some(mr::LearnedWorker { id: new_id(known.id)?, ..known.clone() });
        mr::LearnedState {
            class_time: names.classes.iter().map(time).collect(),
            kinds: self.memory.kinds.iter().filter_map(kind).collect(),
            workers: self.memory.workers.iter().filter_map(worker).collect(),
            banned: self.memory.banned.iter().filter_map(|(id, at)| Some((new_id(*id)?, *at))).collect(),
            ..self.memory.clone()
        }
    }
}

#[cfg(test)]
mod golden_tests;

#[cfg(test)]
mod tests;
