//! Requests over shards that another instance gathers, and those that are gathered for others.

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
use crate::protocol::gather::{Query, QueryEnd, Times};
use crate::protocol::wire::{CallerWire, Declined};
use crate::state::routes::{Route, ScatterGather, Target};
use crate::state::time::Tick;
use crate::state::topology::TopologyView;
use crate::transport::callers::proxy::{Proxy, declined, merged};
use crate::transport::http::FullResponse;
use crate::transport::peers::gather::{GatherHandler, Gatherer, Lost};
use crate::transport::upstreams::run::{GivenUp, Job, run};

impl<W: CallerWire> Proxy<W> {
    /// Returns the instance that is to gather a request; none if this one does.
    pub(crate) fn gatherer(
        &self,
        gathering: &ScatterGather,
        view: &TopologyView,
    ) -> Option<Gatherer> {
        let (peers, dark) = (self.peers.as_ref()?, self.tier.dark_domains());
        let held = shards_by_domain(view, &gathering.shards, |s| !dark.contains(&s.report.domain));
        let (me, rate) = (&peers.opts.me, self.tier.gather_rate());
        let members = peers.members();
        let asker = GatherContext { me, request_rate: rate, shard_count: gathering.shards.len() };
        peers.gatherer(&select_gatherers(asker, &held, &members))
    }

    /// Hands a request on; `None` if it was not taken and nothing was sent to any server.
    pub(crate) async fn hand(
        &self,
        gatherer: &Gatherer,
        route: &Route,
        job: &Job,
        version: u64,
    ) -> Option<Result<FullResponse, Declined>> {
        let now = self.tier.now();
        let left = |at: Tick| at.since(now).saturating_sub(gatherer.trip());
        let sent = gatherer.now();
        let times =
            Times { sent, soft: left(job.opts.soft_deadline), hard: left(job.opts.hard_deadline) };
        let named = (self.tier.names.route_name(route.key), version);
        let query = Query::new(&job.id, named, &job.out, times);
        let failed = Some(Err(Declined::Failed));
        let (word, missing, end) = match gatherer.hand(query).await {
            Ok(QueryEnd::Answer { body, signatures, missing }) => {
                ("answered", missing, Some(self.handed_answer(body, &signatures, missing)))
            }
            Ok(QueryEnd::NotTaken(why)) => {
                let (request, gatherer) = (job.id.as_str(), gatherer.name());
                log::info!(request, gatherer, why:? = why; "not taken");
                ("not_taken", 0, None)
            }
            Ok(QueryEnd::NotRun) => ("not_run", 0, Some(Err(declined(false, false)))),
            Ok(QueryEnd::GivenUp { late }) => ("given_up", 0, Some(Err(declined(true, late)))),
            Err(Lost::Broken) => ("broken", 0, failed),
            Err(Lost::Silent) => ("silent", 0, failed),
        };
        self.tier.meters.handed.with_label_values(&[word]).inc();
        if word != "answered" || missing > 0 {
            let (request, gatherer) = (job.id.as_str(), gatherer.name());
            log::info!(request, gatherer, end = word, missing; "handed to a gatherer");
        }
        end
    }

    fn handed_answer(
        &self,
        body: Bytes,
        signatures: &[Bytes],
        missing: usize,
    ) -> Result<FullResponse, Declined> {
        let signatures = signatures.iter().map(|s| HeaderValue::from_bytes(s));
        match signatures.collect::<Result<Vec<_>, _>>() {
            Ok(signatures) => Ok(self.respond_gathered(body, &signatures, missing)),
            Err(e) => {
                log::error!("signature from a gatherer: {e}");
                Err(Declined::Failed)
            }
        }
    }

    /// Builds the job of a request of a peer, or tells why it is not taken.
    fn peers_job(
        &self,
        query: &Query,
        age: Duration,
    ) -> Result<(Job, Arc<TopologyView>, ScatterGather), GatherRefusal> {
        let view = self.tier.view();
        let table = view.route_table.clone().ok_or(GatherRefusal::Version)?;
        if table.version != query.version {
            return Err(GatherRefusal::Version);
        }
        if self.tier.leaving() {
            return Err(GatherRefusal::Leaving);
        }
        let key = self.tier.names.existing_route_key(&query.route).ok_or(GatherRefusal::Unfit)?;
        let route = table.routes.iter().find(|r| r.key == key).ok_or(GatherRefusal::Unfit)?;
        let Target::Gather(gathering) = &route.target else {
            return Err(GatherRefusal::Unfit);
        };
        if self.tier.refuses(route) {
            return Err(GatherRefusal::Cut);
        }
        let at = self.tier.now();
        let out = query.outgoing().map_err(|e| {
            log::warn!(request = query.id.as_str(); "request of a peer: {e:#}");
            GatherRefusal::Unfit
        })?;
        let opts = ScatterOptions {
            shards: gathering.shards.clone(),
            max_attempts: route.max_attempts.max(1),
            idempotent: true,
            min_share: gathering.min_shard_ratio,
            soft_deadline: at + query.soft.saturating_sub(age),
            hard_deadline: at + query.hard.saturating_sub(age),
        };
        let job =
            Job { id: query.id.clone(), route: route.key, aim: route.target_latency, out, opts };
        Ok((job, view, gathering.clone()))
    }

    async fn gather_for_peer(self: Arc<Self>, query: Query, age: Duration) -> QueryEnd {
        let _guard = self.tier.gathered();
        let (job, view, gathering) = match self.peers_job(&query, age) {
            Ok(parts) => parts,
            Err(why) => return QueryEnd::NotTaken(why),
        };
        let size = self.wire.record_size();
        let answer = |gathered| {
            let (body, signatures, missing) = merged(&gathering, &gathered, size);
            let signatures = signatures.iter().map(|s| Bytes::copy_from_slice(s.as_bytes()));
            QueryEnd::Answer { body, signatures: signatures.collect(), missing }
        };
        let given_up = |e: GivenUp| match e.ran {
            true => QueryEnd::GivenUp { late: e.late },
            false => QueryEnd::NotRun,
        };
        run(&self.tier, &view, job).map_ok_or_else(given_up, answer).await
    }
}

impl<W: CallerWire> GatherHandler for Proxy<W> {
    fn gather(self: Arc<Self>, query: Query, age: Duration) -> BoxFuture<'static, QueryEnd> {
        self.gather_for_peer(query, age).boxed()
    }
}
