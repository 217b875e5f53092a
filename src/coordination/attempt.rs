//! An attempt at one upstream, as a typestate: only one that was never handed to a connection can
//! be refused as not run by us; after that only the upstream's own word counts.

use std::fmt;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::state::fleet::Snapshot;
use crate::state::news::Held;

/// Why a request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum NotRunCode {
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
    why: NotRunCode,
    held: Option<Held>,
}

impl NotRun {
    /// Returns the reason.
    pub fn reason(&self) -> NotRunCode {
        self.why
    }

    /// Returns the snapshots that the upstream holds, if it told them.
    pub fn held(&self) -> Option<Held> {
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
    pub stated_length: Option<usize>,
    /// The length of the body that came.
    pub received_length: usize,
    /// The answer.
    pub answer: A,
}

/// What an upstream may say in place of an answer; each means that it did not run the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamRefusal {
    /// It sheds load.
    Shed,
    /// It is draining.
    Draining,
    /// Another upstream has the address now.
    Replaced,
    /// It does not hold the snapshot; these are held.
    NotHeld(Option<Held>),
    /// The deadline had passed when it would have begun.
    TooLate,
}

/// State of an attempt that waits; nothing has been written.
#[derive(Debug)]
pub struct Pending(());

/// State of an attempt that was handed to a connection or to a peer.
#[derive(Debug)]
pub struct Dispatched(());

/// An attempt in life cycle state `S`.
#[derive(Debug)]
pub struct Attempt<S> {
    label: String,
    state: S,
}

impl Attempt<Pending> {
    /// Begins an attempt that the upstream knows by `label`.
    pub fn new(label: impl Into<String>) -> Self {
        Attempt { label: label.into(), state: Pending(()) }
    }

    /// Refuses the attempt, truly: it was never handed over.
    pub fn refuse<A>(self, why: NotRunCode) -> Outcome<A> {
        Outcome::NotRun(NotRun { why, held: None })
    }

    /// Hands the attempt over; from here on we cannot refuse it ourselves.
    pub fn dispatch(self) -> Attempt<Dispatched> {
        Attempt { label: self.label, state: Dispatched(()) }
    }
}

impl Attempt<Dispatched> {
    /// Settles the attempt with an answer, which counts only when whole and for this attempt.
    pub fn complete<A>(self, raw: RawAnswer<A>) -> Outcome<A> {
        if raw.stated_length.is_some_and(|stated| stated != raw.received_length) {
            Outcome::Unknown(Fault::Truncated)
        } else if raw.label.is_some_and(|label| label != self.label) {
            Outcome::Unknown(Fault::Mismatch)
        } else {
            Outcome::Answer(raw.answer)
        }
    }

    /// Settles the attempt on the upstream's own word that it did not run it.
    pub fn refused_by_upstream<A>(self, said: UpstreamRefusal) -> Outcome<A> {
        let (why, held) = match said {
            UpstreamRefusal::Shed => (NotRunCode::Shed, None),
            UpstreamRefusal::Draining => (NotRunCode::Leaving, None),
            UpstreamRefusal::Replaced => (NotRunCode::Replaced, None),
            UpstreamRefusal::NotHeld(held) => (NotRunCode::NotHeld, held),
            UpstreamRefusal::TooLate => (NotRunCode::TooLate, None),
        };
        Outcome::NotRun(NotRun { why, held })
    }

    /// Takes the attempt back: the connection returned it whole, without having written any of it.
    pub fn into_pending(self) -> Attempt<Pending> {
        Attempt { label: self.label, state: Pending(()) }
    }

    /// Settles the attempt as unknown.
    pub fn fail<A>(self, fault: Fault) -> Outcome<A> {
        let Dispatched(()) = self.state;
        Outcome::Unknown(fault)
    }
}

impl NotRunCode {
    /// Returns a word for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            NotRunCode::NotConnected => "not-connected",
            NotRunCode::NoConnection => "no-connection",
            NotRunCode::TooLate => "too-late",
            NotRunCode::Leaving => "leaving",
            NotRunCode::Shed => "shed",
            NotRunCode::Replaced => "replaced",
            NotRunCode::NotHeld => "not-held",
            NotRunCode::NoReplica => "no-replica",
            NotRunCode::NoSnapshot => "no-snapshot",
            NotRunCode::PlatformAway => "platform-away",
            NotRunCode::KeyReused => "key-reused",
            NotRunCode::UnknownService => "unknown-service",
            NotRunCode::Overloaded => "overloaded",
        }
    }
}

impl Fault {
    /// Returns a word for logs and metrics.
    pub fn as_str(self) -> &'static str {
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
