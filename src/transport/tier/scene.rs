//! What the scatter machine asks of the tier: servers, budget, times.

use std::time::Duration;

use rand::RngExt;

use crate::coordination::extras::Extras;
use crate::coordination::learned::{Choice, pick};
use crate::coordination::scatter::Scene;
use crate::state::arena::{PoolKey, RouteKey, ServerKey};
use crate::state::picture::{Server, View};
use crate::state::time::Tick;
use crate::transport::tier::{Live, RouteStats, Tier};

/// Round trip that is assumed of a server in another failure domain.
const FAR_TRIP: Duration = Duration::from_millis(10);
/// What leaving the failure domain costs beside the round trip.
const FAR_COST: Duration = Duration::from_millis(2);
/// Quantile of a route's answer times from which on an answer is overdue.
const OVERDUE: f64 = 0.95;
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
    pub(crate) fn learnt(tier: &Tier, route: RouteKey, aim: Duration) -> Self {
        tier.routes.with_or(route, RouteStats::default, |s| {
            let latest = aim.mul_f64(OVERDUE_OF_AIM);
            Self {
                usual: s.times.at(0.5).unwrap_or(aim.mul_f64(USUAL_OF_AIM)),
                overdue: s.times.at(OVERDUE).map_or(latest, |t| t.min(latest)),
            }
        })
    }
}

/// The tier as one request sees it.
pub(crate) struct TierScene<'a> {
    pub(crate) tier: &'a Tier,
    pub(crate) view: &'a View,
    pub(crate) times: Times,
}

impl TierScene<'_> {
    fn trip(&self, live: &Live, server: &Server) -> Duration {
        let far = server.report.domain != self.tier.opts.domain;
        let assumed = if far { FAR_TRIP } else { Duration::ZERO };
        live.conns.trip.unwrap_or(assumed)
    }

    fn choice(&self, key: ServerKey, server: &Server, pool: PoolKey, now: Tick) -> Choice {
        let far = server.report.domain != self.tier.opts.domain;
        let bounds = self.view.bounds(pool);
        let lit = self.tier.domain(&server.report.domain, |d| d.admits(now));
        self.tier.live.with_or(key, Live::default, |live| {
            let cold = now < server.cold_until.max(live.learned.cold_until());
            let admitted = !cold || {
                let rate = self.cold_rate(bounds.cold_rate);
                live.learned.cold.admits(rate, self.tier.instances(), now)
            };
            Choice {
                key,
                expected: live.learned.expected(self.times.usual, server.report.slots, cold, now),
                trip: self.trip(live, server) + if far { FAR_COST } else { Duration::ZERO },
                bears: admitted,
                sound: lit && live.learned.outlier.admits(true, now),
            }
        })
    }

    fn cold_rate(&self, rate: f64) -> f64 {
        let (factor, beyond) = self.tier.opts.cold;
        if rate > 0.0 { rate * factor + beyond } else { 0.0 }
    }
}

impl Scene for TierScene<'_> {
    fn pick(&mut self, pool: PoolKey, avoid: &[ServerKey], now: Tick) -> Option<ServerKey> {
        let choices: Vec<Choice> = self
            .view
            .open(pool)
            .filter(|(key, _)| !avoid.contains(key))
            .map(|(key, server)| self.choice(key, server, pool, now))
            .collect();
        let server = pick(&choices, !avoid.is_empty(), || rand::rng().random())?;
        let known = self.view.server(server)?;
        self.tier.domain(&known.report.domain, |d| d.sent());
        Some(server)
    }

    fn request(&mut self, pool: PoolKey, now: Tick) {
        let opts = self.tier.opts.extras;
        self.tier.extras.with_or(pool, || Extras::new(opts), |e| e.request(now));
    }

    fn spend(&mut self, pool: PoolKey, now: Tick) -> bool {
        let (opts, instances) = (self.tier.opts.extras, self.tier.instances());
        let ok = self.tier.extras.with_or(pool, || Extras::new(opts), |e| e.spend(instances, now));
        self.tier.meters.extras.with_label_values(&[if ok { "yes" } else { "no" }]).inc();
        ok
    }

    fn missed(&mut self, server: ServerKey, now: Tick) {
        if let Some(known) = self.view.server(server) {
            self.tier.domain(&known.report.domain, |d| d.overdue(now));
        }
    }

    fn overdue(&mut self, server: ServerKey) -> Duration {
        let Some(known) = self.view.server(server) else { return self.times.overdue };
        let trip = self.tier.live.with_or(server, Live::default, |live| self.trip(live, known));
        self.times.overdue + trip
    }
}
