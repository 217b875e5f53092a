//! Follows the platform: one instance of a failure domain does, the rest hears from peers.

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;

use crate::protocol::platform::{HEAD, InstanceState, Listed, Object, parse_head};
use crate::state::members::{InstanceId, Member};
use crate::transport::node::Node;

/// How long one watch waits.
const WAIT: Duration = Duration::from_secs(10);
/// Time between two reads of the instance list.
const LIST: Duration = Duration::from_secs(2);
/// Of so many reads an instance that does not follow the platform makes one.
const SELDOM: u64 = 5;
/// Pause after a failed call, and of an instance that does not follow the platform.
const PAUSE: Duration = Duration::from_millis(700);

/// Says whether this instance follows the platform: while it knows nothing it does in any case.
fn watches(node: &Node) -> bool {
    node.catalog().version() == 0 || node.peers.is_watcher()
}

async fn pause() {
    let jitter = rand::rng().random_range(0.5..1.5);
    tokio::time::sleep(PAUSE.mul_f64(jitter)).await;
}

async fn watch(node: &Node, key: &str, after: u64) -> Option<Object> {
    let cut = node.peers.faults.cuts_platform();
    if cut {
        node.note_platform(false);
    }
    if cut || !watches(node) {
        pause().await;
        return None;
    }
    node.tier.meters.platform_calls.with_label_values(&["watch"]).inc();
    let found = node.platform.watch(key, after, WAIT).await;
    node.note_platform(found.is_ok());
    match found {
        Ok(found) => found,
        Err(e) => {
            log::debug!("watch: {e}");
            pause().await;
            None
        }
    }
}

/// Takes configurations in from the head object and passes them on.
pub(crate) async fn follow_head(node: Arc<Node>) {
    let mut seen = 0;
    loop {
        let Some(object) = watch(&node, HEAD, seen).await else { continue };
        match parse_head(&object) {
            Ok((head, version)) => {
                seen = version;
                node.publish(&head);
            }
            Err(e) => {
                log::error!("{e:#}");
                pause().await;
            }
        }
    }
}

/// Takes the platform's list of instances in.
pub(crate) async fn follow_list(node: Arc<Node>) {
    for round in 0u64.. {
        let due = round.is_multiple_of(SELDOM) || watches(&node);
        if due && !node.peers.faults.cuts_platform() {
            node.tier.meters.platform_calls.with_label_values(&["list"]).inc();
            match node.platform.instances().await {
                Ok(listed) => {
                    let live = listed.iter().filter(|l| l.state == InstanceState::Live);
                    let members: Vec<Member> = live.filter_map(member).collect();
                    node.peers.apply_list(&members);
                }
                Err(e) => log::debug!("instance list: {e}"),
            }
        }
        if let Some(count) = node.peers.instance_count() {
            node.tier.set_instances(count);
        }
        tokio::time::sleep(LIST).await;
    }
}

fn member(listed: &Listed) -> Option<Member> {
    let addr = listed.addr.parse().ok()?;
    Some(Member {
        id: InstanceId(listed.name.clone()),
        domain: listed.domain.clone(),
        addr,
        power: 0,
    })
}
