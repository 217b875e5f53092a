//! Sharded requests that are forwarded to a gatherer, and those gathered for peers.

use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;
use futures::{FutureExt, TryFutureExt};
use hyper::header::HeaderValue;
use indexmap::IndexMap;

use crate::coordination::division::{RangeRatios, RangeRefusals, RangeStep, range_ratios};
use crate::coordination::gatherers::{
    GatherContext, GatherRefusal, can_take, is_heavy, select_gatherers, shards_by_domain,
};
use crate::coordination::scatter::ScatterOptions;
use crate::coordination::server_notices::Availability;
use crate::protocol::codec::{CallerCodec, DeclineReason};
use crate::protocol::gather::{GatherRequest, GatherResult, GatherScope, GatherTimes};
use crate::state::arena::PoolKey;
use crate::state::routes::{Route, ScatterGather, Target};
use crate::state::time::Tick;
use crate::state::topology::TopologyView;
use crate::transport::callers::proxy::{
    GatheredParts, Proxy, merge_parts, not_run_reason, ran_reason,
};
use crate::transport::http::FullResponse;
use crate::transport::peers::Peers;
use crate::transport::peers::gather::{GatherFailure, GatherHandler, Gatherer};
use crate::transport::upstreams::run::{GivenUp, Job, run};

/// Copies of a body that a link makes: one in the frame, one in the link's buffer.
const LINK_COPIES: usize = 2;

impl<C: CallerCodec> Proxy<C> {
    /// Forwards a request to a gatherer; returns `None` if this instance gathers it itself.
    pub(crate) async fn try_forward(
        &self,
        gathering: &ScatterGather,
        route: &Route,
        job: &Job,
        view: &TopologyView,
    ) -> Option<Result<FullResponse, DeclineReason>> {
        let (mut refusals, mut refused, mut is_busy) =
            (RangeRefusals::default(), Vec::new(), false);
        while refusals.next_step() == RangeStep::Offer
            && let Some(gatherer) = self.select_gatherer(gathering, view, &refused, is_busy)
        {
            let shards = 0..gathering.shards.len();
            match self.forward(&gatherer, (route, shards), job, view).await {
                Ok(result) => return Some(result.map(|parts| self.gathered_response(parts))),
                Err(
                    why @ (GatherRefusal::Busy | GatherRefusal::Cut | GatherRefusal::Unavailable),
                ) => {
                    refusals.record(why, gatherer.domain() == self.tier.opts.domain);
                    refused.push(gatherer.addr());
                    is_busy = why == GatherRefusal::Busy;
                }
                Err(_) => break,
            }
        }
        self.refuse_cut(&refusals, route).map(Err)
    }

    /// Returns why a request is refused if its gatherers reach too few shards, and remembers it.
    pub(crate) fn refuse_cut(
        &self,
        refusals: &RangeRefusals,
        route: &Route,
    ) -> Option<DeclineReason> {
        let RangeStep::Refuse { retry_after } = refusals.next_step() else { return None };
        if refusals.is_domain_cut() {
            self.tier.record_cut(route.key);
        }
        Some(DeclineReason::NotRun { after: retry_after })
    }

    /// Selects the gatherer for a request; none if this instance gathers it itself. `is_busy` if the one before was busy.
    fn select_gatherer(
        &self,
        gathering: &ScatterGather,
        view: &TopologyView,
        refused: &[SocketAddr],
        is_busy: bool,
    ) -> Option<Gatherer> {
        let peers = self.peers.as_ref()?;
        let (context, members) = (self.gather_context(peers, gathering), peers.members());
        let (me, held) = (context.me, self.responsive_shards(view, gathering));
        let mut gatherers = select_gatherers(context, &held, &members);
        let first = *gatherers.first()?;
        if !self.can_take(context.shard_count) {
            gatherers.retain(|m| m.addr != me.addr);
        }
        let width = if is_heavy(first.power, context.shard_count) {
            let (now, mut spread) = (self.tier.now(), self.tier.spread.lock());
            if is_busy {
                spread.record_busy(gatherers.len(), now);
            }
            spread.width(now)
        } else {
            gatherers.len()
        };
        peers.pick_gatherer(&gatherers, width, refused)
    }

    /// Returns the inputs that decide where a request is gathered.
    pub(crate) fn gather_context<'a>(
        &self,
        peers: &'a Peers,
        gathering: &ScatterGather,
    ) -> GatherContext<'a> {
        let request_rate = self.tier.sharded_request_rate();
        GatherContext { me: &peers.opts.me, request_rate, shard_count: gathering.shards.len() }
    }

    /// Counts, for each responsive failure domain, the shards with a server there.
    pub(crate) fn responsive_shards<'a>(
        &self,
        view: &'a TopologyView,
        gathering: &ScatterGather,
    ) -> IndexMap<&'a str, usize> {
        let unresponsive = self.tier.unresponsive_domains();
        shards_by_domain(view, &gathering.shards, |s| !unresponsive.contains(&s.report.domain))
    }

    /// Forwards some shards of a request to a gatherer, unless it refuses and no server gets it.
    pub(crate) async fn forward(
        &self,
        gatherer: &Gatherer,
        (route, shards): (&Route, Range<usize>),
        job: &Job,
        view: &TopologyView,
    ) -> Result<Result<GatheredParts, DeclineReason>, GatherRefusal> {
        // without room for the copies the request is gathered here
        let _copies = match &job.hold {
            Some(hold) => {
                let bytes = LINK_COPIES * job.outgoing.body.len();
                Some(hold.copies(bytes).ok_or(GatherRefusal::Busy)?)
            }
            None => None,
        };
        let version = view.route_table.as_ref().map_or(0, |table| table.version);
        let now = self.tier.now();
        // the gatherer takes the way there off itself, by the time of sending
        let way_back = gatherer.round_trip() / 2;
        let time_left = |at: Tick| at.since(now).saturating_sub(way_back);
        let sent = gatherer.time();
        let times = GatherTimes {
            sent,
            soft: time_left(job.opts.soft_deadline),
            hard: time_left(job.opts.hard_deadline),
        };
        let scope = GatherScope { route: self.tier.names.route_name(route.key), version, shards };
        let request = GatherRequest::new(&job.id, scope, &job.outgoing, times);
        let failed = Ok(Err(DeclineReason::Failed));
        let (outcome, missing, result) = match gatherer.forward(request).await {
            Ok(GatherResult::Answer { body, signatures, missing }) => {
                ("answered", missing, Ok(decode_parts(body, &signatures, missing)))
            }
            Ok(GatherResult::NotTaken(refusal)) => {
                let (request, gatherer) = (job.id.as_str(), gatherer.name());
                log::info!(request, gatherer, why:? = refusal; "gatherer refused the request");
                ("not_taken", 0, Err(refusal))
            }
            Ok(GatherResult::NotRun { retry_after }) => {
                ("not_run", 0, Ok(Err(not_run_reason(retry_after))))
            }
            Ok(GatherResult::GivenUp { late }) => ("given_up", 0, Ok(Err(ran_reason(late)))),
            Err(GatherFailure::Broken) => ("broken", 0, failed),
            Err(GatherFailure::Silent) => ("silent", 0, failed),
        };
        self.tier.metrics.gatherer_requests.with_label_values(&[outcome]).inc();
        if outcome != "answered" || missing > 0 {
            let (request, gatherer) = (job.id.as_str(), gatherer.name());
            log::info!(request, gatherer, end = outcome, missing; "forwarded request was not answered in full");
        }
        result
    }

    /// Builds the job for a request from a peer, or returns why it is refused.
    fn job_for_peer(
        &self,
        request: &GatherRequest,
        age: Duration,
    ) -> Result<(Job, Arc<TopologyView>, ScatterGather), GatherRefusal> {
        let view = self.tier.view();
        let table = view.route_table.clone().ok_or(GatherRefusal::Version)?;
        if table.version != request.version {
            return Err(GatherRefusal::Version);
        }
        if self.tier.is_leaving() {
            return Err(GatherRefusal::Leaving);
        }
        let key = self.tier.names.existing_route_key(&request.route).ok_or(GatherRefusal::Unfit)?;
        let route = table.routes.iter().find(|r| r.key == key).ok_or(GatherRefusal::Unfit)?;
        let Target::Gather(gathering) = &route.target else {
            return Err(GatherRefusal::Unfit);
        };
        if self.tier.must_refuse(route) {
            return Err(GatherRefusal::Cut);
        }
        let shards = gathering.shards.get(request.shards.clone()).ok_or(GatherRefusal::Unfit)?;
        if !self.can_take(shards.len()) {
            return Err(GatherRefusal::Busy);
        }
        let now = self.tier.now();
        if !self.is_available(gathering, shards, &view, now) {
            return Err(GatherRefusal::Unavailable);
        }
        let out = request.to_outgoing().map_err(|e| {
            log::warn!(request = request.id.as_str(); "invalid request from a peer: {e:#}");
            GatherRefusal::Unfit
        })?;
        let RangeRatios { min_shard_ratio, soft_shard_ratio, late_shard_ratio } =
            range_ratios(gathering.min_shard_ratio, gathering.shards.len(), shards.len());
        let opts = ScatterOptions {
            shards: shards.to_vec(),
            max_attempts: route.max_attempts.max(1),
            idempotent: true,
            min_shard_ratio,
            soft_shard_ratio,
            late_shard_ratio,
            soft_deadline: now + request.soft.saturating_sub(age),
            hard_deadline: now + request.hard.saturating_sub(age),
        };
        let job = Job {
            id: request.id.clone(),
            route: route.key,
            target_latency: route.target_latency,
            outgoing: out,
            opts,
            hold: None,
        };
        Ok((job, view, gathering.clone()))
    }

    /// Returns whether this instance gathers that many shards more.
    pub(crate) fn can_take(&self, shard_count: usize) -> bool {
        let power = self.peers.as_ref().map_or(0, |peers| peers.opts.me.power);
        can_take(power, self.tier.shards_in_flight(), shard_count)
    }

    /// Returns whether enough of some shards of a request have a server that this instance may send it now.
    pub(crate) fn is_available(
        &self,
        gathering: &ScatterGather,
        shards: &[PoolKey],
        view: &TopologyView,
        now: Tick,
    ) -> bool {
        let RangeRatios { min_shard_ratio, .. } =
            range_ratios(gathering.min_shard_ratio, gathering.shards.len(), shards.len());
        self.tier.available_from(shards, min_shard_ratio, view, now) == Availability::Now
    }

    async fn gather_for_peer(
        self: Arc<Self>,
        request: GatherRequest,
        age: Duration,
    ) -> GatherResult {
        let _guard = self.tier.track_gather();
        let Some(_held) = self.tier.gathered_bodies.hold(request.body_size()) else {
            return GatherResult::NotTaken(GatherRefusal::Busy);
        };
        let (job, view, gathering) = match self.job_for_peer(&request, age) {
            Ok(parts) => parts,
            Err(refusal) => return GatherResult::NotTaken(refusal),
        };
        let record_size = self.codec.record_size();
        let answer = |gathered| {
            let GatheredParts { body, signatures, missing } =
                merge_parts(&gathering, &gathered, record_size);
            let signatures = signatures.iter().map(|s| Bytes::copy_from_slice(s.as_bytes()));
            GatherResult::Answer { body, signatures: signatures.collect(), missing }
        };
        let given_up = |e: GivenUp| match e.ran {
            true => GatherResult::GivenUp { late: e.late },
            false => GatherResult::NotRun { retry_after: e.retry_after },
        };
        run(&self.tier, &view, job).map_ok_or_else(given_up, answer).await
    }
}

/// Decodes the parts that a gatherer has merged.
fn decode_parts(
    body: Bytes,
    signatures: &[Bytes],
    missing: usize,
) -> Result<GatheredParts, DeclineReason> {
    let signatures = signatures.iter().map(|s| HeaderValue::from_bytes(s));
    match signatures.collect::<Result<Vec<_>, _>>() {
        Ok(signatures) => Ok(GatheredParts { body, signatures, missing }),
        Err(e) => {
            log::error!("gatherer returned an invalid signature header: {e}");
            Err(DeclineReason::Failed)
        }
    }
}

impl<C: CallerCodec> GatherHandler for Proxy<C> {
    fn gather(
        self: Arc<Self>,
        request: GatherRequest,
        age: Duration,
    ) -> BoxFuture<'static, GatherResult> {
        self.gather_for_peer(request, age).boxed()
    }
}
