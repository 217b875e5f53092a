//! Probes unresponsive failure domains and determines whether this instance can serve without them.
//!
//! During a network partition an instance may reach too few shards to answer anything. It then refuses
//! requests immediately and reports that it is not ready, so that callers go to other instances. Without
//! requests it would not notice the end of the partition, hence the probes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::future::{self, join_all};
use futures::stream::FuturesUnordered;
use rand::seq::IteratorRandom;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::coordination::domain_health::PROBE_INTERVAL;
use crate::coordination::reachability::is_unreachable;
use crate::state::arena::RouteKey;
use crate::state::routes::Route;
use crate::state::topology::Server;
use crate::transport::upstreams::tier::{RouteStats, Tier};

/// Timeout of opening a connection: several round trips between failure domains.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Servers of a domain that are probed at a time; one that crashed is listed for some seconds more.
const PROBED_SERVERS: usize = 2;

/// Probes unresponsive failure domains for as long as the process runs.
pub async fn run(tier: Arc<Tier>) {
    loop {
        tokio::time::sleep(PROBE_INTERVAL).await;
        let domains = tier.unresponsive_domains();
        join_all(domains.iter().map(|domain| probe_domain(&tier, domain))).await;
        let can_serve = can_serve(&tier);
        if tier.set_can_serve(can_serve) != can_serve {
            log::warn!(able = can_serve; "ability to reach enough servers changed");
        }
    }
}

/// Opens connections to random servers of a domain; success marks the domain as responsive, failure as unreachable.
async fn probe_domain(tier: &Tier, domain: &str) {
    let view = tier.view();
    let servers = view.servers().map(|(_, s)| s).filter(|s| s.report.domain == domain);
    let servers = servers.sample(&mut rand::rng(), PROBED_SERVERS);
    if servers.is_empty() {
        return;
    }
    let probes: FuturesUnordered<_> = servers.iter().map(|s| can_connect(s.report.addr)).collect();
    let is_open = probes.any(future::ready).await;
    tier.with_domain(domain, |d| {
        if is_open {
            d.record_answer();
        } else {
            d.record_failed_probe();
        }
    });
}

async fn can_connect(addr: SocketAddr) -> bool {
    matches!(timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await, Ok(Ok(_)))
}

/// Returns whether at least half of the recent requests were for routes that can be answered.
fn can_serve(tier: &Tier) -> bool {
    let unreachable_domains = tier.unreachable_domains();
    if unreachable_domains.is_empty() {
        return true;
    }
    let view = tier.view();
    let Some(table) = &view.route_table else { return true };
    let now = tier.now();
    let is_responsive = |server: &Server| !unreachable_domains.contains(&server.report.domain);
    let (mut total, mut unreachable) = (0, 0);
    for route in &table.routes {
        let recent =
            tier.route_stats.with(route.key, |s: &mut RouteStats| s.recent_requests.count(now));
        let recent = recent.unwrap_or_default();
        total += recent;
        if recent > 0 && is_unreachable(route, &view, is_responsive) {
            unreachable += recent;
        }
    }
    unreachable * 2 <= total
}

impl Tier {
    /// Returns whether requests for a route must be refused because this instance reaches too few of its servers.
    pub(crate) fn must_refuse(&self, route: &Route) -> bool {
        let domains = self.unreachable_domains();
        !domains.is_empty()
            && is_unreachable(route, &self.view(), |s| !domains.contains(&s.report.domain))
    }

    /// Records that the gatherers of this instance's failure domain reach too few shards of a route.
    pub(crate) fn record_cut(&self, route: RouteKey) {
        let now = self.now();
        self.route_stats.with_or_insert(route, RouteStats::default, |s| s.cut_report.record(now));
    }

    /// Returns whether the gatherers of this instance's failure domain said lately that they reach too few shards of a route.
    pub(crate) fn is_reported_cut(&self, route: RouteKey) -> bool {
        let now = self.now();
        let reported = self.route_stats.with(route, |s: &mut RouteStats| s.cut_report.holds(now));
        reported.unwrap_or_default()
    }
}
