//! Drives the scatter of one request: sends, retries and hedges it until it is answered or given up.

use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinSet;

use crate::coordination::attempt::NotRunCode;
use crate::coordination::query::MissingReason;
use crate::coordination::return_times::{ServiceShare, return_from};
use crate::coordination::scatter::{Decision, Scatter, ScatterOptions, SendResult, ShardSend};
use crate::coordination::server_notices::Availability;
use crate::protocol::codec::OutgoingRequest;
use crate::state::arena::{PoolKey, RouteKey, ServerKey};
use crate::state::topology::TopologyView;
use crate::transport::admission::{RequestHold, Working};
use crate::transport::upstreams::context::{AnswerTimes, TierContext, retry_budget_options};
use crate::transport::upstreams::send::{Answer, Dispatches, ScatterRequest, SendOutcome, send};
use crate::transport::upstreams::tier::{RouteStats, Tier};

/// Time for which sends whose answers are no longer needed may complete, so that their connections can
/// be reused.
const LINGER_TIMEOUT: Duration = Duration::from_millis(300);

/// Maximum number of missing shards whose reason is logged, per request.
const MAX_LOGGED_REASONS: usize = 3;

/// One request to scatter, from any front end.
#[derive(Clone)]
pub(crate) struct Job {
    /// ID of the request, for logs.
    pub(crate) id: String,
    /// The route whose answer times it uses and updates.
    pub(crate) route: RouteKey,
    /// Target latency of the answer.
    pub(crate) target_latency: Duration,
    /// The request as sent to servers.
    pub(crate) outgoing: OutgoingRequest,
    /// Shards, limits and deadlines.
    pub(crate) opts: ScatterOptions,
    /// What is held for the request of a caller; it is held as long as the job.
    pub(crate) hold: Option<Arc<RequestHold<Working>>>,
}

/// The answers gathered for a request.
pub(crate) struct Gathered {
    /// Answers by shard index, at most one per shard, in ascending order.
    pub(crate) parts: Vec<(usize, Answer)>,
    /// The remaining shards, and why each has no answer.
    pub(crate) missing: Vec<(usize, MissingReason)>,
}

/// A request that was given up.
pub(crate) struct GivenUp {
    /// Whether some server may have run it.
    pub(crate) ran: bool,
    /// Whether its hard deadline had passed.
    pub(crate) late: bool,
    /// The last answer with which a server reported a failure, if any.
    pub(crate) failure: Option<Answer>,
    /// The shards without an answer, and why.
    pub(crate) missing: Vec<(usize, MissingReason)>,
    /// When to try again, if it was not run because servers asked for time.
    pub(crate) retry_after: Option<Duration>,
}

type Sends = JoinSet<((usize, ServerKey), SendOutcome)>;

/// Drives the state machine of one scatter and collects its answers.
struct Driver<'a> {
    tier: &'a Arc<Tier>,
    context: TierContext<'a>,
    route: RouteKey,
    request: Arc<ScatterRequest>,
    parts: Vec<(usize, Answer)>,
    failure: Option<Answer>,
}

/// Scatters a request and gathers its answers.
pub(crate) async fn run(
    tier: &Arc<Tier>,
    view: &TopologyView,
    job: Job,
) -> Result<Gathered, GivenUp> {
    let Job { id, route, target_latency, outgoing, opts, hold: _hold } = job;
    let is_sharded = opts.shards.len() > 1;
    if is_sharded {
        tier.with_warming(|w| w.record_gather(tier.now()));
    }
    let _in_flight = is_sharded.then(|| tier.track_shards(opts.shards.len()));
    let ratio = opts.shards.first().map(|pool| retry_budget_options(tier, view, *pool).ratio);
    let times = AnswerTimes::estimate(tier, route, target_latency, ratio.unwrap_or_default());
    let request = ScatterRequest {
        id,
        outgoing,
        idempotent: opts.idempotent,
        times,
        dispatches: Arc::new(Dispatches::new(opts.shards.len())),
        hard_deadline: opts.hard_deadline,
    };
    let context = TierContext {
        tier,
        view,
        times,
        dispatches: request.dispatches.clone(),
        is_sharded,
        picks: Vec::new(),
    };
    let driver = Driver {
        tier,
        context,
        route,
        request: Arc::new(request),
        parts: Vec::new(),
        failure: None,
    };
    driver.drive(opts).await
}

impl Driver<'_> {
    async fn drive(mut self, opts: ScatterOptions) -> Result<Gathered, GivenUp> {
        let mut in_flight = Sends::new();
        if let Some(given_up) = self.refuse_unavailable(&opts) {
            return Err(given_up);
        }
        let (mut scatter, sends) = Scatter::start(opts, &mut self.context, self.tier.now());
        self.spawn_sends(sends, &mut in_flight);
        loop {
            let now = self.tier.now();
            match scatter.decision(now) {
                Decision::Answer => {
                    finish_in_background(in_flight);
                    return Ok(self.gathered(&scatter));
                }
                Decision::GiveUp { .. } => {
                    // sends that wait for a connection are not dispatched any more
                    in_flight.shutdown().await;
                    return Err(self.given_up(&scatter));
                }
                Decision::Wait => {}
            }
            let wake = scatter.next_wake(now);
            tokio::select! {
                Some(joined) = in_flight.join_next(), if !in_flight.is_empty() => match joined {
                    Ok((send, outcome)) => {
                        let retry = self.record_outcome(send, outcome, &mut scatter);
                        self.spawn_sends(retry, &mut in_flight);
                    }
                    Err(e) => log::error!("send task failed: {e}"),
                },
                () = self.tier.clock.sleep_until(wake) => {
                    let hedges = scatter.hedge_overdue(&mut self.context, self.tier.now());
                    hedges.iter().for_each(|hedge| self.log_hedge(hedge));
                    self.spawn_sends(hedges, &mut in_flight);
                }
            }
        }
    }

    /// Refuses a request at once if too few of its shards have a server that may be sent it.
    fn refuse_unavailable(&self, opts: &ScatterOptions) -> Option<GivenUp> {
        let (tier, now) = (self.tier, self.tier.now());
        let availability =
            tier.available_from(&opts.shards, opts.min_shard_ratio, self.context.view, now);
        let why = match availability {
            Availability::Now => return None,
            Availability::From(_) => NotRunCode::BackingOff,
            Availability::Never => NotRunCode::NoReplica,
        };
        let retry_after = self.return_time(availability, &opts.shards, opts.min_shard_ratio);
        let (id, route, version) = self.log_context();
        let (reason, after_ms) = (why.as_str(), retry_after.map(|d| d.as_millis() as u64));
        log::info!(
            request = id, route = route.as_str(), version, reason, after_ms;
            "request refused because too few shards have a server that accepts requests"
        );
        let missing = (0..opts.shards.len()).map(|shard| (shard, MissingReason::Refused(why)));
        let missing = missing.collect();
        Some(GivenUp { ran: false, late: false, failure: None, missing, retry_after })
    }

    /// Returns when the caller of a request that was not run may return, if servers asked for time until then.
    fn return_time(
        &self,
        availability: Availability,
        pools: &[PoolKey],
        min_shard_ratio: f64,
    ) -> Option<Duration> {
        let Availability::From(free_at) = availability else { return None };
        let (view, now) = (self.context.view, self.tier.now());
        let asked = self.tier.available_beside_limits(pools, min_shard_ratio, view, now);
        let asked_until = if let Availability::From(at) = asked { at } else { now };
        let free_at = return_from(free_at, asked_until, now);
        let servers = pools.first().map(|pool| self.context.view.available_servers(*pool));
        let share = ServiceShare {
            slots: ServiceShare::total_slots(
                servers.into_iter().flatten().map(|(_, server)| server.report.slots),
            ),
            usual: self.request.times.usual,
            instances: self.tier.instances(),
            limited_rate: self.tier.limited_rate(pools, min_shard_ratio, self.context.view),
        };
        Some(self.tier.route_stats.with_or_insert(self.route, RouteStats::default, |s| {
            s.return_times.next(free_at, share, now)
        }))
    }

    fn log_hedge(&self, hedge: &ShardSend) {
        let (id, server, shard) =
            (self.request.id.as_str(), self.server_id(hedge.server), hedge.shard);
        let overdue_ms = self.request.times.overdue.as_millis() as u64;
        log::info!(request = id, shard, server, overdue_ms; "hedged");
    }

    fn spawn_sends(&mut self, sends: impl IntoIterator<Item = ShardSend>, in_flight: &mut Sends) {
        for ShardSend { shard, server } in sends {
            self.request.dispatches.clear_time(shard);
            let (tier, request) = (self.tier.clone(), self.request.clone());
            let Some(pick) = self.context.take_pick(server) else {
                log::error!("nothing is reserved for a send");
                continue;
            };
            in_flight.spawn(async move {
                ((shard, server), send(tier, request, shard, (server, pick)).await)
            });
        }
    }

    /// Records the outcome of a send and returns the retry, if there is one.
    fn record_outcome(
        &mut self,
        (shard, key): (usize, ServerKey),
        outcome: SendOutcome,
        scatter: &mut Scatter,
    ) -> Option<ShardSend> {
        if let Some(latency) = outcome.latency {
            let record = |s: &mut RouteStats| s.latencies.record(latency);
            self.tier.route_stats.with_or_insert(self.route, RouteStats::default, record);
        }
        if outcome.result != SendResult::Answered {
            let (id, reason) = (self.request.id.as_str(), outcome.reason());
            let server = outcome.server_id.as_str();
            log::info!(request = id, shard, server, reason; "send failed");
        }
        match outcome.answer {
            Some(answer) if outcome.result == SendResult::Answered => {
                self.parts.push((shard, answer))
            }
            Some(answer) => self.failure = Some(answer),
            None => {}
        }
        scatter.record_result((shard, key), outcome.result, &mut self.context, self.tier.now())
    }

    fn gathered(mut self, scatter: &Scatter) -> Gathered {
        let missing = scatter.missing_shards();
        self.tier.metrics.parts_missing.inc_by(missing.len() as u64);
        self.parts.sort_by_key(|(shard, _)| *shard);
        self.parts.dedup_by_key(|(shard, _)| *shard);
        if !missing.is_empty() {
            let (id, route, version) = self.log_context();
            let (shards, why) =
                (self.parts.len() + missing.len(), self.format_missing(scatter, &missing));
            log::info!(
                request = id, route = route.as_str(), version, missing = missing.len(), shards,
                why = why.as_str(); "answered without some shards"
            );
        }
        Gathered { parts: self.parts, missing }
    }

    /// Returns what identifies the inputs of the request in logs: ID, route and version of the routes.
    fn log_context(&self) -> (&str, String, u64) {
        let version = self.context.view.route_table.as_ref().map_or(0, |t| t.version);
        (&self.request.id, self.tier.names.route_name(self.route), version)
    }

    /// Lists the first missing shards, each with the reason and the servers that were sent the request.
    fn format_missing(&self, scatter: &Scatter, missing: &[(usize, MissingReason)]) -> String {
        let format_shard = |(index, why): &(usize, MissingReason)| {
            let pool = self.tier.names.pool_name(scatter.pool(*index));
            let tried: Vec<&str> =
                scatter.tried(*index).iter().map(|key| self.server_id(*key)).collect();
            format!("{pool}:{}:{}", why.as_str(), tried.join("+"))
        };
        missing.iter().take(MAX_LOGGED_REASONS).map(format_shard).collect::<Vec<_>>().join(" ")
    }

    fn server_id(&self, key: ServerKey) -> &str {
        self.context.view.server(key).map_or("?", |s| s.report.id.as_str())
    }

    fn given_up(self, scatter: &Scatter) -> GivenUp {
        let ran = self.request.dispatches.may_have_run();
        let missing = scatter.missing_shards();
        let (pools, min_shard_ratio) = scatter.targets();
        let now = self.tier.now();
        let availability = self.tier.available_from(pools, min_shard_ratio, self.context.view, now);
        let retry_after =
            if ran { None } else { self.return_time(availability, pools, min_shard_ratio) };
        let late = now >= self.request.hard_deadline;
        let (id, route, version) = self.log_context();
        let why = self.format_missing(scatter, &missing);
        log::info!(
            request = id, route = route.as_str(), version, missing = missing.len(), late, ran,
            why = why.as_str(); "request given up"
        );
        GivenUp { ran, late, failure: self.failure, missing, retry_after }
    }
}

/// Lets sends whose answers are no longer needed complete in the background, until a timeout.
fn finish_in_background(mut sends: Sends) {
    if sends.is_empty() {
        return;
    }
    tokio::spawn(async move {
        let join_all = async { while sends.join_next().await.is_some() {} };
        if tokio::time::timeout(LINGER_TIMEOUT, join_all).await.is_err() {
            log::debug!("sends cancelled after the linger timeout");
        }
    });
}
