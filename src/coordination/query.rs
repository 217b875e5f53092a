//! The answer to a query, and why shards are missing from it.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::coordination::attempt::{Fault, Why};
use crate::state::fleet::Snapshot;

/// Why a shard is missing from an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Missing {
    /// No answer had come when the answer was due.
    Deadline,
    /// All that were asked refused; the last reason.
    Refused(Why),
    /// All that were asked failed; the last fault.
    Failed(Fault),
}

impl Missing {
    /// Returns a word for logs.
    pub fn name(self) -> &'static str {
        match self {
            Missing::Deadline => "deadline",
            Missing::Refused(why) => why.name(),
            Missing::Failed(fault) => fault.name(),
        }
    }
}

/// The answer to a query.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// The one snapshot that all parts are from.
    pub snapshot: Snapshot,
    /// Shards answered, with their bodies.
    pub parts: Vec<(String, Bytes)>,
    /// Shards missing, with the reason.
    pub missing: Vec<(String, Missing)>,
    /// Shards of the snapshot's own map.
    pub total: usize,
}
