//! The snapshots that an upstream reports to hold.

use serde::{Deserialize, Serialize};

use crate::state::fleet::Snapshot;

/// An inclusive range of snapshots that an upstream holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SnapshotRange {
    /// Oldest snapshot held.
    pub oldest: Snapshot,
    /// Newest snapshot held.
    pub newest: Snapshot,
}

impl SnapshotRange {
    /// Returns whether `snapshot` is in the range.
    pub fn contains(&self, snapshot: Snapshot) -> bool {
        self.oldest <= snapshot && snapshot <= self.newest
    }
}
