//! Requests of callers that are passed on by routes, to one server or to one of each shard.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{HOST, HeaderValue};
use hyper::{Request, Response};

use crate::coordination::scatter::ScatterOptions;
use crate::coordination::split::WeightedRoundRobin;
use crate::coordination::top;
use crate::protocol::wire::{CallerCodec, CallerRequest, DeclineReason, OutgoingRequest};
use crate::state::arena::PoolKey;
use crate::state::routes::{Route, RouteTable, ScatterGather, Target};
use crate::state::time::Tick;
use crate::transport::callers::front::{Arrival, Handler};
use crate::transport::http::{BodyError, FullResponse, read_body};
use crate::transport::peers::Peers;
use crate::transport::upstreams::run::{Gathered, GivenUp, Job, run};
use crate::transport::upstreams::send::Answer;
use crate::transport::upstreams::tier::{RouteStats, Tier};

/// Time to ask again after a refusal: servers that shed have a free slot soon.
const REFUSED_AFTER: Duration = Duration::from_millis(60);
/// Time to ask again after a refusal for want of reachable servers: another instance may reach them.
const CUT_AFTER: Duration = Duration::from_millis(10);
/// Trips between caller and instance that count for the first request of a connection: one for the
/// request, one for the answer, and a round trip for the connection.
const FIRST_TRIPS: u32 = 4;
/// Trips that count for the others.
const TRIPS: u32 = 2;

/// The front end that passes requests on.
pub struct Pass<W> {
    pub(crate) tier: Arc<Tier>,
    pub(crate) wire: W,
    pub(crate) peers: Option<Arc<Peers>>,
}

impl<W: CallerCodec> Pass<W> {
    /// Builds the front end; requests over shards may be handed to `peers`.
    pub fn new(tier: Arc<Tier>, wire: W, peers: Option<Arc<Peers>>) -> Self {
        Self { tier, wire, peers }
    }

    async fn answer(&self, req: Request<Incoming>, arrival: Arrival) -> FullResponse {
        let _flight = self.tier.track_request();
        let ask = self.wire.parse_request(req.headers());
        let id = ask.as_ref().map_or("-", |a| a.id.as_str()).to_owned();
        let result = match ask {
            Some(ask) => self.pass(req, ask, arrival).await,
            None => Err(DeclineReason::NoId),
        };
        let took = self.tier.now().since(arrival.at);
        let outcome = result.as_ref().map_or_else(|d| d.kind(), |_| "answered");
        self.tier.meters.requests.with_label_values(&[outcome]).inc();
        self.tier.meters.answer_seconds.observe(took.as_secs_f64());
        result.unwrap_or_else(|declined| {
            let took_ms = took.as_millis() as u64;
            log::warn!(request = id.as_str(), outcome, took_ms; "request declined");
            self.decline(declined)
        })
    }

    fn decline(&self, declined: DeclineReason) -> FullResponse {
        let (status, headers) = self.wire.decline_response(declined);
        let mut res = Response::new(Full::default());
        *res.status_mut() = status;
        *res.headers_mut() = headers;
        res
    }

    async fn pass(
        &self,
        req: Request<Incoming>,
        ask: CallerRequest,
        arrival: Arrival,
    ) -> Result<FullResponse, DeclineReason> {
        let view = self.tier.view();
        let table = view.route_table.clone().ok_or(DeclineReason::NoRoutes)?;
        let route = find(&table, &req).ok_or(DeclineReason::NoRoute)?;
        let recent = |s: &mut RouteStats| s.recent_requests.add(arrival.at);
        self.tier.route_stats.with_or_insert(route.key, RouteStats::default, recent);
        if self.tier.must_refuse(route) {
            let (id, dark) = (ask.id.as_str(), self.tier.unresponsive_domains().join(","));
            log::info!(request = id, dark = dark.as_str(); "refused: too few shards can be reached");
            return Err(DeclineReason::NotRun { after: CUT_AFTER });
        }
        let (head, body) = req.into_parts();
        let body = read_body(body, table.limits.max_body_bytes).await.map_err(|e| match e {
            BodyError::TooLarge => DeclineReason::TooLarge,
            BodyError::TooSlow => DeclineReason::TooSlow,
            BodyError::Broken => DeclineReason::Broken,
        })?;
        let out = OutgoingRequest {
            method: head.method,
            uri: head.uri,
            headers: self.wire.forwarded_request_headers(&head.headers),
            body,
            labels: vec![ask.id.clone()],
        };
        let opts = self.options(route, &ask, arrival);
        let job = Job { id: ask.id, route: route.key, target_latency: route.target_latency, outgoing: out, opts, };
        if let Target::Gather(gathering) = &route.target {
            self.tier.record_sharded_request(arrival.at);
            if let Some(gatherer) = self.gatherer(gathering, &view)
                && let Some(end) = self.hand(&gatherer, route, &job, table.version).await
            {
                return end;
            }
        }
        match run(&self.tier, &view, job).await {
            Ok(gathered) => Ok(self.respond(route, gathered)),
            Err(given_up) => self.give_up(route, given_up),
        }
    }

    fn options(&self, route: &Route, ask: &CallerRequest, arrival: Arrival) -> ScatterOptions {
        let (shards, min_share) = match &route.target {
            Target::Gather(g) => (g.shards.clone(), g.min_shard_ratio),
            Target::Split(parts) => (self.draw(route, parts).into_iter().collect(), 1.0),
        };
        let (soft_deadline, hard_deadline) = self.times(route, ask, arrival);
        let (max_attempts, idempotent) = (route.max_attempts.max(1), route.idempotent);
        ScatterOptions { shards, max_attempts, idempotent, min_share, soft_deadline, hard_deadline }
    }

    /// Returns when a request is answered with what there is, and when it is given up.
    ///
    /// The longest time that callers of the route were seen to wait is that of a first try: one that
    /// waits less has spent the rest before.
    fn times(&self, route: &Route, ask: &CallerRequest, arrival: Arrival) -> (Tick, Tick) {
        let left = ask.timeout.unwrap_or(route.timeout);
        let longest = self.tier.route_stats.with_or_insert(route.key, RouteStats::default, |s| {
            s.longest_wait = s.longest_wait.max(left);
            s.longest_wait
        });
        let trip = self.tier.opts.caller_delay;
        let trips = trip * if arrival.first { FIRST_TRIPS } else { TRIPS };
        let spent = longest.saturating_sub(left) + trips;
        let hard = arrival.at + left.saturating_sub(trip).min(route.timeout);
        let soft = arrival.at + route.target_latency.saturating_sub(spent);
        (soft.min(hard), hard)
    }

    fn draw(&self, route: &Route, parts: &[(PoolKey, f64)]) -> Option<PoolKey> {
        if let [(only, _)] = parts {
            return Some(*only);
        }
        let weights: Vec<f64> = parts.iter().map(|(_, w)| *w).collect();
        let place = self.tier.route_stats.with_or_insert(route.key, RouteStats::default, |s| {
            let draw =
                s
                .round_robin
                .get_or_insert_with(|| WeightedRoundRobin::new(&weights, rand::random()));
            draw.next(&weights)
        })?;
        Some(parts[place].0)
    }

    fn respond(&self, route: &Route, mut gathered: Gathered) -> FullResponse {
        match &route.target {
            Target::Gather(gathering) => {
                let (body, signatures, missing) =
                    merged(gathering, &gathered, self.wire.record_size());
                self.respond_gathered(body, &signatures, missing)
            }
            Target::Split(_) => self.pass_out(gathered.parts.swap_remove(0).1),
        }
    }

    /// Builds the answer to a request over shards.
    pub(crate) fn respond_gathered(
        &self,
        body: Bytes,
        signatures: &[HeaderValue],
        missing: usize,
    ) -> FullResponse {
        let mut res = Response::new(Full::new(body));
        *res.headers_mut() = self.wire.gathered_headers(signatures, missing);
        res
    }

    fn pass_out(&self, answer: Answer) -> FullResponse {
        let mut res = Response::new(Full::new(answer.body));
        *res.status_mut() = answer.status;
        *res.headers_mut() = self.wire.forwarded_response_headers(&answer.headers);
        res
    }

    fn give_up(&self, route: &Route, given_up: GivenUp) -> Result<FullResponse, DeclineReason> {
        let single = matches!(route.target, Target::Split(_));
        let passes = |a: &Answer| single && !a.status.is_success() && self.wire.can_forward_status(a.status);
        if let Some(answer) = given_up.failure.filter(passes) {
            return Ok(self.pass_out(answer));
        }
        Err(declined(given_up.ran, given_up.late))
    }
}

/// Returns what a caller is told of a request that was given up.
pub(crate) fn declined(ran: bool, late: bool) -> DeclineReason {
    match (ran, late) {
        (false, _) => DeclineReason::NotRun { after: REFUSED_AFTER },
        (true, true) => DeclineReason::TimedOut,
        (true, false) => DeclineReason::Failed,
    }
}

/// Returns the greatest records of all parts, the signature of each, and the number of missing parts.
pub(crate) fn merged(
    gathering: &ScatterGather,
    gathered: &Gathered,
    record_size: usize,
) -> (Bytes, Vec<HeaderValue>, usize) {
    let parts = || gathered.parts.iter().map(|(_, a)| a);
    let signatures = parts().filter_map(|a| a.signature.clone()).collect();
    let bodies: Vec<Bytes> = parts().map(|a| a.body.clone()).collect();
    let body = top::top_records(&bodies, record_size, gathering.top_k);
    (body, signatures, gathered.missing.len())
}

fn find<'a>(table: &'a RouteTable, req: &Request<Incoming>) -> Option<&'a Route> {
    let host = req.headers().get(HOST).and_then(|h| h.to_str().ok());
    let host = host.or_else(|| req.uri().host()).unwrap_or_default();
    table.find(host, req.uri().path())
}

impl<W: CallerCodec> Handler for Pass<W> {
    async fn answer(self: Arc<Self>, req: Request<Incoming>, arrival: Arrival) -> FullResponse {
        Pass::answer(&self, req, arrival).await
    }
}
