//! What goes into the fan-out of a query and what comes out of it.

use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::coordination::attempt::{Fault, Label, Why};
use crate::state::arena::{AttemptKey, UpstreamKey};
use crate::state::fleet::{Prefer, Snapshot};
use crate::state::time::Tick;

/// What a query's fan-out asks of the state around it.
pub trait Choices {
    /// Picks a replica; one in `tried` only if no other is left. `None` when none may be asked.
    fn pick(
        &mut self,
        replicas: &[UpstreamKey],
        tried: &[UpstreamKey],
        now: Tick,
    ) -> Option<UpstreamKey>;
    /// Says whether an upstream is expected to have a free slot; only such a one is asked for a hedge.
    fn idle(&self, upstream: UpstreamKey) -> bool;
    /// Spends one extra attempt of the service's budget, if there is one.
    fn spend(&mut self) -> bool;
    /// Counts a first attempt.
    fn earn(&mut self);
    /// Returns the time after which an attempt at `upstream` is hedged, if that was learnt.
    fn hedge_after(&mut self, upstream: UpstreamKey) -> Option<Duration>;
}

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

/// An attempt to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Send {
    /// Its key within the fan-out.
    pub key: AttemptKey,
    /// What it is for.
    pub label: Label,
    /// Whom to ask.
    pub upstream: UpstreamKey,
    /// When it is no longer of use.
    pub deadline: Tick,
}

/// What the driver of a fan-out does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send an attempt.
    Send(Send),
    /// Cancel an attempt whose answer is no longer needed.
    Cancel(AttemptKey),
}

/// How far a fan-out is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// Answers are awaited.
    Running,
    /// The answer can be given.
    Done,
    /// No replica of some shard holds the snapshot any more: begin again on a newer one.
    SnapshotLost,
}

/// Deadlines and policy of one query.
#[derive(Clone, Copy, Debug, Default)]
pub struct FanOutOptions {
    /// Number of the caller's request.
    pub request: u64,
    /// Number of the first attempt; higher after the query began again.
    pub first_attempt: u64,
    /// When an answer that prefers the tail is given.
    pub soft: Tick,
    /// When the answer is given at the latest.
    pub hard: Tick,
    /// What is given up first.
    pub prefer: Prefer,
    /// The query may begin again on a newer snapshot.
    pub may_restart: bool,
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
