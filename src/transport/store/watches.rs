//! Watches the platform on behalf of a failure domain; its other instances learn of changes from peers.

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;

use crate::protocol::platform::{
    HEAD_KEY, InstanceState, ListedInstance, Object, PlatformError, parse_head,
};
use crate::state::members::{InstanceId, Member};
use crate::transport::node::Node;

/// Maximum duration of one watch call.
const WATCH_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval between reads of the instance list.
const LIST_INTERVAL: Duration = Duration::from_secs(2);
/// An instance that does not watch the platform makes only one of this many reads.
const NON_WATCHER_READ_PERIOD: u64 = 5;
/// Mean pause after a failed call, and between checks whether this instance should watch.
const RETRY_PAUSE: Duration = Duration::from_millis(700);

/// Returns whether this instance watches the platform; without a configuration it always does.
fn should_watch(node: &Node) -> bool {
    node.catalog().version() == 0 || node.peers.is_watcher()
}

async fn pause() {
    let jitter = rand::rng().random_range(0.5..1.5);
    tokio::time::sleep(RETRY_PAUSE.mul_f64(jitter)).await;
}

/// Waits until the version of an object exceeds `after`; `None` if it does not in time.
///
/// # Errors
/// If the platform did not answer.
async fn watch_object(node: &Node, key: &str, after: u64) -> Result<Option<Object>, PlatformError> {
    let cut = node.peers.faults.is_platform_cut();
    if cut {
        node.record_platform_result(false);
    }
    if cut || !should_watch(node) {
        pause().await;
        return Ok(None);
    }
    node.tier.metrics.platform_calls.with_label_values(&["watch"]).inc();
    let found = node.platform.watch(key, after, WATCH_TIMEOUT).await;
    node.record_platform_result(found.is_ok());
    if let Err(e) = &found {
        log::debug!("watch of {key} failed: {e}");
        pause().await;
    }
    found
}

/// Watches the head object and publishes each new configuration.
///
/// The platform may come back from an outage with an older head object, whose versions are given out again: the object is
/// then read whatever its version, and the configuration in force is written again if it is gone.
pub(crate) async fn watch_head(node: Arc<Node>) {
    let mut known_version = 0;
    loop {
        let object = match watch_object(&node, HEAD_KEY, known_version).await {
            Ok(Some(object)) => object,
            Ok(None) => continue,
            Err(_) => {
                known_version = 0;
                continue;
            }
        };
        match parse_head(&object) {
            Ok((head, version)) => {
                known_version = version;
                match node.lost_head(&head) {
                    None => node.publish(&head),
                    Some(lost) => {
                        if let Err(e) = node.write_lost_head(&lost, version).await {
                            log::warn!("cannot write the lost configuration again: {e:#}");
                        }
                    }
                }
            }
            Err(e) => {
                log::error!("cannot decode {HEAD_KEY}: {e:#}");
                pause().await;
            }
        }
    }
}

/// Polls the platform's instance list and updates the members and the instance count.
pub(crate) async fn poll_instances(node: Arc<Node>) {
    for round in 0u64.. {
        // an instance that has made claims must hear soon that the platform has lost them
        let due = round.is_multiple_of(NON_WATCHER_READ_PERIOD)
            || should_watch(&node)
            || !node.recent_claims.lock().is_empty();
        if due && !node.peers.faults.is_platform_cut() {
            node.tier.metrics.platform_calls.with_label_values(&["list"]).inc();
            match node.platform.instances().await {
                Ok(listed) => {
                    let live = listed.iter().filter(|l| l.state == InstanceState::Live);
                    let members: Vec<Member> = live.filter_map(parse_member).collect();
                    node.peers.apply_list(&members);
                }
                Err(e) => log::debug!("cannot read the instance list: {e}"),
            }
        }
        if let Some(count) = node.peers.instance_count() {
            node.tier.set_instances(count);
            node.tier.set_places(node.peers.places());
        }
        tokio::time::sleep(LIST_INTERVAL).await;
    }
}

fn parse_member(listed: &ListedInstance) -> Option<Member> {
    let addr = listed.addr.parse().ok()?;
    Some(Member {
        id: InstanceId(listed.name.clone()),
        domain: listed.domain.clone(),
        addr,
        power: 0,
    })
}
