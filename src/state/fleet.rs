//! The fleet's configuration: failure domains, services with their shard maps, and upstreams.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::state::named_map::NamedMap;

/// Number of a snapshot of a service's index; higher is newer.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Snapshot(pub u64);

/// The whole configuration in force.
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

/// An object with the number of the ticket that last changed it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Versioned<T> {
    /// Number of the ticket.
    pub changed: u64,
    /// The object.
    pub value: T,
}

/// A failure domain.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Domain {
    /// Operators have taken the failure domain out: no new work goes there.
    #[serde(rename = "out")]
    pub evacuated: bool,
}

/// A service: its shard maps, the policy of its answers, and what each of its upstreams bears.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Service {
    /// How an answer trades time against coverage.
    pub policy: Policy,
    /// What each upstream of the service bears.
    #[serde(rename = "bear")]
    pub capacity: Capacity,
    /// Shard maps, each in force from a snapshot on, oldest first.
    pub maps: Vec<ShardMap>,
}

/// A shard map: the replicas of each shard, for all snapshots from `from` up to the next map.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ShardMap {
    /// First snapshot that this map belongs to.
    pub from: Snapshot,
    /// Upstream names by shard.
    pub shards: NamedMap<Vec<String>>,
}

/// What an answer gives up first when time runs short.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Preference {
    /// Answer at the soft deadline with what there is.
    #[default]
    Tail,
    /// Wait for missing shards up to the hard deadline.
    Coverage,
}

/// Policy of a service's answers.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Policy {
    /// What is given up first.
    pub prefer: Preference,
    /// Soft deadline, in milliseconds.
    pub soft_ms: u64,
    /// Hard deadline, in milliseconds; a caller may ask for a shorter one.
    pub hard_ms: u64,
    /// Hedges and retries together, as a share of first attempts.
    pub extra_share: f64,
}

impl Default for Policy {
    fn default() -> Self {
        Self { prefer: Preference::Tail, soft_ms: 200, hard_ms: 1_000, extra_share: 0.04 }
    }
}

impl Policy {
    /// Returns the hard deadline of a request whose caller asked for `asked`.
    pub fn hard_deadline(&self, requested: Option<Duration>) -> Duration {
        let hard = Duration::from_millis(self.hard_ms);
        requested.map_or(hard, |d| d.min(hard))
    }
}

/// What one upstream bears.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Capacity {
    /// Requests at once.
    pub slots: u32,
    /// Open connections at once.
    pub connections: u32,
    /// Requests a second that it bears while it is cold, from all instances together.
    pub cold_rate: f64,
    /// How long it is cold after its start, in milliseconds.
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
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its failure domain.
    pub domain: String,
    /// The service that it belongs to.
    pub service: String,
    /// It is leaving: no new work goes there.
    #[serde(default)]
    pub leaving: bool,
}
