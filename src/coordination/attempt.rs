//! One attempt to run a request on an upstream, as a typestate.
//!
//! Only a pending attempt, which no connection was given, can be refused locally as not run. After
//! dispatch, only the upstream's explicit refusal proves that the request was not run, and only a
//! reply that is identified as this attempt's can refuse or answer it: an upstream may answer an
//! earlier request twice, and the second reply stands where this attempt's is expected.

use std::fmt;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::coordination::server_notices::SendPermit;
use crate::state::fleet::Snapshot;
use crate::state::snapshot_range::SnapshotRange;

/// Why a request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum NotRunCode {
    /// The connection to the upstream could not be opened.
    NotConnected,
    /// This instance already uses all the connections that it may have to the upstream.
    NoConnection,
    /// The deadline left no time to run it.
    TooLate,
    /// The upstream or its failure domain is draining.
    Leaving,
    /// The upstream shed it because of load.
    Shed,
    /// The upstream asked for a time without requests, which has not passed.
    BackingOff,
    /// This instance's part of the rate that the upstream names is used up.
    RateLimited,
    /// The upstream's address now belongs to another upstream.
    Replaced,
    /// The upstream does not hold the snapshot.
    NotHeld,
    /// No replica is left to send it to.
    NoReplica,
    /// No snapshot of the service is known.
    NoSnapshot,
    /// The platform, which must record the idempotency key first, is unavailable.
    PlatformAway,
    /// The platform came back from an older copy, and the use of the idempotency key may not be recorded again yet.
    PlatformRestored,
    /// The idempotency key was already used with another body.
    KeyReused,
    /// The configuration in force has no such service.
    UnknownService,
    /// The instance is at its limit of requests in flight.
    Overloaded,
    /// This instance stops before the request's deadline.
    Stopping,
}

/// Returns whether a status is one of a final answer: an informational one, or one that HTTP does not define, answers no request
/// (RFC 9110, section 15).
pub fn is_final_status(status: u16) -> bool {
    (200..600).contains(&status)
}

/// Why the outcome of an attempt is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// The connection to the upstream was lost.
    Lost,
    /// No complete answer arrived in time.
    Timeout,
    /// The length of the answer differs from the stated length.
    Truncated,
    /// The reply belongs to another request, attempt, shard or snapshot, or may belong to one.
    Mismatch,
    /// The answer exceeds the size that an answer may have.
    TooLarge,
    /// The upstream answered with an error.
    Upstream,
    /// An earlier request with the same idempotency key has no known outcome yet.
    Unsettled,
}

/// A guarantee that the request was not run and will not be.
///
/// It is created only from a pending attempt or from the upstream's explicit refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NotRun {
    why: NotRunCode,
    held: Option<SnapshotRange>,
}

impl NotRun {
    /// Returns the reason.
    pub fn reason(&self) -> NotRunCode {
        self.why
    }

    /// Returns the snapshots that the upstream holds, if it reported them.
    pub fn held(&self) -> Option<SnapshotRange> {
        self.held
    }
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome<A = Bytes> {
    /// A complete answer that passed the checks.
    Answer(A),
    /// It was not run.
    NotRun(NotRun),
    /// It may have run.
    Unknown(Fault),
}

/// The identity of an attempt, which the upstream echoes in its text form.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Label {
    /// The caller's request.
    pub request: u64,
    /// The attempt, unique among all attempts of the request at one upstream.
    pub attempt: u64,
    /// The shard.
    pub shard: String,
    /// The snapshot, or `None` for a request that is not a query.
    pub snapshot: Option<Snapshot>,
}

impl fmt::Display for Label {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let snapshot = self.snapshot.map_or("-".to_owned(), |s| s.0.to_string());
        write!(f, "{}.{}.{snapshot}.{}", self.request, self.attempt, self.shard)
    }
}

/// Whether a reply can belong to an earlier request on its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionUse {
    /// The request is the first one on its connection.
    First,
    /// The connection was used before.
    Reused,
}

/// A decoded answer of an upstream whose length has not been checked yet.
#[derive(Clone, Debug)]
pub struct RawAnswer<A> {
    /// The length that the upstream stated in addition to its protocol's framing.
    pub stated_length: Option<usize>,
    /// The length of the received body.
    pub received_length: usize,
    /// The answer.
    pub answer: A,
}

/// An explicit refusal by an upstream, which means that it did not run the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamRefusal {
    /// It is shedding load.
    Shed,
    /// It is draining.
    Draining,
    /// The address now belongs to another upstream.
    Replaced,
    /// It does not hold the requested snapshot; the value lists those that it holds.
    NotHeld(Option<SnapshotRange>),
    /// The deadline passed before the request could start.
    TooLate,
}

/// State of an attempt of which nothing has been written.
#[derive(Debug)]
pub struct Pending(());

/// State of an attempt that was given to a connection or to a peer.
#[derive(Debug)]
pub struct Dispatched(());

/// State of an attempt that has received a reply of its own.
#[derive(Debug)]
pub struct Replied(());

/// An attempt in life cycle state `S`.
#[derive(Debug)]
pub struct Attempt<S> {
    label: String,
    state: S,
}

impl Attempt<Pending> {
    /// Creates an attempt that is identified to the upstream by `label`.
    pub fn new(label: impl Into<String>) -> Self {
        Attempt { label: label.into(), state: Pending(()) }
    }

    /// Refuses the attempt, which is known not to have run.
    pub fn refuse<A>(self, why: NotRunCode) -> Outcome<A> {
        Outcome::NotRun(NotRun { why, held: None })
    }

    /// Marks the attempt as dispatched, after which it cannot be refused locally.
    pub fn dispatch(self, _: SendPermit) -> Attempt<Dispatched> {
        Attempt { label: self.label, state: Dispatched(()) }
    }
}

impl Attempt<Dispatched> {
    /// Identifies a reply as this attempt's by the label that it echoes.
    ///
    /// # Errors
    /// [`Fault::Mismatch`] if the reply has another label, or none on a connection that was used before.
    pub fn identify(
        self,
        echoed: Option<&str>,
        connection: ConnectionUse,
    ) -> Result<Attempt<Replied>, Fault> {
        let is_own = match echoed {
            Some(label) => label == self.label,
            None => connection == ConnectionUse::First,
        };
        if !is_own {
            return Err(Fault::Mismatch);
        }
        Ok(Attempt { label: self.label, state: Replied(()) })
    }

    /// Makes the attempt pending again after the connection returned it with nothing written.
    pub fn into_pending(self) -> Attempt<Pending> {
        Attempt { label: self.label, state: Pending(()) }
    }

    /// Ends the attempt with an unknown outcome.
    pub fn fail<A>(self, fault: Fault) -> Outcome<A> {
        let Dispatched(()) = self.state;
        Outcome::Unknown(fault)
    }
}

impl Attempt<Replied> {
    /// Ends the attempt with an answer, which must be complete.
    pub fn complete<A>(self, raw: RawAnswer<A>) -> Outcome<A> {
        if raw.stated_length.is_some_and(|stated| stated != raw.received_length) {
            Outcome::Unknown(Fault::Truncated)
        } else {
            Outcome::Answer(raw.answer)
        }
    }

    /// Ends the attempt as not run, by the upstream's explicit refusal.
    pub fn refused_by_upstream<A>(self, refusal: UpstreamRefusal) -> Outcome<A> {
        let Replied(()) = self.state;
        let (why, held) = match refusal {
            UpstreamRefusal::Shed => (NotRunCode::Shed, None),
            UpstreamRefusal::Draining => (NotRunCode::Leaving, None),
            UpstreamRefusal::Replaced => (NotRunCode::Replaced, None),
            UpstreamRefusal::NotHeld(held) => (NotRunCode::NotHeld, held),
            UpstreamRefusal::TooLate => (NotRunCode::TooLate, None),
        };
        Outcome::NotRun(NotRun { why, held })
    }
}

impl NotRunCode {
    /// Returns the word used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            NotRunCode::NotConnected => "not-connected",
            NotRunCode::NoConnection => "no-connection",
            NotRunCode::TooLate => "too-late",
            NotRunCode::Leaving => "leaving",
            NotRunCode::Shed => "shed",
            NotRunCode::BackingOff => "backing-off",
            NotRunCode::RateLimited => "rate-limited",
            NotRunCode::Replaced => "replaced",
            NotRunCode::NotHeld => "not-held",
            NotRunCode::NoReplica => "no-replica",
            NotRunCode::NoSnapshot => "no-snapshot",
            NotRunCode::PlatformAway => "platform-away",
            NotRunCode::PlatformRestored => "platform-restored",
            NotRunCode::KeyReused => "key-reused",
            NotRunCode::UnknownService => "unknown-service",
            NotRunCode::Overloaded => "overloaded",
            NotRunCode::Stopping => "stopping",
        }
    }
}

impl Fault {
    /// Returns the word used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Fault::Lost => "lost",
            Fault::Timeout => "timeout",
            Fault::Truncated => "truncated",
            Fault::Mismatch => "mismatch",
            Fault::TooLarge => "too-large",
            Fault::Upstream => "upstream",
            Fault::Unsettled => "unsettled",
        }
    }
}
