//! Whether enough servers of a route are reachable to answer its requests, and when enough may be sent one.
//!
//! The load pattern: a failure domain is cut from the others for some seconds. A few of its instances gather the requests
//! of all of it; these have few callers of their own, so that each request is weighed by its route alone.

use crate::coordination::domain_health::PROBE_INTERVAL;
use crate::coordination::scatter::required_shards;
use crate::coordination::server_notices::Availability;
use crate::state::arena::{PoolKey, ServerKey};
use crate::state::routes::{Route, Target};
use crate::state::time::Tick;
use crate::state::topology::{Server, TopologyView};

/// What the gatherers of this instance's failure domain said about a route: that too few of its shards are reachable.
///
/// An instance that forwards its requests sends too few itself to notice. What gatherers say holds for as long as they learn
/// nothing new, that is until their next probe.
#[derive(Clone, Copy, Debug, Default)]
pub struct CutReport {
    holds_until: Tick,
}

impl CutReport {
    /// Records that the gatherers refused a request to the route.
    pub fn record(&mut self, now: Tick) {
        self.holds_until = now + PROBE_INTERVAL;
    }

    /// Returns whether a request is refused without asking them again.
    pub fn holds(&self, now: Tick) -> bool {
        now < self.holds_until
    }
}

/// Returns whether a route cannot be answered because too many of its servers are unresponsive.
///
/// A shard without any server does not count, since no other instance could do better.
pub fn is_unreachable(
    route: &Route,
    view: &TopologyView,
    is_responsive: impl Fn(&Server) -> bool,
) -> bool {
    let is_cut = |pool: &PoolKey| {
        let mut servers = view.available_servers(*pool).map(|(_, s)| s).peekable();
        servers.peek().is_some() && !servers.any(&is_responsive)
    };
    match &route.target {
        Target::Split(parts) => !parts.is_empty() && parts.iter().all(|(pool, _)| is_cut(pool)),
        Target::Gather(gathering) => {
            let all = gathering.shards.len() as f64;
            let lost = gathering.shards.iter().filter(|pool| is_cut(pool)).count() as f64;
            lost > 0.0 && (all - lost) / all < gathering.min_shard_ratio
        }
    }
}

/// Returns whether enough of `pools` have a server that is listed and not draining.
///
/// What servers asked of this instance does not count: it binds this instance alone, and another one may gather the request.
pub fn has_servers(pools: &[PoolKey], min_shard_ratio: f64, view: &TopologyView) -> bool {
    available_from(pools, min_shard_ratio, view, |_| Availability::Now) == Availability::Now
}

/// Returns when a request to one server of each of `pools` can be answered at the earliest, by what the servers asked for.
///
/// A pool without servers is never available.
pub fn available_from(
    pools: &[PoolKey],
    min_shard_ratio: f64,
    view: &TopologyView,
    availability: impl Fn(ServerKey) -> Availability,
) -> Availability {
    let of_pool = |pool: &PoolKey| {
        let servers = view.available_servers(*pool).map(|(key, _)| availability(key));
        servers.min().unwrap_or(Availability::Never)
    };
    let mut times: Vec<Availability> = pools.iter().map(of_pool).collect();
    times.sort_unstable();
    let required = required_shards(min_shard_ratio, times.len());
    times.get(required - 1).copied().unwrap_or(Availability::Never)
}

/// Returns how many requests a second this instance may send to one server of each of `pools`, by the rates that the servers
/// name; `None` if enough pools have a server that names none.
///
/// `rate` is this instance's part of the rate that a server names.
pub fn limited_rate(
    pools: &[PoolKey],
    min_shard_ratio: f64,
    view: &TopologyView,
    rate: impl Fn(ServerKey) -> Option<f64>,
) -> Option<f64> {
    let of_pool = |pool: &PoolKey| {
        let servers = view.available_servers(*pool).map(|(key, _)| rate(key));
        servers.fold(0.0, |sum, rate| sum + rate.unwrap_or(f64::INFINITY))
    };
    let mut rates: Vec<f64> = pools.iter().map(of_pool).collect();
    rates.sort_unstable_by(|a, b| b.total_cmp(a));
    let required = required_shards(min_shard_ratio, rates.len());
    rates.get(required - 1).copied().filter(|rate| rate.is_finite())
}
