//! Table of members, with a digest that is updated with each change.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use crate::digest::{bucket_of, ListDigest};
use crate::identity::MemberName;
use crate::member::Member;
use crate::round_trip::RoundTrip;

/// A member and the measurements of this process.
#[derive(Clone, Debug)]
struct Entry {
    member: Member,
    bucket: usize,
    round_trip: RoundTrip,
}

/// All known members, including this process.
#[derive(Clone, Debug)]
pub(crate) struct MemberTable {
    entries: BTreeMap<MemberName, Entry>,
    digest: ListDigest,
    live_count: usize,
}

impl MemberTable {
    pub const fn new() -> Self {
        Self { entries: BTreeMap::new(), digest: ListDigest::new(), live_count: 0 }
    }

    pub fn get(&self, name: &MemberName) -> Option<&Member> {
        self.entries.get(name).map(|entry| &entry.member)
    }

    /// Adds a member, or replaces its record.
    pub fn put(&mut self, member: Member) {
        self.add_to_totals(&member);
        let name = member.name().clone();
        match self.entries.get_mut(&name) {
            Some(entry) => {
                let old = std::mem::replace(&mut entry.member, member);
                self.subtract_from_totals(&old);
            }
            None => {
                let bucket = bucket_of(&name);
                self.entries.insert(name, Entry { member, bucket, round_trip: RoundTrip::default() });
            }
        }
    }

    pub fn remove(&mut self, name: &MemberName) {
        if let Some(entry) = self.entries.remove(name) {
            self.subtract_from_totals(&entry.member);
        }
    }

    pub fn round_trip_mut(&mut self, name: &MemberName) -> Option<&mut RoundTrip> {
        self.entries.get_mut(name).map(|entry| &mut entry.round_trip)
    }

    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.entries.values().map(|entry| &entry.member)
    }

    /// Iterates over the members of the given buckets.
    pub fn in_buckets<'a>(&'a self, buckets: &'a BTreeSet<usize>) -> impl Iterator<Item = &'a Member> {
        let entries = self.entries.values().filter(|entry| buckets.contains(&entry.bucket));
        entries.map(|entry| &entry.member)
    }

    /// Iterates over the live members whose recorded address is `address`.
    pub fn live_at(&self, address: SocketAddr) -> impl Iterator<Item = &Member> {
        self.iter().filter(move |member| member.is_live() && member.address == address)
    }

    /// Returns the number of members, including dead ones.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns the number of live members, including this process.
    pub const fn live_count(&self) -> usize {
        self.live_count
    }

    pub const fn digest(&self) -> &ListDigest {
        &self.digest
    }

    fn add_to_totals(&mut self, member: &Member) {
        self.digest.toggle(member);
        self.live_count += usize::from(member.is_live());
    }

    fn subtract_from_totals(&mut self, member: &Member) {
        self.digest.toggle(member);
        self.live_count -= usize::from(member.is_live());
    }
}
