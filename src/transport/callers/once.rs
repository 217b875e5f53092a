//! A non-idempotent request with an idempotency key: claim, send, settle.

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
use crate::transport::callers::query::place;
use crate::transport::node::Node;

/// Most bytes of an answer that is kept for a caller who asks again.
const MOST_KEPT: usize = 64 << 10;

/// Runs a non-idempotent request.
pub(crate) async fn request(
    node: &Arc<Node>,
    service: &str,
    wishes: RequestOptions,
    body: Bytes,
) -> Result<RequestAnswer, Refusal> {
    let Some(key) = wishes.key.clone() else {
        let (shard, body) = place(node, service, &wishes, body).await?;
        return Ok(RequestAnswer { replayed: false, part: Part::new(shard, body) });
    };
    if node.catalog().service(service).is_none() {
        return Err(Refusal::NotRun { reason: NotRunCode::UnknownService });
    }
    let (node, service) = (node.clone(), service.to_owned());
    // the claim is settled even when the caller has gone
    let keyed =
        tokio::spawn(async move { Keyed::new(node, service, key, &body).run(wishes, body).await });
    keyed.await.unwrap_or(Err(Refusal::OutcomeUnknown { reason: Fault::Lost }))
}

/// Time before the record of a request under way is read again; it doubles each time.
const FIRST_WAIT: Duration = Duration::from_millis(20);
/// Longest time to wait for the answer of a request under way, when the caller set no deadline.
const LONGEST_WAIT: Duration = Duration::from_millis(1_000);

struct Keyed {
    node: Arc<Node>,
    service: String,
    object: String,
    claim: Claim,
    version: u64,
}

impl Keyed {
    fn new(node: Arc<Node>, service: String, key: String, body: &[u8]) -> Self {
        let claim = Claim { token: node.next_id(), digest: hash::body_digest(body), answer: None };
        Self { object: claim_key(&service, &key), node, service, claim, version: 0 }
    }

    async fn run(mut self, wishes: RequestOptions, body: Bytes) -> Result<RequestAnswer, Refusal> {
        match self.claim(&wishes).await {
            Step::Send => {}
            Step::Replay(answer) => {
                return serde_json::from_str(&answer)
                    .map(|part| RequestAnswer { replayed: true, part })
                    .map_err(|_| Refusal::OutcomeUnknown { reason: Fault::Unsettled });
            }
            Step::Refuse(reason) => return Err(Refusal::NotRun { reason }),
            Step::Unsettled(reason) => return Err(Refusal::OutcomeUnknown { reason }),
            Step::ReadBack => return Err(Refusal::NotRun { reason: NotRunCode::PlatformAway }),
        }
        let placed = place(&self.node, &self.service, &wishes, body).await;
        let answer = placed.map(|(shard, body)| Part::new(shard, body));
        self.settle(&answer).await;
        answer.map(|part| RequestAnswer { replayed: false, part })
    }

    /// Claims the key; while an earlier request with it is under way, its answer is waited for.
    async fn claim(&mut self, wishes: &RequestOptions) -> Step {
        let mut step = self.create().await;
        let mut wait = FIRST_WAIT;
        let deadline = self.node.now() + wishes.deadline.unwrap_or(LONGEST_WAIT);
        while matches!(step, Step::Unsettled(_)) && self.node.now() + wait < deadline {
            tokio::time::sleep(wait).await;
            wait *= 2;
            step = self.read_back().await;
        }
        step
    }

    async fn create(&mut self) -> Step {
        let value = serde_json::to_string(&self.claim).unwrap_or_default();
        let written = match self.platform().map(|p| p.put(&self.object, value, 0)) {
            Some(put) => put.await,
            None => return Step::Refuse(NotRunCode::PlatformAway),
        };
        match written {
            Err(_) => Step::Refuse(NotRunCode::PlatformAway),
            Ok((written, version)) => {
                self.version = version;
                match step_after_create(written) {
                    Step::ReadBack => self.read_back().await,
                    step => step,
                }
            }
        }
    }

    async fn read_back(&mut self) -> Step {
        let Some(platform) = self.platform() else { return Step::Refuse(NotRunCode::PlatformAway) };
        let found = match platform.get(&self.object).await {
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

    fn platform(&self) -> Option<&dyn crate::protocol::platform::Platform> {
        self.node.tier.meters.platform_calls.with_label_values(&["claim"]).inc();
        (!self.node.peers.faults.is_platform_cut()).then_some(self.node.platform.as_ref())
    }

    async fn settle(&mut self, answer: &Result<Part, Refusal>) {
        let kind = match answer {
            Ok(_) => settle_claim(&Outcome::Answer(())),
            Err(Refusal::OutcomeUnknown { reason }) => {
                settle_claim(&Outcome::<()>::Unknown(*reason))
            }
            Err(_) => ClaimAction::Remove,
        };
        let Some(platform) = self.platform() else { return };
        match (kind, answer) {
            (ClaimAction::Record, Ok(part)) => {
                let text = serde_json::to_string(part).unwrap_or_default();
                if text.len() > MOST_KEPT {
                    return;
                }
                let claim = Claim { answer: Some(text), ..self.claim.clone() };
                let value = serde_json::to_string(&claim).unwrap_or_default();
                let written = platform.put(&self.object, value, self.version).await;
                if !matches!(written, Ok((WriteOutcome::Applied, _))) {
                    log::warn!("the answer to {} could not be recorded", self.object);
                }
            }
            (ClaimAction::Remove, _) => {
                if let Err(e) = platform.remove(&self.object, self.version).await {
                    log::warn!("the claim {} stays: {e}", self.object);
                }
            }
            _ => {}
        }
    }
}
