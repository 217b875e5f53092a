//! Fault injection for tests; faults can only be set on an instance that runs with `--test-faults`.

use std::net::SocketAddr;

use parking_lot::RwLock;
use serde::{Deserialize, Serialize};

/// The faults in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct FaultSet {
    /// Addresses of peer listeners to which this instance closes its links and opens no new ones.
    pub(crate) cut_peers: Vec<SocketAddr>,
    /// Names of instances whose calls this instance does not answer.
    pub(crate) cut_names: Vec<String>,
    /// The platform is treated as unreachable.
    pub(crate) cut_platform: bool,
}

/// The faults in force, shared by the tasks of the process.
#[derive(Default)]
pub(crate) struct Faults(RwLock<FaultSet>);

impl Faults {
    pub(crate) fn set(&self, set: FaultSet) {
        *self.0.write() = set;
    }

    pub(crate) fn is_peer_cut(&self, addr: SocketAddr) -> bool {
        self.0.read().cut_peers.contains(&addr)
    }

    pub(crate) fn is_name_cut(&self, name: &str) -> bool {
        self.0.read().cut_names.iter().any(|n| n == name)
    }

    pub(crate) fn is_platform_cut(&self) -> bool {
        self.0.read().cut_platform
    }
}
