//! Drives the scatter of one request: sends, hedges, and the moment of the answer.

use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinSet;

use crate::coordination::query::MissingReason;
use crate::coordination::scatter::{Decision, Scatter, ScatterOptions, SendResult, ShardSend};
use crate::protocol::wire::OutgoingRequest;
use crate::state::arena::{RouteKey, ServerKey};
use crate::state::topology::TopologyView;
use crate::transport::upstreams::scene::{TierScene, Times, extra_options};
use crate::transport::upstreams::send::{Answer, Asked, Landed, send};
use crate::transport::upstreams::tier::{RouteStats, Tier};

/// How long sends whose answers are not needed any more may end, which keeps their connections.
const LINGER: Duration = Duration::from_millis(300);

/// Missing shards that a log line tells the reason of.
const MOST_REASONS: usize = 3;

/// One request, whichever front end took it.
pub(crate) struct Job {
    /// Identity of the request, for logs.
    pub(crate) id: String,
    /// Whose answer times are learnt.
    pub(crate) route: RouteKey,
    /// Time within which an answer has its full worth.
    pub(crate) aim: Duration,
    /// What servers get.
    pub(crate) out: OutgoingRequest,
    /// Shards, bounds and times.
    pub(crate) opts: ScatterOptions,
}

/// What came of a request.
pub(crate) struct Gathered {
    /// Shards by place, with their answers, each once and in order.
    pub(crate) parts: Vec<(usize, Answer)>,
    /// The other shards.
    pub(crate) missing: Vec<(usize, MissingReason)>,
}

/// A request that was given up.
pub(crate) struct GivenUp {
    /// Some server may have run it.
    pub(crate) ran: bool,
    /// Its time was over.
    pub(crate) late: bool,
    /// A server's own failure, if one may be passed on.
    pub(crate) failure: Option<Answer>,
    /// The shards without an answer.
    pub(crate) missing: Vec<(usize, MissingReason)>,
}

type Sends = JoinSet<((usize, ServerKey), Landed)>;

struct Run<'a> {
    tier: &'a Arc<Tier>,
    scene: TierScene<'a>,
    route: RouteKey,
    asked: Arc<Asked>,
    parts: Vec<(usize, Answer)>,
    failure: Option<Answer>,
}

/// Runs a request to its answer.
pub(crate) async fn run(
    tier: &Arc<Tier>,
    view: &TopologyView,
    job: Job,
) -> Result<Gathered, GivenUp> {
    let Job { id, route, aim, out, opts } = job;
    let ratio = opts.shards.first().map(|pool| extra_options(tier, view, *pool).ratio);
    let times = Times::learnt(tier, route, aim, ratio.unwrap_or_default());
    let asked = Asked { id, out, idempotent: opts.idempotent, times, until: opts.hard_deadline };
    let scene = TierScene { tier, view, times, gathers: opts.shards.len() > 1 };
    let run = Run { tier, scene, route, asked: Arc::new(asked), parts: Vec::new(), failure: None };
    run.drive(opts).await
}

impl Run<'_> {
    async fn drive(mut self, opts: ScatterOptions) -> Result<Gathered, GivenUp> {
        let mut sends = Sends::new();
        let (mut scatter, orders) = Scatter::start(opts, &mut self.scene, self.tier.now());
        self.launch(orders, &mut sends);
        loop {
            let now = self.tier.now();
            match scatter.decision(now) {
                Decision::Answer => {
                    let_end(sends);
                    return Ok(self.gathered(&scatter));
                }
                Decision::GiveUp { ran } => return Err(self.given_up(ran, &scatter)),
                Decision::Wait => {}
            }
            let wake = scatter.next_wake(now);
            tokio::select! {
                Some(ended) = sends.join_next(), if !sends.is_empty() => match ended {
                    Ok((place, landed)) => {
                        let order = self.take(place, landed, &mut scatter);
                        self.launch(order, &mut sends);
                    }
                    Err(e) => log::error!("a send ended by itself: {e}"),
                },
                () = self.tier.clock.sleep_until(wake) => {
                    let orders = scatter.hedge_overdue(&mut self.scene, self.tier.now());
                    orders.iter().for_each(|order| self.log_hedge(order));
                    self.launch(orders, &mut sends);
                }
            }
        }
    }

    fn log_hedge(&self, order: &ShardSend) {
        let (id, server, shard) =
            (self.asked.id.as_str(), self.server_id(order.server), order.shard);
        let overdue_ms = self.asked.times.overdue.as_millis() as u64;
        log::info!(request = id, shard, server, overdue_ms; "hedged");
    }

    fn launch(&self, orders: impl IntoIterator<Item = ShardSend>, sends: &mut Sends) {
        for ShardSend { shard, server } in orders {
            let (tier, asked) = (self.tier.clone(), self.asked.clone());
            sends.spawn(async move { ((shard, server), send(tier, asked, shard, server).await) });
        }
    }

    fn take(
        &mut self,
        (shard, key): (usize, ServerKey),
        landed: Landed,
        scatter: &mut Scatter,
    ) -> Option<ShardSend> {
        if let Some(took) = landed.took {
            let add = |s: &mut RouteStats| s.times.record(took);
            self.tier.routes.with_or_insert(self.route, RouteStats::default, add);
        }
        if landed.end != SendResult::Answered {
            let (id, reason) = (self.asked.id.as_str(), landed.reason());
            let server = landed.server.as_str();
            log::info!(request = id, shard, server, reason; "send failed");
        }
        match landed.answer {
            Some(answer) if landed.end == SendResult::Answered => self.parts.push((shard, answer)),
            Some(answer) => self.failure = Some(answer),
            None => {}
        }
        scatter.record_result((shard, key), landed.end, &mut self.scene, self.tier.now())
    }

    fn gathered(mut self, scatter: &Scatter) -> Gathered {
        let missing = scatter.missing_shards();
        self.tier.meters.parts_missing.inc_by(missing.len() as u64);
        self.parts.sort_by_key(|(shard, _)| *shard);
        self.parts.dedup_by_key(|(shard, _)| *shard);
        if !missing.is_empty() {
            let (id, route, version) = self.place();
            let (shards, why) = (self.parts.len() + missing.len(), self.reasons(scatter, &missing));
            log::info!(
                request = id, route = route.as_str(), version, missing = missing.len(), shards,
                why = why.as_str(); "answered without some shards"
            );
        }
        Gathered { parts: self.parts, missing }
    }

    /// Returns what a log line needs to find a request's inputs: identity, route, version of routes.
    fn place(&self) -> (&str, String, u64) {
        let version = self.scene.view.route_table.as_ref().map_or(0, |t| t.version);
        (&self.asked.id, self.tier.names.route_name(self.route), version)
    }

    /// Returns the first missing shards with the reason and the servers that were asked.
    fn reasons(&self, scatter: &Scatter, missing: &[(usize, MissingReason)]) -> String {
        let one = |(place, why): &(usize, MissingReason)| {
            let pool = self.tier.names.pool_name(scatter.pool(*place));
            let asked: Vec<&str> =
                scatter.asked(*place).iter().map(|key| self.server_id(*key)).collect();
            format!("{pool}:{}:{}", why.as_str(), asked.join("+"))
        };
        missing.iter().take(MOST_REASONS).map(one).collect::<Vec<_>>().join(" ")
    }

    fn server_id(&self, key: ServerKey) -> &str {
        self.scene.view.server(key).map_or("?", |s| s.report.id.as_str())
    }

    fn given_up(self, ran: bool, scatter: &Scatter) -> GivenUp {
        let missing = scatter.missing_shards();
        let late = self.tier.now() >= self.asked.until;
        let (id, route, version) = self.place();
        let why = self.reasons(scatter, &missing);
        log::info!(
            request = id, route = route.as_str(), version, missing = missing.len(), late, ran,
            why = why.as_str(); "given up"
        );
        GivenUp { ran, late, failure: self.failure, missing }
    }
}

/// Lets sends whose answers are not needed any more end for a while.
fn let_end(mut sends: Sends) {
    if sends.is_empty() {
        return;
    }
    tokio::spawn(async move {
        let all = async { while sends.join_next().await.is_some() {} };
        if tokio::time::timeout(LINGER, all).await.is_err() {
            log::debug!("sends without use were cancelled");
        }
    });
}
