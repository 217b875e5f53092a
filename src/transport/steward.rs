//! The steward's side of a sub-request: admission, the lease check before each send, and the call.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio_util::sync::{CancellationToken, DropGuard};

use crate::coordination::admission::{Done, Gate, Moves, Waits};
use crate::coordination::attempt::{Attempt, Fault, Outcome, Waiting, Why};
use crate::coordination::leases::{Lease, Share};
use crate::protocol::peer::{Work, WorkReply};
use crate::protocol::upstream::{Call, Ended};
use crate::state::arena::UpstreamKey;
use crate::transport::node::Node;

/// A request that waits at a gate.
pub(crate) type Waiter = oneshot::Sender<Result<Slot, Why>>;

impl Waits for Waiter {
    fn gone(&self) -> bool {
        self.is_closed()
    }
}

/// A slot at an upstream; it is given back when this is dropped.
pub(crate) struct Slot {
    node: Arc<Node>,
    key: UpstreamKey,
    done: Done,
}

impl Drop for Slot {
    fn drop(&mut self) {
        let now = self.node.now();
        let moves = self.node.gates.with(self.key, |gate| {
            gate.done(self.done, now);
            gate.pump(now)
        });
        if let Some(moves) = moves {
            apply(&self.node, self.key, moves);
        }
    }
}

/// Tells waiting requests what became of them, and comes back when the gate wants to be pumped.
pub(crate) fn apply(node: &Arc<Node>, key: UpstreamKey, moves: Moves<Waiter>) {
    for (tx, why) in moves.refuse {
        node.metrics.steward_refusals.with_label_values(&[why_name(why)]).inc();
        let _ = tx.send(Err(why));
    }
    for tx in moves.start {
        // a slot that nobody takes is given back as it is dropped
        let _ = tx.send(Ok(Slot { node: node.clone(), key, done: Done::Neither }));
    }
    if let Some(at) = moves.wake {
        let node = node.clone();
        tokio::spawn(async move {
            node.clock.sleep_until(at).await;
            pump(&node, key);
        });
    }
}

/// Lets waiting requests at a gate go, as far as it permits.
pub(crate) fn pump(node: &Arc<Node>, key: UpstreamKey) {
    let now = node.now();
    if let Some(moves) = node.gates.with(key, |gate| gate.pump(now)) {
        apply(node, key, moves);
    }
}

/// Returns the name of a reason, for counters.
pub(crate) fn why_name(why: Why) -> &'static str {
    match why {
        Why::NoSteward => "no-steward",
        Why::NotSteward => "not-steward",
        Why::QueueFull => "queue-full",
        Why::TooLate => "too-late",
        Why::Ejected => "ejected",
        Why::Leaving => "leaving",
        Why::Shed => "shed",
        Why::NotHeld => "not-held",
        _ => "other",
    }
}

/// Runs a sub-request as steward of its upstream.
pub(crate) async fn run(node: &Arc<Node>, work: Work) -> WorkReply {
    let attempt = Attempt::new(work.label.clone());
    let Some(key) = node.catalog().upstream_key(&work.upstream) else {
        return reply(attempt.refuse(Why::NoReplica));
    };
    let lease = node.lease(key);
    if lease.share == Share::None {
        return elsewhere(node, key, attempt.refuse(Why::NotSteward));
    }
    let outcome = match admit(node, key, &work, lease).await {
        Err(why) => attempt.refuse(why),
        Ok(slot) => send(node, key, work, attempt, slot).await,
    };
    let news = node.gates.with(key, |gate| gate.news());
    WorkReply { outcome, news, holder: None }
}

fn reply(outcome: Outcome) -> WorkReply {
    WorkReply { outcome, news: None, holder: None }
}

/// Names the instance that this one has granted the lease to.
fn elsewhere(node: &Node, key: UpstreamKey, outcome: Outcome) -> WorkReply {
    let now = node.now();
    let owner = node.owner(key);
    let holder = owner.and_then(|o| node.leases.lock().granted_to(o.bucket, now).cloned());
    WorkReply { outcome, news: None, holder: holder.filter(|h| *h != node.me.id) }
}

/// Runs `f` on the gate of an upstream, brought in line with the lease; a missing gate is built.
pub(crate) fn with_gate<R>(
    node: &Node,
    key: UpstreamKey,
    lease: Lease,
    f: impl FnOnce(&mut Gate<Waiter>) -> R,
) -> Option<R> {
    let (now, catalog) = (node.now(), node.catalog());
    let up = catalog.upstream(key)?;
    let bear = node.bear(up.bear);
    let make = || {
        let mut gate = Gate::new(bear, now);
        gate.configure(bear, up.open);
        gate
    };
    let run = |gate: &mut Gate<Waiter>| {
        node.align(gate, &up.name, lease, now);
        f(gate)
    };
    Some(node.gates.with_or(key, make, run))
}

async fn admit(node: &Arc<Node>, key: UpstreamKey, work: &Work, lease: Lease) -> Result<Slot, Why> {
    let (tx, rx) = oneshot::channel();
    let now = node.now();
    let deadline = now + Duration::from_micros(work.left_us);
    let offer = |gate: &mut Gate<Waiter>| gate.offer(tx, deadline, work.idempotent, now);
    let moves = with_gate(node, key, lease, offer).ok_or(Why::NoReplica)?;
    apply(node, key, moves);
    rx.await.unwrap_or(Err(Why::NoSteward))
}

/// Sends an admitted request; if the caller goes, the upstream is asked to stop and the slot is
/// given back when the upstream has.
async fn send(
    node: &Arc<Node>,
    key: UpstreamKey,
    work: Work,
    attempt: Attempt<Waiting>,
    slot: Slot,
) -> Outcome {
    let lease = node.lease(key);
    let (now, Some(target)) = (node.now(), node.target(key)) else {
        return attempt.refuse(Why::NoReplica);
    };
    if lease.share == Share::None {
        return attempt.refuse(Why::NotSteward);
    }
    let mut left = Duration::from_micros(work.left_us);
    let mut patience = None;
    if work.idempotent {
        // work that outlives the lease could meet that of the next steward
        left = left.min(lease.until.since(now));
        patience = node.gates.with(key, |gate| gate.patience());
    }
    node.metrics.steward_runs.inc();
    let cancel = CancellationToken::new();
    let guard = work.idempotent.then(|| cancel.clone().drop_guard());
    let call = Call { attempt, body: work.body, left, patience, cancel };
    let call = call_and_note(node.clone(), key, call, target, slot);
    let outcome = tokio::spawn(call).await;
    disarm(guard);
    outcome.unwrap_or(Outcome::Unknown(Fault::Lost))
}

fn disarm(guard: Option<DropGuard>) {
    if let Some(guard) = guard {
        guard.disarm();
    }
}

async fn call_and_note(
    node: Arc<Node>,
    key: UpstreamKey,
    call: Call,
    target: crate::protocol::upstream::Target,
    mut slot: Slot,
) -> Outcome {
    let Ended { outcome, done, told } = node.upstreams.call(target, call).await;
    slot.done = done;
    if let Some(told) = told {
        let now = node.now();
        node.gates.with(key, |gate| gate.told(told.boot, told.held, told.draining, now));
    }
    outcome
}
