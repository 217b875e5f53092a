//! The answer to a query, with the shards that are missing from it.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::coordination::attempt::{Fault, NotRunCode};
use crate::state::fleet::Snapshot;

/// Why a shard is missing from an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MissingReason {
    /// The shard had not answered by the deadline.
    Deadline,
    /// All servers that were tried refused; holds the last reason.
    Refused(NotRunCode),
    /// All servers that were tried failed; holds the last fault.
    Failed(Fault),
}

impl MissingReason {
    /// Returns the word used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            MissingReason::Deadline => "deadline",
            MissingReason::Refused(why) => why.as_str(),
            MissingReason::Failed(fault) => fault.as_str(),
        }
    }
}

/// The answer to a query.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// The snapshot that all parts are from.
    pub snapshot: Snapshot,
    /// The shards that answered, with their bodies.
    pub parts: Vec<(String, Bytes)>,
    /// The missing shards, with the reason.
    pub missing: Vec<(String, MissingReason)>,
    /// Number of shards in the snapshot's shard map.
    pub total: usize,
}
