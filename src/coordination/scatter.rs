//! One request at one server of each of its shards; a request to a single service has one shard.
//!
//! The machine decides what is sent, when a shard is hedged or tried again, and when to answer.

use std::time::Duration;

use crate::coordination::attempt::{Fault, NotRunCode};
use crate::coordination::query::MissingReason;
use crate::state::arena::{PoolKey, ServerKey};
use crate::state::time::Tick;

/// Time after which a hedge that the budget did not allow is asked for again.
const BUDGET_RETRY_DELAY: Duration = Duration::from_millis(15);

/// What the machine asks of the state around it.
pub trait ScatterContext {
    /// Picks a server for a shard, none of `avoid`.
    fn pick_server(&mut self, pool: PoolKey, avoid: &[ServerKey], now: Tick) -> Option<ServerKey>;
    /// Counts a request for a service.
    fn record_request(&mut self, pool: PoolKey, now: Tick);
    /// Spends one extra arrival of the service's budget, if there is one.
    fn try_acquire_extra(&mut self, pool: PoolKey, now: Tick) -> bool;
    /// Returns the time after which a server's answer is overdue.
    fn hedge_delay(&mut self, server: ServerKey) -> Duration;
    /// Notes that a server's answer is overdue.
    fn record_overdue(&mut self, server: ServerKey, now: Tick);
}

/// Bounds of one request.
#[derive(Clone, Debug, Default)]
pub struct ScatterOptions {
    /// The shards.
    pub shards: Vec<PoolKey>,
    /// Most servers that are sent the request, for each shard.
    pub max_attempts: usize,
    /// The request may run more than once.
    pub idempotent: bool,
    /// Smallest share of the shards that makes an answer.
    pub min_share: f64,
    /// From when on an answer is given as soon as the least share is in.
    pub soft_deadline: Tick,
    /// When the request is given up.
    pub hard_deadline: Tick,
}

/// Send the request to a server of a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShardSend {
    /// Place of the shard.
    pub shard: usize,
    /// The server.
    pub server: ServerKey,
}

/// How a sent request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendResult {
    /// With a whole answer.
    Answered,
    /// Nothing was sent.
    Unsent(NotRunCode),
    /// The server truly did not run it.
    NotRun(NotRunCode),
    /// It may have run, and there is no answer.
    Failed(Fault),
    /// The same, on a connection that was used before and may have been broken for long: the server
    /// may be asked again on a new one.
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

/// What is to be done for the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Wait on.
    Wait,
    /// Answer with the shards that are in.
    Answer,
    /// There will be no answer; `ran` tells whether any server may have run it.
    GiveUp {
        /// Some server may have run it.
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
    asked: Vec<ServerKey>,
    attempt_count: usize,
    in_flight: u32,
    hedge_at: Option<Tick>,
    awaited: Option<ServerKey>,
    state: ShardState,
    missing_reason: MissingReason,
}

/// The machine of one request.
#[derive(Clone, Debug)]
pub struct Scatter {
    opts: ScatterOptions,
    shards: Vec<Shard>,
    ran: bool,
}

impl Scatter {
    /// Starts with one server of each shard.
    pub fn start(
        opts: ScatterOptions,
        scene: &mut impl ScatterContext,
        now: Tick,
    ) -> (Self, Vec<ShardSend>) {
        let shard = |pool: &PoolKey| Shard {
            pool: *pool,
            asked: Vec::new(),
            attempt_count: 0,
            in_flight: 0,
            hedge_at: None,
            awaited: None,
            state: ShardState::Open,
            missing_reason: MissingReason::Deadline,
        };
        let shards = opts.shards.iter().map(shard).collect();
        let mut scatter = Self { opts, shards, ran: false };
        let mut orders = Vec::new();
        for place in 0..scatter.shards.len() {
            scene.record_request(scatter.shards[place].pool, now);
            orders.extend(scatter.send(place, scene, now));
        }
        (scatter, orders)
    }

    /// Sends to a server of the shard that was not asked yet; the shard is lost if there is none.
    ///
    /// If only the budget stands against it, a shard among several stays open and asks again later,
    /// since an answer still waits for the others.
    fn send(
        &mut self,
        place: usize,
        scene: &mut impl ScatterContext,
        now: Tick,
    ) -> Option<ShardSend> {
        let single = self.shards.len() == 1;
        let shard = &mut self.shards[place];
        let server = scene.pick_server(shard.pool, &shard.asked, now);
        let allowed =
            server.filter(|_| shard.attempt_count == 0 || scene.try_acquire_extra(shard.pool, now));
        let Some(server) = allowed else {
            if shard.in_flight == 0 && (single || server.is_none()) {
                if shard.asked.is_empty() && shard.attempt_count == 0 {
                    shard.missing_reason = MissingReason::Refused(NotRunCode::NoReplica);
                }
                shard.state = ShardState::Failed;
            }
            shard.hedge_at = Some(now + BUDGET_RETRY_DELAY);
            return None;
        };
        shard.asked.push(server);
        shard.attempt_count += 1;
        shard.in_flight += 1;
        shard.awaited = Some(server);
        let hedged = self.opts.idempotent && shard.attempt_count < self.opts.max_attempts;
        shard.hedge_at = hedged.then(|| now + scene.hedge_delay(server));
        Some(ShardSend { shard: place, server })
    }

    /// Takes in how a sent request ended.
    pub fn record_result(
        &mut self,
        (place, server): (usize, ServerKey),
        end: SendResult,
        scene: &mut impl ScatterContext,
        now: Tick,
    ) -> Option<ShardSend> {
        self.ran |=
            matches!(end, SendResult::Answered | SendResult::Failed(_) | SendResult::Broken(_));
        let shard = &mut self.shards[place];
        shard.in_flight = shard.in_flight.saturating_sub(1);
        if matches!(end, SendResult::Unsent(_)) {
            shard.attempt_count = shard.attempt_count.saturating_sub(1);
        }
        if shard.state != ShardState::Open {
            return None;
        }
        if end == SendResult::Answered {
            shard.state = ShardState::Answered;
            return None;
        }
        shard.missing_reason = end.missing_reason();
        if matches!(end, SendResult::Broken(_)) {
            shard.asked.retain(|s| *s != server);
        }
        let again =
            !matches!(end, SendResult::Failed(_) | SendResult::Broken(_)) || self.opts.idempotent;
        if shard.in_flight > 0 {
            return None;
        }
        if !again || shard.attempt_count >= self.opts.max_attempts || now >= self.opts.hard_deadline
        {
            shard.state = ShardState::Failed;
            return None;
        }
        self.send(place, scene, now)
    }

    /// Hedges the shards whose answers are overdue.
    pub fn hedge_overdue(&mut self, scene: &mut impl ScatterContext, now: Tick) -> Vec<ShardSend> {
        let mut orders = Vec::new();
        for place in 0..self.shards.len() {
            let shard = &mut self.shards[place];
            let due = shard.hedge_at.is_some_and(|at| at <= now);
            if shard.state != ShardState::Open || !due {
                continue;
            }
            if let Some(late) = shard.awaited.take() {
                scene.record_overdue(late, now);
            }
            orders.extend(self.send(place, scene, now));
        }
        orders
    }

    /// Returns when `tick` is due.
    pub fn next_wake(&self, now: Tick) -> Tick {
        let open = self.shards.iter().filter(|s| s.state == ShardState::Open);
        let next = open.filter_map(|s| s.hedge_at).min().unwrap_or(self.opts.hard_deadline);
        let cut = if now < self.opts.soft_deadline {
            self.opts.soft_deadline
        } else {
            self.opts.hard_deadline
        };
        next.min(cut)
    }

    /// Says what is to be done for the caller.
    pub fn decision(&self, now: Tick) -> Decision {
        let count = |stage| self.shards.iter().filter(|s| s.state == stage).count();
        let (parts, lost, all) =
            (count(ShardState::Answered), count(ShardState::Failed), self.shards.len());
        let need = ((self.opts.min_share * all as f64 - 1e-9).ceil() as usize).max(1);
        let complete = parts + lost == all || now >= self.opts.soft_deadline;
        if parts >= need && complete {
            Decision::Answer
        } else if all - lost < need || now >= self.opts.hard_deadline {
            let flying = self.shards.iter().any(|s| s.in_flight > 0);
            Decision::GiveUp { ran: self.ran || flying }
        } else {
            Decision::Wait
        }
    }

    /// Returns the servers that a shard was sent to.
    pub fn asked(&self, place: usize) -> &[ServerKey] {
        &self.shards[place].asked
    }

    /// Returns the service of a shard.
    pub fn pool(&self, place: usize) -> PoolKey {
        self.shards[place].pool
    }

    /// Returns the places of the shards that are not in, and why.
    pub fn missing_shards(&self) -> Vec<(usize, MissingReason)> {
        let shards =
            self.shards.iter().enumerate().filter(|(_, s)| s.state != ShardState::Answered);
        shards
            .map(|(place, s)| {
                (place, if s.in_flight > 0 { MissingReason::Deadline } else { s.missing_reason })
            })
            .collect()
    }
}
