//! What a process leaves to its successor: the transport map with its position, bans, what the module has learnt.
//! Numbers of next hops, classes and kinds are this process's own, so names go with them.

use millrudder as mr;
use millrudder_config::{position, Names};
use millrudder_exchange::{HopId, MapEntry, MapNews};
use serde::{Deserialize, Serialize};

/// Of this form; another is refused whole.
const VERSION: u32 = 1;

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Legacy {
    pub(super) version: u32,
    pub(super) generation: Option<u64>,
    pub(super) map: Vec<MapEntry>,
    /// Names by number.
    pub(super) hops: Vec<String>,
    pub(super) classes: Vec<String>,
    pub(super) kinds: Vec<String>,
    pub(super) memory: mr::Memory,
}

impl Legacy {
    pub(super) fn new(
        generation: Option<u64>,
        map: Vec<MapEntry>,
        hops: Vec<String>,
        names: &Names,
        memory: mr::Memory,
    ) -> Self {
        let (classes, kinds) = (names.classes.clone(), names.kinds.clone());
        Legacy { version: VERSION, generation, map, hops, classes, kinds, memory }
    }

    pub(super) fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::new();
        // Into memory nothing can fail but memory itself.
        let _ = ciborium::into_writer(self, &mut bytes);
        bytes
    }

    /// # Errors
    /// It is of another form.
    pub fn decode(bytes: &[u8]) -> Result<Self, String> {
        let legacy: Legacy =
            ciborium::de::from_reader_with_recursion_limit(bytes, 16).map_err(|e| e.to_string())?;
        match legacy.version {
            VERSION => Ok(legacy),
            other => Err(format!("a legacy of form {other}, {VERSION} is wanted")),
        }
    }

    /// The map, as the predecessor held it.
    pub fn map(&self) -> MapNews {
        MapNews { whole: true, generation: self.generation, entries: self.map.clone() }
    }

    pub fn generation(&self) -> Option<u64> {
        self.generation
    }

    /// The memory in a successor's numbers; what has no name there is left out.
    pub(super) fn memory(&self, names: &Names, mut number: impl FnMut(&str) -> HopId) -> mr::Memory {
        let numbers: Vec<HopId> = self.hops.iter().map(|name| number(name)).collect();
        let hop = |id: HopId| numbers.get(id as usize).copied();
        let kind = |known: &mr::KindMemory| {
            let kind = match known.kind {
                None => None,
                Some(k) => Some(position(&names.kinds, self.kinds.get(k as usize)?)?),
            };
            Some(mr::KindMemory { kind, ..known.clone() })
        };
        let time = |name: &String| {
            let known = self.classes.iter().position(|class| class == name);
            known.and_then(|i| self.memory.class_time.get(i)).copied().unwrap_or_default()
        };
        let worker =
            |known: &mr::WorkerMemory| Some(mr::WorkerMemory { id: hop(known.id)?, ..known.clone() });
        mr::Memory {
            class_time: names.classes.iter().map(time).collect(),
            kinds: self.memory.kinds.iter().filter_map(kind).collect(),
            workers: self.memory.workers.iter().filter_map(worker).collect(),
            banned: self.memory.banned.iter().filter_map(|(id, at)| Some((hop(*id)?, *at))).collect(),
            ..self.memory.clone()
        }
    }
}

#[cfg(test)]
mod golden_tests;

#[cfg(test)]
mod tests {
    use super::*;
    use millrudder_testing::garbage;

    fn names(classes: &[&str], kinds: &[&str]) -> Names {
        let text = |names: &[&str]| names.iter().map(|n| (*n).to_owned()).collect();
        Names { classes: text(classes), kinds: text(kinds), ..Names::default() }
    }

    #[test]
    fn numbers_are_translated_by_name() {
        let memory = mr::Memory {
            class_time: vec![(1.0, 1.0), (2.0, 1.0)],
            kinds: vec![mr::KindMemory { kind: Some(1), cores: 4.0, ..mr::KindMemory::default() }],
            banned: vec![(1, 5.0)],
            ..mr::Memory::default()
        };
        let hops = vec!["s-1".to_owned(), "s-2".to_owned()];
        let old = Legacy::new(Some(41), Vec::new(), hops, &names(&["a", "b"], &["x", "y"]), memory);
        let old = Legacy::decode(&old.encode()).unwrap();
        let number = |name: &str| if name == "s-2" { 7 } else { 9 };
        let new = old.memory(&names(&["b", "c"], &["y"]), number);
        assert_eq!(new.class_time, [(2.0, 1.0), (0.0, 0.0)]);
        assert_eq!((new.kinds[0].kind, new.kinds[0].cores), (Some(0), 4.0));
        assert_eq!(new.banned, [(7, 5.0)]);
        assert_eq!((old.map().whole, old.map().generation), (true, Some(41)));
    }

    #[test]
    fn what_is_no_legacy_is_refused_not_misread() {
        let old = Legacy::new(Some(41), Vec::new(), Vec::new(), &names(&["a"], &[]), mr::Memory::default());
        garbage(21, &old.encode(), |bytes| drop(Legacy::decode(bytes)));
        let other = Legacy { version: VERSION + 1, ..old };
        assert!(Legacy::decode(&other.encode()).unwrap_err().contains("form 2"));
    }
}
