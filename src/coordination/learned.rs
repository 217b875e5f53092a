//! What an instance has learnt of a server from its own requests, and the choice among servers by it.

use std::time::Duration;

use crate::coordination::outlier::Outlier;
use crate::coordination::shares::ColdGate;
use crate::state::arena::ServerKey;
use crate::state::snapshot_range::SnapshotRange;
use crate::state::time::Tick;

/// Weight of one answer in the moving mean of a server's slowness.
const WEIGHT: f64 = 0.25;
/// Largest slowness that one answer counts for, in usual answer times.
const SLOWEST: f64 = 20.0;
/// Slowness that a failure counts for.
const FAILED: f64 = 8.0;
/// Slowness that a refusal for lack of room counts for.
const SHED: f64 = 4.0;
/// Time in which half of what was learnt is forgotten, so that a recovered straggler is tried again.
const HALF_LIFE: Duration = Duration::from_secs(3);
/// Weight of one request in the moving share of those that a server failed or refused.
const MISS_WEIGHT: f64 = 0.2;
/// Time in which half of that share is forgotten.
const MISS_HALF_LIFE: Duration = Duration::from_secs(5);
/// What a request that is failed or refused costs, in usual answer times: another one must be sent, which
/// the budget may not allow.
const MISS_COST: f64 = 8.0;
/// Age from which a server's own count of its requests is no longer used.
const LOAD_AGE: Duration = Duration::from_millis(150);
/// Usual answer times after which a request without an answer counts as a sign of a pause.
const STUCK: f64 = 2.5;
/// Slowness of a server that is cold, in usual answer times.
const COLD_COST: f64 = 1.6;

/// What a server's answer tells of its run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunTold {
    /// Mark of this run.
    pub boot: Option<u64>,
    /// The snapshots that it holds.
    pub held: Option<SnapshotRange>,
    /// It is leaving.
    pub draining: bool,
}

/// What was learnt of one run of one server.
#[derive(Clone, Debug, Default)]
pub struct Learned {
    slowness: f64,
    learnt_at: Tick,
    misses: f64,
    queue: u32,
    slots: u32,
    told_at: Tick,
    flying: Vec<Tick>,
    /// Failures in a row.
    pub outlier: Outlier,
    /// Arrivals while it is cold.
    pub cold: ColdGate,
    refused: bool,
    cold_until: Tick,
    boot: Option<u64>,
    held: Option<SnapshotRange>,
    heard_at: Tick,
    draining: bool,
}

impl Learned {
    /// Notes that a request is sent.
    pub fn sent(&mut self, now: Tick) {
        self.flying.push(now);
        self.outlier.sent();
    }

    /// Notes that a request that was sent at `sent` has ended, however.
    pub fn landed(&mut self, sent: Tick) {
        if let Some(place) = self.flying.iter().position(|t| *t == sent) {
            self.flying.swap_remove(place);
        }
    }

    /// Notes an answer that took `took` where `usual` is usual for the route.
    pub fn answered(&mut self, took: Duration, usual: Duration, now: Tick) {
        let ratio = took.as_secs_f64() / usual.as_secs_f64().max(0.000_1);
        self.learn(ratio.min(SLOWEST), 0.0, now);
        self.outlier.answered();
    }

    /// Notes a failure, which counts as a slow answer too.
    pub fn failed(&mut self, now: Tick) {
        self.learn(FAILED.max(self.slowness(now)), 1.0, now);
        self.outlier.failed(now);
    }

    /// Notes that the server refused a request for lack of room.
    pub fn shed(&mut self, now: Tick) {
        self.learn(SHED.max(self.slowness(now)), 1.0, now);
        self.outlier.neither();
    }

    /// Learns from one request: its time in usual answer times, and whether it was a miss (1) or not (0).
    fn learn(&mut self, ratio: f64, miss: f64, now: Tick) {
        let (known, misses) = (self.slowness(now), self.misses(now));
        self.slowness = known + (ratio - known) * WEIGHT;
        self.misses = misses + (miss - misses) * MISS_WEIGHT;
        self.learnt_at = now;
    }

    /// Takes in the load that the server told: requests running and waiting, and its slots.
    pub fn told(&mut self, queue: u32, slots: u32, now: Tick) {
        self.queue = queue;
        self.slots = slots;
        self.told_at = now;
    }

    /// Notes that a connection was refused: if one opens later, the server has started anew.
    pub fn refused(&mut self) {
        self.refused = true;
    }

    /// Notes that a connection was opened; `cold_for` is how long a new run of the server is cold.
    pub fn connected(&mut self, cold_for: Duration, now: Tick) {
        if std::mem::take(&mut self.refused) {
            self.cold_until = now + cold_for;
        }
    }

    /// Takes in what the server told of its run; another mark of the run means that it started anew.
    pub fn told_run(&mut self, run: RunTold, cold_for: Duration, now: Tick) {
        if let Some(boot) = run.boot
            && self.boot.replace(boot).is_some_and(|former| former != boot)
        {
            self.cold_until = now + cold_for;
        }
        self.held = run.held.or(self.held);
        self.draining = run.draining;
        self.heard_at = now;
    }

    /// Returns the snapshots that the server holds, as far as it told.
    pub fn held(&self) -> Option<SnapshotRange> {
        self.held
    }

    /// Returns when the server last told anything of its run.
    pub fn heard_at(&self) -> Tick {
        self.heard_at
    }

    /// Says whether the server told that it is leaving.
    pub fn draining(&self) -> bool {
        self.draining
    }

    /// Returns the load that the server told lately: requests for each slot.
    pub fn depth(&self, now: Tick) -> Option<f64> {
        let fresh = self.slots > 0 && now.since(self.told_at) < HALF_LIFE;
        fresh.then(|| f64::from(self.queue) / f64::from(self.slots))
    }

    /// Returns until when the server may be cold, as far as its connections show.
    pub fn cold_until(&self) -> Tick {
        self.cold_until
    }

    /// Returns the age of the oldest request under way from this instance.
    pub fn oldest(&self, now: Tick) -> Duration {
        self.flying.iter().min().map_or(Duration::ZERO, |t| now.since(*t))
    }

    /// Returns the requests under way from this instance.
    pub fn flying(&self) -> usize {
        self.flying.len()
    }

    /// Returns the server's answer time in usual answer times, as learnt and half forgotten.
    pub fn slowness(&self, now: Tick) -> f64 {
        if self.learnt_at == Tick::default() {
            return 1.0;
        }
        let age = now.since(self.learnt_at).as_secs_f64();
        1.0 + (self.slowness - 1.0) * (-age / HALF_LIFE.as_secs_f64()).exp2()
    }

    /// Returns the share of requests that the server failed or refused, as learnt and half forgotten.
    fn misses(&self, now: Tick) -> f64 {
        let age = now.since(self.learnt_at).as_secs_f64();
        self.misses * (-age / MISS_HALF_LIFE.as_secs_f64()).exp2()
    }

    /// Estimates the time until the server would answer, or another one in its place.
    pub fn expected(&self, usual: Duration, slots: u32, cold: bool, now: Tick) -> Duration {
        let slots = f64::from(if self.slots > 0 { self.slots } else { slots.max(1) });
        let told = if now.since(self.told_at) < LOAD_AGE { self.queue } else { 0 };
        let queue = f64::from(told.max(self.flying.len() as u32));
        let waits = (queue + 1.0 - slots).max(0.0) / slots;
        let stuck = (self.oldest(now).as_secs_f64() - usual.as_secs_f64() * STUCK).max(0.0);
        let cold = if cold { COLD_COST } else { 1.0 };
        let busy = 1.0 + waits + queue / slots * 0.25;
        let times = self.slowness(now) * busy * cold + self.misses(now) * MISS_COST;
        Duration::from_secs_f64(usual.as_secs_f64() * times + stuck)
    }
}

/// A server that may be asked.
#[derive(Clone, Copy, Debug)]
pub struct Choice {
    /// The server.
    pub key: ServerKey,
    /// Time until it would answer.
    pub expected: Duration,
    /// Round trip to it.
    pub trip: Duration,
    /// It bears one more request.
    pub bears: bool,
    /// Failures do not speak against it.
    pub sound: bool,
}

/// Picks the server that is expected to answer first; `jitter` (0 to 1) tells equal ones apart.
///
/// Servers that fail are asked only when there is no other and the request is not `extra`.
pub fn pick(choices: &[Choice], extra: bool, mut jitter: impl FnMut() -> f64) -> Option<ServerKey> {
    let mut choices: Vec<&Choice> = choices.iter().filter(|c| c.bears).collect();
    if extra || choices.iter().any(|c| c.sound) {
        choices.retain(|c| c.sound);
    }
    let cost = |c: &Choice, jitter: f64| (c.expected + c.trip).as_secs_f64() * (1.0 + 0.1 * jitter);
    let mut best: Option<(f64, ServerKey)> = None;
    for c in choices {
        let cost = cost(c, jitter());
        if best.is_none_or(|(b, _)| cost < b) {
            best = Some((cost, c.key));
        }
    }
    best.map(|(_, key)| key)
}
