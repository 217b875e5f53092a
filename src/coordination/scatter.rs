//! One request at one server of each of its shards; a request to a single service has one shard.
//!
//! The machine decides what is sent, when a shard is hedged or tried again, and when to answer.

use std::time::Duration;

use crate::coordination::attempt::{Fault, Why};
use crate::coordination::query::Missing;
use crate::state::arena::{PoolKey, ServerKey};
use crate::state::time::Tick;

/// Time after which a hedge that the budget did not allow is asked for again.
const ASK_AGAIN: Duration = Duration::from_millis(15);

/// What the machine asks of the state around it.
pub trait Scene {
    /// Picks a server for a shard, none of `avoid`.
    fn pick(&mut self, pool: PoolKey, avoid: &[ServerKey], now: Tick) -> Option<ServerKey>;
    /// Counts a request for a service.
    fn request(&mut self, pool: PoolKey, now: Tick);
    /// Spends one extra arrival of the service's budget, if there is one.
    fn spend(&mut self, pool: PoolKey, now: Tick) -> bool;
    /// Returns the time after which a server's answer is overdue.
    fn overdue(&mut self, server: ServerKey) -> Duration;
    /// Notes that a server's answer is overdue.
    fn missed(&mut self, server: ServerKey, now: Tick);
}

/// Bounds of one request.
#[derive(Clone, Debug, Default)]
pub struct ScatterOptions {
    /// The shards.
    pub shards: Vec<PoolKey>,
    /// Most servers that are sent the request, for each shard.
    pub attempts: usize,
    /// The request may run more than once.
    pub idempotent: bool,
    /// Smallest share of the shards that makes an answer.
    pub least: f64,
    /// From when on an answer is given as soon as the least share is in.
    pub soft: Tick,
    /// When the request is given up.
    pub hard: Tick,
}

/// Send the request to a server of a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Order {
    /// Place of the shard.
    pub shard: usize,
    /// The server.
    pub server: ServerKey,
}

/// How a sent request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// With a whole answer.
    Answered,
    /// Nothing was sent.
    Unsent(Why),
    /// The server truly did not run it.
    NotRun(Why),
    /// It may have run, and there is no answer.
    Failed(Fault),
    /// The same, on a connection that was used before and may have been broken for long: the server
    /// may be asked again on a new one.
    Broken(Fault),
}

impl End {
    fn loss(self) -> Missing {
        match self {
            End::Answered => Missing::Deadline,
            End::Unsent(why) | End::NotRun(why) => Missing::Refused(why),
            End::Failed(fault) | End::Broken(fault) => Missing::Failed(fault),
        }
    }
}

/// What is to be done for the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
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
enum Stage {
    Open,
    In,
    Lost,
}

#[derive(Clone, Debug)]
struct Shard {
    pool: PoolKey,
    avoid: Vec<ServerKey>,
    arrived: usize,
    flying: u32,
    hedge_at: Option<Tick>,
    late: Option<ServerKey>,
    stage: Stage,
    loss: Missing,
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
    pub fn start(opts: ScatterOptions, scene: &mut impl Scene, now: Tick) -> (Self, Vec<Order>) {
        let shard = |pool: &PoolKey| Shard {
            pool: *pool,
            avoid: Vec::new(),
            arrived: 0,
            flying: 0,
            hedge_at: None,
            late: None,
            stage: Stage::Open,
            loss: Missing::Deadline,
        };
        let shards = opts.shards.iter().map(shard).collect();
        let mut scatter = Self { opts, shards, ran: false };
        let mut orders = Vec::new();
        for place in 0..scatter.shards.len() {
            scene.request(scatter.shards[place].pool, now);
            orders.extend(scatter.send(place, scene, now));
        }
        (scatter, orders)
    }

    /// Sends to a server of the shard that was not asked yet; the shard is lost if there is none.
    ///
    /// If only the budget stands against it, a shard among several stays open and asks again later,
    /// since an answer still waits for the others.
    fn send(&mut self, place: usize, scene: &mut impl Scene, now: Tick) -> Option<Order> {
        let single = self.shards.len() == 1;
        let shard = &mut self.shards[place];
        let server = scene.pick(shard.pool, &shard.avoid, now);
        let allowed = server.filter(|_| shard.arrived == 0 || scene.spend(shard.pool, now));
        let Some(server) = allowed else {
            if shard.flying == 0 && (single || server.is_none()) {
                if shard.avoid.is_empty() && shard.arrived == 0 {
                    shard.loss = Missing::Refused(Why::NoReplica);
                }
                shard.stage = Stage::Lost;
            }
            shard.hedge_at = Some(now + ASK_AGAIN);
            return None;
        };
        shard.avoid.push(server);
        shard.arrived += 1;
        shard.flying += 1;
        shard.late = Some(server);
        let hedged = self.opts.idempotent && shard.arrived < self.opts.attempts;
        shard.hedge_at = hedged.then(|| now + scene.overdue(server));
        Some(Order { shard: place, server })
    }

    /// Takes in how a sent request ended.
    pub fn ended(
        &mut self,
        (place, server): (usize, ServerKey),
        end: End,
        scene: &mut impl Scene,
        now: Tick,
    ) -> Option<Order> {
        self.ran |= matches!(end, End::Answered | End::Failed(_) | End::Broken(_));
        let shard = &mut self.shards[place];
        shard.flying = shard.flying.saturating_sub(1);
        if matches!(end, End::Unsent(_)) {
            shard.arrived = shard.arrived.saturating_sub(1);
        }
        if shard.stage != Stage::Open {
            return None;
        }
        if end == End::Answered {
            shard.stage = Stage::In;
            return None;
        }
        shard.loss = end.loss();
        if matches!(end, End::Broken(_)) {
            shard.avoid.retain(|s| *s != server);
        }
        let again = !matches!(end, End::Failed(_) | End::Broken(_)) || self.opts.idempotent;
        if shard.flying > 0 {
            return None;
        }
        if !again || shard.arrived >= self.opts.attempts || now >= self.opts.hard {
            shard.stage = Stage::Lost;
            return None;
        }
        self.send(place, scene, now)
    }

    /// Hedges the shards whose answers are overdue.
    pub fn tick(&mut self, scene: &mut impl Scene, now: Tick) -> Vec<Order> {
        let mut orders = Vec::new();
        for place in 0..self.shards.len() {
            let shard = &mut self.shards[place];
            let due = shard.hedge_at.is_some_and(|at| at <= now);
            if shard.stage != Stage::Open || !due {
                continue;
            }
            if let Some(late) = shard.late.take() {
                scene.missed(late, now);
            }
            orders.extend(self.send(place, scene, now));
        }
        orders
    }

    /// Returns when `tick` is due.
    pub fn wake(&self, now: Tick) -> Tick {
        let open = self.shards.iter().filter(|s| s.stage == Stage::Open);
        let next = open.filter_map(|s| s.hedge_at).min().unwrap_or(self.opts.hard);
        let cut = if now < self.opts.soft { self.opts.soft } else { self.opts.hard };
        next.min(cut)
    }

    /// Says what is to be done for the caller.
    pub fn verdict(&self, now: Tick) -> Verdict {
        let count = |stage| self.shards.iter().filter(|s| s.stage == stage).count();
        let (parts, lost, all) = (count(Stage::In), count(Stage::Lost), self.shards.len());
        let need = ((self.opts.least * all as f64 - 1e-9).ceil() as usize).max(1);
        let complete = parts + lost == all || now >= self.opts.soft;
        if parts >= need && complete {
            Verdict::Answer
        } else if all - lost < need || now >= self.opts.hard {
            let flying = self.shards.iter().any(|s| s.flying > 0);
            Verdict::GiveUp { ran: self.ran || flying }
        } else {
            Verdict::Wait
        }
    }

    /// Returns the servers that a shard was sent to.
    pub fn asked(&self, place: usize) -> &[ServerKey] {
        &self.shards[place].avoid
    }

    /// Returns the service of a shard.
    pub fn pool(&self, place: usize) -> PoolKey {
        self.shards[place].pool
    }

    /// Returns the places of the shards that are not in, and why.
    pub fn missing(&self) -> Vec<(usize, Missing)> {
        let shards = self.shards.iter().enumerate().filter(|(_, s)| s.stage != Stage::In);
        shards
            .map(|(place, s)| (place, if s.flying > 0 { Missing::Deadline } else { s.loss }))
            .collect()
    }
}
