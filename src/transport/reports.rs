//! Reports of upstreams on themselves: a steward reads the snapshots held, and never the health.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use indexmap::IndexMap;

use crate::coordination::leases::Share;
use crate::state::arena::UpstreamKey;
use crate::state::news::News;
use crate::transport::node::Node;
use crate::transport::steward;

/// Time between reports that a steward asks of its upstreams.
const REPORT: Duration = Duration::from_millis(1_000);

/// Asks the upstreams that this instance is steward of, until the process ends.
pub(crate) async fn ask_all(node: Arc<Node>) {
    loop {
        let keys: Vec<UpstreamKey> = node.owners().keys().copied().collect();
        for key in keys {
            if node.lease(key).share != Share::None {
                tokio::spawn(ask(node.clone(), key));
            }
        }
        tokio::time::sleep(REPORT).await;
    }
}

async fn ask(node: Arc<Node>, key: UpstreamKey) {
    let Some(target) = node.target(key) else { return };
    let told = node.upstreams.status(target).await;
    let (now, lease) = (node.now(), node.lease(key));
    steward::with_gate(&node, key, lease, |gate| {
        if let Some(told) = told {
            gate.told(told.boot, told.held, told.draining, now);
        }
    });
    steward::pump(&node, key);
}

/// Tells what this instance knows of upstreams that it is steward of; it asks those that are new to it.
pub(crate) async fn tell(node: &Arc<Node>, upstreams: &[String]) -> IndexMap<String, News> {
    let catalog = node.catalog();
    let keys: Vec<_> =
        upstreams.iter().filter_map(|n| Some((n, catalog.upstream_key(n)?))).collect();
    let news = |key| node.gates.with(key, |gate| gate.news());
    let new = |key: UpstreamKey| {
        node.lease(key).share != Share::None && news(key).is_none_or(|n| n.held.is_none())
    };
    join_all(keys.iter().filter(|(_, k)| new(*k)).map(|(_, k)| ask(node.clone(), *k))).await;
    keys.into_iter().filter_map(|(name, key)| Some((name.clone(), news(key)?))).collect()
}
