//! Joining and leaving the roster, and taking dead members out of it.

use std::sync::Arc;
use std::time::Duration;

use crate::coordination::once::Written;
use crate::coordination::roster_change::{bequeath, bury, join, leave, settle_roster, succeed};
use crate::protocol::platform::roster_key;
use crate::state::members::Rosters;
use crate::state::roster::Roster;
use crate::transport::beats;
use crate::transport::node::{Node, Phase};
use crate::transport::watches::{parse_roster, watches};

/// Time between tries to join.
const TRY: Duration = Duration::from_millis(300);
/// Tries to leave while an earlier change of the roster is not settled.
const LEAVE_TRIES: usize = 12;
/// A peer counts as answering if it was heard within this time.
const HEARD: Duration = Duration::from_millis(1_500);

/// Joins the roster, and joins it again should this instance ever be taken out of it.
pub(crate) async fn keep_joined(node: Arc<Node>) {
    loop {
        let member = node.leases.lock().roster().has(&node.me.id);
        if !member && *node.phase.read() != Phase::Leaving {
            try_join(&node).await;
        } else {
            try_settle(&node).await;
        }
        tokio::time::sleep(TRY).await;
    }
}

async fn try_join(node: &Arc<Node>) {
    let read = read_roster(node).await;
    if let Ok(roster) = &read {
        node.take_rosters(&Rosters([(node.cfg.domain.clone(), roster.clone())].into()));
    }
    let known = node.rosters().get(&node.cfg.domain).cloned().unwrap_or_default();
    let young = node.now() < node.leases.lock().joins_from();
    if young && !known.entries.is_empty() {
        return;
    }
    match read {
        Ok(_) => {
            if let Some(next) = join(&known, &node.me) {
                write_roster(node, next).await;
            }
        }
        Err(()) => {
            // the platform is away: only the entry of a former run of this instance is free
            if let Some(next) = succeed(&known, &node.me) {
                pass_on(node, next).await;
            }
        }
    }
}

/// Ends a change of the roster, once enough members have taken it in.
async fn try_settle(node: &Arc<Node>) {
    let next = {
        let leases = node.leases.lock();
        settle_roster(leases.roster(), &leases.adopted(node.now()))
    };
    if let Some(next) = next
        && watches(node)
    {
        write_roster(node, next).await;
    }
}

async fn read_roster(node: &Node) -> Result<Roster, ()> {
    if node.faults.cuts_platform() {
        return Err(());
    }
    node.metrics.platform_calls.with_label_values(&["roster"]).inc();
    let found = node.platform.get(&roster_key(&node.cfg.domain)).await;
    node.note_platform(found.is_ok());
    match found {
        Ok(None) => Ok(Roster::default()),
        Ok(Some(object)) => parse_roster(&object).ok_or(()),
        Err(_) => Err(()),
    }
}

/// Writes a changed roster; says whether it took effect.
async fn write_roster(node: &Arc<Node>, next: Roster) -> bool {
    if node.faults.cuts_platform() {
        return false;
    }
    let value = serde_json::to_string(&next).unwrap_or_default();
    node.metrics.platform_calls.with_label_values(&["roster"]).inc();
    let written = node.platform.put(&roster_key(&node.cfg.domain), value, next.version).await;
    let Ok((Written::Yes, version)) = written else {
        return false; // a lost answer is settled by the next read
    };
    log::info!("roster {version}: {} members", next.entries.len());
    pass_on(node, Roster { version, ..next }).await;
    true
}

async fn pass_on(node: &Arc<Node>, roster: Roster) {
    let rosters = Rosters([(node.cfg.domain.clone(), roster)].into());
    node.take_rosters(&rosters);
    beats::tell_rosters(node, rosters).await;
}

/// Takes the members out that the instance list no longer shows and that have long been silent.
pub(crate) async fn bury_dead(node: &Arc<Node>, listed: &[String]) {
    let known = node.rosters().get(&node.cfg.domain).cloned().unwrap_or_default();
    let next = {
        let (mut seen, now) = (node.seen.lock(), node.now());
        seen.heard(&node.me.id, now);
        seen.listed(&known, listed, now);
        bury(&known, &seen, now)
    };
    if let Some(next) = next {
        write_roster(node, next).await;
    }
}

/// Leaves the roster, or passes the entry on to an instance that waits for one.
///
/// While an earlier change of the roster is not settled it tries again; at the worst the others take
/// the entry out later.
pub(crate) async fn leave_roster(node: &Arc<Node>) {
    for _ in 0..LEAVE_TRIES {
        let known = node.rosters().get(&node.cfg.domain).cloned().unwrap_or_default();
        let Ok(read) = read_roster(node).await else { return pass_to_heir(node, &known).await };
        let mut now = known;
        now.merge(&read);
        if !now.has(&node.me.id) {
            return;
        }
        if let Some(next) = leave(&now, &node.me.id)
            && write_roster(node, next).await
        {
            return;
        }
        tokio::time::sleep(TRY).await;
    }
}

async fn pass_to_heir(node: &Arc<Node>, known: &Roster) {
    let Some(heir) = heir(node) else { return };
    let Some(next) = bequeath(known, &node.me.id, &heir) else { return };
    log::info!("entry passed to {}", heir.id.0);
    pass_on(node, next.clone()).await;
    if let Some(peer) = node.peer(heir.addr).await {
        let rosters = Rosters([(node.cfg.domain.clone(), next)].into());
        let _ = peer.rosters(tarpc::context::current(), rosters).await;
    }
}

fn heir(node: &Node) -> Option<crate::state::roster::Member> {
    let now = node.now();
    let waiting = node.waiting.lock();
    let near =
        waiting.values().filter(|(m, at)| m.domain == node.cfg.domain && now.since(*at) < HEARD);
    near.map(|(m, _)| m.clone()).next()
}
