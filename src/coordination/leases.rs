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
    /// When it was asked, on the asker's clock.
    pub at: Tick,
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
    // when the holder asked, on its own clock
    asked: Tick,
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
    stamp: u64,
    owners: IndexMap<Bucket, Vec<InstanceId>>,
    grants_from: Tick,
    leaving: bool,
    grants: IndexMap<Bucket, Grant>,
    held: IndexMap<Bucket, Holding>,
    // when this instance gave a bucket back; answers to what it asked before no longer count
    given_back: IndexMap<Bucket, Tick>,
    // since when each member has been seen with the roster in use
    adopted: IndexMap<InstanceId, Tick>,
    // when each member last asked for a lease; one that is leaving does not ask
    asking: IndexMap<InstanceId, Tick>,
}

impl Leases {
    /// Builds the leases of an instance that has just started.
    pub fn new(me: InstanceId, opts: LeaseOptions, now: Tick) -> Self {
        Self {
            me,
            opts,
            roster: Roster::default(),
            stamp: 0,
            owners: IndexMap::new(),
            grants_from: now + opts.hold + opts.margin,
            leaving: false,
            grants: IndexMap::new(),
            held: IndexMap::new(),
            given_back: IndexMap::new(),
            adopted: IndexMap::new(),
            asking: IndexMap::new(),
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

    /// Takes a roster in use.
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
        self.roster = roster;
        self.stamp = self.roster.stamp();
        self.asking.retain(|id, _| self.roster.has(id));
        self.adopted = [(self.me.clone(), now)].into();
        let ids = |b| self.roster.owners(b).into_iter().map(|e| e.member.id.clone()).collect();
        self.owners = Bucket::all().map(|b| (b, ids(b))).collect();
    }

    /// Says whether the entry of another instance, which may just have granted, passes to this one.
    fn inherits(&self, roster: &Roster) -> bool {
        let Some(mine) = roster.entry_of(&self.me) else { return false };
        let before = self.roster.entries.iter().find(|e| e.key == mine.key).map(|e| &e.member.id);
        before.is_some_and(|id| id.name() != self.me.name())
    }

    /// Notes that a member was heard, with the stamp of the roster that it has in use.
    pub fn heard(&mut self, from: &InstanceId, stamp: u64, now: Tick) {
        if stamp == self.stamp {
            self.adopted.entry(from.clone()).or_insert(now);
        }
    }

    /// Returns the members that have had the roster in use for so long that no grant they gave
    /// under another one still counts.
    pub fn adopted(&self, now: Tick) -> Vec<InstanceId> {
        let long = |at: &Tick| now.since(*at) > self.opts.hold + self.opts.margin;
        self.adopted.iter().filter(|(_, at)| long(at)).map(|(id, _)| id.clone()).collect()
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
        if ask.stamp != self.stamp {
            return Verdict::OtherRoster;
        }
        self.asking.insert(ask.holder.clone(), now);
        self.note_owner(ask);
        match self.grants.get(&ask.bucket) {
            Some(g) if g.until > now && g.holder != ask.holder => Verdict::HeldBy(g.holder.clone()),
            _ => {
                let until = now + self.opts.hold + self.opts.margin;
                let asked = self
                    .grants
                    .get(&ask.bucket)
                    .filter(|g| g.holder == ask.holder)
                    .map(|g| g.asked);
                let asked = asked.map_or(ask.at, |at| at.max(ask.at));
                self.grants.insert(ask.bucket, Grant { holder: ask.holder.clone(), until, asked });
                Verdict::Granted
            }
        }
    }

    /// Another holder that hears the owner ask gives way.
    fn note_owner(&mut self, ask: &Ask) {
        if ask.holder != self.me
            && self.owner(ask.bucket) == Some(&ask.holder)
            && let Some(held) = self.held.get_mut(&ask.bucket)
        {
            held.yielding = true;
        }
    }

    fn owner(&self, bucket: Bucket) -> Option<&InstanceId> {
        self.owners.get(&bucket)?.first()
    }

    /// Returns what this instance should ask of every member now, itself included.
    pub fn asks(&mut self, now: Tick) -> Vec<Ask> {
        if self.leaving || !self.roster.has(&self.me) {
            return Vec::new();
        }
        let ask = |bucket| Ask { bucket, holder: self.me.clone(), stamp: self.stamp, at: now };
        Bucket::all().filter(|b| self.wants(*b, now)).map(ask).collect()
    }

    fn wants(&self, bucket: Bucket, now: Tick) -> bool {
        if self.owner(bucket) == Some(&self.me) {
            return true;
        }
        match self.grants.get(&bucket) {
            Some(g) if g.until > now => g.holder == self.me && !self.yields(bucket),
            _ => self.first_deputy(bucket, now),
        }
    }

    /// Says whether the owner and all who stand in for it before this instance have gone silent.
    fn first_deputy(&self, bucket: Bucket, now: Tick) -> bool {
        if now < self.grants_from + self.opts.hold {
            return false; // the owner has had no time to ask
        }
        let silence = self.opts.hold + self.opts.margin;
        let alive = |id: &&InstanceId| {
            **id == self.me || self.asking.get(*id).is_some_and(|at| now.since(*at) < silence)
        };
        self.owners.get(&bucket).and_then(|ids| ids.iter().find(alive)) == Some(&self.me)
    }

    fn yields(&self, bucket: Bucket) -> bool {
        self.held.get(&bucket).is_some_and(|h| h.yielding)
    }

    /// Takes in a granter's answer to a request.
    pub fn answered(&mut self, from: &InstanceId, ask: &Ask, verdict: &Verdict, now: Tick) {
        let late = self.given_back.get(&ask.bucket).is_some_and(|at| ask.at <= *at);
        if *verdict == Verdict::Granted && ask.stamp == self.stamp && !late {
            let gap = self.lease(ask.bucket, now).share == Share::None;
            let holding = self.held.entry(ask.bucket).or_default();
            if gap {
                holding.since = now;
            }
            let ack = holding.acks.entry(from.clone()).or_default();
            *ack = ask.at.max(*ack);
        }
    }

    /// Returns what this instance may do for the upstreams of `bucket`.
    pub fn lease(&self, bucket: Bucket, now: Tick) -> Lease {
        let Some(holding) = self.held.get(&bucket) else { return Lease::default() };
        if holding.yielding || self.leaving || !self.roster.has(&self.me) {
            return Lease::default();
        }
        let lease = self.under(&self.roster.entries, holding, now);
        if self.roster.former.is_empty() {
            return lease;
        }
        let former = self.under(&self.roster.former, holding, now);
        Lease {
            share: lease.share.min(former.share),
            until: lease.until.min(former.until),
            ..lease
        }
    }

    fn under(&self, entries: &[Entry], holding: &Holding, now: Tick) -> Lease {
        let ack = |e: &Entry| holding.acks.get(&e.member.id).map(|at| *at + self.opts.hold);
        let mut ends: Vec<Tick> = entries.iter().filter_map(ack).filter(|t| *t > now).collect();
        ends.sort_unstable_by_key(|end| std::cmp::Reverse(*end));
        let n = entries.len();
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
        self.held.iter().filter(|(_, h)| gives(h)).map(|(b, _)| *b).collect()
    }

    /// Gives a bucket back; the caller tells the other members, with the time.
    pub fn release(&mut self, bucket: Bucket, now: Tick) {
        self.held.shift_remove(&bucket);
        self.given_back.insert(bucket, now);
        self.released(bucket, &self.me.clone(), now);
    }

    /// Takes in that `holder` gave a bucket back at `at` on its clock: it may be granted at once,
    /// unless the holder has asked again since.
    pub fn released(&mut self, bucket: Bucket, holder: &InstanceId, at: Tick) {
        if self.grants.get(&bucket).is_some_and(|g| g.holder == *holder && g.asked <= at) {
            self.grants.shift_remove(&bucket);
        }
        self.asking.swap_remove(holder);
    }

    /// Returns the holder that this instance has granted `bucket` to.
    pub fn granted_to(&self, bucket: Bucket, now: Tick) -> Option<&InstanceId> {
        self.grants.get(&bucket).filter(|g| g.until > now).map(|g| &g.holder)
    }

    /// Returns the buckets held now, with their leases.
    pub fn holdings(&self, now: Tick) -> Vec<(Bucket, Lease)> {
        self.held.keys().map(|b| (*b, self.lease(*b, now))).collect()
    }
}
