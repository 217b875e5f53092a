//! Watches on the platform: held by few instances of a failure domain, the rest hears from peers.

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;

use crate::protocol::platform::{HEAD, InstanceState, Object, roster_key};
use crate::state::members::Rosters;
use crate::state::roster::{InstanceId, Member, Roster};
use crate::transport::beats;
use crate::transport::membership;
use crate::transport::node::{Node, Phase};
use crate::transport::submit::parse_head;

/// Longest time that a watch waits at the platform.
const WAIT: Duration = Duration::from_secs(10);
/// Time between reads of the instance list.
const LIST: Duration = Duration::from_secs(2);
/// Time to wait after a failed call.
const PAUSE: Duration = Duration::from_millis(700);
/// Time without a word after which a member no longer counts as watching.
const HEARD: Duration = Duration::from_secs(2);

/// Says whether this instance is the one of its failure domain that watches the platform.
pub(crate) fn watches(node: &Node) -> bool {
    if node.catalog().version() == 0 {
        return true;
    }
    let (now, rosters) = (node.now(), node.rosters());
    let seen = node.seen.lock();
    let alive = |id: &InstanceId| seen.heard_within(id, HEARD, now);
    let Some(roster) = rosters.get(&node.cfg.domain) else { return true };
    let order = roster.order("watch");
    let first = order.into_iter().map(|e| &e.member.id).find(|id| **id == node.me.id || alive(id));
    first.is_none_or(|id| *id == node.me.id)
}

async fn pause() {
    let jitter = rand::rng().random_range(0.5..1.5);
    tokio::time::sleep(PAUSE.mul_f64(jitter)).await;
}

/// Waits for a newer version of an object; `None` after a failure or when another instance watches.
async fn watch(node: &Node, key: &str, after: u64) -> Option<Object> {
    if !watches(node) || node.faults.cuts_platform() {
        if node.faults.cuts_platform() {
            node.note_platform(false);
        }
        pause().await;
        return None;
    }
    node.metrics.platform_calls.with_label_values(&["watch"]).inc();
    let found = node.platform.watch(key, after, WAIT).await;
    node.note_platform(found.is_ok());
    if found.is_err() {
        pause().await;
    }
    found.ok().flatten()
}

/// Follows the configuration.
pub(crate) async fn follow_head(node: Arc<Node>) {
    let mut seen = 0;
    loop {
        let Some(object) = watch(&node, HEAD, seen).await else { continue };
        match parse_head(&object) {
            Ok((head, version)) => {
                seen = version;
                beats::adopt_and_push(&node, head);
            }
            Err(e) => {
                log::error!("{e:#}");
                pause().await;
            }
        }
    }
}

/// Follows the roster of this failure domain.
pub(crate) async fn follow_roster(node: Arc<Node>) {
    let key = roster_key(&node.cfg.domain);
    loop {
        let seen = node.rosters().get(&node.cfg.domain).map_or(0, |r| r.version);
        if let Some(object) = watch(&node, &key, seen).await
            && let Some(roster) = parse_roster(&object)
        {
            node.take_rosters(&Rosters([(node.cfg.domain.clone(), roster)].into()));
        }
    }
}

/// Decodes a roster; its version is that of the object.
pub(crate) fn parse_roster(object: &Object) -> Option<Roster> {
    let roster: Roster = serde_json::from_str(&object.value).ok()?;
    Some(Roster { version: object.version, ..roster })
}

/// Reads the instance list: it shows whom to ask in other failure domains, and who has died.
pub(crate) async fn follow_list(node: Arc<Node>) {
    loop {
        if watches(&node) && !node.faults.cuts_platform() {
            node.metrics.platform_calls.with_label_values(&["list"]).inc();
            if let Ok(listed) = node.platform.instances().await {
                let live = |l: &&crate::protocol::platform::Listed| l.state == InstanceState::Live;
                let member = |l: &crate::protocol::platform::Listed| {
                    let addr = l.addr.parse().ok()?;
                    Some(Member { id: InstanceId(l.name.clone()), domain: l.domain.clone(), addr })
                };
                *node.listed.lock() = listed.iter().filter(live).filter_map(member).collect();
                let names: Vec<String> = listed.into_iter().map(|l| l.name).collect();
                if *node.phase.read() != Phase::Leaving {
                    membership::bury_dead(&node, &names).await;
                }
            }
        }
        tokio::time::sleep(LIST).await;
    }
}
