//! At most one run per idempotency key, whichever instances the caller's retries reach.
//!
//! The key is claimed by a conditional create in the platform before anything is sent. If the answer to
//! the create is lost, the claim is read back and its token compared.
//!
//! The platform may come back from an older copy, without the claims of its last seconds. The instances that made them write
//! them again; nothing runs under a key that seems unused until they have had the time to.

use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::coordination::attempt::{Fault, NotRunCode, Outcome};
use crate::state::time::Tick;

/// Time after a restore in which lost claims are written again. An instance hears of a restore from its read of the instance
/// list, every two seconds, in one call, and writes in the next second.
const REWRITE_TIME: Duration = Duration::from_secs(6);
/// Time for which an instance remembers a claim: the most that a restore may go back, and the time until it is heard of.
const CLAIM_MEMORY_TIME: Duration = Duration::from_secs(60);
/// Limit on the answers in remembered claims, in bytes; the oldest claims are forgotten first.
const MAX_REMEMBERED_BYTES: usize = 16 << 20;
/// What a claim without its answer takes, in bytes.
const CLAIM_BYTES: usize = 256;

/// What the platform states of the era of its store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreEra {
    /// Rises each time the store comes back from an older copy.
    pub number: u64,
    /// Time since it last did, at least; `None` if it never has.
    pub restored: Option<Duration>,
}

impl StoreEra {
    /// Returns the time for which lost claims may still be written again.
    pub fn rewrite_time_left(self) -> Option<Duration> {
        let left = REWRITE_TIME.saturating_sub(self.restored?);
        (!left.is_zero()).then_some(left)
    }
}

fn is_rewriting(era: Option<StoreEra>) -> bool {
    era.is_some_and(|era| era.rewrite_time_left().is_some())
}

/// What a conditional write expects; versions are given out again in the next era.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Expected {
    /// Version of the object; zero if there is none.
    pub version: u64,
    /// Era of the store in which the version was read; `None` for any.
    pub era: Option<u64>,
}

impl Expected {
    /// Expects a version in whichever era.
    pub fn version(version: u64) -> Self {
        Self { version, era: None }
    }
}

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
    /// Remove the claim and refuse the request, which was not sent: the key may have been used in the lost time.
    Withdraw,
    /// Return the recorded answer.
    Replay(String),
    /// Refuse the request, which was not sent.
    Refuse(NotRunCode),
    /// An earlier request with the key is in flight, or its outcome is unknown.
    Unsettled(Fault),
}

/// Returns the step for a request whose key has no claim, before one is created; `None` to create it.
pub fn step_before_create(era: Option<StoreEra>) -> Option<Step> {
    is_rewriting(era).then_some(Step::Refuse(NotRunCode::PlatformRestored))
}

/// Returns the next step after the conditional create; `era` is the latest that is known, that of the reply included.
pub fn step_after_create(written: WriteOutcome, era: Option<StoreEra>) -> Step {
    match written {
        WriteOutcome::Applied if is_rewriting(era) => Step::Withdraw,
        WriteOutcome::Applied => Step::Send,
        WriteOutcome::Conflict | WriteOutcome::Unknown => Step::ReadBack,
    }
}

/// Returns the next step after reading the claim back; `found` is `None` if the platform did not answer.
pub fn step_after_read(found: Option<Option<Claim>>, mine: &Claim, era: Option<StoreEra>) -> Step {
    let Some(found) = found else { return Step::Refuse(NotRunCode::PlatformAway) };
    match found {
        None => Step::Refuse(NotRunCode::PlatformAway),
        Some(claim) if claim.token == mine.token && is_rewriting(era) => Step::Withdraw,
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

/// What to do about a lost claim whose key has a claim again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rewrite {
    /// Nothing: the claim is there.
    Done,
    /// Replace the one that is there.
    Replace,
    /// Nothing: another request may have run under the key.
    TooLate,
}

/// Returns what to do about a lost claim of an own request; `found` is the claim that its key has in the new era.
///
/// A claim of another request is of the copy, where its request was refused later, or of one that is being withdrawn.
pub fn rewrite_step(found: &Claim, mine: &Claim, era: StoreEra) -> Rewrite {
    if found == mine {
        Rewrite::Done
    } else if found.token == mine.token || era.rewrite_time_left().is_some() {
        Rewrite::Replace
    } else {
        Rewrite::TooLate
    }
}

struct RecentClaim {
    claim: Claim,
    /// Era in which the platform has the claim, or an earlier one.
    era: u64,
    made_at: Tick,
}

impl RecentClaim {
    fn bytes(&self) -> usize {
        CLAIM_BYTES + self.claim.answer.as_ref().map_or(0, String::len)
    }
}

/// The claims that an instance made in the last minute, by object key.
#[derive(Default)]
pub struct RecentClaims {
    claims: IndexMap<String, RecentClaim>,
    bytes: usize,
}

impl RecentClaims {
    /// Records a claim before its request is sent; `era` is the latest that was known before it was created.
    pub fn record(&mut self, key: &str, claim: Claim, era: u64, now: Tick) {
        self.forget(key);
        let recent = RecentClaim { claim, era, made_at: now };
        self.bytes += recent.bytes();
        self.claims.insert(key.to_owned(), recent);
        self.drop_old(now);
    }

    /// Records the answer to a claim's request.
    pub fn record_answer(&mut self, key: &str, answer: &str, now: Tick) {
        let Some(recent) = self.claims.get_mut(key) else { return };
        recent.claim.answer = Some(answer.to_owned());
        self.bytes += answer.len();
        self.drop_old(now);
    }

    /// Forgets the claim of a request that was not run.
    pub fn forget(&mut self, key: &str) {
        if let Some(recent) = self.claims.shift_remove(key) {
            self.bytes -= recent.bytes();
        }
    }

    /// Records that the platform has this claim in this era.
    pub fn record_written(&mut self, key: &str, claim: &Claim, era: u64) {
        if let Some(recent) = self.claims.get_mut(key).filter(|r| r.claim == *claim) {
            recent.era = era;
        }
    }

    /// Records that the platform may not have the claim as it is known here.
    pub fn record_unwritten(&mut self, key: &str) {
        if let Some(recent) = self.claims.get_mut(key) {
            recent.era = 0;
        }
    }

    /// Returns the claims that the platform is not known to have in this era, with their keys.
    pub fn lost(&mut self, era: u64, now: Tick) -> Vec<(String, Claim)> {
        self.drop_old(now);
        let lost = self.claims.iter().filter(|(_, recent)| recent.era < era);
        lost.map(|(key, recent)| (key.clone(), recent.claim.clone())).collect()
    }

    /// Returns whether there are none.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    fn drop_old(&mut self, now: Tick) {
        let is_old = |recent: &RecentClaim| now.since(recent.made_at) > CLAIM_MEMORY_TIME;
        while let Some((_, oldest)) = self.claims.first()
            && (is_old(oldest) || self.bytes > MAX_REMEMBERED_BYTES)
        {
            self.bytes -= oldest.bytes();
            self.claims.shift_remove_index(0);
        }
    }
}
