//! Statistics of servers from this instance's own requests, and server selection based on them.

use std::time::Duration;

use crate::coordination::outlier::{OutlierDetector, Probe};
use crate::coordination::server_notices::{ListenerNumber, Listeners, Notice, ServerNotices};
use crate::coordination::shares::ColdLimiter;
use crate::state::arena::ServerKey;
use crate::state::snapshot_range::SnapshotRange;
use crate::state::time::Tick;

/// Weight of one answer in the moving average of a server's latency ratio.
const LATENCY_WEIGHT: f64 = 0.25;
/// Cap on the latency ratio of one answer, in usual answer times.
const MAX_LATENCY_RATIO: f64 = 20.0;
/// Latency ratio that a failure counts as.
const FAILURE_LATENCY_RATIO: f64 = 8.0;
/// Latency ratio that a load-shedding refusal counts as.
const SHED_LATENCY_RATIO: f64 = 4.0;
/// Half-life of the latency ratio, so that a recovered straggler is tried again.
const LATENCY_HALF_LIFE: Duration = Duration::from_secs(3);
/// Weight of one request in the moving average of the failure share.
const FAILURE_WEIGHT: f64 = 0.2;
/// Half-life of the failure share.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(5);
/// Cost of a failed or refused request, in usual answer times, since it needs a retry that the budget
/// may not allow.
const FAILURE_COST: f64 = 8.0;
/// Age from which the load that a server reported no longer counts for its expected latency.
const MAX_LOAD_AGE: Duration = Duration::from_millis(150);
/// Usual answer times after which an unanswered request indicates that the server has paused.
const STALL_RATIO: f64 = 2.5;
/// Factor by which the latency ratio of a cold server is multiplied.
const COLD_LATENCY_RATIO: f64 = 1.6;

/// What a server's answer reports about its process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunReport {
    /// Identifies the run of the process; it changes with each start.
    pub boot_id: Option<u64>,
    /// The snapshots that it holds.
    pub held: Option<SnapshotRange>,
    /// What it asks for.
    pub notice: Notice,
    /// The listener that accepted the connection of the answer.
    pub listener: ListenerNumber,
}

/// A request in flight to a server, which ends with [`ServerStats::record_end`].
#[derive(Debug)]
pub struct Sent {
    sent_at: Tick,
    probe: Option<Probe>,
}

/// Statistics of one run of one server.
#[derive(Clone, Debug, Default)]
pub struct ServerStats {
    latency_ratio: f64,
    updated_at: Tick,
    failure_share: f64,
    reported_queue: u32,
    reported_slots: u32,
    load_reported_at: Tick,
    in_flight: Vec<Tick>,
    /// Ejection after consecutive failures.
    pub outlier: OutlierDetector,
    /// Rate limit while it is cold.
    pub cold: ColdLimiter,
    connect_refused: bool,
    cold_until: Tick,
    boot_id: Option<u64>,
    held: Option<SnapshotRange>,
    run_reported_at: Tick,
    listeners: Listeners,
    /// What the server has asked for since the run was listed.
    pub notices: ServerNotices,
    /// What it has asked for on connections to its current listener, if that is of a run that is not listed yet.
    unlisted_notices: ServerNotices,
}

impl ServerStats {
    /// Records a sent request.
    pub fn record_send(&mut self, now: Tick) -> Sent {
        self.in_flight.push(now);
        Sent { sent_at: now, probe: self.outlier.record_send() }
    }

    /// Records the end of a request, with any result or none.
    pub fn record_end(&mut self, ended: Sent, now: Tick) {
        if let Some(index) = self.in_flight.iter().position(|t| *t == ended.sent_at) {
            self.in_flight.swap_remove(index);
        }
        if let Some(probe) = ended.probe {
            self.outlier.end_probe(probe, now);
        }
    }

    /// Records an answer that took `took`, where `usual` is the usual answer time of the route.
    pub fn record_answer(&mut self, took: Duration, usual: Duration, now: Tick) {
        let ratio = took.as_secs_f64() / usual.as_secs_f64().max(0.000_1);
        self.update(ratio.min(MAX_LATENCY_RATIO), 0.0, now);
        self.outlier.record_answer();
    }

    /// Records a failure, which also counts as a slow answer.
    pub fn record_failure(&mut self, now: Tick) {
        self.update(FAILURE_LATENCY_RATIO.max(self.latency_ratio(now)), 1.0, now);
        self.outlier.record_failure(now);
    }

    /// Records that the server shed a request.
    pub fn record_shed(&mut self, now: Tick) {
        self.update(SHED_LATENCY_RATIO.max(self.latency_ratio(now)), 1.0, now);
        self.outlier.record_neutral();
    }

    /// Updates the averages with one request: its latency ratio, and 1 if it failed or was shed,
    /// otherwise 0.
    fn update(&mut self, ratio: f64, failure: f64, now: Tick) {
        let (average, failure_share) = (self.latency_ratio(now), self.failure_share(now));
        self.latency_ratio = average + (ratio - average) * LATENCY_WEIGHT;
        self.failure_share = failure_share + (failure - failure_share) * FAILURE_WEIGHT;
        self.updated_at = now;
    }

    /// Records the load that the server reported: requests running and queued, and its slots.
    pub fn record_load(&mut self, queue: u32, slots: u32, now: Tick) {
        self.reported_queue = queue;
        self.reported_slots = slots;
        self.load_reported_at = now;
    }

    /// Records a connection that could not be opened; if a later one succeeds, the server may have restarted. With
    /// `no_listener`, it has.
    pub fn record_connect_refused(&mut self, no_listener: bool) {
        self.connect_refused = true;
        if no_listener {
            self.listeners.record_refused();
        }
    }

    /// Records an opened connection and returns the listener that accepted it; `cold_duration` is how long a restarted
    /// server is cold.
    pub fn record_connect(&mut self, cold_duration: Duration, now: Tick) -> ListenerNumber {
        if std::mem::take(&mut self.connect_refused) {
            self.cold_until = now + cold_duration;
        }
        let before = self.listeners.current();
        let listener = self.listeners.record_accepted();
        if listener != before {
            self.unlisted_notices = ServerNotices::default();
        }
        listener
    }

    /// Returns the last listener that accepted a connection.
    pub fn listener(&self) -> ListenerNumber {
        self.listeners.current()
    }

    /// Returns what a run after the listed one has asked for.
    pub fn unlisted_notices(&self) -> ServerNotices {
        self.unlisted_notices
    }

    /// Records what the server reported about its run; a new boot ID means that it has restarted. Returns whether what it
    /// asks for has changed.
    pub fn record_run(&mut self, run: RunReport, cold_duration: Duration, now: Tick) -> bool {
        let before = self.notices;
        if let Some(boot) = run.boot_id
            && self.boot_id.replace(boot).is_some_and(|previous| previous != boot)
        {
            self.cold_until = now + cold_duration;
            self.notices = ServerNotices::default();
        }
        self.held = run.held.or(self.held);
        self.notices.record(run.notice, now);
        if run.listener.is_unlisted() && run.listener == self.listeners.current() {
            self.unlisted_notices.record(run.notice, now);
        }
        self.run_reported_at = now;
        self.notices != before
    }

    /// Returns the snapshots that the server holds, if it reported them.
    pub fn held(&self) -> Option<SnapshotRange> {
        self.held
    }

    /// Returns when the server last reported about its run.
    pub fn run_reported_at(&self) -> Tick {
        self.run_reported_at
    }

    /// Returns the recently reported load, in requests per slot.
    pub fn queue_depth(&self, now: Tick) -> Option<f64> {
        let is_fresh =
            self.reported_slots > 0 && now.since(self.load_reported_at) < LATENCY_HALF_LIFE;
        is_fresh.then(|| f64::from(self.reported_queue) / f64::from(self.reported_slots))
    }

    /// Returns until when the server may be cold, as seen from its connections and boot IDs.
    pub fn cold_until(&self) -> Tick {
        self.cold_until
    }

    /// Returns the age of this instance's oldest request in flight.
    pub fn oldest_in_flight(&self, now: Tick) -> Duration {
        self.in_flight.iter().min().map_or(Duration::ZERO, |t| now.since(*t))
    }

    /// Returns the number of this instance's requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Returns the server's average answer time in usual answer times, decayed towards 1.
    pub fn latency_ratio(&self, now: Tick) -> f64 {
        if self.updated_at == Tick::default() {
            return 1.0;
        }
        let age = now.since(self.updated_at).as_secs_f64();
        1.0 + (self.latency_ratio - 1.0) * (-age / LATENCY_HALF_LIFE.as_secs_f64()).exp2()
    }

    /// Returns the average share of requests that the server failed or refused, decayed towards 0.
    fn failure_share(&self, now: Tick) -> f64 {
        let age = now.since(self.updated_at).as_secs_f64();
        self.failure_share * (-age / FAILURE_HALF_LIFE.as_secs_f64()).exp2()
    }

    /// Estimates the time until the server, or another one after a retry, would answer.
    pub fn expected_latency(&self, usual: Duration, slots: u32, cold: bool, now: Tick) -> Duration {
        let slots =
            f64::from(if self.reported_slots > 0 { self.reported_slots } else { slots.max(1) });
        let reported =
            if now.since(self.load_reported_at) < MAX_LOAD_AGE { self.reported_queue } else { 0 };
        let queue = f64::from(reported.max(self.in_flight.len() as u32));
        let queueing = (queue + 1.0 - slots).max(0.0) / slots;
        let stall_s =
            (self.oldest_in_flight(now).as_secs_f64() - usual.as_secs_f64() * STALL_RATIO).max(0.0);
        let cold = if cold { COLD_LATENCY_RATIO } else { 1.0 };
        let load_factor = 1.0 + queueing + queue / slots * 0.25;
        let latency_factor =
            self.latency_ratio(now) * load_factor * cold + self.failure_share(now) * FAILURE_COST;
        Duration::from_secs_f64(usual.as_secs_f64() * latency_factor + stall_s)
    }
}

/// A server that may be selected.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// The server.
    pub key: ServerKey,
    /// Expected time until it answers, without the round trip.
    pub expected: Duration,
    /// Round-trip time to it.
    pub round_trip: Duration,
    /// Whether it has capacity for one more request.
    pub has_capacity: bool,
    /// Whether its failure domain is responsive and its own failures allow a request, which includes
    /// a due probe.
    pub is_healthy: bool,
}

/// Picks the server that is expected to answer first; `jitter` (0 to 1) breaks ties.
///
/// Unhealthy servers are picked only if there is no healthy one and the request is not an `extra` send.
pub fn pick_server(
    candidates: &[Candidate],
    extra: bool,
    mut jitter: impl FnMut() -> f64,
) -> Option<ServerKey> {
    let mut candidates: Vec<&Candidate> = candidates.iter().filter(|c| c.has_capacity).collect();
    if extra || candidates.iter().any(|c| c.is_healthy) {
        candidates.retain(|c| c.is_healthy);
    }
    let cost = |c: &Candidate, jitter: f64| {
        (c.expected + c.round_trip).as_secs_f64() * (1.0 + 0.1 * jitter)
    };
    let mut best: Option<(f64, ServerKey)> = None;
    for c in candidates {
        let cost = cost(c, jitter());
        if best.is_none_or(|(b, _)| cost < b) {
            best = Some((cost, c.key));
        }
    }
    best.map(|(_, key)| key)
}
