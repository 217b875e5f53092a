//! The answer to a query, and why shards are missing from it.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::coordination::attempt::{Fault, NotRunCode};
use crate::state::fleet::Snapshot;

/// Why a shard is missing from an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MissingReason {
    /// No answer had come when the answer was due.
    Deadline,
    /// All that were asked refused; the last reason.
    Refused(NotRunCode),
    /// All that were asked failed; the last fault.
    Failed(Fault),
}

impl MissingReason {
    /// Returns a word for logs.
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
    /// The one snapshot that all parts are from.
    pub snapshot: Snapshot,
    /// Shards answered, with their bodies.
    pub parts: Vec<(String, Bytes)>,
    /// Shards missing, with the reason.
    pub missing: Vec<(String, MissingReason)>,
    /// Shards of the snapshot's own map.
    pub total: usize,
}
