//! What an instance has learnt of a server from its own requests, and the choice among servers by it.

use std::time::Duration;

use crate::coordination::outlier::Outlier;
use crate::coordination::shares::ColdGate;
use crate::state::arena::ServerKey;
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
/// Age from which a server's own count of its requests is no longer used.
const LOAD_AGE: Duration = Duration::from_millis(150);
/// Usual answer times after which a request without an answer counts as a sign of a pause.
const STUCK: f64 = 2.5;
/// Slowness of a server that is cold, in usual answer times.
const COLD_COST: f64 = 1.6;

/// What was learnt of one run of one server.
#[derive(Clone, Debug, Default)]
pub struct Learned {
    slowness: f64,
    learnt_at: Tick,
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
}

impl Learned {
    /// Notes that a request is sent.
    pub fn sent(&mut self, now: Tick) {
        self.flying.push(now);
        self.cold.sent(now);
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
        let known = self.slowness(now);
        self.slowness = known + (ratio.min(SLOWEST) - known) * WEIGHT;
        self.learnt_at = now;
        self.outlier.answered();
    }

    /// Notes a failure, which counts as a slow answer too.
    pub fn failed(&mut self, now: Tick) {
        let known = self.slowness(now);
        self.slowness = known + (FAILED - known).max(0.0) * WEIGHT;
        self.learnt_at = now;
        self.outlier.failed(now);
    }

    /// Notes that the server refused a request for lack of room.
    pub fn shed(&mut self, now: Tick) {
        let known = self.slowness(now);
        self.slowness = known + (SHED - known).max(0.0) * WEIGHT;
        self.learnt_at = now;
        self.outlier.neither();
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

    /// Returns until when the server may be cold, as far as its connections show.
    pub fn cold_until(&self) -> Tick {
        self.cold_until
    }

    /// Returns the requests under way from this instance.
    pub fn flying(&self) -> usize {
        self.flying.len()
    }

    fn slowness(&self, now: Tick) -> f64 {
        if self.learnt_at == Tick::default() {
            return 1.0;
        }
        let age = now.since(self.learnt_at).as_secs_f64();
        1.0 + (self.slowness - 1.0) * (-age / HALF_LIFE.as_secs_f64()).exp2()
    }

    /// Estimates the time until the server would answer.
    pub fn expected(&self, usual: Duration, slots: u32, cold: bool, now: Tick) -> Duration {
        let slots = f64::from(if self.slots > 0 { self.slots } else { slots.max(1) });
        let told = if now.since(self.told_at) < LOAD_AGE { self.queue } else { 0 };
        let queue = f64::from(told.max(self.flying.len() as u32));
        let waits = (queue + 1.0 - slots).max(0.0) / slots;
        let oldest = self.flying.iter().min().map_or(Duration::ZERO, |t| now.since(*t));
        let stuck = (oldest.as_secs_f64() - usual.as_secs_f64() * STUCK).max(0.0);
        let cold = if cold { COLD_COST } else { 1.0 };
        let busy = 1.0 + waits + queue / slots * 0.25;
        Duration::from_secs_f64(usual.as_secs_f64() * self.slowness(now) * busy * cold + stuck)
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
pub fn pick(
    choices: &[Choice],
    extra: bool,
    mut jitter: impl FnMut() -> f64,
) -> Option<ServerKey> {
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
