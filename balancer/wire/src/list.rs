//! Decoding of worker lists from discovery's JSON.

use crate::json::{JsonError, Node};
use millrudder_exchange::{WorkerEntry, WorkerListUpdate, WorkerState};

/// A worker list as discovery sends it: complete, or the changes since an earlier generation.
#[derive(Clone, Debug, PartialEq)]
pub struct List {
    pub generation: u64,
    pub update: WorkerListUpdate,
}

/// Decodes a list. A list with one bad entry is refused as a whole, and the current one stays in force.
pub fn read_list(node: &Node) -> Result<List, JsonError> {
    let node = node.object()?;
    let Some(generation) = node.at("generation").count()? else {
        return node.at("generation").wrong("a whole number from 0 up");
    };
    let entries = node.at("instances").items()?.iter().map(read_entry).collect::<Result<_, _>>()?;
    Ok(List {
        generation,
        update: WorkerListUpdate { whole: node.at("reset").flag()?, generation: Some(generation), entries },
    })
}

fn read_entry(node: &Node) -> Result<WorkerEntry, JsonError> {
    let state = match node.at("lifecycle").text()? {
        Some("active") => WorkerState::Active,
        Some("leaving") => WorkerState::Leaving,
        Some("left") => WorkerState::Left,
        _ => return node.at("lifecycle").wrong("active, leaving or left"),
    };
    let address = match node.at("hostPort").text()?.map(str::parse) {
        Some(Ok(address)) => Some(address),
        // A worker that has left needs no address; one that gets jobs does.
        None if state == WorkerState::Left => None,
        _ => return node.at("hostPort").wrong("an address with a port"),
    };
    Ok(WorkerEntry {
        name: node.at("instanceId").needed_text()?.to_owned(),
        address,
        zone: node.at("zone").text()?.unwrap_or_default().to_owned(),
        kind: node.at("machineType").text()?.unwrap_or_default().to_owned(),
        cell: node.at("cell").number_or(0.0)? as i64,
        state,
        weight: node.at("weight").number_or(1.0)?,
        started_at: node.at("startedAtMs").number()?.filter(|ms| *ms > 0.0),
    })
}

#[cfg(test)]
mod tests;
