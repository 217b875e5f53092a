//! Non-idempotent requests with an idempotency key.
//!
//! A claim is stored on the platform before the request is sent, and settled with its outcome.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use crate::coordination::attempt::{Fault, NotRunCode, Outcome};
use crate::coordination::once::{
    Claim, ClaimAction, Step, WriteOutcome, settle_claim, step_after_create, step_after_read,
};
use crate::protocol::caller::{Part, Refusal, RequestAnswer, RequestOptions};
use crate::protocol::platform::claim_key;
use crate::state::hash;
use crate::transport::callers::query::send_non_idempotent;
use crate::transport::node::Node;

/// Maximum size of an answer that is recorded for replay to a caller who repeats the request.
const MAX_RECORDED_ANSWER_BYTES: usize = 64 << 10;

/// Runs a non-idempotent request, at most once per idempotency key if it has one.
pub(crate) async fn run_request(
    node: &Arc<Node>,
    service: &str,
    options: RequestOptions,
    body: Bytes,
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
        KeyedRequest::new(node, service, key, &body).run(options, body).await
    });
    request.await.unwrap_or(Err(Refusal::OutcomeUnknown { reason: Fault::Lost }))
}

/// Delay before the claim of a request in flight is read again; it doubles each time.
const INITIAL_POLL_DELAY: Duration = Duration::from_millis(20);
/// Maximum wait for the answer of a request in flight if the caller set no deadline.
const DEFAULT_WAIT: Duration = Duration::from_millis(1_000);

struct KeyedRequest {
    node: Arc<Node>,
    service: String,
    object_key: String,
    claim: Claim,
    version: u64,
}

impl KeyedRequest {
    fn new(node: Arc<Node>, service: String, key: String, body: &[u8]) -> Self {
        let claim = Claim { token: node.next_id(), digest: hash::body_digest(body), answer: None };
        Self { object_key: claim_key(&service, &key), node, service, claim, version: 0 }
    }

    async fn run(mut self, options: RequestOptions, body: Bytes) -> Result<RequestAnswer, Refusal> {
        match self.acquire_claim(&options).await {
            Step::Send => {}
            Step::Replay(answer) => {
                return serde_json::from_str(&answer)
                    .map(|part| RequestAnswer { replayed: true, part })
                    .map_err(|_| Refusal::OutcomeUnknown { reason: Fault::Unsettled });
            }
            Step::Refuse(reason) => return Err(Refusal::not_run(reason)),
            Step::Unsettled(reason) => return Err(Refusal::OutcomeUnknown { reason }),
            Step::ReadBack => return Err(Refusal::not_run(NotRunCode::PlatformAway)),
        }
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
        let value = serde_json::to_string(&self.claim).unwrap_or_default();
        let written = match self.platform().map(|p| p.put(&self.object_key, value, 0)) {
            Some(put) => put.await,
            None => return Step::Refuse(NotRunCode::PlatformAway),
        };
        match written {
            Err(_) => Step::Refuse(NotRunCode::PlatformAway),
            Ok((written, version)) => {
                self.version = version;
                match step_after_create(written) {
                    Step::ReadBack => self.read_claim().await,
                    step => step,
                }
            }
        }
    }

    async fn read_claim(&mut self) -> Step {
        let Some(platform) = self.platform() else { return Step::Refuse(NotRunCode::PlatformAway) };
        let found = match platform.get(&self.object_key).await {
            Err(_) => None,
            Ok(None) => Some(None),
            Ok(Some(object)) => match serde_json::from_str::<Claim>(&object.value) {
                Ok(claim) => {
                    self.version = object.version;
                    Some(Some(claim))
                }
                Err(_) => None,
            },
        };
        step_after_read(found, &self.claim)
    }

    /// Returns the platform and counts a call; none if an injected fault cuts it off.
    fn platform(&self) -> Option<&dyn crate::protocol::platform::Platform> {
        self.node.tier.metrics.platform_calls.with_label_values(&["claim"]).inc();
        (!self.node.peers.faults.is_platform_cut()).then_some(self.node.platform.as_ref())
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
        let Some(platform) = self.platform() else { return };
        match (action, answer) {
            (ClaimAction::Record, Ok(part)) => {
                let text = serde_json::to_string(part).unwrap_or_default();
                if text.len() > MAX_RECORDED_ANSWER_BYTES {
                    return;
                }
                let claim = Claim { answer: Some(text), ..self.claim.clone() };
                let value = serde_json::to_string(&claim).unwrap_or_default();
                let written = platform.put(&self.object_key, value, self.version).await;
                if !matches!(written, Ok((WriteOutcome::Applied, _))) {
                    log::warn!("cannot record the answer in claim {}", self.object_key);
                }
            }
            (ClaimAction::Remove, _) => {
                if let Err(e) = platform.remove(&self.object_key, self.version).await {
                    log::warn!("cannot remove claim {}: {e}", self.object_key);
                }
            }
            _ => {}
        }
    }
}
