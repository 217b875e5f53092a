//! Tries failure domains that are dark, and tells whether this instance can serve without them.
//!
//! In a cut an instance may reach too few shards for any answer. It then refuses at once and reports
//! that it is not ready, so that callers go where they are served; without callers nothing would show
//! the end of the cut, hence the tries.

use std::sync::Arc;
use std::time::Duration;

use rand::seq::IteratorRandom;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::coordination::reach::is_unreachable;
use crate::state::routes::Route;
use crate::state::topology::Server;
use crate::transport::upstreams::tier::{RouteStats, Tier};

/// Time between two rounds of tries.
const ROUND: Duration = Duration::from_millis(300);
/// Longest time to open a connection: some round trips between failure domains.
const TRY: Duration = Duration::from_millis(250);

/// Tries dark domains for as long as the process runs.
pub async fn run(tier: Arc<Tier>) {
    loop {
        tokio::time::sleep(ROUND).await;
        for domain in tier.dark_domains() {
            try_domain(&tier, &domain).await;
        }
        let able = able(&tier);
        if tier.set_able(able) != able {
            log::warn!(able; "this instance reaches enough servers");
        }
    }
}

/// Opens a connection to some server of a domain; if that works, the domain is not dark.
async fn try_domain(tier: &Tier, domain: &str) {
    let view = tier.view();
    let there = view.servers().map(|(_, s)| s).filter(|s| s.report.domain == domain);
    let Some(server) = there.choose(&mut rand::rng()) else { return };
    if let Ok(Ok(_)) = timeout(TRY, TcpStream::connect(server.report.addr)).await {
        tier.domain(domain, |d| d.record_answer());
    }
}

/// Says whether routes that take at least half of the requests can be answered.
fn able(tier: &Tier) -> bool {
    let dark = tier.dark_domains();
    if dark.is_empty() {
        return true;
    }
    let view = tier.view();
    let Some(table) = &view.route_table else { return true };
    let now = tier.now();
    let lit = |server: &Server| !dark.contains(&server.report.domain);
    let (mut all, mut lost) = (0, 0);
    for route in &table.routes {
        let recent = tier.routes.with(route.key, |s: &mut RouteStats| s.recent.count(now));
        let recent = recent.unwrap_or_default();
        all += recent;
        if recent > 0 && is_unreachable(route, &view, lit) {
            lost += recent;
        }
    }
    lost * 2 <= all
}

impl Tier {
    /// Says whether a request of a route is to be refused at once: its servers can not be reached.
    pub(crate) fn refuses(&self, route: &Route) -> bool {
        if self.able() {
            return false;
        }
        let dark = self.dark_domains();
        is_unreachable(route, &self.view(), |s| !dark.contains(&s.report.domain))
    }
}
