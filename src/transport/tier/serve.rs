//! One request of a caller, from its head to its answer.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response, http::request::Parts};
use tokio::task::JoinSet;

use crate::coordination::scatter::{End, Order, Scatter, ScatterOptions, Verdict};
use crate::coordination::split::Draw;
use crate::coordination::top;
use crate::protocol::wire::{Ask, Declined};
use crate::state::arena::PoolKey;
use crate::state::routes::{Route, Target};
use crate::state::time::Tick;
use crate::transport::http::{BodyError, FullResponse, read_body};
use crate::transport::tier::scene::{TierScene, Times};
use crate::transport::tier::send::{Answer, Asked, Landed, send};
use crate::transport::tier::{RouteStats, Tier};

/// Time to ask again after a refusal: servers that shed have a free slot soon.
const REFUSED_AFTER: Duration = Duration::from_millis(60);
/// How long sends whose answers are not needed any more may end, which keeps their connections.
const LINGER: Duration = Duration::from_millis(300);

/// When a request came, and on what connection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Arrival {
    pub(crate) at: Tick,
    /// It is the first request of its connection.
    pub(crate) first: bool,
}

/// Answers a request.
pub(crate) async fn answer(
    tier: &Arc<Tier>,
    req: Request<Incoming>,
    arrival: Arrival,
) -> FullResponse {
    let (head, body) = req.into_parts();
    let ask = tier.wire.ask(&head);
    let id = ask.as_ref().map_or("-", |a| a.id.as_str()).to_owned();
    let result = match ask {
        Some(ask) => route(tier, head, body, ask, arrival).await,
        None => Err(Declined::NoId),
    };
    let took = tier.now().since(arrival.at);
    let outcome = result.as_ref().map_or_else(|d| d.kind(), |_| "answered");
    tier.meters.requests.with_label_values(&[outcome]).inc();
    tier.meters.seconds.observe(took.as_secs_f64());
    result.unwrap_or_else(|declined| {
        let ms = took.as_millis() as u64;
        log::warn!(request = id.as_str(), outcome, ms; "request declined");
        decline(tier, declined)
    })
}

fn decline(tier: &Tier, declined: Declined) -> FullResponse {
    let (status, headers) = tier.wire.decline(declined);
    let mut res = Response::new(Full::default());
    *res.status_mut() = status;
    *res.headers_mut() = headers;
    res
}

async fn route(
    tier: &Arc<Tier>,
    head: Parts,
    body: Incoming,
    ask: Ask,
    arrival: Arrival,
) -> Result<FullResponse, Declined> {
    let view = tier.view();
    let table = view.table.clone().ok_or(Declined::NoRoutes)?;
    let host = head.headers.get(hyper::header::HOST).and_then(|h| h.to_str().ok());
    let host = host.or_else(|| head.uri.host()).unwrap_or_default();
    let route = table.find(host, head.uri.path()).ok_or(Declined::NoRoute)?;
    let body = read_body(body, table.limits.body_bytes).await.map_err(|e| match e {
        BodyError::TooLarge => Declined::TooLarge,
        BodyError::TooSlow => Declined::TooSlow,
        BodyError::Broken => Declined::Broken,
    })?;
    let plan = Plan::new(tier, route, &ask, arrival);
    let times = Times::learnt(tier, route.key, route.aim);
    let asked = Asked {
        head,
        body,
        id: ask.id,
        idempotent: route.idempotent,
        times,
        until: plan.hard,
    };
    let scene = TierScene { tier, view: &view, times };
    Run { tier, route, scene, asked: Arc::new(asked), landed: Vec::new(), failure: None }
        .run(plan)
        .await
}

/// When a request is answered with what there is, and when it is given up.
struct Plan {
    soft: Tick,
    hard: Tick,
}

impl Plan {
    fn new(tier: &Tier, route: &Route, ask: &Ask, arrival: Arrival) -> Self {
        let left = ask.left.unwrap_or(route.timeout);
        let longest = tier.routes.with_or(route.key, RouteStats::default, |s| {
            s.longest_wait = s.longest_wait.max(left);
            s.longest_wait
        });
        let trip = tier.opts.caller_trip;
        let trips = trip * if arrival.first { 4 } else { 2 };
        let spent = longest.saturating_sub(left) + trips;
        let hard = arrival.at + left.saturating_sub(trip).min(route.timeout);
        let soft = arrival.at + route.aim.saturating_sub(spent);
        Self { soft: soft.min(hard), hard }
    }
}

type Sends = JoinSet<(usize, Landed)>;

struct Run<'a> {
    tier: &'a Arc<Tier>,
    route: &'a Route,
    scene: TierScene<'a>,
    asked: Arc<Asked>,
    landed: Vec<(usize, Answer)>,
    failure: Option<Answer>,
}

impl Run<'_> {
    async fn run(mut self, plan: Plan) -> Result<FullResponse, Declined> {
        let opts = self.options(plan);
        let mut sends = Sends::new();
        let (mut scatter, orders) = Scatter::start(opts, &mut self.scene, self.tier.now());
        self.launch(orders, &mut sends);
        let ran = loop {
            let now = self.tier.now();
            match scatter.verdict(now) {
                Verdict::Answer => {
                    let_end(sends);
                    return Ok(self.respond(scatter.missing()));
                }
                Verdict::GiveUp { ran } => break ran,
                Verdict::Wait => {}
            }
            let wake = scatter.wake(now);
            tokio::select! {
                Some(ended) = sends.join_next(), if !sends.is_empty() => match ended {
                    Ok((shard, landed)) => {
                        let order = self.take(shard, landed, &mut scatter);
                        self.launch(order, &mut sends);
                    }
                    Err(e) => log::error!("a send ended by itself: {e}"),
                },
                () = self.tier.clock.sleep_until(wake) => {
                    let orders = scatter.tick(&mut self.scene, self.tier.now());
                    self.launch(orders, &mut sends);
                }
            }
        };
        self.give_up(ran, &scatter)
    }

    fn options(&self, plan: Plan) -> ScatterOptions {
        let (shards, least) = match &self.route.target {
            Target::Gather(g) => (g.shards.clone(), g.least),
            Target::Split(parts) => (self.draw(parts).into_iter().collect(), 1.0),
        };
        ScatterOptions {
            shards,
            least,
            attempts: self.route.attempts.max(1),
            idempotent: self.route.idempotent,
            soft: plan.soft,
            hard: plan.hard,
        }
    }

    fn draw(&self, parts: &[(PoolKey, f64)]) -> Option<PoolKey> {
        if let [(only, _)] = parts {
            return Some(*only);
        }
        let weights: Vec<f64> = parts.iter().map(|(_, w)| *w).collect();
        let place = self.tier.routes.with_or(self.route.key, RouteStats::default, |s| {
            let draw = s.draw.get_or_insert_with(|| Draw::new(&weights, rand::random()));
            draw.next(&weights)
        })?;
        Some(parts[place].0)
    }

    fn launch(&self, orders: impl IntoIterator<Item = Order>, sends: &mut Sends) {
        for Order { shard, server } in orders {
            let (tier, asked) = (self.tier.clone(), self.asked.clone());
            sends.spawn(async move { (shard, send(tier, asked, server).await) });
        }
    }

    fn take(&mut self, shard: usize, landed: Landed, scatter: &mut Scatter) -> Option<Order> {
        if let Some(took) = landed.took {
            let add = |s: &mut RouteStats| s.times.add(took);
            self.tier.routes.with_or(self.route.key, RouteStats::default, add);
        }
        if landed.end != End::Answered {
            let (id, reason) = (self.asked.id.as_str(), landed.reason);
            log::info!(request = id, shard, reason; "send failed");
        }
        match landed.answer {
            Some(answer) if landed.end == End::Answered => self.landed.push((shard, answer)),
            Some(answer) => self.failure = Some(answer),
            None => {}
        }
        scatter.ended(shard, landed.end, &mut self.scene, self.tier.now())
    }

    fn respond(mut self, missing: usize) -> FullResponse {
        let Target::Gather(gathering) = &self.route.target else {
            let (_, answer) = self.landed.swap_remove(0);
            return self.pass_on(answer);
        };
        self.tier.meters.missing.inc_by(missing as u64);
        if missing > 0 {
            let (id, all) = (self.asked.id.as_str(), gathering.shards.len());
            log::info!(request = id, missing, shards = all; "answered without some shards");
        }
        self.landed.sort_by_key(|(shard, _)| *shard);
        self.landed.dedup_by_key(|(shard, _)| *shard);
        let signatures: Vec<_> =
            self.landed.iter().filter_map(|(_, a)| a.signature.clone()).collect();
        let bodies: Vec<Bytes> = self.landed.iter().map(|(_, a)| a.body.clone()).collect();
        let body = top::greatest(&bodies, self.tier.wire.record_size(), gathering.top);
        let mut res = Response::new(Full::new(body));
        *res.headers_mut() = self.tier.wire.gathered(&signatures, missing);
        res
    }

    fn pass_on(&self, answer: Answer) -> FullResponse {
        let mut res = Response::new(Full::new(answer.body));
        *res.status_mut() = answer.status;
        *res.headers_mut() = self.tier.wire.pass_on(&answer.headers);
        res
    }

    fn give_up(mut self, ran: bool, scatter: &Scatter) -> Result<FullResponse, Declined> {
        let single = matches!(self.route.target, Target::Split(_));
        if let Some(answer) = self.failure.take().filter(|_| single) {
            return Ok(self.pass_on(answer));
        }
        let (id, missing, late) =
            (self.asked.id.as_str(), scatter.missing(), self.tier.now() >= self.asked.until);
        log::info!(request = id, missing, late, ran; "given up");
        Err(match (ran, late) {
            (false, _) => Declined::NotRun { after: REFUSED_AFTER },
            (true, true) => Declined::TimedOut,
            (true, false) => Declined::Failed,
        })
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

