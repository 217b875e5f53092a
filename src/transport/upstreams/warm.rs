//! Opens connections to the shards that an instance gathers before requests need them.

use std::sync::Arc;

use indexmap::IndexSet;

use crate::coordination::server_stats::pick_server;
use crate::coordination::shares::Role;
use crate::coordination::warming::{ROUND_INTERVAL, Warming};
use crate::state::arena::{PoolKey, RouteKey, ServerKey};
use crate::state::routes::Target;
use crate::state::topology::TopologyView;
use crate::transport::upstreams::connection_pool::{Checkout, Connection};
use crate::transport::upstreams::context::TierContext;
use crate::transport::upstreams::tier::{ServerState, Tier};

/// Keeps the connections of a gatherer warm for as long as the process runs.
pub async fn run(tier: Arc<Tier>) {
    loop {
        tokio::time::sleep(ROUND_INTERVAL).await;
        if tier.is_leaving() || !matches!(tier.role(), Role::Gatherer(_)) {
            continue;
        }
        let (view, now) = (tier.view(), tier.now());
        let (route, shards) = sharded_pools(&view);
        let Some(route) = route else { continue };
        let is_open = |pool| has_connection(&tier, &view, pool);
        let next_round = |w: &mut Warming| w.next_round(&shards, is_open, now);
        for pool in tier.with_warming(next_round) {
            let context = TierContext::unsent(&tier, &view, route);
            if let Some(server) = choose_server(&context, pool) {
                tokio::spawn(open(tier.clone(), server));
            }
        }
    }
}

/// Returns the server pools of all sharded routes, and one of these routes.
fn sharded_pools(view: &TopologyView) -> (Option<RouteKey>, Vec<PoolKey>) {
    let routes = view.route_table.iter().flat_map(|table| &table.routes);
    let (mut first, mut pools) = (None, IndexSet::new());
    for route in routes {
        if let Target::Gather(gathering) = &route.target {
            first = first.or(Some(route.key));
            pools.extend(gathering.shards.iter().copied());
        }
    }
    (first, pools.into_iter().collect())
}

fn has_connection(tier: &Tier, view: &TopologyView, pool: PoolKey) -> bool {
    let now = tier.now();
    let is_open = |s: &mut ServerState| s.connections.is_open(now);
    view.available_servers(pool).any(|(key, _)| tier.servers.with(key, is_open).unwrap_or(false))
}

fn choose_server(context: &TierContext<'_>, pool: PoolKey) -> Option<ServerKey> {
    let candidates = context.candidates(pool, &[], context.tier.now());
    pick_server(&candidates, true, rand::random)
}

async fn open(tier: Arc<Tier>, key: ServerKey) {
    let (view, now) = (tier.view(), tier.now());
    let Some(server) = view.available_server(key) else { return };
    let limit = tier.connection_limit(view.server_limits(server).connections, now);
    let checkout = tier
        .servers
        .with_or_insert(key, ServerState::default, |s| s.connections.check_out(limit, true, now));
    match checkout {
        Checkout::Busy(_) => {}
        Checkout::Idle(conn) => {
            tier.servers.with(key, |s| s.check_in(conn, now));
        }
        Checkout::MayOpen(permit) => {
            let result = Connection::open(server.report.addr, permit, now).await;
            let cold_duration = view.server_limits(server).cold_duration;
            if let Ok(conn) = tier.record_connect(key, result, cold_duration, now) {
                let now = tier.now();
                tier.servers.with(key, |s| s.check_in(conn, now));
            }
        }
    }
}
