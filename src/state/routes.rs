//! Routes: which servers answer a request, and within what bounds.

use std::time::Duration;

use indexmap::IndexMap;

use crate::state::arena::{PoolKey, RouteKey};

/// One version of the routes, with what each service bears.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteTable {
    /// Version; a higher one replaces a lower one.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// What a server of each service bears.
    pub pools: IndexMap<PoolKey, PoolLimits>,
    /// What callers may send.
    pub limits: CallerLimits,
}

/// A route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its key.
    pub key: RouteKey,
    /// Host that callers name, in lower case.
    pub host: String,
    /// Beginning of the path; it begins and ends with a slash.
    pub path_prefix: String,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer has its full worth.
    pub target_latency: Duration,
    /// Most servers that one request is sent to, for each shard.
    pub max_attempts: usize,
    /// Who answers.
    pub target: Target,
}

/// Who answers the requests of a route.
#[derive(Clone, Debug, PartialEq)]
pub enum Target {
    /// One server of one of these services, by weight.
    Split(Vec<(PoolKey, f64)>),
    /// One server of each of these shards.
    Gather(ScatterGather),
}

/// A route over shards.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ScatterGather {
    /// The shards.
    pub shards: Vec<PoolKey>,
    /// Number of greatest records to answer with.
    pub top_k: usize,
    /// Smallest share of the shards that makes an answer.
    pub min_shard_ratio: f64,
}

/// What a server of a service bears.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PoolLimits {
    /// Connections from all instances together.
    pub connections: u32,
    /// Time for which a server is cold after its start.
    pub cold_duration: Duration,
    /// Requests a second that a cold server bears from all instances together; zero if not stated.
    pub cold_rate: f64,
    /// Extra arrivals for each request, if the service has a ratio of its own.
    pub extra_ratio: Option<f64>,
}

/// What callers may send, and how long they may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Bytes of a request's head.
    pub max_header_bytes: usize,
    /// Bytes of a request's body.
    pub max_body_bytes: usize,
    /// Time for a request's head.
    pub header_timeout: Duration,
    /// Time that a connection may stay idle.
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
    /// Returns the route with the longest prefix of `path` among those of `host`.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let name = host.rsplit_once(':').map_or(host, |(name, _port)| name);
        self.routes
            .iter()
            .filter(|r| name.eq_ignore_ascii_case(&r.host) && path.starts_with(&r.path_prefix))
            .max_by_key(|r| r.path_prefix.len())
    }
}
