//! Changes of a roster; each is put in force by a conditional update of the platform's object.

use std::time::Duration;

use indexmap::IndexMap;

use crate::state::roster::{Entry, InstanceId, Member, Roster};
use crate::state::time::Tick;

/// Time for which a member must be silent and missing from the instance list before it counts as
/// dead; longer than any grant that it may have given.
pub const SILENT: Duration = Duration::from_secs(5);

/// Returns the roster with `me` in it, or nothing if it must wait for an earlier change.
///
/// The first member founds the roster. A new run of an instance takes the entry of the former run,
/// which has ended. Any other joins while the entries without it still bind.
pub fn join(roster: &Roster, me: &Member) -> Option<Roster> {
    if roster.has(&me.id) {
        return None;
    }
    if let Some(next) = succeed(roster, me) {
        return Some(next);
    }
    if !roster.former.is_empty() {
        return None;
    }
    let mut next = roster.clone();
    next.former = std::mem::take(&mut next.entries);
    next.entries.clone_from(&next.former);
    next.entries.push(Entry { key: me.id.0.clone(), turn: 0, member: me.clone() });
    Some(next)
}

/// Returns the roster without `me`, which is leaving.
pub fn leave(roster: &Roster, me: &InstanceId) -> Option<Roster> {
    if !roster.has(me) || !roster.former.is_empty() {
        return None;
    }
    let mut next = roster.clone();
    next.entries.retain(|e| e.member.id != *me);
    if next.entries.len() > 1 {
        next.former.clone_from(&roster.entries); // a single member has nobody to meet
    }
    Some(next)
}

/// Returns the roster without the former entries, once more than half of those have taken the change in.
pub fn settle_roster(roster: &Roster, adopted: &[InstanceId]) -> Option<Roster> {
    let gone = |e: &Entry| !roster.has(&e.member.id);
    let done = roster.former.iter().filter(|e| gone(e) || adopted.contains(&e.member.id)).count();
    if roster.former.is_empty() || done * 2 <= roster.former.len() {
        return None;
    }
    Some(Roster { former: Vec::new(), ..roster.clone() })
}

/// What one instance has seen of the others, to tell who has died.
#[derive(Clone, Debug, Default)]
pub struct Sightings {
    heard: IndexMap<InstanceId, Tick>,
    missing: IndexMap<String, Tick>,
}

impl Sightings {
    /// Notes that an instance was heard.
    pub fn heard(&mut self, id: &InstanceId, now: Tick) {
        self.heard.insert(id.clone(), now);
    }

    /// Notes which of the roster's members the instance list shows.
    pub fn listed(&mut self, roster: &Roster, listed: &[String], now: Tick) {
        self.heard.retain(|id, _| roster.has(id));
        let names = roster.entries.iter().map(|e| e.member.id.name().to_owned());
        let gone = names.filter(|n| !listed.contains(n));
        self.missing =
            gone.map(|n| (n.clone(), self.missing.get(&n).copied().unwrap_or(now))).collect();
    }

    /// Says whether an instance was heard within `span`.
    pub fn heard_within(&self, id: &InstanceId, span: Duration, now: Tick) -> bool {
        self.heard.get(id).is_some_and(|at| now.since(*at) < span)
    }

    /// Says whether a member is dead: long missing from the instance list, and long silent.
    ///
    /// Silence alone proves nothing, for it may be cut off; and just after it went missing, leases
    /// that it granted to others may still count.
    fn dead(&self, id: &InstanceId, now: Tick) -> bool {
        let missing = self.missing.get(id.name()).is_some_and(|at| now.since(*at) > SILENT);
        missing && !self.heard_within(id, SILENT, now)
    }
}

/// Returns the roster without the members that are dead; any instance of the domain may do so.
pub fn bury(roster: &Roster, seen: &Sightings, now: Tick) -> Option<Roster> {
    let mut next = roster.clone();
    next.entries.retain(|e| !seen.dead(&e.member.id, now));
    next.former.retain(|e| !seen.dead(&e.member.id, now));
    (next != *roster).then_some(next)
}

/// Passes the entry of `from` to `heir`; only `from` itself may do so, when it leaves.
pub fn bequeath(roster: &Roster, from: &InstanceId, heir: &Member) -> Option<Roster> {
    if roster.has(&heir.id) || !roster.has(from) {
        return None;
    }
    let mut next = roster.clone();
    for e in next.entries.iter_mut().chain(&mut next.former).filter(|e| e.member.id == *from) {
        e.member = heir.clone();
        e.turn += 1;
    }
    Some(next)
}

/// Takes over the entry of a former run of the same instance, which has ended.
pub fn succeed(roster: &Roster, me: &Member) -> Option<Roster> {
    let former = roster.entries.iter().find(|e| e.member.id.name() == me.id.name())?;
    bequeath(roster, &former.member.id.clone(), me)
}
