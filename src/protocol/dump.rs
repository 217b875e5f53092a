//! The dump of a process's state, which operators read.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::state::members::{InstanceId, Member};
use crate::state::snapshot_range::SnapshotRange;

/// The state of one upstream as an instance sees it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct UpstreamDump {
    /// Number of requests in flight from this instance.
    pub under_way: usize,
    /// Its average latency divided by the expected latency.
    pub slowness: f64,
    /// It is ejected after consecutive failures and gets only occasional probe requests.
    pub ejected: bool,
    /// It is cold: it started recently and its load is limited.
    pub cold: bool,
    /// It has reported that it is draining.
    pub draining: bool,
    /// Snapshots that it holds, if it has reported them.
    pub held: Option<SnapshotRange>,
}

/// The state of one process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Dump {
    /// Identity of this incarnation of the instance.
    pub instance: InstanceId,
    /// Its failure domain.
    pub domain: String,
    /// Phase of its life cycle: starting, serving or leaving.
    pub phase: String,
    /// Time since the start of the process, in milliseconds.
    pub uptime_ms: u64,
    /// Version of the configuration in force.
    pub config: u64,
    /// Number of callers' requests in flight.
    pub flights: usize,
    /// The last call to the platform succeeded.
    pub platform: bool,
    /// It watches the platform on behalf of its failure domain.
    pub watches: bool,
    /// Number of instances among which limits are divided.
    pub instances: usize,
    /// Known members of the deployment.
    pub members: Vec<Member>,
    /// Upstreams by name.
    pub upstreams: IndexMap<String, UpstreamDump>,
    /// Names of the peers with an open link.
    pub links: Vec<String>,
}
