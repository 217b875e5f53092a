//! An attempt at one upstream, as a typestate: only one that was never handed to a connection can
//! be refused as not run by us; after that only the upstream's own word counts.

use std::fmt;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::state::fleet::Snapshot;
use crate::state::snapshot_range::SnapshotRange;

/// Why a request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Why {
    /// No connection to the upstream could be opened.
    NotConnected,
    /// All connections to the upstream that this instance may have are in use.
    NoConnection,
    /// It could not have been done before its deadline.
    TooLate,
    /// The upstream or its failure domain is leaving.
    Leaving,
    /// The upstream shed it.
    Shed,
    /// The upstream's address belongs to another one now.
    Replaced,
    /// The upstream does not hold the snapshot.
    NotHeld,
    /// No replica is left to ask.
    NoReplica,
    /// No snapshot of the service is known.
    NoSnapshot,
    /// The platform, which must record the idempotency key first, is away.
    PlatformAway,
    /// The idempotency key was used with another body.
    KeyReused,
    /// No such service in the configuration in force.
    UnknownService,
    /// The instance is at its limit of requests in flight.
    Overloaded,
}

/// Why the outcome of an attempt is not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// The connection to the upstream was lost.
    Lost,
    /// No whole answer came in time.
    Timeout,
    /// The answer was shorter or longer than it said.
    Truncated,
    /// The answer was for another request, attempt, shard or snapshot.
    Mismatch,
    /// The upstream answered with an error.
    Upstream,
    /// An earlier request with the same idempotency key is not settled.
    Unsettled,
}

/// A refusal that is true: the request was not run and will not be.
///
/// It can be made only from an attempt that was never handed over, or on the upstream's own word.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NotRun {
    why: Why,
    held: Option<SnapshotRange>,
}

impl NotRun {
    /// Returns the reason.
    pub fn why(&self) -> Why {
        self.why
    }

    /// Returns the snapshots that the upstream holds, if it told them.
    pub fn held(&self) -> Option<SnapshotRange> {
        self.held
    }
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome<A = Bytes> {
    /// A whole answer that was checked.
    Answer(A),
    /// It was not run.
    NotRun(NotRun),
    /// It may have run.
    Unknown(Fault),
}

/// What an attempt is for; the upstream echoes all of it, in its text form.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Label {
    /// The caller's request.
    pub request: u64,
    /// The attempt; unique among all attempts of the request at one upstream.
    pub attempt: u64,
    /// The shard.
    pub shard: String,
    /// The snapshot; none for a request that is not a query.
    pub snapshot: Option<Snapshot>,
}

impl fmt::Display for Label {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let snapshot = self.snapshot.map_or("-".to_owned(), |s| s.0.to_string());
        write!(f, "{}.{}.{snapshot}.{}", self.request, self.attempt, self.shard)
    }
}

/// An upstream's answer as decoded, not yet checked.
#[derive(Clone, Debug)]
pub struct RawAnswer<A> {
    /// The label that the upstream echoed, if it echoes any.
    pub label: Option<String>,
    /// The length that the upstream stated beside the framing of its protocol.
    pub length: Option<usize>,
    /// The length of the body that came.
    pub came: usize,
    /// The answer.
    pub answer: A,
}

/// What an upstream may say in place of an answer; each means that it did not run the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Said {
    /// It sheds load.
    Shed,
    /// It is draining.
    Draining,
    /// Another upstream has the address now.
    Replaced,
    /// It does not hold the snapshot; these are held.
    NotHeld(Option<SnapshotRange>),
    /// The deadline had passed when it would have begun.
    TooLate,
}

/// State of an attempt that waits; nothing has been written.
#[derive(Debug)]
pub struct Waiting(());

/// State of an attempt that was handed to a connection or to a peer.
#[derive(Debug)]
pub struct Handed(());

/// An attempt in life cycle state `S`.
#[derive(Debug)]
pub struct Attempt<S> {
    label: String,
    state: S,
}

impl Attempt<Waiting> {
    /// Begins an attempt that the upstream knows by `label`.
    pub fn new(label: impl Into<String>) -> Self {
        Attempt { label: label.into(), state: Waiting(()) }
    }

    /// Refuses the attempt, truly: it was never handed over.
    pub fn refuse<A>(self, why: Why) -> Outcome<A> {
        Outcome::NotRun(NotRun { why, held: None })
    }

    /// Hands the attempt over; from here on we cannot refuse it ourselves.
    pub fn hand(self) -> Attempt<Handed> {
        Attempt { label: self.label, state: Handed(()) }
    }
}

impl Attempt<Handed> {
    /// Settles the attempt with an answer, which counts only when whole and for this attempt.
    pub fn answer<A>(self, raw: RawAnswer<A>) -> Outcome<A> {
        if raw.length.is_some_and(|stated| stated != raw.came) {
            Outcome::Unknown(Fault::Truncated)
        } else if raw.label.is_some_and(|label| label != self.label) {
            Outcome::Unknown(Fault::Mismatch)
        } else {
            Outcome::Answer(raw.answer)
        }
    }

    /// Settles the attempt on the upstream's own word that it did not run it.
    pub fn said<A>(self, said: Said) -> Outcome<A> {
        let (why, held) = match said {
            Said::Shed => (Why::Shed, None),
            Said::Draining => (Why::Leaving, None),
            Said::Replaced => (Why::Replaced, None),
            Said::NotHeld(held) => (Why::NotHeld, held),
            Said::TooLate => (Why::TooLate, None),
        };
        Outcome::NotRun(NotRun { why, held })
    }

    /// Takes the attempt back: the connection returned it whole, without having written any of it.
    pub fn unsent(self) -> Attempt<Waiting> {
        Attempt { label: self.label, state: Waiting(()) }
    }

    /// Settles the attempt as unknown.
    pub fn lost<A>(self, fault: Fault) -> Outcome<A> {
        let Handed(()) = self.state;
        Outcome::Unknown(fault)
    }
}

impl Why {
    /// Returns a word for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Why::NotConnected => "not-connected",
            Why::NoConnection => "no-connection",
            Why::TooLate => "too-late",
            Why::Leaving => "leaving",
            Why::Shed => "shed",
            Why::Replaced => "replaced",
            Why::NotHeld => "not-held",
            Why::NoReplica => "no-replica",
            Why::NoSnapshot => "no-snapshot",
            Why::PlatformAway => "platform-away",
            Why::KeyReused => "key-reused",
            Why::UnknownService => "unknown-service",
            Why::Overloaded => "overloaded",
        }
    }
}

impl Fault {
    /// Returns a word for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Fault::Lost => "lost",
            Fault::Timeout => "timeout",
            Fault::Truncated => "truncated",
            Fault::Mismatch => "mismatch",
            Fault::Upstream => "upstream",
            Fault::Unsettled => "unsettled",
        }
    }
}
