//! At most one run per idempotency key, whichever instances the caller's retries reach.
//!
//! The key is claimed by a conditional create in the platform before anything is sent. If the answer to
//! the create is lost, the claim is read back and its token compared.

use serde::{Deserialize, Serialize};

use crate::coordination::attempt::{Fault, NotRunCode, Outcome};

/// The platform's record of an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Claim {
    /// Identifies the request that created the claim.
    pub token: u64,
    /// Digest of the request's body.
    pub digest: u64,
    /// The recorded answer, if there is one yet.
    pub answer: Option<String>,
}

/// The outcome of a conditional write to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write took effect.
    Applied,
    /// The object exists or has another version.
    Conflict,
    /// The answer was lost, so the write may have taken effect.
    Unknown,
}

/// The next step for a request with an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Read the claim back.
    ReadBack,
    /// Send the request, since it holds the claim.
    Send,
    /// Return the recorded answer.
    Replay(String),
    /// Refuse the request, which was not sent.
    Refuse(NotRunCode),
    /// An earlier request with the key is in flight, or its outcome is unknown.
    Unsettled(Fault),
}

/// Returns the next step after the conditional create.
pub fn step_after_create(written: WriteOutcome) -> Step {
    match written {
        WriteOutcome::Applied => Step::Send,
        WriteOutcome::Conflict | WriteOutcome::Unknown => Step::ReadBack,
    }
}

/// Returns the next step after reading the claim back; `found` is `None` if the platform did not answer.
pub fn step_after_read(found: Option<Option<Claim>>, mine: &Claim) -> Step {
    let Some(found) = found else { return Step::Refuse(NotRunCode::PlatformAway) };
    match found {
        None => Step::Refuse(NotRunCode::PlatformAway),
        Some(claim) if claim.token == mine.token => Step::Send,
        Some(claim) if claim.digest != mine.digest => Step::Refuse(NotRunCode::KeyReused),
        Some(Claim { answer: Some(answer), .. }) => Step::Replay(answer),
        Some(_) => Step::Unsettled(Fault::Unsettled),
    }
}

/// What to do with a claim when its request has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimAction {
    /// Record the answer.
    Record,
    /// Remove the claim, since the request was not run and the key may be used again.
    Remove,
    /// Keep the claim, since the request may have run and no other may run under the key.
    Keep,
}

/// Returns what to do with the claim of a request that ended with `outcome`.
pub fn settle_claim<A>(outcome: &Outcome<A>) -> ClaimAction {
    match outcome {
        Outcome::Answer(_) => ClaimAction::Record,
        Outcome::NotRun(_) => ClaimAction::Remove,
        Outcome::Unknown(_) => ClaimAction::Keep,
    }
}
