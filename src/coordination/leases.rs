//! Leases on the buckets of a failure domain: who is steward, for how long, and for how many slots.
//!
//! Each member of the roster grants the lease of each bucket to at most one holder at a time, from
//! memory alone. A holder counts a grant from before it asked, the granter from after it answered
//! and with a margin, each on its own monotonic clock. Grants of more than half of the members give
//! all slots of the bucket's upstreams, those of exactly half give half of the slots, fewer give none; so
//! two holders together never have more than all. The grants are leases in the sense of Gray and
//! Cheriton, "Leases: an efficient fault-tolerant mechanism for distributed file cache consistency" (1989).

use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::state::roster::{Bucket, Entry, InstanceId, Roster};
use crate::state::time::Tick;

/// Times of leases.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseOptions {
    /// How long a grant counts at its holder.
    pub hold: Duration,
    /// How much longer it counts at its granter, for clocks that run at different rates.
    pub margin: Duration,
}

impl Default for LeaseOptions {
    fn default() -> Self {
        Self { hold: Duration::from_millis(2_000), margin: Duration::from_millis(300) }
    }
}

/// How many of an upstream's slots a holder may use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Share {
    /// None of them.
    #[default]
    None,
    /// Half of them, rounded down.
    Half,
    /// All of them.
    All,
}

impl Share {
    /// Returns the part of `n` that the share allows.
    pub fn of(self, n: u32) -> u32 {
        match self {
            Share::None => 0,
            Share::Half => n / 2,
            Share::All => n,
        }
    }
}

/// A request for the lease of a bucket, or for its renewal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ask {
    /// The bucket.
    pub bucket: Bucket,
    /// Who asks.
    pub holder: InstanceId,
    /// Stamp of the roster that the asker has.
    pub stamp: u64,
}

/// A granter's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// Granted from now on for the hold time.
    Granted,
    /// Another instance holds it.
    HeldBy(InstanceId),
    /// The two do not have the same roster.
    OtherRoster,
    /// The granter is no member or is too young to grant.
    NotGranting,
}

struct Grant {
    holder: InstanceId,
    until: Tick,
}

#[derive(Default)]
struct Holding {
    acks: IndexMap<InstanceId, Tick>,
    since: Tick,
    // the owner is back: nothing new is sent, and the lease is released once the rest has ended
    yielding: bool,
}

/// What the holder of a lease may do now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Lease {
    /// How many of the slots.
    pub share: Share,
    /// Until when, unless renewed.
    pub until: Tick,
    /// Since when without a gap.
    pub since: Tick,
}

/// The leases of one failure domain as one instance sees them: those it granted, those it holds.
pub struct Leases {
    me: InstanceId,
    opts: LeaseOptions,
    roster: Roster,
    former: Option<(Roster, Tick)>,
    grants_from: Tick,
    leaving: bool,
    grants: IndexMap<Bucket, Grant>,
    held: IndexMap<Bucket, Holding>,
}

impl Leases {
    /// Builds the leases of an instance that has just started.
    pub fn new(me: InstanceId, opts: LeaseOptions, now: Tick) -> Self {
        Self {
            me,
            opts,
            roster: Roster::default(),
            former: None,
            grants_from: now + opts.hold + opts.margin,
            leaving: false,
            grants: IndexMap::new(),
            held: IndexMap::new(),
        }
    }

    /// Returns when this instance may join a roster: grants of a former run have run out by then.
    pub fn joins_from(&self) -> Tick {
        self.grants_from
    }

    /// Returns the roster in use.
    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// Takes a roster in use; until grants given under the former one have run out, both bind.
    pub fn set_roster(&mut self, roster: Roster, now: Tick) {
        if roster == self.roster {
            return;
        }
        if self.inherits(&roster) {
            self.grants_from = self.grants_from.max(now + self.opts.hold + self.opts.margin);
        }
        if roster.entries.len() == 1 && self.roster.entries.is_empty() {
            self.grants_from = now;
        }
        let former = std::mem::replace(&mut self.roster, roster);
        let alone = self.roster.entries.len() <= 1 || former.entries.is_empty();
        self.former = (!alone).then_some((former, now + self.opts.hold + self.opts.margin));
        self.held.retain(|b, _| self.roster.entry(b).is_some());
    }

    /// Says whether the entry of another instance, which may just have granted, passes to this one.
    fn inherits(&self, roster: &Roster) -> bool {
        let Some(mine) = roster.entry_of(&self.me) else { return false };
        let before = self.roster.entry(&mine.bucket).map(|e| &e.member.id);
        before.is_some_and(|id| id.name() != self.me.name())
    }

    /// Stops asking and holding: this instance is leaving; it grants to others while it is a member.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Decides on another's request, or on this instance's own.
    pub fn grant(&mut self, ask: &Ask, now: Tick) -> Verdict {
        let member = self.roster.has(&self.me);
        if !member || now < self.grants_from {
            return Verdict::NotGranting;
        }
        if ask.stamp != self.roster.stamp() {
            return Verdict::OtherRoster;
        }
        self.note_owner(ask);
        match self.grants.get(&ask.bucket) {
            Some(g) if g.until > now && g.holder != ask.holder => Verdict::HeldBy(g.holder.clone()),
            _ => {
                let until = now + self.opts.hold + self.opts.margin;
                let grant = Grant { holder: ask.holder.clone(), until };
                self.grants.insert(ask.bucket.clone(), grant);
                Verdict::Granted
            }
        }
    }

    /// A deputy that hears the owner ask gives way.
    fn note_owner(&mut self, ask: &Ask) {
        let owner = self.roster.entry(&ask.bucket).is_some_and(|e| e.member.id == ask.holder);
        if owner
            && ask.holder != self.me
            && let Some(held) = self.held.get_mut(&ask.bucket)
        {
            held.yielding = true;
        }
    }

    /// Returns what this instance should ask of every member now, itself included.
    pub fn asks(&mut self, now: Tick) -> Vec<Ask> {
        if self.leaving || !self.roster.has(&self.me) {
            return Vec::new();
        }
        let stamp = self.roster.stamp();
        let wanted: Vec<Bucket> = self
            .roster
            .entries
            .iter()
            .filter(|e| self.wants(e, now))
            .map(|e| e.bucket.clone())
            .collect();
        let ask = |bucket| Ask { bucket, holder: self.me.clone(), stamp };
        wanted.into_iter().map(ask).collect()
    }

    fn wants(&self, e: &Entry, now: Tick) -> bool {
        if e.member.id == self.me {
            return true;
        }
        match self.grants.get(&e.bucket) {
            Some(g) if g.until > now => g.holder == self.me && !self.yields(&e.bucket),
            _ => self.first_deputy(e, now),
        }
    }

    /// Says whether all who stand in for `e` before this instance have gone silent too.
    fn first_deputy(&self, e: &Entry, now: Tick) -> bool {
        if now < self.grants_from + self.opts.hold {
            return false; // the owner has had no time to ask
        }
        let alive = |d: &&Entry| {
            d.member.id == self.me || self.grants.get(&d.bucket).is_some_and(|g| g.until > now)
        };
        self.roster
            .deputies(&e.bucket)
            .into_iter()
            .find(alive)
            .is_some_and(|d| d.member.id == self.me)
    }

    fn yields(&self, bucket: &Bucket) -> bool {
        self.held.get(bucket).is_some_and(|h| h.yielding)
    }

    /// Takes in a granter's answer to what was asked at `asked`.
    ///
    /// `now` is when the answer came.
    pub fn answered(
        &mut self,
        from: &InstanceId,
        ask: &Ask,
        asked: Tick,
        verdict: &Verdict,
        now: Tick,
    ) {
        if *verdict == Verdict::Granted && ask.stamp == self.roster.stamp() {
            let gap = self.lease(&ask.bucket, now).share == Share::None;
            let holding = self.held.entry(ask.bucket.clone()).or_default();
            if gap {
                holding.since = now;
            }
            let ack = holding.acks.entry(from.clone()).or_default();
            *ack = asked.max(*ack);
        }
    }

    /// Returns what this instance may do for the upstreams of `bucket`.
    pub fn lease(&self, bucket: &Bucket, now: Tick) -> Lease {
        let Some(holding) = self.held.get(bucket) else { return Lease::default() };
        if holding.yielding || self.leaving {
            return Lease::default();
        }
        let lease = self.under(&self.roster, holding, now);
        match &self.former {
            Some((former, until)) if *until > now => {
                let old = self.under(former, holding, now);
                if old.share <= lease.share { old } else { lease }
            }
            _ => lease,
        }
    }

    fn under(&self, roster: &Roster, holding: &Holding, now: Tick) -> Lease {
        let ack = |e: &Entry| holding.acks.get(&e.member.id).map(|at| *at + self.opts.hold);
        let mut ends: Vec<Tick> =
            roster.entries.iter().filter_map(ack).filter(|t| *t > now).collect();
        ends.sort_unstable_by(|a, b| b.cmp(a));
        let n = roster.entries.len();
        if ends.len() * 2 > n {
            Lease { share: Share::All, until: ends[n / 2], since: holding.since }
        } else if n > 0 && ends.len() * 2 == n {
            Lease { share: Share::Half, until: ends[n / 2 - 1], since: holding.since }
        } else {
            Lease::default()
        }
    }

    /// Returns the buckets that this instance holds but should give back, once nothing runs there.
    pub fn to_release(&self) -> Vec<Bucket> {
        let gives = |h: &Holding| h.yielding || self.leaving;
        self.held.iter().filter(|(_, h)| gives(h)).map(|(b, _)| b.clone()).collect()
    }

    /// Gives a bucket back; the caller tells the other members.
    pub fn release(&mut self, bucket: &Bucket) {
        self.held.shift_remove(bucket);
        self.released(bucket, &self.me.clone());
    }

    /// Takes in that `holder` has given a bucket back: it may be granted at once.
    pub fn released(&mut self, bucket: &Bucket, holder: &InstanceId) {
        if self.grants.get(bucket).is_some_and(|g| g.holder == *holder) {
            self.grants.shift_remove(bucket);
        }
    }

    /// Returns the holder that this instance has granted `bucket` to.
    pub fn granted_to(&self, bucket: &Bucket, now: Tick) -> Option<&InstanceId> {
        self.grants.get(bucket).filter(|g| g.until > now).map(|g| &g.holder)
    }

    /// Returns the buckets held now, with their leases.
    pub fn holdings(&self, now: Tick) -> Vec<(Bucket, Lease)> {
        self.held.keys().map(|b| (b.clone(), self.lease(b, now))).collect()
    }
}
