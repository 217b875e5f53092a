//! Changes of a roster; each is put in force by a conditional update of the platform's object.

use std::time::Duration;

use crate::state::roster::{Bucket, Entry, InstanceId, Member, Roster};
use crate::state::time::Tick;

/// Time without a word after which a member that the instance list does not show counts as dead;
/// longer than any lease.
pub const SILENT: Duration = Duration::from_secs(5);

/// Returns the roster with `me` in it, or nothing if it must wait.
///
/// The first member founds the roster. Later ones need an answer from more than half of the members,
/// so that no holder can go on with half of the slots without knowing of the new member. A new run of
/// an instance takes the entry of the former run, which has ended.
pub fn join(roster: &Roster, me: &Member, answered: &[InstanceId]) -> Option<Roster> {
    if roster.has(&me.id) {
        return None;
    }
    let mut next = roster.clone();
    if let Some(e) = next.entries.iter_mut().find(|e| e.member.id.name() == me.id.name()) {
        e.member = me.clone();
        e.turn += 1;
        return Some(next);
    }
    let reached = roster.entries.iter().filter(|e| answered.contains(&e.member.id)).count();
    if reached * 2 <= roster.entries.len() && !roster.entries.is_empty() {
        return None;
    }
    next.entries.push(Entry { bucket: Bucket(me.id.0.clone()), turn: 0, member: me.clone() });
    Some(next)
}

/// Returns the roster without `me`, which is leaving.
pub fn leave(roster: &Roster, me: &InstanceId) -> Option<Roster> {
    if !roster.has(me) {
        return None;
    }
    let mut next = roster.clone();
    next.entries.retain(|e| e.member.id != *me);
    Some(next)
}

/// Returns the roster without the members that are dead: not in the instance list and long silent.
pub fn bury(
    roster: &Roster,
    listed: &[String],
    silent_since: impl Fn(&InstanceId) -> Tick,
    now: Tick,
) -> Option<Roster> {
    let dead = |m: &Member| {
        !listed.iter().any(|n| n == m.id.name()) && now.since(silent_since(&m.id)) > SILENT
    };
    let mut next = roster.clone();
    next.entries.retain(|e| !dead(&e.member));
    (next.entries.len() < roster.entries.len() && !next.entries.is_empty()).then_some(next)
}

/// Passes the entry of `from` to `heir`; only `from` itself may do so, when it leaves.
pub fn bequeath(roster: &Roster, from: &InstanceId, heir: &Member) -> Option<Roster> {
    if roster.has(&heir.id) {
        return None;
    }
    let mut next = roster.clone();
    let e = next.entries.iter_mut().find(|e| e.member.id == *from)?;
    e.member = heir.clone();
    e.turn += 1;
    Some(next)
}

/// Takes over the entry of a former run of the same instance while the platform is away.
pub fn succeed(roster: &Roster, me: &Member) -> Option<Roster> {
    let former = roster.entries.iter().find(|e| e.member.id.name() == me.id.name())?;
    bequeath(roster, &former.member.id.clone(), me)
}
