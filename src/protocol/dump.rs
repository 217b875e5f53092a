//! The dump of a process's state, and the status that operators read.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::state::members::{InstanceId, Member};
use crate::state::snapshot_range::SnapshotRange;

/// What an instance knows of one upstream.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct UpstreamDump {
    /// Requests from here that are under way.
    pub under_way: usize,
    /// Its answer time in usual answer times, as learnt.
    pub slowness: f64,
    /// It failed several times in a row and is only tried now and then.
    pub ejected: bool,
    /// It counts as cold.
    pub cold: bool,
    /// It told that it is leaving.
    pub draining: bool,
    /// Snapshots that it holds, as far as it told.
    pub held: Option<SnapshotRange>,
}

/// The state of one process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Dump {
    /// This run of the instance.
    pub instance: InstanceId,
    /// Its failure domain.
    pub domain: String,
    /// Phase of its life: starting, serving or leaving.
    pub phase: String,
    /// Time since its start, in milliseconds.
    pub uptime_ms: u64,
    /// Version of the configuration in force.
    pub config: u64,
    /// Callers' requests under way.
    pub flights: usize,
    /// The platform answered last time.
    pub platform: bool,
    /// It follows the platform for its failure domain.
    pub watches: bool,
    /// Instances that limits are shared among.
    pub instances: usize,
    /// The members known.
    pub members: Vec<Member>,
    /// Upstreams by name.
    pub upstreams: IndexMap<String, UpstreamDump>,
    /// Peers with an open link.
    pub links: Vec<String>,
}
