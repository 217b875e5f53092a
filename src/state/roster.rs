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

/// Buckets of a failure domain; upstreams keep their bucket whatever the members are.
pub const BUCKETS: u16 = 64;

/// A bucket of upstreams; whoever holds its lease is the steward of all of them.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Bucket(pub u16);

impl Bucket {
    /// Returns the bucket that an upstream is in.
    pub fn of(upstream: &str) -> Self {
        Bucket((hash::digest(upstream.as_bytes()) % u64::from(BUCKETS)) as u16)
    }

    /// Walks over all buckets.
    pub fn all() -> impl Iterator<Item = Bucket> {
        (0..BUCKETS).map(Bucket)
    }
}

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

/// One entry of a roster.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// Name of the entry; it stays when the entry passes to another member.
    pub key: String,
    /// How often the entry has passed to another member.
    pub turn: u32,
    /// The member.
    pub member: Member,
}

/// The members of one failure domain, as one object of the platform.
///
/// A change of the members is made in two steps, as in the joint consensus of Ongaro and Ousterhout,
/// "In search of an understandable consensus algorithm" (2014), section 6: at first the former
/// entries bind as well, and once enough of them are known to have taken the change in, they are
/// dropped. Between two versions an entry may pass from a member to the heir that it names itself;
/// the higher turn of an entry wins, so rosters of one version merge in any order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Roster {
    /// Version of the platform's object; zero before the first.
    pub version: u64,
    /// The entries.
    pub entries: Vec<Entry>,
    /// Entries before the last change, while they still bind.
    pub former: Vec<Entry>,
}

impl Roster {
    /// Returns a number that is the same only for rosters with the same entries.
    pub fn stamp(&self) -> u64 {
        let mut hash = Xxh3::new();
        hash.update(&self.version.to_le_bytes());
        for e in self.entries.iter().chain(&self.former) {
            hash.update(e.key.as_bytes());
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
        for e in self.entries.iter_mut().chain(&mut self.former) {
            let rank = (e.turn, &e.member.id);
            let newer = |o: &&Entry| o.key == e.key && (o.turn, &o.member.id) > rank;
            if let Some(o) = other.entries.iter().chain(&other.former).find(newer) {
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

    /// Returns the entries in their order for `item`.
    pub fn order(&self, item: &str) -> Vec<&Entry> {
        let mut weighed: Vec<_> =
            self.entries.iter().map(|e| (hash::weight(item, &e.key), e)).collect();
        weighed.sort_unstable_by_key(|(weight, _)| std::cmp::Reverse(*weight));
        weighed.into_iter().map(|(_, e)| e).collect()
    }

    /// Returns the entries in their order for a bucket: its owner, then those that stand in.
    pub fn owners(&self, bucket: Bucket) -> Vec<&Entry> {
        self.order(&bucket.0.to_string())
    }
}
