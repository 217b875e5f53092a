//! The state machine that sends one request to a server of each of its shards.
//!
//! It decides what is sent, when a shard is hedged or retried, and when to answer. A request to a single
//! service has one shard.

use std::time::Duration;

use crate::coordination::attempt::{Fault, NotRunCode};
use crate::coordination::query::MissingReason;
use crate::state::arena::{PoolKey, ServerKey};
use crate::state::time::Tick;

/// Multiple of the hedge delay after which a request that is not dispatched yet is hedged; its connection is being opened,
/// or this process is short of CPU.
const UNDISPATCHED_DELAY_FACTOR: u32 = 2;
/// Delay before a send that the retry budget did not allow is tried again.
const BUDGET_RETRY_DELAY: Duration = Duration::from_millis(15);

/// Time after the soft deadline from which the late ratio applies: what arrives at the deadline is read some milliseconds
/// after it.
const LATE_DELAY: Duration = Duration::from_millis(10);

/// The state that a scatter reads and updates.
pub trait ScatterContext {
    /// Picks a server for a shard that is not in `avoid`.
    fn pick_server(&mut self, pool: PoolKey, avoid: &[ServerKey], now: Tick) -> Option<ServerKey>;
    /// Gives back what picking a server has reserved, since it is not sent the request.
    fn cancel_pick(&mut self, _server: ServerKey) {}
    /// Records a request for a service.
    fn record_request(&mut self, pool: PoolKey, now: Tick);
    /// Takes one extra send from the service's retry budget and returns whether it was allowed.
    fn try_acquire_extra(&mut self, pool: PoolKey, now: Tick) -> bool;
    /// Returns the time after which a server's answer is overdue and the request is hedged.
    fn hedge_delay(&mut self, server: ServerKey) -> Duration;
    /// Returns when the last send to a shard was written to its connection; `None` if it was not yet.
    fn dispatched_at(&self, shard: usize) -> Option<Tick>;
    /// Records that a server's answer is overdue.
    fn record_overdue(&mut self, server: ServerKey, now: Tick);
}

/// Options of one request.
#[derive(Clone, Debug, Default)]
pub struct ScatterOptions {
    /// The shards.
    pub shards: Vec<PoolKey>,
    /// Maximum number of servers that are sent the request, per shard.
    pub max_attempts: usize,
    /// The request may run more than once.
    pub idempotent: bool,
    /// Minimum ratio of shards for an answer, from 0 to 1.
    pub min_shard_ratio: f64,
    /// Ratio of shards that is enough to answer at the soft deadline, if it is above the minimum; the minimum is enough once
    /// no other shard can answer.
    pub soft_shard_ratio: f64,
    /// The same once the answer is late.
    pub late_shard_ratio: f64,
    /// Time from which the ratio of shards is enough to answer.
    pub soft_deadline: Tick,
    /// Time at which the request is given up.
    pub hard_deadline: Tick,
}

/// An instruction to send the request to a server of a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShardSend {
    /// Index of the shard.
    pub shard: usize,
    /// The server.
    pub server: ServerKey,
}

/// The result of sending the request to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendResult {
    /// A complete answer arrived.
    Answered,
    /// Nothing was sent.
    Unsent(NotRunCode),
    /// The server did not run it.
    NotRun(NotRunCode),
    /// There is no answer and the server may have run it.
    Failed(Fault),
    /// As `Failed`, but on a reused connection that may have been broken for long, so the same server
    /// may be tried again on a new connection.
    Broken(Fault),
}

impl SendResult {
    fn missing_reason(self) -> MissingReason {
        match self {
            SendResult::Answered => MissingReason::Deadline,
            SendResult::Unsent(why) | SendResult::NotRun(why) => MissingReason::Refused(why),
            SendResult::Failed(fault) | SendResult::Broken(fault) => MissingReason::Failed(fault),
        }
    }
}

/// What to do for the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Keep waiting.
    Wait,
    /// Answer with the shards that have answered.
    Answer,
    /// Give up without an answer.
    GiveUp {
        /// Whether some server may have run the request.
        ran: bool,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ShardState {
    Open,
    Answered,
    Failed,
}

#[derive(Clone, Debug)]
struct Shard {
    pool: PoolKey,
    tried: Vec<ServerKey>,
    attempt_count: usize,
    in_flight: u32,
    chosen_at: Tick,
    hedge_at: Option<Tick>,
    awaited: Option<ServerKey>,
    state: ShardState,
    missing_reason: MissingReason,
}

/// Returns how many of `count` shards an answer needs.
pub(crate) fn required_shards(min_shard_ratio: f64, count: usize) -> usize {
    ((min_shard_ratio * count as f64 - 1e-9).ceil() as usize).max(1)
}

/// The state machine of one request.
#[derive(Clone, Debug)]
pub struct Scatter {
    opts: ScatterOptions,
    shards: Vec<Shard>,
    ran: bool,
}

impl Scatter {
    /// Starts the request and returns the sends to one server of each shard.
    pub fn start(
        opts: ScatterOptions,
        context: &mut impl ScatterContext,
        now: Tick,
    ) -> (Self, Vec<ShardSend>) {
        let shard = |pool: &PoolKey| Shard {
            pool: *pool,
            tried: Vec::new(),
            attempt_count: 0,
            in_flight: 0,
            chosen_at: now,
            hedge_at: None,
            awaited: None,
            state: ShardState::Open,
            missing_reason: MissingReason::Deadline,
        };
        let shards = opts.shards.iter().map(shard).collect();
        let mut scatter = Self { opts, shards, ran: false };
        let mut sends = Vec::new();
        for index in 0..scatter.shards.len() {
            context.record_request(scatter.shards[index].pool, now);
            sends.extend(scatter.send(index, context, now));
        }
        if scatter.is_out_of_reach() {
            scatter.cancel(std::mem::take(&mut sends), context);
        }
        (scatter, sends)
    }

    /// Returns whether so many shards have failed that the request can not be answered.
    fn is_out_of_reach(&self) -> bool {
        let failed = self.shards.iter().filter(|s| s.state == ShardState::Failed).count();
        self.shards.len() - failed < required_shards(self.opts.min_shard_ratio, self.shards.len())
    }

    /// Takes first sends back that were not begun, so that no server runs what will not be answered.
    fn cancel(&mut self, sends: Vec<ShardSend>, context: &mut impl ScatterContext) {
        for ShardSend { shard, server } in sends {
            context.cancel_pick(server);
            let shard = &mut self.shards[shard];
            shard.tried.clear();
            (shard.in_flight, shard.awaited) = (0, None);
            shard.missing_reason = MissingReason::Refused(NotRunCode::NoReplica);
        }
    }

    /// Sends to a server of the shard that was not tried yet, or fails the shard if there is none.
    ///
    /// If only the retry budget forbids it, a shard among several stays open and is tried again later,
    /// since the answer still waits for the others.
    fn send(
        &mut self,
        index: usize,
        context: &mut impl ScatterContext,
        now: Tick,
    ) -> Option<ShardSend> {
        let is_single = self.shards.len() == 1;
        let shard = &mut self.shards[index];
        let server = context.pick_server(shard.pool, &shard.tried, now);
        let allowed = server
            .filter(|_| shard.attempt_count == 0 || context.try_acquire_extra(shard.pool, now));
        let Some(server) = allowed else {
            server.into_iter().for_each(|server| context.cancel_pick(server));
            if shard.in_flight == 0 && (is_single || server.is_none()) {
                if shard.tried.is_empty() && shard.attempt_count == 0 {
                    shard.missing_reason = MissingReason::Refused(NotRunCode::NoReplica);
                }
                shard.state = ShardState::Failed;
            }
            shard.hedge_at = Some(now + BUDGET_RETRY_DELAY);
            return None;
        };
        shard.tried.push(server);
        shard.attempt_count += 1;
        shard.in_flight += 1;
        shard.awaited = Some(server);
        shard.chosen_at = now;
        let can_hedge = self.opts.idempotent && shard.attempt_count < self.opts.max_attempts;
        shard.hedge_at = can_hedge.then(|| now + context.hedge_delay(server));
        Some(ShardSend { shard: index, server })
    }

    /// Records the result of a send and returns the retry, if there is one.
    pub fn record_result(
        &mut self,
        (index, server): (usize, ServerKey),
        result: SendResult,
        context: &mut impl ScatterContext,
        now: Tick,
    ) -> Option<ShardSend> {
        self.ran |=
            matches!(result, SendResult::Answered | SendResult::Failed(_) | SendResult::Broken(_));
        let shard = &mut self.shards[index];
        shard.in_flight = shard.in_flight.saturating_sub(1);
        if matches!(result, SendResult::Unsent(_)) {
            shard.attempt_count = shard.attempt_count.saturating_sub(1);
        }
        if shard.state != ShardState::Open {
            return None;
        }
        if result == SendResult::Answered {
            shard.state = ShardState::Answered;
            return None;
        }
        shard.missing_reason = result.missing_reason();
        if matches!(result, SendResult::Broken(_)) {
            shard.tried.retain(|s| *s != server);
        }
        let may_retry = !matches!(result, SendResult::Failed(_) | SendResult::Broken(_))
            || self.opts.idempotent;
        if shard.in_flight > 0 {
            return None;
        }
        if !may_retry
            || shard.attempt_count >= self.opts.max_attempts
            || now >= self.opts.hard_deadline
        {
            shard.state = ShardState::Failed;
            return None;
        }
        self.send(index, context, now)
    }

    /// Hedges the shards whose answers are overdue.
    ///
    /// An answer is overdue by the time since the request was dispatched: a process that sends to hundreds of shards
    /// with a part of one core dispatches the last long after the decision, and must not take that for slow servers.
    pub fn hedge_overdue(
        &mut self,
        context: &mut impl ScatterContext,
        now: Tick,
    ) -> Vec<ShardSend> {
        let mut sends = Vec::new();
        for index in 0..self.shards.len() {
            let shard = &mut self.shards[index];
            let is_due = shard.hedge_at.is_some_and(|at| at <= now);
            if shard.state != ShardState::Open || !is_due {
                continue;
            }
            if let Some(awaited) = shard.awaited {
                let delay = context.hedge_delay(awaited);
                let due_at = match context.dispatched_at(index) {
                    Some(at) => at + delay,
                    None => shard.chosen_at + delay * UNDISPATCHED_DELAY_FACTOR,
                };
                if now < due_at {
                    shard.hedge_at = Some(due_at);
                    continue;
                }
                shard.awaited = None;
                context.record_overdue(awaited, now);
            }
            sends.extend(self.send(index, context, now));
        }
        sends
    }

    /// Returns when the machine must run next.
    pub fn next_wake(&self, now: Tick) -> Tick {
        let open = self.shards.iter().filter(|s| s.state == ShardState::Open);
        let next = open.filter_map(|s| s.hedge_at).min().unwrap_or(self.opts.hard_deadline);
        let deadline = if now < self.opts.soft_deadline {
            self.opts.soft_deadline
        } else {
            self.opts.hard_deadline
        };
        next.min(deadline)
    }

    /// Returns what to do for the caller.
    pub fn decision(&self, now: Tick) -> Decision {
        let count = |state| self.shards.iter().filter(|s| s.state == state).count();
        let (answered, failed, all) =
            (count(ShardState::Answered), count(ShardState::Failed), self.shards.len());
        // those that only the retry budget keeps from being sent again
        let unsent = self.shards.iter().filter(|s| s.state == ShardState::Open && s.in_flight == 0);
        let settled = answered + failed + unsent.count();
        let required = required_shards(self.opts.min_shard_ratio, all);
        let is_late = now >= self.opts.soft_deadline + LATE_DELAY;
        let soft_ratio =
            if is_late { self.opts.late_shard_ratio } else { self.opts.soft_shard_ratio };
        let soft_required = required_shards(soft_ratio, all);
        let is_final = answered + failed == all
            || now >= self.opts.hard_deadline
            || (now >= self.opts.soft_deadline && settled >= soft_required);
        if answered >= required && is_final {
            Decision::Answer
        } else if self.is_out_of_reach() || now >= self.opts.hard_deadline {
            let in_flight = self.shards.iter().any(|s| s.in_flight > 0);
            Decision::GiveUp { ran: self.ran || in_flight }
        } else {
            Decision::Wait
        }
    }

    /// Returns the servers that were sent the request of a shard.
    pub fn tried(&self, index: usize) -> &[ServerKey] {
        &self.shards[index].tried
    }

    /// Returns the server pool of a shard.
    pub fn pool(&self, index: usize) -> PoolKey {
        self.shards[index].pool
    }

    /// Returns the server pools of all shards, and the minimum ratio of shards.
    pub(crate) fn targets(&self) -> (&[PoolKey], f64) {
        (&self.opts.shards, self.opts.min_shard_ratio)
    }

    /// Returns the indices of the shards that have not answered, and why.
    pub fn missing_shards(&self) -> Vec<(usize, MissingReason)> {
        let shards =
            self.shards.iter().enumerate().filter(|(_, s)| s.state != ShardState::Answered);
        shards
            .map(|(index, s)| {
                (index, if s.in_flight > 0 { MissingReason::Deadline } else { s.missing_reason })
            })
            .collect()
    }
}
