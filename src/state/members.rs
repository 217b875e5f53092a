//! Membership of a deployment: instances listed by the platform or in contact as peers.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::state::hash;
use crate::state::time::Tick;

/// Time since the start of the process in which members that are listed, but had no time to be in contact, count as
/// in contact.
pub(crate) const NEWCOMER_TIME: Duration = Duration::from_secs(3);
/// Members of a failure domain that keep trying to watch the platform when none of them can.
const MAX_FALLBACK_WATCHERS: usize = 2;

/// Identity of one run of one instance: its name and a random mark generated at startup.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct InstanceId(pub String);

impl InstanceId {
    /// Builds an identity from the name of an instance and the mark of its run.
    pub fn new(name: &str, mark: u32) -> Self {
        Self(format!("{name}#{mark:08x}"))
    }

    /// Returns the name of the instance, without the mark.
    pub fn name(&self) -> &str {
        self.0.split('#').next().unwrap_or_default()
    }
}

/// One run of one instance, with its peer address.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// Identity; only the name if the source of the entry does not distinguish runs.
    pub id: InstanceId,
    /// Failure domain of the instance.
    pub domain: String,
    /// Address of the peer listener.
    pub addr: SocketAddr,
    /// CPU available to the instance, in thousandths of a core; zero if unknown.
    #[serde(default)]
    pub power: u32,
}

impl Member {
    /// Returns the rank in the election of the platform watcher; the highest rank wins.
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
    /// Whether the member can watch the platform; `true` until it reports that it cannot.
    can_watch: bool,
}

/// Known instances by name.
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

    /// Applies the platform's list; drops members that are not listed and had no contact within `timeout`.
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

    /// Records contact with a member, and whether it can watch the platform.
    pub fn record_contact(&mut self, member: &Member, can_watch: bool, now: Tick) {
        let record = self.record_mut(member, now);
        record.member = member.clone();
        record.last_contact = Some(now);
        record.can_watch = can_watch;
    }

    /// Adds members known to a peer; they count as listed until the next list.
    pub fn add_known(&mut self, members: &[Member], now: Tick) {
        for member in members {
            self.record_mut(member, now).listed = true;
        }
    }

    /// Removes a member that announced its departure, and returns its address.
    pub fn remove(&mut self, name: &str) -> Option<SocketAddr> {
        self.0.shift_remove(name).map(|record| record.member.addr)
    }

    /// Returns the names of listed members of a failure domain without contact for longer than `timeout`.
    pub fn silent_in(&self, domain: &str, timeout: Duration, now: Tick) -> Vec<String> {
        let silent = |s: &&MemberRecord| {
            let last = s.last_contact.unwrap_or(s.first_seen);
            s.listed && s.member.domain == domain && now.since(last) > timeout
        };
        self.0.values().filter(silent).map(|s| s.member.id.name().to_owned()).collect()
    }

    /// Iterates over all members.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.0.values().map(|s| &s.member)
    }

    /// Returns the number of members, an upper estimate: a silent member counts while it is listed.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether there was contact with any member.
    pub fn has_contact(&self) -> bool {
        self.0.values().any(|s| s.last_contact.is_some())
    }

    /// Returns whether no member is known.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns whether `me` watches the platform for its failure domain.
    ///
    /// The watcher is the member with the most CPU, ties broken by rendezvous hashing, among those that
    /// had contact within `timeout` and can watch; `can_watch` says whether `me` can. If no member can,
    /// the `MAX_FALLBACK_WATCHERS` highest-ranked ones keep trying. To a process that has just started a listed member
    /// counts as in contact until `timeout` after it was first seen, so that not all that start together watch.
    pub fn is_watcher(&self, me: &Member, can_watch: bool, timeout: Duration, now: Tick) -> bool {
        let own = me.watch_rank();
        let is_newcomer = now < Tick::default() + NEWCOMER_TIME;
        let in_contact = |s: &&MemberRecord| {
            let last = s.last_contact.or((is_newcomer && s.listed).then_some(s.first_seen));
            s.member.domain == me.domain
                && s.member.id.name() != me.id.name()
                && last.is_some_and(|at| now.since(at) < timeout)
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
