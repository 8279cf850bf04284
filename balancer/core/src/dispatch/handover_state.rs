//! The state that the old process of an upgrade hands over to the new one: the worker list with its
//! generation, the bans and what the decision module has learned. The ids of workers, classes and kinds are
//! private to a process, so their names are handed over as well.

use millrudder as mr;
use millrudder_config::{position, Names};
use millrudder_exchange::{WorkerEntry, WorkerId, WorkerListUpdate};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Version of the encoding; a state of another version is rejected.
const FORMAT_VERSION: u32 = 1;

/// The deepest nesting of CBOR that is read; the encoded state nests less deeply.
const MAX_CBOR_DEPTH: usize = 16;

/// Why bytes cannot be read as a handover state.
#[derive(Debug, Error)]
pub enum HandoverStateError {
    /// They are not CBOR, or a field is missing.
    #[error(transparent)]
    Malformed(#[from] ciborium::de::Error<std::io::Error>),
    /// Another version of the program encoded them.
    #[error("unsupported handover state version {found}, expected {FORMAT_VERSION}")]
    UnsupportedVersion {
        /// The version that they carry.
        found: u32,
    },
}

/// What the old process of an upgrade hands over to the core of the new one, encoded as CBOR.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HandoverState {
    pub(super) version: u32,
    /// Discovery's generation number of the worker list.
    pub(super) generation: Option<u64>,
    #[serde(rename = "map")]
    pub(super) worker_list: Vec<WorkerEntry>,
    /// Names by worker id.
    #[serde(rename = "hops")]
    pub(super) worker_names: Vec<String>,
    /// Names by the index that the learned state uses; likewise `kinds`.
    pub(super) classes: Vec<String>,
    pub(super) kinds: Vec<String>,
    #[serde(rename = "memory")]
    pub(super) learned_state: mr::LearnedState,
}

impl HandoverState {
    pub(super) fn new(
        generation: Option<u64>,
        worker_list: Vec<WorkerEntry>,
        worker_names: Vec<String>,
        names: &Names,
        learned_state: mr::LearnedState,
    ) -> Self {
        let (classes, kinds) = (names.classes.clone(), names.kinds.clone());
        HandoverState {
            version: FORMAT_VERSION,
            generation,
            worker_list,
            worker_names,
            classes,
            kinds,
            learned_state,
        }
    }

    pub(super) fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::new();
        // Writing to a vector cannot fail.
        let _ = ciborium::into_writer(self, &mut bytes);
        bytes
    }

    /// Decodes the state that the old process sent.
    ///
    /// # Errors
    /// [`HandoverStateError`]: the bytes are malformed or of another version.
    pub fn decode(bytes: &[u8]) -> Result<Self, HandoverStateError> {
        let state: HandoverState = ciborium::de::from_reader_with_recursion_limit(bytes, MAX_CBOR_DEPTH)?;
        match state.version {
            FORMAT_VERSION => Ok(state),
            found => Err(HandoverStateError::UnsupportedVersion { found }),
        }
    }

    /// The worker list of the old process.
    pub fn worker_list(&self) -> WorkerListUpdate {
        WorkerListUpdate { whole: true, generation: self.generation, entries: self.worker_list.clone() }
    }

    /// The generation of the old process's worker list.
    pub fn generation(&self) -> Option<u64> {
        self.generation
    }

    /// What the old process's module had learned, with the ids of this process. Kinds that this process does
    /// not know are left out; `assign_id` gives the id of a worker by name.
    pub(super) fn learned_state(
        &self,
        names: &Names,
        mut assign_id: impl FnMut(&str) -> WorkerId,
    ) -> mr::LearnedState {
        let ids: Vec<WorkerId> = self.worker_names.iter().map(|name| assign_id(name)).collect();
        let new_id = |id: WorkerId| ids.get(id as usize).copied();
        let kind = |known: &mr::LearnedKind| {
            let kind = match known.kind {
                None => None,
                Some(k) => Some(position(&names.kinds, self.kinds.get(k as usize)?)?),
            };
            Some(mr::LearnedKind { kind, ..known.clone() })
        };
        let time = |name: &String| {
            let known = self.classes.iter().position(|class| class == name);
            known.and_then(|i| self.learned_state.class_time.get(i)).copied().unwrap_or_default()
        };
        let worker =
            |known: &mr::LearnedWorker| Some(mr::LearnedWorker { id: new_id(known.id)?, ..known.clone() });
        mr::LearnedState {
            class_time: names.classes.iter().map(time).collect(),
            kinds: self.learned_state.kinds.iter().filter_map(kind).collect(),
            workers: self.learned_state.workers.iter().filter_map(worker).collect(),
            banned: self
                .learned_state
                .banned
                .iter()
                .filter_map(|(id, at)| Some((new_id(*id)?, *at)))
                .collect(),
            ..self.learned_state.clone()
        }
    }
}

#[cfg(test)]
mod golden_tests;

#[cfg(test)]
mod tests;
