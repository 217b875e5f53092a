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
use crate::protocol::wire::{Ask, CallerWire, Declined, Outgoing};
use crate::state::arena::PoolKey;
use crate::state::routes::{Route, RouteTable, ScatterGather, Target};
use crate::state::time::Tick;
use crate::transport::callers::frontend::{Arrival, Handler};
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
pub struct Proxy<W> {
    pub(crate) tier: Arc<Tier>,
    pub(crate) wire: W,
    pub(crate) peers: Option<Arc<Peers>>,
}

impl<W: CallerWire> Proxy<W> {
    /// Builds the front end; requests over shards may be handed to `peers`.
    pub fn new(tier: Arc<Tier>, wire: W, peers: Option<Arc<Peers>>) -> Self {
        Self { tier, wire, peers }
    }

    async fn handle_request(&self, req: Request<Incoming>, arrival: Arrival) -> FullResponse {
        let _flight = self.tier.flight();
        let ask = self.wire.ask(req.headers());
        let id = ask.as_ref().map_or("-", |a| a.id.as_str()).to_owned();
        let result = match ask {
            Some(ask) => self.pass(req, ask, arrival).await,
            None => Err(Declined::NoId),
        };
        let took = self.tier.now().since(arrival.received_at);
        let outcome = result.as_ref().map_or_else(|d| d.kind(), |_| "answered");
        self.tier.meters.requests.with_label_values(&[outcome]).inc();
        self.tier.meters.seconds.observe(took.as_secs_f64());
        result.unwrap_or_else(|declined| {
            let took_ms = took.as_millis() as u64;
            log::warn!(request = id.as_str(), outcome, took_ms; "request declined");
            self.decline(declined)
        })
    }

    fn decline(&self, declined: Declined) -> FullResponse {
        let (status, headers) = self.wire.decline(declined);
        let mut res = Response::new(Full::default());
        *res.status_mut() = status;
        *res.headers_mut() = headers;
        res
    }

    async fn pass(
        &self,
        req: Request<Incoming>,
        ask: Ask,
        arrival: Arrival,
    ) -> Result<FullResponse, Declined> {
        let view = self.tier.view();
        let table = view.route_table.clone().ok_or(Declined::NoRoutes)?;
        let route = find(&table, &req).ok_or(Declined::NoRoute)?;
        let recent = |s: &mut RouteStats| s.recent.add(arrival.received_at);
        self.tier.routes.with_or_insert(route.key, RouteStats::default, recent);
        if self.tier.refuses(route) {
            let (id, dark) = (ask.id.as_str(), self.tier.dark_domains().join(","));
            log::info!(request = id, dark = dark.as_str(); "refused: too few shards can be reached");
            return Err(Declined::NotRun { after: CUT_AFTER });
        }
        let (head, body) = req.into_parts();
        let body = read_body(body, table.limits.max_body_bytes).await.map_err(|e| match e {
            BodyError::TooLarge => Declined::TooLarge,
            BodyError::TooSlow => Declined::TooSlow,
            BodyError::Broken => Declined::Broken,
        })?;
        let out = Outgoing {
            method: head.method,
            uri: head.uri,
            headers: self.wire.pass_in(&head.headers),
            body,
            labels: vec![ask.id.clone()],
        };
        let opts = self.options(route, &ask, arrival);
        let job = Job { id: ask.id, route: route.key, aim: route.target_latency, out, opts };
        if let Target::Gather(gathering) = &route.target {
            self.tier.note_gather(arrival.received_at);
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

    fn options(&self, route: &Route, ask: &Ask, arrival: Arrival) -> ScatterOptions {
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
    fn times(&self, route: &Route, ask: &Ask, arrival: Arrival) -> (Tick, Tick) {
        let left = ask.left.unwrap_or(route.timeout);
        let longest = self.tier.routes.with_or_insert(route.key, RouteStats::default, |s| {
            s.longest_wait = s.longest_wait.max(left);
            s.longest_wait
        });
        let trip = self.tier.opts.caller_trip;
        let trips = trip * if arrival.is_first { FIRST_TRIPS } else { TRIPS };
        let spent = longest.saturating_sub(left) + trips;
        let hard = arrival.received_at + left.saturating_sub(trip).min(route.timeout);
        let soft = arrival.received_at + route.target_latency.saturating_sub(spent);
        (soft.min(hard), hard)
    }

    fn draw(&self, route: &Route, parts: &[(PoolKey, f64)]) -> Option<PoolKey> {
        if let [(only, _)] = parts {
            return Some(*only);
        }
        let weights: Vec<f64> = parts.iter().map(|(_, w)| *w).collect();
        let place = self.tier.routes.with_or_insert(route.key, RouteStats::default, |s| {
            let draw =
                s.draw.get_or_insert_with(|| WeightedRoundRobin::new(&weights, rand::random()));
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
        *res.headers_mut() = self.wire.gathered(signatures, missing);
        res
    }

    fn pass_out(&self, answer: Answer) -> FullResponse {
        let mut res = Response::new(Full::new(answer.body));
        *res.status_mut() = answer.status;
        *res.headers_mut() = self.wire.pass_out(&answer.headers);
        res
    }

    fn give_up(&self, route: &Route, given_up: GivenUp) -> Result<FullResponse, Declined> {
        let single = matches!(route.target, Target::Split(_));
        let passes = |a: &Answer| single && !a.status.is_success() && self.wire.passes(a.status);
        if let Some(answer) = given_up.failure.filter(passes) {
            return Ok(self.pass_out(answer));
        }
        Err(declined(given_up.ran, given_up.late))
    }
}

/// Returns what a caller is told of a request that was given up.
pub(crate) fn declined(ran: bool, late: bool) -> Declined {
    match (ran, late) {
        (false, _) => Declined::NotRun { after: REFUSED_AFTER },
        (true, true) => Declined::TimedOut,
        (true, false) => Declined::Failed,
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

impl<W: CallerWire> Handler for Proxy<W> {
    async fn handle(self: Arc<Self>, req: Request<Incoming>, arrival: Arrival) -> FullResponse {
        Proxy::handle_request(&self, req, arrival).await
    }
}
