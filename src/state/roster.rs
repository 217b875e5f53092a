//! The roster of a failure domain: the instances among which its stewards are chosen.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::state::hash;

/// Identity of one run of one instance: its name and a random mark made at its start.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct InstanceId(pub String);

impl InstanceId {
    /// Builds an identity from the instance's name and the mark of this run.
    pub fn new(name: &str, boot: u32) -> Self {
        Self(format!("{name}#{boot:08x}"))
    }

    /// Returns the instance's name, without the mark.
    pub fn name(&self) -> &str {
        self.0.split('#').next().unwrap_or_default()
    }
}

/// A bucket of upstreams; whoever holds its lease is the steward of all of them.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Bucket(pub String);

/// A member: one run of one instance and where peers reach it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// Its identity.
    pub id: InstanceId,
    /// Its failure domain.
    pub domain: String,
    /// Its peer listener.
    pub addr: SocketAddr,
}

/// One entry of a roster: a bucket and the member that owns it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// The bucket; it stays when the entry passes to another member.
    pub bucket: Bucket,
    /// How often the entry has passed to another member.
    pub turn: u32,
    /// The member.
    pub member: Member,
}

/// The members of one failure domain, as one object of the platform.
///
/// Between two versions an entry may pass from a member to the heir that it names itself; the
/// higher turn of an entry wins, so rosters of one version merge in any order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Roster {
    /// Version of the platform's object; zero before the first.
    pub version: u64,
    /// The entries.
    pub entries: Vec<Entry>,
}

impl Roster {
    /// Returns a number that is the same only for rosters with the same entries.
    pub fn stamp(&self) -> u64 {
        let mut hash = Xxh3::new();
        hash.update(&self.version.to_le_bytes());
        for e in &self.entries {
            hash.update(e.bucket.0.as_bytes());
            hash.update(&e.turn.to_le_bytes());
            hash.update(e.member.id.0.as_bytes());
        }
        hash.digest()
    }

    /// Takes in another copy of the roster; says whether that changed anything.
    pub fn merge(&mut self, other: &Roster) -> bool {
        if other.version > self.version {
            let before = std::mem::replace(self, other.clone());
            self.keep_turns(&before);
            return true;
        }
        self.keep_turns(other)
    }

    fn keep_turns(&mut self, other: &Roster) -> bool {
        let mut changed = false;
        for e in &mut self.entries {
            let rank = (e.turn, &e.member.id);
            let newer = |o: &&Entry| o.bucket == e.bucket && (o.turn, &o.member.id) > rank;
            if let Some(o) = other.entries.iter().find(newer) {
                *e = o.clone();
                changed = true;
            }
        }
        changed
    }

    /// Says whether `id` is a member.
    pub fn has(&self, id: &InstanceId) -> bool {
        self.entry_of(id).is_some()
    }

    /// Returns the entry of a member.
    pub fn entry_of(&self, id: &InstanceId) -> Option<&Entry> {
        self.entries.iter().find(|e| e.member.id == *id)
    }

    /// Returns the entry of a bucket.
    pub fn entry(&self, bucket: &Bucket) -> Option<&Entry> {
        self.entries.iter().find(|e| e.bucket == *bucket)
    }

    /// Returns the entries in their order for `item`.
    pub fn order(&self, item: &str) -> Vec<&Entry> {
        let mut weighed: Vec<_> =
            self.entries.iter().map(|e| (hash::weight(item, &e.bucket.0), e)).collect();
        weighed.sort_unstable_by_key(|(weight, _)| std::cmp::Reverse(*weight));
        weighed.into_iter().map(|(_, e)| e).collect()
    }

    /// Returns the entries that stand in for the owner of `bucket`, in their order.
    pub fn deputies(&self, bucket: &Bucket) -> Vec<&Entry> {
        let mut order = self.order(&bucket.0);
        order.retain(|e| e.bucket != *bucket);
        order
    }

    /// Returns the bucket that an upstream is in.
    pub fn bucket_of(&self, upstream: &str) -> Option<&Bucket> {
        self.entries.iter().map(|e| &e.bucket).max_by_key(|b| hash::weight(upstream, &b.0))
    }
}
