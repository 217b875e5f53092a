//! The context of a scatter: selects servers, spends the retry budget and provides answer times.

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;

use crate::coordination::retry_budget::{RetryBudget, RetryBudgetOptions};
use crate::coordination::scatter::ScatterContext;
use crate::coordination::server_notices::Availability;
use crate::coordination::server_stats::{Candidate, pick_server};
use crate::coordination::shares::Role;
use crate::state::arena::{PoolKey, RouteKey, ServerKey};
use crate::state::time::Tick;
use crate::state::topology::{Server, TopologyView};
use crate::transport::upstreams::send::{Dispatches, DomainProbe, Pick, ReservedSend};
use crate::transport::upstreams::tier::{RouteStats, ServerState, Tier};

/// Cost of opening a connection in addition to its round trip, in usual answer times: both ends work for it, and the server
/// may give it a slot.
const CONNECT_COST: f64 = 0.5;
/// Assumed round-trip time to a server in another failure domain, until one is measured.
const CROSS_DOMAIN_ROUND_TRIP: Duration = Duration::from_millis(10);
/// Cost of sending to another failure domain, in addition to the round-trip time.
const CROSS_DOMAIN_COST: Duration = Duration::from_millis(2);
/// Share of the retry budget's ratio that hedges use in normal operation; it sets the quantile of the
/// answer time beyond which answers are overdue.
const HEDGE_SHARE: f64 = 0.25;
/// Upper bound of the overdue time, and its value before answer times are known, as a share of the
/// target latency.
const MAX_OVERDUE_SHARE: f64 = 0.4;
/// Usual answer time before answer times are known, as a share of the target latency.
const DEFAULT_USUAL_SHARE: f64 = 0.15;

/// The usual and the overdue answer time of a route, without the round trip.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AnswerTimes {
    pub(crate) usual: Duration,
    pub(crate) overdue: Duration,
}

impl AnswerTimes {
    /// Estimates the times from recent answers; `ratio` is that of the service's retry budget.
    pub(crate) fn estimate(
        tier: &Tier,
        route: RouteKey,
        target_latency: Duration,
        ratio: f64,
    ) -> Self {
        let quantile = 1.0 - ratio * HEDGE_SHARE;
        tier.route_stats.with_or_insert(route, RouteStats::default, |s| {
            let max_overdue = target_latency.mul_f64(MAX_OVERDUE_SHARE);
            Self {
                usual: s
                    .latencies
                    .quantile(0.5)
                    .unwrap_or(target_latency.mul_f64(DEFAULT_USUAL_SHARE)),
                overdue: s.latencies.quantile(quantile).map_or(max_overdue, |t| t.min(max_overdue)),
            }
        })
    }
}

/// Returns the retry budget options of a pool's service.
pub(crate) fn retry_budget_options(
    tier: &Tier,
    view: &TopologyView,
    pool: PoolKey,
) -> RetryBudgetOptions {
    let opts = tier.opts.retry_budget;
    let ratio = view.pool_limits(pool).extra_ratio.unwrap_or(opts.ratio);
    RetryBudgetOptions { ratio, ..opts }
}

/// The scatter context of one request.
pub(crate) struct TierContext<'a> {
    pub(crate) tier: &'a Arc<Tier>,
    pub(crate) view: &'a TopologyView,
    pub(crate) times: AnswerTimes,
    pub(crate) dispatches: Arc<Dispatches>,
    /// Whether the request is sharded.
    pub(crate) is_sharded: bool,
    /// What is reserved for sends that have not begun, by the server chosen.
    pub(crate) picks: Vec<(ServerKey, Pick)>,
}

impl<'a> TierContext<'a> {
    /// Builds the context of no request, to choose servers of a sharded route.
    pub(crate) fn unsent(tier: &'a Arc<Tier>, view: &'a TopologyView, route: RouteKey) -> Self {
        let times = AnswerTimes::estimate(tier, route, Duration::ZERO, 0.0);
        let dispatches = Arc::new(Dispatches::new(0));
        Self { tier, view, times, dispatches, is_sharded: true, picks: Vec::new() }
    }

    /// Takes what is reserved for a send to this server.
    pub(crate) fn take_pick(&mut self, key: ServerKey) -> Option<Pick> {
        let index = self.picks.iter().position(|(server, _)| *server == key)?;
        Some(self.picks.swap_remove(index).1)
    }

    /// Returns the servers of a pool that are not in `avoid`.
    pub(crate) fn candidates(
        &self,
        pool: PoolKey,
        avoid: &[ServerKey],
        now: Tick,
    ) -> Vec<Candidate> {
        let servers = self.view.available_servers(pool).filter(|(key, _)| !avoid.contains(key));
        servers.map(|(key, server)| self.candidate(key, server, now)).collect()
    }

    /// Returns the measured round-trip time to a server, or an assumed one.
    fn round_trip(&self, state: &ServerState, server: &Server) -> Duration {
        let is_remote = server.report.domain != self.tier.opts.domain;
        let assumed = if is_remote { CROSS_DOMAIN_ROUND_TRIP } else { Duration::ZERO };
        state.connections.round_trip.unwrap_or(assumed)
    }

    fn candidate(&self, key: ServerKey, server: &Server, now: Tick) -> Candidate {
        let is_remote = server.report.domain != self.tier.opts.domain;
        let is_responsive = self.tier.with_domain(&server.report.domain, |d| d.can_send(now));
        self.tier.servers.with_or_insert(key, ServerState::default, |state| {
            let cold = is_cold(state, server, now);
            let is_admitted = self.is_admitted(state, server, now);
            let round_trip = self.round_trip(state, server);
            let connect = if state.connections.has_idle(now) {
                Duration::ZERO
            } else {
                round_trip + self.times.usual.mul_f64(CONNECT_COST)
            };
            Candidate {
                key,
                expected: state.stats.expected_latency(
                    self.times.usual,
                    server.report.slots,
                    cold,
                    now,
                ),
                round_trip: round_trip
                    + connect
                    + if is_remote { CROSS_DOMAIN_COST } else { Duration::ZERO },
                has_capacity: is_admitted
                    && state.stats.notices.availability(now) == Availability::Now,
                is_healthy: is_responsive && state.stats.outlier.can_send(true, now),
            }
        })
    }

    /// Returns whether this instance's share of a server's rate while it is cold allows one more request.
    fn is_admitted(&self, state: &mut ServerState, server: &Server, now: Tick) -> bool {
        let rate = self.cold_rate(self.view.server_limits(server).cold_rate);
        !is_cold(state, server, now) || state.stats.cold.can_send(rate, self.tier.instances(), now)
    }

    /// Counts a request to a server and reserves it; `None` if others used its rate up since it became a candidate.
    fn try_reserve(&self, key: ServerKey, server: &Server, now: Tick) -> Option<ReservedSend> {
        let reservation = self.tier.servers.with_or_insert(key, ServerState::default, |state| {
            if !self.is_admitted(state, server, now) {
                return None;
            }
            let reservation = state.stats.notices.reserve(now)?;
            state.stats.cold.record_send(now);
            Some(reservation)
        })?;
        Some(ReservedSend::new(self.tier, key, reservation))
    }

    /// Returns the rate limit of a cold server for all instances, per second; zero means no limit.
    fn cold_rate(&self, rate: f64) -> f64 {
        let (factor, slack) = self.tier.opts.cold_rate;
        if rate > 0.0 { rate * factor + slack } else { 0.0 }
    }
}

fn is_cold(state: &ServerState, server: &Server, now: Tick) -> bool {
    now < server.cold_until.max(state.stats.cold_until())
}

impl ScatterContext for TierContext<'_> {
    fn pick_server(&mut self, pool: PoolKey, avoid: &[ServerKey], now: Tick) -> Option<ServerKey> {
        let mut candidates = self.candidates(pool, avoid, now);
        loop {
            let key = pick_server(&candidates, !avoid.is_empty(), || rand::rng().random())?;
            let server = self.view.server(key)?;
            if let Some(reserved) = self.try_reserve(key, server, now) {
                let domain_probe = DomainProbe::record_send(self.tier, &server.report.domain);
                self.picks.push((key, Pick { reserved, domain_probe }));
                return Some(key);
            }
            candidates.retain(|c| c.key != key);
        }
    }

    fn cancel_pick(&mut self, server: ServerKey) {
        let probe = self.take_pick(server).and_then(|pick| pick.domain_probe);
        probe.into_iter().for_each(DomainProbe::cancel);
    }

    fn record_request(&mut self, pool: PoolKey, now: Tick) {
        let opts = retry_budget_options(self.tier, self.view, pool);
        self.tier.retry_budgets.with_or_insert(
            pool,
            || RetryBudget::new(opts),
            |b| b.record_request(now),
        );
    }

    fn try_acquire_extra(&mut self, pool: PoolKey, now: Tick) -> bool {
        let opts = retry_budget_options(self.tier, self.view, pool);
        let role = if self.is_sharded { self.tier.role() } else { Role::Alone };
        let share = role.share(self.tier.instances());
        let allowed = self.tier.retry_budgets.with_or_insert(
            pool,
            || RetryBudget::new(opts),
            |b| b.try_acquire(share, now),
        );
        self.tier
            .metrics
            .extra_sends
            .with_label_values(&[if allowed { "yes" } else { "no" }])
            .inc();
        allowed
    }

    fn dispatched_at(&self, shard: usize) -> Option<Tick> {
        self.dispatches.time(shard)
    }

    fn record_overdue(&mut self, key: ServerKey, now: Tick) {
        if let Some(server) = self.view.server(key) {
            self.tier.with_domain(&server.report.domain, |d| d.record_overdue(now));
        }
    }

    fn hedge_delay(&mut self, key: ServerKey) -> Duration {
        let Some(server) = self.view.server(key) else { return self.times.overdue };
        let round_trip = self
            .tier
            .servers
            .with_or_insert(key, ServerState::default, |state| self.round_trip(state, server));
        self.times.overdue + round_trip
    }
}
