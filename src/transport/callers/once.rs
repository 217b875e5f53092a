//! Non-idempotent requests with an idempotency key.
//!
//! A claim is stored on the platform before the request is sent, and settled with its outcome.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use crate::coordination::attempt::{Fault, NotRunCode, Outcome};
use crate::coordination::once::{
    Claim, ClaimAction, Expected, Rewrite, Step, StoreEra, WriteOutcome, rewrite_step,
    settle_claim, step_after_create, step_after_read, step_before_create,
};
use crate::protocol::caller::{Part, Refusal, RequestAnswer, RequestOptions};
use crate::protocol::platform::{Platform, PlatformError, claim_key};
use crate::state::hash;
use crate::transport::callers::query::send_non_idempotent;
use crate::transport::node::Node;
use crate::transport::upstreams::tier::RequestGuard;

/// Maximum size of an answer that is recorded for replay to a caller who repeats the request.
const MAX_RECORDED_ANSWER_BYTES: usize = 64 << 10;

/// Runs a non-idempotent request, at most once per idempotency key if it has one; it is in flight for as long as it runs.
pub(crate) async fn run_request(
    node: &Arc<Node>,
    service: &str,
    options: RequestOptions,
    body: Bytes,
    in_flight: RequestGuard,
) -> Result<RequestAnswer, Refusal> {
    let Some(key) = options.key.clone() else {
        let (shard, body) = send_non_idempotent(node, service, &options, body).await?;
        return Ok(RequestAnswer { replayed: false, part: Part::new(shard, body) });
    };
    if node.catalog().service(service).is_none() {
        return Err(Refusal::not_run(NotRunCode::UnknownService));
    }
    let (node, service) = (node.clone(), service.to_owned());
    // in its own task, so that the claim is settled even if the caller disconnects
    let request = tokio::spawn(async move {
        let _in_flight = in_flight;
        KeyedRequest::new(node, service, key, &body).run(options, body).await
    });
    request.await.unwrap_or(Err(Refusal::OutcomeUnknown { reason: Fault::Lost }))
}

/// Delay before the claim of a request in flight is read again; it doubles each time.
const INITIAL_POLL_DELAY: Duration = Duration::from_millis(20);
/// Maximum wait for the answer of a request in flight if the caller set no deadline.
const DEFAULT_WAIT: Duration = Duration::from_millis(1_000);
/// Pause between two looks whether the platform has lost claims.
const REWRITE_INTERVAL: Duration = Duration::from_millis(500);

struct KeyedRequest {
    node: Arc<Node>,
    service: String,
    object_key: String,
    claim: Claim,
    /// The claim's object on the platform.
    object: Expected,
}

impl KeyedRequest {
    fn new(node: Arc<Node>, service: String, key: String, body: &[u8]) -> Self {
        let claim = Claim { token: node.next_id(), digest: hash::body_digest(body), answer: None };
        let object = Expected::version(0);
        Self { object_key: claim_key(&service, &key), node, service, claim, object }
    }

    async fn run(mut self, options: RequestOptions, body: Bytes) -> Result<RequestAnswer, Refusal> {
        match self.acquire_claim(&options).await {
            Step::Send => {}
            Step::Replay(answer) => {
                return serde_json::from_str(&answer)
                    .map(|part| RequestAnswer { replayed: true, part })
                    .map_err(|_| Refusal::OutcomeUnknown { reason: Fault::Unsettled });
            }
            Step::Refuse(NotRunCode::PlatformRestored) => return Err(self.refuse_restored()),
            Step::Withdraw => {
                self.remove_claim().await;
                return Err(self.refuse_restored());
            }
            Step::Refuse(reason) => return Err(Refusal::not_run(reason)),
            Step::Unsettled(reason) => return Err(Refusal::OutcomeUnknown { reason }),
            Step::ReadBack => return Err(Refusal::not_run(NotRunCode::PlatformAway)),
        }
        let era = self.object.era.unwrap_or_default();
        let (claim, now) = (self.claim.clone(), self.node.now());
        self.node.recent_claims.lock().record(&self.object_key, claim, era, now);
        let result = send_non_idempotent(&self.node, &self.service, &options, body).await;
        let answer = result.map(|(shard, body)| Part::new(shard, body));
        self.settle(&answer).await;
        answer.map(|part| RequestAnswer { replayed: false, part })
    }

    /// Claims the key; waits for the answer of an earlier request with the key that is in flight.
    async fn acquire_claim(&mut self, options: &RequestOptions) -> Step {
        let mut step = self.create_claim().await;
        let mut delay = INITIAL_POLL_DELAY;
        let deadline = self.node.now() + options.deadline.unwrap_or(DEFAULT_WAIT);
        while matches!(step, Step::Unsettled(_)) && self.node.now() + delay < deadline {
            tokio::time::sleep(delay).await;
            delay *= 2;
            step = self.read_claim().await;
        }
        step
    }

    async fn create_claim(&mut self) -> Step {
        if let Some(step) = step_before_create(self.node.platform.era()) {
            return match self.read_claim().await {
                Step::Refuse(NotRunCode::PlatformAway) => step,
                found => found,
            };
        }
        let value = serde_json::to_string(&self.claim).unwrap_or_default();
        // the era before the write: the claim is of this one or of a later one, and is rewritten for nothing at worst
        let era = self.node.platform.era().map(|era| era.number);
        let expected = Expected::version(0);
        let written = match self.platform().map(|p| p.put(&self.object_key, value, expected)) {
            Some(put) => put.await,
            None => return Step::Refuse(NotRunCode::PlatformAway),
        };
        match written {
            Err(_) => Step::Refuse(NotRunCode::PlatformAway),
            Ok((written, version)) => {
                self.object = Expected { version, era };
                match step_after_create(written, self.node.platform.era()) {
                    Step::ReadBack => self.read_claim().await,
                    step => step,
                }
            }
        }
    }

    async fn read_claim(&mut self) -> Step {
        let Some(platform) = self.platform() else { return Step::Refuse(NotRunCode::PlatformAway) };
        let found = match read_claim_object(platform, &self.object_key).await {
            Err(_) => None,
            Ok(None) => Some(None),
            Ok(Some((claim, object))) => {
                self.object = object;
                Some(Some(claim))
            }
        };
        step_after_read(found, &self.claim, self.node.platform.era())
    }

    /// Refuses a request with a key that may have been used in the lost time.
    fn refuse_restored(&self) -> Refusal {
        let left = self.node.platform.era().and_then(StoreEra::rewrite_time_left);
        Refusal::NotRun {
            reason: NotRunCode::PlatformRestored,
            retry_after_ms: left.map(|left| left.as_millis() as u64),
        }
    }

    /// Returns the platform and counts a call; none if an injected fault cuts it off.
    fn platform(&self) -> Option<&dyn Platform> {
        claims_platform(&self.node)
    }

    /// Records the answer in the claim, or removes the claim if the request was not run.
    ///
    /// The claim stays as it is if the outcome is unknown or the answer is too large to record.
    async fn settle(&mut self, answer: &Result<Part, Refusal>) {
        let action = match answer {
            Ok(_) => settle_claim(&Outcome::Answer(())),
            Err(Refusal::OutcomeUnknown { reason }) => {
                settle_claim(&Outcome::<()>::Unknown(*reason))
            }
            Err(_) => ClaimAction::Remove,
        };
        match (action, answer) {
            (ClaimAction::Record, Ok(part)) => {
                let text = serde_json::to_string(part).unwrap_or_default();
                if text.len() <= MAX_RECORDED_ANSWER_BYTES {
                    self.record_answer(text).await;
                }
            }
            (ClaimAction::Remove, _) => {
                self.node.recent_claims.lock().forget(&self.object_key);
                self.remove_claim().await;
            }
            _ => {}
        }
    }

    async fn record_answer(&mut self, text: String) {
        self.node.recent_claims.lock().record_answer(&self.object_key, &text, self.node.now());
        self.claim.answer = Some(text);
        let value = serde_json::to_string(&self.claim).unwrap_or_default();
        let Some(platform) = self.platform() else { return };
        let written = platform.put(&self.object_key, value, self.object).await;
        if matches!(written, Ok((WriteOutcome::Applied, _))) {
            return;
        }
        log::warn!("cannot record the answer in claim {}", self.object_key);
        // the claim may have been written again meanwhile, without the answer
        self.node.recent_claims.lock().record_unwritten(&self.object_key);
    }

    async fn remove_claim(&self) {
        if let Err(e) = self.try_remove_claim().await {
            log::warn!("cannot remove claim {}: {e}", self.object_key);
        }
    }

    async fn try_remove_claim(&self) -> Result<(), PlatformError> {
        let Some(platform) = self.platform() else { return Ok(()) };
        let mut object = self.object;
        if platform.era().map(|era| era.number) != object.era {
            match read_claim_object(platform, &self.object_key).await? {
                Some((found, at)) if found.token == self.claim.token => object = at,
                _ => return Ok(()),
            }
        }
        platform.remove(&self.object_key, object).await.map(drop)
    }
}

/// Returns the platform and counts a call about a claim; none if an injected fault cuts it off.
fn claims_platform(node: &Node) -> Option<&dyn Platform> {
    node.tier.metrics.platform_calls.with_label_values(&["claim"]).inc();
    (!node.peers.faults.is_platform_cut()).then_some(node.platform.as_ref())
}

/// Reads a claim and what a write to it must expect.
async fn read_claim_object(
    platform: &dyn Platform,
    key: &str,
) -> Result<Option<(Claim, Expected)>, PlatformError> {
    // the era before the read: a write that expects an earlier one than that of the version fails
    let era = platform.era().map(|era| era.number);
    let Some(object) = platform.get(key).await? else { return Ok(None) };
    let claim = serde_json::from_str(&object.value).map_err(|e| PlatformError(e.to_string()))?;
    Ok(Some((claim, Expected { version: object.version, era })))
}

/// Writes the claims of this instance again that the platform lost when it came back from an older copy.
pub(crate) async fn rewrite_lost_claims(node: Arc<Node>) {
    loop {
        tokio::time::sleep(REWRITE_INTERVAL).await;
        let Some(era) = node.platform.era() else { continue };
        let lost = node.recent_claims.lock().lost(era.number, node.now());
        for (key, claim) in lost {
            match rewrite_claim(&node, &key, &claim).await {
                Ok(true) => {
                    node.recent_claims.lock().record_written(&key, &claim, era.number);
                }
                Ok(false) => {}
                Err(e) => {
                    log::warn!("cannot write claim {key} again: {e}");
                    break;
                }
            }
        }
    }
}

/// Writes a claim again; returns whether nothing is left to do for it in this era.
async fn rewrite_claim(node: &Node, key: &str, claim: &Claim) -> Result<bool, PlatformError> {
    let Some(platform) = claims_platform(node) else { return Ok(false) };
    let era = platform.era();
    let created = Expected { version: 0, era: era.map(|era| era.number) };
    let value = serde_json::to_string(claim).unwrap_or_default();
    if platform.put(key, value.clone(), created).await?.0 == WriteOutcome::Applied {
        log::info!("claim {key}, which the platform has lost, is written again");
        return Ok(true);
    }
    let (Some((found, object)), Some(era)) = (read_claim_object(platform, key).await?, era) else {
        return Ok(false);
    };
    match rewrite_step(&found, claim, era) {
        Rewrite::Done => Ok(true),
        Rewrite::Replace => Ok(platform.put(key, value, object).await?.0 == WriteOutcome::Applied),
        Rewrite::TooLate => {
            log::error!("claim {key} was lost and is another request's now; it may have run twice");
            Ok(true)
        }
    }
}
