//! At most one run for each idempotency key, through whatever instance its caller retries.
//!
//! The key is claimed by a conditional create in the platform before anything is sent. A lost answer
//! is settled by reading back one's own token.

use serde::{Deserialize, Serialize};

use crate::coordination::attempt::{Fault, NotRunCode, Outcome};

/// The platform's record of an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Claim {
    /// Mark of the request that made it.
    pub token: u64,
    /// Digest of the request's body.
    pub digest: u64,
    /// The answer, once there is one.
    pub answer: Option<String>,
}

/// What a write to the platform came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It took effect.
    Applied,
    /// The object exists or has another version.
    Conflict,
    /// The answer was lost: it may have taken effect.
    Unknown,
}

/// What to do next for a request with an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Read the record back.
    ReadBack,
    /// Send the request: the claim is ours.
    Send,
    /// Give the recorded answer again.
    Replay(String),
    /// Refuse: it was not run by this request, and no run of the key is under way.
    Refuse(NotRunCode),
    /// An earlier request with the key is under way, or its outcome is unknown.
    Unsettled(Fault),
}

/// Decides after the conditional create.
pub fn step_after_create(written: WriteOutcome) -> Step {
    match written {
        WriteOutcome::Applied => Step::Send,
        WriteOutcome::Conflict | WriteOutcome::Unknown => Step::ReadBack,
    }
}

/// Decides after the read back; `found` is `None` when the platform did not answer.
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

/// What becomes of a claim when its request has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimAction {
    /// Record the answer.
    Record,
    /// Remove the claim: nothing was run, so the caller may use the key again.
    Remove,
    /// Keep the claim: nothing else may run under the key.
    Keep,
}

/// Decides what becomes of a claim.
pub fn settle_claim<A>(outcome: &Outcome<A>) -> ClaimAction {
    match outcome {
        Outcome::Answer(_) => ClaimAction::Record,
        Outcome::NotRun(_) => ClaimAction::Remove,
        Outcome::Unknown(_) => ClaimAction::Keep,
    }
}
