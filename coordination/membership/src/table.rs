//! The table of members, with a digest that is updated with each change.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use crate::digest::{bucket_of, ListDigest};
use crate::identity::MemberName;
use crate::member::Member;
use crate::round_trip::RoundTrip;

/// A member with what this process has measured of it.
#[derive(Clone, Debug)]
struct Entry {
    member: Member,
    bucket: usize,
    round_trip: RoundTrip,
}

/// All members that are known, this process included.
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

    /// Adds a member or replaces what was known of it.
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

    /// Members of some buckets of the digest.
    pub fn in_buckets<'a>(&'a self, buckets: &'a BTreeSet<usize>) -> impl Iterator<Item = &'a Member> {
        let entries = self.entries.values().filter(|entry| buckets.contains(&entry.bucket));
        entries.map(|entry| &entry.member)
    }

    /// Live members that are said to be at an address.
    pub fn live_at(&self, address: SocketAddr) -> impl Iterator<Item = &Member> {
        self.iter().filter(move |member| member.is_live() && member.address == address)
    }

    /// Number of members, dead ones included.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Number of live members, this process included.
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
