//! An attempt at one upstream, as a typestate: only one that was never handed to a connection can
//! be refused as not run by us; after that only the upstream's own word counts.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::state::fleet::Snapshot;
use crate::state::news::Held;

/// Why a request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Why {
    /// No instance acts for the upstream now.
    NoSteward,
    /// The instance asked does not act for the upstream.
    NotSteward,
    /// The link to the instance that acts for the upstream is down.
    PeerUnreachable,
    /// No connection to the upstream could be opened.
    NotConnected,
    /// The queue at the upstream is full.
    QueueFull,
    /// It could not have been done before its deadline.
    TooLate,
    /// The upstream is ejected.
    Ejected,
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
    /// It was cancelled before it ran.
    Cancelled,
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
    /// The peer that relays was lost after it had been asked.
    PeerLost,
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
    held: Option<Held>,
}

impl NotRun {
    /// Returns the reason.
    pub fn why(&self) -> Why {
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

/// What an attempt is for; the upstream echoes all of it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Label {
    /// The caller's request.
    pub request: u64,
    /// The attempt; unique among all attempts of the request.
    pub attempt: u64,
    /// The shard.
    pub shard: String,
    /// The snapshot; none for a request that is not a query.
    pub snapshot: Option<Snapshot>,
}

/// An upstream's answer as decoded, not yet checked.
#[derive(Clone, Debug)]
pub struct RawAnswer {
    /// The label that the upstream echoed.
    pub label: Label,
    /// The length that the upstream stated.
    pub length: usize,
    /// The body.
    pub body: Bytes,
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
    NotHeld(Option<Held>),
    /// The deadline had passed when it would have begun.
    TooLate,
    /// It was cancelled before it had an effect.
    Cancelled,
}

/// State of an attempt that waits; nothing has been written.
#[derive(Debug)]
pub struct Waiting(());

/// State of an attempt that was handed to a connection or to a peer.
#[derive(Debug)]
pub struct Handed(());

/// An attempt in life cycle state `S`, known to the upstream by a label of type `L`.
#[derive(Debug)]
pub struct Attempt<S, L = Label> {
    label: L,
    state: S,
}

impl<L: PartialEq> Attempt<Waiting, L> {
    /// Begins an attempt.
    pub fn new(label: L) -> Self {
        Attempt { label, state: Waiting(()) }
    }

    /// Refuses the attempt, truly: it was never handed over.
    pub fn refuse<A>(self, why: Why) -> Outcome<A> {
        Outcome::NotRun(NotRun { why, held: None })
    }

    /// Returns what the attempt is for.
    pub fn label(&self) -> &L {
        &self.label
    }

    /// Hands the attempt over; from here on we cannot refuse it ourselves.
    pub fn hand(self) -> Attempt<Handed, L> {
        Attempt { label: self.label, state: Handed(()) }
    }
}

impl Attempt<Handed> {
    /// Settles the attempt with an answer, which counts only when whole and for this attempt.
    pub fn answer(self, raw: RawAnswer) -> Outcome {
        if raw.length != raw.body.len() {
            Outcome::Unknown(Fault::Truncated)
        } else if raw.label != self.label {
            Outcome::Unknown(Fault::Mismatch)
        } else {
            Outcome::Answer(raw.body)
        }
    }
}

impl<L: PartialEq> Attempt<Handed, L> {
    /// Settles the attempt with a whole answer, which counts only if its echoed label is this one.
    pub fn echoed<A>(self, label: Option<&L>, answer: A) -> Outcome<A> {
        if label.is_some_and(|l| *l != self.label) {
            Outcome::Unknown(Fault::Mismatch)
        } else {
            Outcome::Answer(answer)
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
            Said::Cancelled => (Why::Cancelled, None),
        };
        Outcome::NotRun(NotRun { why, held })
    }

    /// Takes the attempt back: the connection returned it whole, without having written any of it.
    pub fn unsent(self) -> Attempt<Waiting, L> {
        Attempt { label: self.label, state: Waiting(()) }
    }

    /// Settles the attempt as unknown.
    pub fn lost<A>(self, fault: Fault) -> Outcome<A> {
        let Handed(()) = self.state;
        Outcome::Unknown(fault)
    }

    /// Settles the attempt with what the peer that relayed it reports.
    pub fn relayed<A>(self, outcome: Outcome<A>) -> Outcome<A> {
        outcome
    }
}
