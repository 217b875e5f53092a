//! Sharded requests that are forwarded to a gatherer, and those gathered for peers.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;
use futures::{FutureExt, TryFutureExt};
use hyper::header::HeaderValue;

use crate::coordination::gatherers::{
    GatherContext, GatherRefusal, select_gatherers, shards_by_domain,
};
use crate::coordination::scatter::ScatterOptions;
use crate::protocol::codec::{CallerCodec, DeclineReason};
use crate::protocol::gather::{GatherRequest, GatherResult, GatherTimes};
use crate::state::routes::{Route, ScatterGather, Target};
use crate::state::time::Tick;
use crate::state::topology::TopologyView;
use crate::transport::callers::proxy::{Proxy, decline_reason, merge_parts};
use crate::transport::http::FullResponse;
use crate::transport::peers::gather::{GatherFailure, GatherHandler, Gatherer};
use crate::transport::upstreams::run::{GivenUp, Job, run};

impl<C: CallerCodec> Proxy<C> {
    /// Selects the gatherer for a request; none if this instance gathers it itself.
    pub(crate) fn select_gatherer(
        &self,
        gathering: &ScatterGather,
        view: &TopologyView,
    ) -> Option<Gatherer> {
        let (peers, unresponsive) = (self.peers.as_ref()?, self.tier.unresponsive_domains());
        let held =
            shards_by_domain(view, &gathering.shards, |s| !unresponsive.contains(&s.report.domain));
        let (me, request_rate) = (&peers.opts.me, self.tier.sharded_request_rate());
        let members = peers.members();
        let context = GatherContext { me, request_rate, shard_count: gathering.shards.len() };
        peers.pick_gatherer(&select_gatherers(context, &held, &members))
    }

    /// Forwards a request; returns `None` if the gatherer refused it and no server got it.
    pub(crate) async fn forward(
        &self,
        gatherer: &Gatherer,
        route: &Route,
        job: &Job,
        version: u64,
    ) -> Option<Result<FullResponse, DeclineReason>> {
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
        let route_version = (self.tier.names.route_name(route.key), version);
        let request = GatherRequest::new(&job.id, route_version, &job.outgoing, times);
        let failed = Some(Err(DeclineReason::Failed));
        let (outcome, missing, result) = match gatherer.forward(request).await {
            Ok(GatherResult::Answer { body, signatures, missing }) => {
                ("answered", missing, Some(self.forwarded_response(body, &signatures, missing)))
            }
            Ok(GatherResult::NotTaken(refusal)) => {
                let (request, gatherer) = (job.id.as_str(), gatherer.name());
                log::info!(request, gatherer, why:? = refusal; "gatherer refused the request");
                ("not_taken", 0, None)
            }
            Ok(GatherResult::NotRun) => ("not_run", 0, Some(Err(decline_reason(false, false)))),
            Ok(GatherResult::GivenUp { late }) => {
                ("given_up", 0, Some(Err(decline_reason(true, late))))
            }
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

    fn forwarded_response(
        &self,
        body: Bytes,
        signatures: &[Bytes],
        missing: usize,
    ) -> Result<FullResponse, DeclineReason> {
        let signatures = signatures.iter().map(|s| HeaderValue::from_bytes(s));
        match signatures.collect::<Result<Vec<_>, _>>() {
            Ok(signatures) => Ok(self.gathered_response(body, &signatures, missing)),
            Err(e) => {
                log::error!("gatherer returned an invalid signature header: {e}");
                Err(DeclineReason::Failed)
            }
        }
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
        let now = self.tier.now();
        let out = request.to_outgoing().map_err(|e| {
            log::warn!(request = request.id.as_str(); "invalid request from a peer: {e:#}");
            GatherRefusal::Unfit
        })?;
        let opts = ScatterOptions {
            shards: gathering.shards.clone(),
            max_attempts: route.max_attempts.max(1),
            idempotent: true,
            min_shard_ratio: gathering.min_shard_ratio,
            soft_deadline: now + request.soft.saturating_sub(age),
            hard_deadline: now + request.hard.saturating_sub(age),
        };
        let job = Job {
            id: request.id.clone(),
            route: route.key,
            target_latency: route.target_latency,
            outgoing: out,
            opts,
        };
        Ok((job, view, gathering.clone()))
    }

    async fn gather_for_peer(
        self: Arc<Self>,
        request: GatherRequest,
        age: Duration,
    ) -> GatherResult {
        let _guard = self.tier.track_gather();
        let (job, view, gathering) = match self.job_for_peer(&request, age) {
            Ok(parts) => parts,
            Err(refusal) => return GatherResult::NotTaken(refusal),
        };
        let record_size = self.codec.record_size();
        let answer = |gathered| {
            let (body, signatures, missing) = merge_parts(&gathering, &gathered, record_size);
            let signatures = signatures.iter().map(|s| Bytes::copy_from_slice(s.as_bytes()));
            GatherResult::Answer { body, signatures: signatures.collect(), missing }
        };
        let given_up = |e: GivenUp| match e.ran {
            true => GatherResult::GivenUp { late: e.late },
            false => GatherResult::NotRun,
        };
        run(&self.tier, &view, job).map_ok_or_else(given_up, answer).await
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
