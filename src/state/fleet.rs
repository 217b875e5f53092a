//! Fleet configuration: failure domains, services with their shard maps, and upstreams.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::state::named_map::NamedMap;

/// Snapshot number of a service's index; a higher number is newer.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Snapshot(pub u64);

/// The complete active configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FleetConfig {
    /// Number of the last accepted ticket, which is also the version of the configuration.
    pub version: u64,
    /// Failure domains.
    pub domains: NamedMap<Versioned<Domain>>,
    /// Services.
    pub services: NamedMap<Versioned<Service>>,
    /// Upstreams.
    pub upstreams: NamedMap<Versioned<Upstream>>,
}

/// A configuration object with the number of the ticket that last changed it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Versioned<T> {
    /// Number of the ticket that last changed the object.
    pub changed: u64,
    /// The object.
    pub value: T,
}

/// A failure domain.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Domain {
    /// Whether operators have evacuated the failure domain; its servers get no new requests.
    #[serde(rename = "out")]
    pub evacuated: bool,
}

/// A service: its response policy, the capacity of its upstreams, and its shard maps.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Service {
    /// Trade-off between response time and coverage.
    pub policy: Policy,
    /// Capacity of each upstream of the service.
    #[serde(rename = "bear")]
    pub capacity: Capacity,
    /// Shard maps, each valid from a snapshot on, oldest first.
    pub maps: Vec<ShardMap>,
}

/// The replicas of each shard, for all snapshots from `from` up to the next map.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ShardMap {
    /// First snapshot that the map applies to.
    pub from: Snapshot,
    /// Upstream names by shard.
    pub shards: NamedMap<Vec<String>>,
}

/// What a response favors when shards are missing at the soft deadline.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Preference {
    /// Respond at the soft deadline with the shards available.
    #[default]
    Tail,
    /// Wait for missing shards up to the hard deadline.
    Coverage,
}

/// Response policy of a service.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Policy {
    /// Whether responses favor tail latency or coverage.
    pub prefer: Preference,
    /// Soft deadline, in milliseconds.
    pub soft_ms: u64,
    /// Hard deadline, in milliseconds; a caller may ask for a shorter one.
    pub hard_ms: u64,
    /// Budget for hedges and retries together, as a ratio to first attempts.
    pub extra_share: f64,
}

impl Default for Policy {
    fn default() -> Self {
        Self { prefer: Preference::Tail, soft_ms: 200, hard_ms: 1_000, extra_share: 0.04 }
    }
}

impl Policy {
    /// Returns the hard deadline of a request, which the caller may shorten to `requested`.
    pub fn hard_deadline(&self, requested: Option<Duration>) -> Duration {
        let hard = Duration::from_millis(self.hard_ms);
        requested.map_or(hard, |d| d.min(hard))
    }
}

/// Capacity of one upstream.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Capacity {
    /// Maximum concurrent requests.
    pub slots: u32,
    /// Maximum open connections.
    pub connections: u32,
    /// Maximum requests per second while the upstream is cold, from all instances together.
    pub cold_rate: f64,
    /// Time that the upstream is cold after its start, in milliseconds.
    pub cold_ms: u64,
}

impl Default for Capacity {
    fn default() -> Self {
        Self { slots: 2, connections: 25, cold_rate: 20.0, cold_ms: 3_000 }
    }
}

/// An upstream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// Address that the upstream listens on.
    pub addr: SocketAddr,
    /// Failure domain of the upstream.
    pub domain: String,
    /// Service that the upstream belongs to.
    pub service: String,
    /// Whether the upstream is leaving; it gets no new requests.
    #[serde(default)]
    pub leaving: bool,
}
