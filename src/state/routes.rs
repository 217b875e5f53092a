//! Routes: which servers handle a request, and within which limits.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use crate::state::arena::{PoolKey, RouteKey};

/// One version of the routes, with the limits of each pool.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteTable {
    /// Version; a higher one replaces a lower one.
    pub version: u64,
    /// Routes; the longest matching prefix wins.
    pub routes: Vec<Route>,
    /// Limits of a server in each pool.
    pub pools: IndexMap<PoolKey, PoolLimits>,
    /// Limits on caller requests.
    pub limits: CallerLimits,
}

/// Maps a host and path prefix to the servers that handle its requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Key of the route.
    pub key: RouteKey,
    /// Host in the request, in lower case.
    pub host: String,
    /// Path prefix, with a leading and a trailing slash.
    pub path_prefix: String,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Maximum time until the caller gets a response.
    pub timeout: Duration,
    /// Latency up to which a response has its full value.
    pub target_latency: Duration,
    /// Maximum number of servers that one request is sent to, per shard.
    pub max_attempts: usize,
    /// Servers that handle the requests.
    pub target: Target,
}

/// The servers that handle the requests of a route.
#[derive(Clone, Debug, PartialEq)]
pub enum Target {
    /// One server of one of these pools, chosen by weight.
    Split(Vec<(PoolKey, f64)>),
    /// One server of each of these shards.
    Gather(ScatterGather),
}

/// A route that queries all shards and merges their results.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ScatterGather {
    /// Pool of each shard.
    pub shards: Vec<PoolKey>,
    /// Number of highest-ranked records to return.
    pub top_k: usize,
    /// Minimum ratio of shards for a valid response.
    pub min_shard_ratio: f64,
}

/// Limits of one server in a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PoolLimits {
    /// Maximum connections from all instances together.
    pub connections: u32,
    /// Time that a server is cold after its start.
    pub cold_duration: Duration,
    /// Maximum requests per second to a cold server from all instances together; zero if not configured.
    pub cold_rate: f64,
    /// Budget for hedges and retries as a ratio to requests, if the service sets its own.
    pub extra_ratio: Option<f64>,
}

/// Size and time limits on caller requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request head, in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum time to receive a request head.
    pub header_timeout: Duration,
    /// Maximum time that a connection may stay idle.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16 << 10,
            max_body_bytes: 1 << 20,
            header_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(60),
        }
    }
}

impl RouteTable {
    /// Returns the pools that are shards of routes and that no other route sends to.
    pub(crate) fn only_gathered_pools(&self) -> IndexSet<PoolKey> {
        let (mut gathered, mut others) = (IndexSet::new(), IndexSet::new());
        for route in &self.routes {
            match &route.target {
                Target::Gather(gathering) => gathered.extend(gathering.shards.iter().copied()),
                Target::Split(parts) => others.extend(parts.iter().map(|(pool, _)| *pool)),
            }
        }
        gathered.retain(|pool| !others.contains(pool));
        gathered
    }

    /// Returns the route with the longest prefix of `path` among those of `host`.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let name = host.rsplit_once(':').map_or(host, |(name, _port)| name);
        self.routes
            .iter()
            .filter(|r| name.eq_ignore_ascii_case(&r.host) && path.starts_with(&r.path_prefix))
            .max_by_key(|r| r.path_prefix.len())
    }
}
