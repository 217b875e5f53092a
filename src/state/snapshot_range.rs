//! What an upstream tells of the snapshots that it holds.

use serde::{Deserialize, Serialize};

use crate::state::fleet::Snapshot;

/// The snapshots that an upstream holds, both ends included.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SnapshotRange {
    /// The oldest one.
    pub oldest: Snapshot,
    /// The newest one.
    pub newest: Snapshot,
}

impl SnapshotRange {
    /// Says whether `snapshot` is held.
    pub fn contains(&self, snapshot: Snapshot) -> bool {
        self.oldest <= snapshot && snapshot <= self.newest
    }
}
