//! What an instance knows of an upstream: passed on with data replies, never broadcast.

use serde::{Deserialize, Serialize};

use crate::state::fleet::Snapshot;
use crate::state::time::Tick;

/// The snapshots that an upstream holds, both ends included.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Held {
    /// The oldest one.
    pub oldest: Snapshot,
    /// The newest one.
    pub newest: Snapshot,
}

impl Held {
    /// Says whether `snapshot` is held.
    pub fn has(&self, snapshot: Snapshot) -> bool {
        self.oldest <= snapshot && snapshot <= self.newest
    }
}

/// How much work an upstream takes, as its steward judges by answered work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Health {
    /// Full load.
    #[default]
    Warm,
    /// Ramping up.
    Cold,
    /// Ejected; single idempotent requests try it.
    Ejected,
    /// Leaving; nothing goes there.
    Leaving,
}

/// News of one upstream from its steward.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct News {
    /// Snapshots held, if an answer has told.
    pub held: Option<Held>,
    /// How much work it takes.
    pub health: Health,
    /// Requests waiting and running at the steward.
    pub depth: u32,
    /// Moving mean of the time of an answer, in microseconds.
    pub mean_us: u32,
}

/// News with the time at which this process heard it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Heard {
    /// The news.
    pub news: News,
    /// When it was heard, on this process's clock.
    pub at: Tick,
    /// Requests that this instance has under way there.
    pub mine: u32,
}
