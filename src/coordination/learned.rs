//! What an instance has learnt of a server from its own requests, and the choice among servers by it.

use std::time::Duration;

use crate::coordination::outlier::OutlierDetector;
use crate::coordination::shares::ColdLimiter;
use crate::state::arena::ServerKey;
use crate::state::news::Held;
use crate::state::time::Tick;

/// Weight of one answer in the moving mean of a server's slowness.
const LATENCY_WEIGHT: f64 = 0.25;
/// Largest slowness that one answer counts for, in usual answer times.
const MAX_LATENCY_RATIO: f64 = 20.0;
/// Slowness that a failure counts for.
const FAILURE_LATENCY_RATIO: f64 = 8.0;
/// Slowness that a refusal for lack of room counts for.
const SHED_LATENCY_RATIO: f64 = 4.0;
/// Time in which half of what was learnt is forgotten, so that a recovered straggler is tried again.
const LATENCY_HALF_LIFE: Duration = Duration::from_secs(3);
/// Weight of one request in the moving share of those that a server failed or refused.
const FAILURE_WEIGHT: f64 = 0.2;
/// Time in which half of that share is forgotten.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(5);
/// What a request that is failed or refused costs, in usual answer times: another one must be sent, which
/// the budget may not allow.
const FAILURE_COST: f64 = 8.0;
/// Age from which a server's own count of its requests is no longer used.
const MAX_LOAD_AGE: Duration = Duration::from_millis(150);
/// Usual answer times after which a request without an answer counts as a sign of a pause.
const STALL_RATIO: f64 = 2.5;
/// Slowness of a server that is cold, in usual answer times.
const COLD_LATENCY_RATIO: f64 = 1.6;

/// What a server's answer tells of its run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunReport {
    /// Mark of this run.
    pub boot_id: Option<u64>,
    /// The snapshots that it holds.
    pub held: Option<Held>,
    /// It is leaving.
    pub draining: bool,
}

/// What was learnt of one run of one server.
#[derive(Clone, Debug, Default)]
pub struct ServerStats {
    latency_ratio: f64,
    updated_at: Tick,
    failure_share: f64,
    reported_queue: u32,
    reported_slots: u32,
    load_reported_at: Tick,
    in_flight: Vec<Tick>,
    /// Failures in a row.
    pub outlier: OutlierDetector,
    /// Arrivals while it is cold.
    pub cold: ColdLimiter,
    connect_refused: bool,
    cold_until: Tick,
    boot_id: Option<u64>,
    held: Option<Held>,
    run_reported_at: Tick,
    draining: bool,
}

impl ServerStats {
    /// Notes that a request is sent.
    pub fn record_send(&mut self, now: Tick) {
        self.in_flight.push(now);
        self.outlier.record_send();
    }

    /// Notes that a request that was sent at `sent` has ended, however.
    pub fn record_end(&mut self, sent: Tick) {
        if let Some(place) = self.in_flight.iter().position(|t| *t == sent) {
            self.in_flight.swap_remove(place);
        }
    }

    /// Notes an answer that took `took` where `usual` is usual for the route.
    pub fn record_answer(&mut self, took: Duration, usual: Duration, now: Tick) {
        let ratio = took.as_secs_f64() / usual.as_secs_f64().max(0.000_1);
        self.update(ratio.min(MAX_LATENCY_RATIO), 0.0, now);
        self.outlier.record_answer();
    }

    /// Notes a failure, which counts as a slow answer too.
    pub fn record_failure(&mut self, now: Tick) {
        self.update(FAILURE_LATENCY_RATIO.max(self.latency_ratio(now)), 1.0, now);
        self.outlier.record_failure(now);
    }

    /// Notes that the server refused a request for lack of room.
    pub fn record_shed(&mut self, now: Tick) {
        self.update(SHED_LATENCY_RATIO.max(self.latency_ratio(now)), 1.0, now);
        self.outlier.record_neutral();
    }

    /// Learns from one request: its time in usual answer times, and whether it was a miss (1) or not (0).
    fn update(&mut self, ratio: f64, miss: f64, now: Tick) {
        let (known, misses) = (self.latency_ratio(now), self.failure_share(now));
        self.latency_ratio = known + (ratio - known) * LATENCY_WEIGHT;
        self.failure_share = misses + (miss - misses) * FAILURE_WEIGHT;
        self.updated_at = now;
    }

    /// Takes in the load that the server told: requests running and waiting, and its slots.
    pub fn record_load(&mut self, queue: u32, slots: u32, now: Tick) {
        self.reported_queue = queue;
        self.reported_slots = slots;
        self.load_reported_at = now;
    }

    /// Notes that a connection was refused: if one opens later, the server has started anew.
    pub fn record_connect_refused(&mut self) {
        self.connect_refused = true;
    }

    /// Notes that a connection was opened; `cold_for` is how long a new run of the server is cold.
    pub fn record_connect(&mut self, cold_for: Duration, now: Tick) {
        if std::mem::take(&mut self.connect_refused) {
            self.cold_until = now + cold_for;
        }
    }

    /// Takes in what the server told of its run; another mark of the run means that it started anew.
    pub fn record_run(&mut self, run: RunReport, cold_for: Duration, now: Tick) {
        if let Some(boot) = run.boot_id
            && self.boot_id.replace(boot).is_some_and(|former| former != boot)
        {
            self.cold_until = now + cold_for;
        }
        self.held = run.held.or(self.held);
        self.draining = run.draining;
        self.run_reported_at = now;
    }

    /// Returns the snapshots that the server holds, as far as it told.
    pub fn held(&self) -> Option<Held> {
        self.held
    }

    /// Returns when the server last told anything of its run.
    pub fn run_reported_at(&self) -> Tick {
        self.run_reported_at
    }

    /// Says whether the server told that it is leaving.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Returns the load that the server told lately: requests for each slot.
    pub fn queue_depth(&self, now: Tick) -> Option<f64> {
        let fresh = self.reported_slots > 0 && now.since(self.load_reported_at) < LATENCY_HALF_LIFE;
        fresh.then(|| f64::from(self.reported_queue) / f64::from(self.reported_slots))
    }

    /// Returns until when the server may be cold, as far as its connections show.
    pub fn cold_until(&self) -> Tick {
        self.cold_until
    }

    /// Returns the age of the oldest request under way from this instance.
    pub fn oldest_in_flight(&self, now: Tick) -> Duration {
        self.in_flight.iter().min().map_or(Duration::ZERO, |t| now.since(*t))
    }

    /// Returns the requests under way from this instance.
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Returns the server's answer time in usual answer times, as learnt and half forgotten.
    pub fn latency_ratio(&self, now: Tick) -> f64 {
        if self.updated_at == Tick::default() {
            return 1.0;
        }
        let age = now.since(self.updated_at).as_secs_f64();
        1.0 + (self.latency_ratio - 1.0) * (-age / LATENCY_HALF_LIFE.as_secs_f64()).exp2()
    }

    /// Returns the share of requests that the server failed or refused, as learnt and half forgotten.
    fn failure_share(&self, now: Tick) -> f64 {
        let age = now.since(self.updated_at).as_secs_f64();
        self.failure_share * (-age / FAILURE_HALF_LIFE.as_secs_f64()).exp2()
    }

    /// Estimates the time until the server would answer, or another one in its place.
    pub fn expected_latency(&self, usual: Duration, slots: u32, cold: bool, now: Tick) -> Duration {
        let slots =
            f64::from(if self.reported_slots > 0 { self.reported_slots } else { slots.max(1) });
        let told =
            if now.since(self.load_reported_at) < MAX_LOAD_AGE { self.reported_queue } else { 0 };
        let queue = f64::from(told.max(self.in_flight.len() as u32));
        let waits = (queue + 1.0 - slots).max(0.0) / slots;
        let stuck =
            (self.oldest_in_flight(now).as_secs_f64() - usual.as_secs_f64() * STALL_RATIO).max(0.0);
        let cold = if cold { COLD_LATENCY_RATIO } else { 1.0 };
        let busy = 1.0 + waits + queue / slots * 0.25;
        let times = self.latency_ratio(now) * busy * cold + self.failure_share(now) * FAILURE_COST;
        Duration::from_secs_f64(usual.as_secs_f64() * times + stuck)
    }
}

/// A server that may be asked.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// The server.
    pub key: ServerKey,
    /// Time until it would answer.
    pub expected: Duration,
    /// Round trip to it.
    pub round_trip: Duration,
    /// It bears one more request.
    pub has_capacity: bool,
    /// Failures do not speak against it.
    pub is_healthy: bool,
}

/// Picks the server that is expected to answer first; `jitter` (0 to 1) tells equal ones apart.
///
/// Servers that fail are asked only when there is no other and the request is not `extra`.
pub fn pick_server(
    choices: &[Candidate],
    extra: bool,
    mut jitter: impl FnMut() -> f64,
) -> Option<ServerKey> {
    let mut choices: Vec<&Candidate> = choices.iter().filter(|c| c.has_capacity).collect();
    if extra || choices.iter().any(|c| c.is_healthy) {
        choices.retain(|c| c.is_healthy);
    }
    let cost = |c: &Candidate, jitter: f64| {
        (c.expected + c.round_trip).as_secs_f64() * (1.0 + 0.1 * jitter)
    };
    let mut best: Option<(f64, ServerKey)> = None;
    for c in choices {
        let cost = cost(c, jitter());
        if best.is_none_or(|(b, _)| cost < b) {
            best = Some((cost, c.key));
        }
    }
    best.map(|(_, key)| key)
}
