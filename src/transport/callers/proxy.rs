//! The reverse proxy for routes: sends each request to one server, or to one server per shard.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{HOST, HeaderValue};
use hyper::{Request, Response};

use crate::coordination::reachability::has_servers;
use crate::coordination::round_robin::WeightedRoundRobin;
use crate::coordination::scatter::ScatterOptions;
use crate::coordination::top_records;
use crate::protocol::codec::{CallerCodec, CallerRequest, DeclineReason, OutgoingRequest};
use crate::state::arena::PoolKey;
use crate::state::routes::{Route, RouteTable, ScatterGather, Target};
use crate::state::time::Tick;
use crate::transport::admission::{Receiving, RequestHold};
use crate::transport::callers::frontend::{Arrival, Handler};
use crate::transport::http::{BodyError, FullResponse, read_body};
use crate::transport::peers::Peers;
use crate::transport::segments::SegmentedBody;
use crate::transport::upstreams::run::{Gathered, GivenUp, Job, run};
use crate::transport::upstreams::send::Answer;
use crate::transport::upstreams::tier::{RouteStats, Tier};

/// Retry delay sent to callers after servers refused; overloaded servers soon have a free slot.
const RETRY_AFTER_REFUSAL: Duration = Duration::from_millis(60);
/// Retry delay sent to callers if too few servers are reachable, or the instance stops; another instance may serve them.
const RETRY_AFTER_UNREACHABLE: Duration = Duration::from_millis(10);
/// Share of the answers of a route that take no longer than is usual.
const USUAL_QUANTILE: f64 = 0.99;
/// One-way trips charged to the first request of a connection: request, answer and TCP handshake.
const FIRST_REQUEST_TRIPS: u32 = 4;
/// One-way trips charged to the other requests: request and answer.
const REQUEST_TRIPS: u32 = 2;

/// The reverse proxy.
pub struct Proxy<C> {
    pub(crate) tier: Arc<Tier>,
    pub(crate) codec: C,
    pub(crate) peers: Option<Arc<Peers>>,
}

impl<C: CallerCodec> Proxy<C> {
    /// Creates a reverse proxy; it may forward sharded requests to `peers`.
    pub fn new(tier: Arc<Tier>, codec: C, peers: Option<Arc<Peers>>) -> Self {
        Self { tier, codec, peers }
    }

    async fn handle_request(
        &self,
        req: Request<Incoming>,
        arrival: Arrival,
        hold: RequestHold<Receiving>,
    ) -> FullResponse {
        let _in_flight = self.tier.track_request();
        let caller_request = self.codec.parse_request(req.headers());
        let id = caller_request.as_ref().map_or("-", |r| r.id.as_str()).to_owned();
        let result = match caller_request {
            Some(caller_request) => self.proxy_request(req, caller_request, arrival, hold).await,
            None => Err(DeclineReason::NoId),
        };
        let took = self.tier.now().since(arrival.arrived_at);
        let outcome = result.as_ref().map_or_else(|r| r.kind(), |_| "answered");
        self.tier.metrics.requests.with_label_values(&[outcome]).inc();
        self.tier.metrics.answer_seconds.observe(took.as_secs_f64());
        result.unwrap_or_else(|reason| {
            let took_ms = took.as_millis() as u64;
            log::warn!(request = id.as_str(), outcome, took_ms; "request declined");
            self.decline_response(reason)
        })
    }

    fn decline_response(&self, reason: DeclineReason) -> FullResponse {
        let (status, headers) = self.codec.decline_response(reason);
        let mut res = Response::new(SegmentedBody::default());
        *res.status_mut() = status;
        *res.headers_mut() = headers;
        res
    }

    async fn proxy_request(
        &self,
        req: Request<Incoming>,
        caller_request: CallerRequest,
        arrival: Arrival,
        hold: RequestHold<Receiving>,
    ) -> Result<FullResponse, DeclineReason> {
        let view = self.tier.view();
        let table = view.route_table.clone().ok_or(DeclineReason::NoRoutes)?;
        let route = find_route(&table, &req).ok_or(DeclineReason::NoRoute)?;
        let count_request = |s: &mut RouteStats| s.recent_requests.add(arrival.arrived_at);
        self.tier.route_stats.with_or_insert(route.key, RouteStats::default, count_request);
        if self.tier.must_refuse(route) || self.tier.is_reported_cut(route.key) {
            let (id, unresponsive) =
                (caller_request.id.as_str(), self.tier.unreachable_domains().join(","));
            log::info!(request = id, dark = unresponsive.as_str(); "request refused because too few shards are reachable");
            return Err(DeclineReason::NotRun { after: RETRY_AFTER_UNREACHABLE });
        }
        let (head, body) = req.into_parts();
        let time_left = caller_request.timeout.unwrap_or(route.timeout).min(route.timeout);
        let received = read_body(body, table.limits.max_body_bytes, time_left, hold).await;
        let (body, hold) = received.map_err(|e| match e {
            BodyError::TooLarge => DeclineReason::TooLarge,
            BodyError::TooSlow => DeclineReason::TooSlow,
            BodyError::Broken => DeclineReason::Broken,
            BodyError::NoRoom => DeclineReason::NoRoom,
        })?;
        if self.tier.is_leaving() && !self.tier.admits(self.usual_duration(route)) {
            let id = caller_request.id.as_str();
            log::info!(request = id; "request refused because the stop would end before its answer");
            return Err(DeclineReason::NotRun { after: RETRY_AFTER_UNREACHABLE });
        }
        let out = OutgoingRequest {
            method: head.method,
            uri: head.uri,
            headers: self.codec.forwarded_request_headers(&head.headers),
            body,
            labels: vec![caller_request.id.clone()],
        };
        let opts = self.scatter_options(route, &caller_request, arrival);
        let job = Job {
            id: caller_request.id,
            route: route.key,
            target_latency: route.target_latency,
            outgoing: out,
            opts,
            hold: Some(Arc::new(hold)),
        };
        if let Target::Gather(gathering) = &route.target {
            self.tier.record_sharded_request(arrival.arrived_at);
            if !has_servers(&gathering.shards, gathering.min_shard_ratio, &view) {
                let id = job.id.as_str();
                log::info!(request = id; "request refused because too few shards have a server");
                return Err(not_run_reason(None));
            }
            if let Some(result) = self.try_divide(gathering, route, &job, &view).await {
                return result;
            }
            if let Some(result) = self.try_forward(gathering, route, &job, &view).await {
                return result;
            }
        }
        match run(&self.tier, &view, job).await {
            Ok(gathered) => Ok(self.response(route, gathered)),
            Err(given_up) => self.give_up_response(route, given_up),
        }
    }

    fn scatter_options(
        &self,
        route: &Route,
        caller_request: &CallerRequest,
        arrival: Arrival,
    ) -> ScatterOptions {
        let (shards, min_shard_ratio) = match &route.target {
            Target::Gather(g) => (g.shards.clone(), g.min_shard_ratio),
            Target::Split(parts) => (self.pick_pool(route, parts).into_iter().collect(), 1.0),
        };
        let (soft_deadline, hard_deadline) = self.deadlines(route, caller_request, arrival);
        let (max_attempts, idempotent) = (route.max_attempts.max(1), route.idempotent);
        ScatterOptions {
            shards,
            max_attempts,
            idempotent,
            min_shard_ratio,
            soft_deadline,
            hard_deadline,
            ..ScatterOptions::default()
        }
    }

    /// Returns the soft and the hard deadline of a request: when it is answered with the parts
    /// received, and when it is given up.
    ///
    /// The longest remaining time seen on the route is taken as that of a first attempt. A request
    /// with less has spent the difference on earlier attempts, which shortens the soft deadline.
    fn deadlines(
        &self,
        route: &Route,
        caller_request: &CallerRequest,
        arrival: Arrival,
    ) -> (Tick, Tick) {
        let time_left = caller_request.timeout.unwrap_or(route.timeout);
        let longest = self.tier.route_stats.with_or_insert(route.key, RouteStats::default, |s| {
            s.longest_wait = s.longest_wait.max(time_left);
            s.longest_wait
        });
        let trip = self.tier.opts.caller_delay;
        let trips = trip * if arrival.is_first { FIRST_REQUEST_TRIPS } else { REQUEST_TRIPS };
        let elapsed = longest.saturating_sub(time_left) + trips;
        let hard = arrival.arrived_at + time_left.saturating_sub(trip).min(route.timeout);
        let soft = arrival.arrived_at + route.target_latency.saturating_sub(elapsed);
        (soft.min(hard), hard)
    }

    /// Returns how long nearly all requests of a route take, at least the time within which they should be answered.
    fn usual_duration(&self, route: &Route) -> Duration {
        let quantile = |s: &mut RouteStats| s.latencies.quantile(USUAL_QUANTILE);
        let seen = self.tier.route_stats.with_or_insert(route.key, RouteStats::default, quantile);
        seen.unwrap_or_default().max(route.target_latency)
    }

    fn pick_pool(&self, route: &Route, parts: &[(PoolKey, f64)]) -> Option<PoolKey> {
        if let [(only, _)] = parts {
            return Some(*only);
        }
        let weights: Vec<f64> = parts.iter().map(|(_, w)| *w).collect();
        let index = self.tier.route_stats.with_or_insert(route.key, RouteStats::default, |s| {
            let round_robin = s
                .round_robin
                .get_or_insert_with(|| WeightedRoundRobin::new(&weights, rand::random()));
            round_robin.next(&weights)
        })?;
        Some(parts[index].0)
    }

    fn response(&self, route: &Route, mut gathered: Gathered) -> FullResponse {
        match &route.target {
            Target::Gather(gathering) => {
                self.gathered_response(merge_parts(gathering, &gathered, self.codec.record_size()))
            }
            Target::Split(_) => self.server_response(gathered.parts.swap_remove(0).1),
        }
    }

    /// Builds the response to a sharded request.
    pub(crate) fn gathered_response(&self, parts: GatheredParts) -> FullResponse {
        let mut res = Response::new(SegmentedBody::from(parts.body));
        *res.headers_mut() = self.codec.gathered_headers(&parts.signatures, parts.missing);
        res
    }

    fn server_response(&self, answer: Answer) -> FullResponse {
        let mut res = Response::new(answer.body);
        *res.status_mut() = answer.status;
        *res.headers_mut() = self.codec.forwarded_response_headers(&answer.headers);
        res
    }

    fn give_up_response(
        &self,
        route: &Route,
        given_up: GivenUp,
    ) -> Result<FullResponse, DeclineReason> {
        let is_split = matches!(route.target, Target::Split(_));
        let may_return = |a: &Answer| {
            is_split && !a.status.is_success() && self.codec.can_forward_status(a.status)
        };
        let reason = decline_reason(&given_up);
        match given_up.failure.filter(may_return) {
            Some(answer) => Ok(self.server_response(answer)),
            None => Err(reason),
        }
    }
}

/// Returns the reason to report to the caller for a request that was given up.
pub(crate) fn decline_reason(given_up: &GivenUp) -> DeclineReason {
    match given_up.ran {
        false => not_run_reason(given_up.retry_after),
        true => ran_reason(given_up.late),
    }
}

/// Returns the reason to report for a request that no server ran, with the time that servers asked for, if they did.
pub(crate) fn not_run_reason(retry_after: Option<Duration>) -> DeclineReason {
    DeclineReason::NotRun { after: retry_after.unwrap_or(RETRY_AFTER_REFUSAL) }
}

/// Returns the reason to report for a request that a server may have run.
pub(crate) fn ran_reason(late: bool) -> DeclineReason {
    if late { DeclineReason::TimedOut } else { DeclineReason::Failed }
}

/// The merged parts of some or all shards of a request.
#[derive(Debug)]
pub(crate) struct GatheredParts {
    /// The top records of all parts.
    pub(crate) body: Bytes,
    /// The signatures of the parts.
    pub(crate) signatures: Vec<HeaderValue>,
    /// Number of shards without a part.
    pub(crate) missing: usize,
}

/// Merges the parts of a gathered request.
pub(crate) fn merge_parts(
    gathering: &ScatterGather,
    gathered: &Gathered,
    record_size: usize,
) -> GatheredParts {
    let parts = || gathered.parts.iter().map(|(_, a)| a);
    let signatures = parts().filter_map(|a| a.signature.clone()).collect();
    let bodies: Vec<Bytes> = parts().map(|a| a.body.to_bytes()).collect();
    let body = top_records::top_records(&bodies, record_size, gathering.top_k);
    GatheredParts { body, signatures, missing: gathered.missing.len() }
}

fn find_route<'a>(table: &'a RouteTable, req: &Request<Incoming>) -> Option<&'a Route> {
    let host = req.headers().get(HOST).and_then(|h| h.to_str().ok());
    let host = host.or_else(|| req.uri().host()).unwrap_or_default();
    table.find(host, req.uri().path())
}

impl<C: CallerCodec> Handler for Proxy<C> {
    async fn handle(
        self: Arc<Self>,
        req: Request<Incoming>,
        arrival: Arrival,
        hold: RequestHold<Receiving>,
    ) -> FullResponse {
        Proxy::handle_request(&self, req, arrival, hold).await
    }

    fn give_up(&self) -> FullResponse {
        let reason = ran_reason(true);
        self.tier.metrics.requests.with_label_values(&[reason.kind()]).inc();
        self.decline_response(reason)
    }
}
