//! The instances of a deployment, as the platform lists them and as they are heard of.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::state::hash;
use crate::state::time::Tick;

/// Members of a failure domain that go on trying when none of it can follow the platform.
const MAX_FALLBACK_WATCHERS: usize = 2;

/// Identity of one run of one instance: its name and a random mark made at its start.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct InstanceId(pub String);

impl InstanceId {
    /// Builds an identity from the instance's name and the mark of this run.
    pub fn new(name: &str, mark: u32) -> Self {
        Self(format!("{name}#{mark:08x}"))
    }

    /// Returns the instance's name, without the mark.
    pub fn name(&self) -> &str {
        self.0.split('#').next().unwrap_or_default()
    }
}

/// One run of one instance and where peers reach it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// Its identity; from a list that knows no runs, its name alone.
    pub id: InstanceId,
    /// Its failure domain.
    pub domain: String,
    /// Its peer listener.
    pub addr: SocketAddr,
    /// Processor that it may use, in thousandths of a core; zero where that is not known.
    #[serde(default)]
    pub power: u32,
}

impl Member {
    /// Returns its place among those that may follow the platform; the highest does.
    pub fn watch_rank(&self) -> (u32, u64) {
        (self.power, hash::rendezvous_weight("watch", self.id.name()))
    }
}

#[derive(Clone, Debug)]
struct MemberRecord {
    member: Member,
    listed: bool,
    first_seen: Tick,
    last_contact: Option<Tick>,
    /// It follows the platform as far as it knows; `false` when it said that it can not.
    can_watch: bool,
}

/// Instances by name.
#[derive(Clone, Debug, Default)]
pub struct Members(IndexMap<String, MemberRecord>);

impl Members {
    fn record_mut(&mut self, member: &Member, now: Tick) -> &mut MemberRecord {
        let member = member.clone();
        let name = member.id.name().to_owned();
        let new = || MemberRecord {
            member,
            listed: false,
            first_seen: now,
            last_contact: None,
            can_watch: true,
        };
        self.0.entry(name).or_insert_with(new)
    }

    /// Takes in the platform's list; instances that are neither listed nor heard of are forgotten.
    pub fn apply_list(&mut self, list: &[Member], now: Tick, timeout: Duration) {
        self.0.values_mut().for_each(|s| s.listed = false);
        for member in list {
            let record = self.record_mut(member, now);
            record.listed = true;
            if record.last_contact.is_none() {
                record.member = member.clone();
            }
        }
        self.0.retain(|_, s| s.listed || s.last_contact.is_some_and(|at| now.since(at) < timeout));
    }

    /// Notes that a member was heard, and whether it follows the platform.
    pub fn record_contact(&mut self, member: &Member, can_watch: bool, now: Tick) {
        let record = self.record_mut(member, now);
        record.member = member.clone();
        record.last_contact = Some(now);
        record.can_watch = can_watch;
    }

    /// Takes in members that a peer knows; they count as listed until a list says otherwise.
    pub fn add_known(&mut self, members: &[Member], now: Tick) {
        for member in members {
            self.record_mut(member, now).listed = true;
        }
    }

    /// Notes that a member said that it leaves.
    pub fn remove(&mut self, name: &str) {
        self.0.shift_remove(name);
    }

    /// Returns the names of listed members of a failure domain that were not heard of for `patience`.
    pub fn silent_in(&self, domain: &str, timeout: Duration, now: Tick) -> Vec<String> {
        let silent = |s: &&MemberRecord| {
            let last = s.last_contact.unwrap_or(s.first_seen);
            s.listed && s.member.domain == domain && now.since(last) > timeout
        };
        self.0.values().filter(silent).map(|s| s.member.id.name().to_owned()).collect()
    }

    /// Walks over all members.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.0.values().map(|s| &s.member)
    }

    /// Returns the number of members, which errs high: one that is not heard of counts while listed.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Says whether no member is known.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Says whether `me` is the member of its failure domain that follows the platform.
    ///
    /// That is the first of the largest, in the order of rendezvous hashing, among those heard within
    /// `patience` that can follow; `follows` says whether `me` can. If none can, the first few try.
    pub fn is_watcher(&self, me: &Member, can_watch: bool, timeout: Duration, now: Tick) -> bool {
        let own = me.watch_rank();
        let in_contact = |s: &&MemberRecord| {
            s.member.domain == me.domain
                && s.member.id.name() != me.id.name()
                && s.last_contact.is_some_and(|at| now.since(at) < timeout)
        };
        let others = || self.0.values().filter(in_contact);
        let higher_ranked = || others().filter(|s| s.member.watch_rank() > own);
        if can_watch {
            return !higher_ranked().any(|s| s.can_watch);
        }
        !others().any(|s| s.can_watch) && higher_ranked().count() < MAX_FALLBACK_WATCHERS
    }

    /// Returns the number of members of a failure domain.
    pub fn count_in(&self, domain: &str) -> usize {
        self.0.values().filter(|s| s.member.domain == domain).count()
    }
}
