//! The dump of a process's state, and the status that operators read.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::coordination::leases::Share;
use crate::state::members::Rosters;
use crate::state::news::{Health, Held};
use crate::state::roster::{Bucket, InstanceId};

/// A bucket as one instance holds it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BucketDump {
    /// The bucket.
    pub bucket: Bucket,
    /// How many of the slots this instance may use.
    pub share: Share,
    /// Time until the lease runs out, in milliseconds.
    pub left_ms: u64,
    /// The upstreams in it.
    pub upstreams: Vec<String>,
}

/// An upstream as its steward sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GateDump {
    /// How much work it takes.
    pub health: Health,
    /// Requests under way.
    pub running: u32,
    /// Requests that wait.
    pub waiting: usize,
    /// Requests that may run at once.
    pub limit: u32,
    /// Answers counted since it started.
    pub answered: u32,
    /// Moving mean of the time of an answer, in microseconds.
    pub mean_us: u32,
    /// Snapshots held.
    pub held: Option<Held>,
}

/// The state of one instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Dump {
    /// Its identity.
    pub instance: InstanceId,
    /// Its failure domain.
    pub domain: String,
    /// Where it is in its life cycle.
    pub phase: String,
    /// Time since its start, in milliseconds.
    pub uptime_ms: u64,
    /// Version of the configuration in force.
    pub config: u64,
    /// Requests of callers in flight.
    pub flights: usize,
    /// The platform answered lately.
    pub platform: bool,
    /// Rosters of all failure domains.
    pub rosters: Rosters,
    /// Buckets held.
    pub buckets: Vec<BucketDump>,
    /// Upstreams that this instance is steward of.
    pub gates: IndexMap<String, GateDump>,
    /// Peer links that are up.
    pub links: Vec<String>,
}
