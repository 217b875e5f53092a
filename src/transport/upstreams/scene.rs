//! What the scatter machine asks of the tier: servers, budget, times.

use std::time::Duration;

use rand::RngExt;

use crate::coordination::extras::{RetryBudget, RetryBudgetOptions};
use crate::coordination::learned::{Candidate, pick_server};
use crate::coordination::scatter::ScatterContext;
use crate::coordination::shares::Role;
use crate::state::arena::{PoolKey, RouteKey, ServerKey};
use crate::state::time::Tick;
use crate::state::topology::{Server, TopologyView};
use crate::transport::upstreams::tier::{Live, RouteStats, Tier};

/// Round trip that is assumed of a server in another failure domain.
const FAR_TRIP: Duration = Duration::from_millis(10);
/// What leaving the failure domain costs beside the round trip.
const FAR_COST: Duration = Duration::from_millis(2);
/// Part of the ratio of extra arrivals that hedges take on a calm day: answers are overdue beyond the
/// quantile that leaves so many.
const HEDGES: f64 = 0.25;
/// Part of the aim that counts as overdue before times are learnt, and at the latest.
const OVERDUE_OF_AIM: f64 = 0.4;
/// Part of the aim that counts as the usual answer time before times are learnt.
const USUAL_OF_AIM: f64 = 0.15;

/// The usual and the overdue time of a route's answers, without the round trip.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Times {
    pub(crate) usual: Duration,
    pub(crate) overdue: Duration,
}

impl Times {
    pub(crate) fn learnt(tier: &Tier, route: RouteKey, aim: Duration, ratio: f64) -> Self {
        let quantile = 1.0 - ratio * HEDGES;
        tier.routes.with_or_insert(route, RouteStats::default, |s| {
            let latest = aim.mul_f64(OVERDUE_OF_AIM);
            Self {
                usual: s.times.quantile(0.5).unwrap_or(aim.mul_f64(USUAL_OF_AIM)),
                overdue: s.times.quantile(quantile).map_or(latest, |t| t.min(latest)),
            }
        })
    }
}

/// Returns the budget of a service.
pub(crate) fn extra_options(tier: &Tier, view: &TopologyView, pool: PoolKey) -> RetryBudgetOptions {
    let opts = tier.opts.extras;
    let ratio = view.pool_limits(pool).extra_ratio.unwrap_or(opts.ratio);
    RetryBudgetOptions { ratio, ..opts }
}

/// The tier as one request sees it.
pub(crate) struct TierScene<'a> {
    pub(crate) tier: &'a Tier,
    pub(crate) view: &'a TopologyView,
    pub(crate) times: Times,
    /// The request is over shards.
    pub(crate) gathers: bool,
}

impl TierScene<'_> {
    fn trip(&self, live: &Live, server: &Server) -> Duration {
        let far = server.report.domain != self.tier.opts.domain;
        let assumed = if far { FAR_TRIP } else { Duration::ZERO };
        live.conns.trip.unwrap_or(assumed)
    }

    fn choice(&self, key: ServerKey, server: &Server, now: Tick) -> Candidate {
        let far = server.report.domain != self.tier.opts.domain;
        let bounds = self.view.server_limits(server);
        let lit = self.tier.domain(&server.report.domain, |d| d.can_send(now));
        self.tier.live.with_or_insert(key, Live::default, |live| {
            let cold = now < server.cold_until.max(live.learned.cold_until());
            let admitted = !cold || {
                let rate = self.cold_rate(bounds.cold_rate);
                live.learned.cold.can_send(rate, self.tier.instances(), now)
            };
            Candidate {
                key,
                expected: live.learned.expected_latency(
                    self.times.usual,
                    server.report.slots,
                    cold,
                    now,
                ),
                round_trip: self.trip(live, server) + if far { FAR_COST } else { Duration::ZERO },
                has_capacity: admitted && !live.learned.is_draining(),
                is_healthy: lit && live.learned.outlier.can_send(true, now),
            }
        })
    }

    fn cold_rate(&self, rate: f64) -> f64 {
        let (factor, beyond) = self.tier.opts.cold;
        if rate > 0.0 { rate * factor + beyond } else { 0.0 }
    }
}

impl ScatterContext for TierScene<'_> {
    fn pick_server(&mut self, pool: PoolKey, avoid: &[ServerKey], now: Tick) -> Option<ServerKey> {
        let choices: Vec<Candidate> = self
            .view
            .available_servers(pool)
            .filter(|(key, _)| !avoid.contains(key))
            .map(|(key, server)| self.choice(key, server, now))
            .collect();
        let server = pick_server(&choices, !avoid.is_empty(), || rand::rng().random())?;
        let known = self.view.server(server)?;
        self.tier.domain(&known.report.domain, |d| d.record_send());
        self.tier.live.with(server, |live| live.learned.cold.record_send(now));
        Some(server)
    }

    fn record_request(&mut self, pool: PoolKey, now: Tick) {
        let opts = extra_options(self.tier, self.view, pool);
        self.tier.extras.with_or_insert(pool, || RetryBudget::new(opts), |e| e.record_request(now));
    }

    fn try_acquire_extra(&mut self, pool: PoolKey, now: Tick) -> bool {
        let opts = extra_options(self.tier, self.view, pool);
        let role = if self.gathers { self.tier.role() } else { Role::Alone };
        let part = role.share(self.tier.instances());
        let ok = self.tier.extras.with_or_insert(
            pool,
            || RetryBudget::new(opts),
            |e| e.try_acquire(part, now),
        );
        self.tier.meters.extra_sends.with_label_values(&[if ok { "yes" } else { "no" }]).inc();
        ok
    }

    fn record_overdue(&mut self, server: ServerKey, now: Tick) {
        if let Some(known) = self.view.server(server) {
            self.tier.domain(&known.report.domain, |d| d.record_overdue(now));
        }
    }

    fn hedge_delay(&mut self, server: ServerKey) -> Duration {
        let Some(known) = self.view.server(server) else { return self.times.overdue };
        let trip =
            self.tier.live.with_or_insert(server, Live::default, |live| self.trip(live, known));
        self.times.overdue + trip
    }
}
