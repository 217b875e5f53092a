//! The entry's side of a caller's request: one query over all shards, or one non-idempotent request.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use futures::future::{AbortHandle, Abortable, Aborted};
use futures::stream::FuturesUnordered;
use indexmap::IndexMap;
use tarpc::context;

use crate::coordination::attempt::{Attempt, Label, Outcome, Why};
use crate::coordination::fanout::FanOut;
use crate::coordination::query::{Answer, Choices, Effect, FanOutOptions, Progress, Send};
use crate::coordination::snapshot;
use crate::protocol::caller::{Refusal, Wishes};
use crate::state::arena::{AttemptKey, FlightKey, ServiceKey, UpstreamKey};
use crate::state::catalog::{Catalog, ServiceEntry};
use crate::state::fleet::Snapshot;
use crate::state::hash;
use crate::state::news::Health;
use crate::state::time::Tick;
use crate::transport::choices::NodeChoices;
use crate::transport::dispatch::{self, Sub};
use crate::transport::node::{Flight, Node, ServiceStats};
use crate::transport::reports;
use crate::transport::settings::Mode;

/// Times that a query may begin again on a newer snapshot.
const MOST_RESTARTS: u32 = 2;
/// Attempts of one pass of a query are numbered from a multiple of this.
const PASS: u64 = 1 << 20;
/// Age at which news of a service in use is asked for again.
const STALE: Duration = Duration::from_millis(1_000);
/// Longest time to ask a peer for news.
const NEWS_TIMEOUT: Duration = Duration::from_millis(300);
/// Most attempts to place a non-idempotent request that no upstream has taken on.
const MOST_PLACINGS: usize = 4;

/// A caller's request counts as in flight until this is dropped.
pub(crate) struct InFlight(Arc<Node>, (usize, FlightKey));

impl InFlight {
    /// Takes a request on, unless too many are in flight.
    pub(crate) fn new(node: &Arc<Node>) -> Result<Self, Refusal> {
        if node.flights.len() >= node.cfg.flights {
            return Err(Refusal::NotRun { reason: Why::Overloaded });
        }
        let place = node.flights.insert(node.fresh(), Flight);
        node.metrics.flights.inc();
        Ok(Self(node.clone(), place))
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.flights.remove(self.1);
        self.0.metrics.flights.dec();
    }
}

/// Answers a query.
pub(crate) async fn query(
    node: &Arc<Node>,
    service: &str,
    wishes: Wishes,
    body: Bytes,
) -> Result<Answer, Refusal> {
    let started = node.now();
    let catalog = node.catalog();
    let Some((key, entry)) = catalog.service(service) else {
        return Err(Refusal::NotRun { reason: Why::UnknownService });
    };
    let limited = node.cfg.mode == Mode::Steward;
    if limited && !node.stats.with_or(key, ServiceStats::default, |s| s.limiter.admit(started)) {
        return Err(Refusal::NotRun { reason: Why::Overloaded });
    }
    refresh_news(node, &catalog, key, entry).await;
    let hard = started + entry.policy.hard(wishes.deadline);
    let mut opts = FanOutOptions {
        request: node.fresh(),
        soft: started + Duration::from_millis(entry.policy.soft_ms),
        hard,
        prefer: wishes.prefer.unwrap_or(entry.policy.prefer),
        may_restart: true,
        ..Default::default()
    };
    let mut after = None;
    for pass in 0..=MOST_RESTARTS {
        let Some(snapshot) = choose(node, key, entry, after) else {
            return Err(Refusal::NotRun { reason: Why::NoSnapshot });
        };
        opts.first_attempt = u64::from(pass) * PASS;
        opts.may_restart =
            pass < MOST_RESTARTS && choose(node, key, entry, Some(snapshot)).is_some();
        let mut run =
            Run { node, choices: NodeChoices::new(node, &catalog, key, entry), body: body.clone() };
        match run.pass(opts, snapshot, entry).await {
            Some(answer) => {
                let depth = depth(node, &catalog, entry, &answer);
                node.stats.with(key, |s| s.limiter.saw(depth, node.now()));
                return Ok(answer);
            }
            None => after = Some(snapshot),
        }
        node.metrics.restarts.inc();
    }
    unreachable!("the last pass may not begin again")
}

/// Returns the requests for each slot at the upstreams of a query, as last heard.
fn depth(node: &Node, catalog: &Catalog, entry: &ServiceEntry, answer: &Answer) -> f64 {
    let (mut depth, mut slots) = (0, 0);
    for replica in
        entry.map_of(answer.snapshot).into_iter().flat_map(|m| &m.shards).flat_map(|s| &s.replicas)
    {
        let heard = node.news.with(*replica, |heard| heard.news).unwrap_or_default();
        if matches!(heard.health, Health::Warm) {
            depth += heard.depth;
            slots += catalog.upstream(*replica).map_or(0, |u| u.bear.slots);
        }
    }
    f64::from(depth) / f64::from(slots.max(1))
}

/// Chooses the snapshot of a query; the choice is kept until news of snapshots comes in.
fn choose(
    node: &Node,
    key: ServiceKey,
    entry: &ServiceEntry,
    after: Option<Snapshot>,
) -> Option<Snapshot> {
    let epoch = node.held_epoch.load(Ordering::Relaxed);
    if after.is_none()
        && let Some((at, snapshot)) = node.stats.with_or(key, ServiceStats::default, |s| s.chosen)
        && at == epoch
    {
        return Some(snapshot);
    }
    let held = |u: UpstreamKey| node.news.with(u, |heard| heard.news.held).flatten();
    let chosen = snapshot::choose(entry, held, after)?;
    if after.is_none() {
        node.stats.with_or(key, ServiceStats::default, |s| s.chosen = Some((epoch, chosen)));
    }
    Some(chosen)
}

type Flying = FuturesUnordered<
    Abortable<futures::future::BoxFuture<'static, (AttemptKey, Outcome, Duration)>>,
>;

/// One pass of a query over all shards of one snapshot.
struct Run<'a> {
    node: &'a Arc<Node>,
    choices: NodeChoices<'a>,
    body: Bytes,
}

impl Run<'_> {
    /// Drives the fan-out; `None` asks for another pass on a newer snapshot.
    async fn pass(
        &mut self,
        opts: FanOutOptions,
        snapshot: Snapshot,
        entry: &ServiceEntry,
    ) -> Option<Answer> {
        let shards = &entry.map_of(snapshot)?.shards;
        let mut flying = Flying::new();
        let mut aborts = IndexMap::new();
        let now = self.node.now();
        let (mut fan, effects) = FanOut::start(opts, snapshot, shards, &mut self.choices, now);
        self.act(effects, &mut flying, &mut aborts);
        loop {
            match fan.progress(self.node.now()) {
                Progress::Running => {}
                Progress::SnapshotLost => return None,
                Progress::Done => return Some(fan.finish().0),
            }
            let wake = fan.wake();
            let effects = tokio::select! {
                Some(ended) = flying.next(), if !flying.is_empty() => match ended {
                    Ok((key, outcome, took)) => self.note(&mut fan, key, outcome, took),
                    Err(Aborted) => Vec::new(),
                },
                () = self.node.clock.sleep_until(wake) => fan.tick(&mut self.choices, self.node.now()),
            };
            self.act(effects, &mut flying, &mut aborts);
        }
    }

    fn note(
        &mut self,
        fan: &mut FanOut,
        key: AttemptKey,
        outcome: Outcome,
        took: Duration,
    ) -> Vec<Effect> {
        if matches!(outcome, Outcome::Answer(_)) {
            let stats = |s: &mut ServiceStats| s.times.add(took);
            self.node.stats.with_or(self.choices.service, ServiceStats::default, stats);
        }
        fan.outcome(key, outcome, &mut self.choices, self.node.now())
    }

    fn act(
        &mut self,
        effects: Vec<Effect>,
        flying: &mut Flying,
        aborts: &mut IndexMap<AttemptKey, AbortHandle>,
    ) {
        for effect in effects {
            match effect {
                Effect::Cancel(key) => {
                    if let Some(abort) = aborts.swap_remove(&key) {
                        abort.abort();
                    }
                }
                Effect::Send(send) => {
                    let key = send.key;
                    let (abort, registration) = AbortHandle::new_pair();
                    aborts.insert(key, abort);
                    flying.push(Abortable::new(Box::pin(self.fly(send)), registration));
                }
            }
        }
    }

    fn fly(
        &self,
        send: Send,
    ) -> impl Future<Output = (AttemptKey, Outcome, Duration)> + 'static + std::marker::Send {
        let (node, body, started) = (self.node.clone(), self.body.clone(), self.node.now());
        async move {
            let Send { key, label, upstream, deadline } = send;
            let sub = Sub { label, upstream, idempotent: true, deadline, body };
            let outcome = dispatch::send(&node, sub).await;
            (key, outcome, node.now().since(started))
        }
    }
}

/// Asks the stewards of a service's upstreams for news, when too little was heard of them.
async fn refresh_news(node: &Arc<Node>, catalog: &Catalog, key: ServiceKey, entry: &ServiceEntry) {
    let now = node.now();
    let (due, first) = node.stats.with_or(key, ServiceStats::default, |s| {
        let due = s.asked_news.is_none_or(|at| now.since(at) > STALE);
        let first = s.chosen.is_none();
        if due {
            s.asked_news = Some(now);
        }
        (due || first, first)
    });
    if !due {
        return;
    }
    let asks = news_asks(node, catalog, entry);
    let asking = futures::future::join_all(
        asks.into_iter().map(|(addr, ups)| ask_news(node.clone(), addr, ups)),
    );
    if first {
        asking.await;
    } else {
        tokio::spawn(asking);
    }
}

/// Lists, for each steward's address, the upstreams of which it should tell.
fn news_asks(
    node: &Node,
    catalog: &Catalog,
    entry: &ServiceEntry,
) -> IndexMap<std::net::SocketAddr, Vec<String>> {
    let now = node.now();
    let mut asks: IndexMap<_, Vec<String>> = IndexMap::new();
    for key in entry.maps.iter().flat_map(|m| &m.shards).flat_map(|s| s.replicas.iter().copied()) {
        let fresh = node.news.with(key, |h| h.news.held.is_some() && now.since(h.at) < STALE);
        let (Some(up), Some(owner)) = (catalog.upstream(key), node.owner(key)) else { continue };
        if fresh == Some(true) {
            continue;
        }
        let rosters = node.rosters();
        let holder = node.holders.lock().get(&owner.place()).cloned();
        let entry = holder.and_then(|h| rosters.get(&owner.member.domain)?.entry_of(&h).cloned());
        let addr = entry.map_or(owner.member.addr, |e| e.member.addr);
        let names = asks.entry(addr).or_default();
        if !names.contains(&up.name) {
            names.push(up.name.clone());
        }
    }
    asks
}

async fn ask_news(node: Arc<Node>, addr: std::net::SocketAddr, upstreams: Vec<String>) {
    let news = if addr == node.me.addr {
        reports::tell(&node, &upstreams).await
    } else {
        let Some(peer) = node.peer(addr).await else { return };
        let mut cx = context::current();
        cx.deadline = std::time::Instant::now() + NEWS_TIMEOUT;
        node.metrics.control_calls.with_label_values(&["news"]).inc();
        peer.news(cx, upstreams).await.unwrap_or_default()
    };
    let catalog = node.catalog();
    for (name, news) in news {
        if let Some(key) = catalog.upstream_key(&name) {
            node.hear(key, news);
        }
    }
}

/// Places a non-idempotent request at one upstream; it is placed again only while truly not run.
pub(crate) async fn place(
    node: &Arc<Node>,
    service: &str,
    wishes: &Wishes,
    body: Bytes,
) -> Result<(String, Bytes), Refusal> {
    let started = node.now();
    let catalog = node.catalog();
    let Some((key, entry)) = catalog.service(service) else {
        return Err(Refusal::NotRun { reason: Why::UnknownService });
    };
    let request = node.fresh();
    let shards = &entry.maps.last().ok_or(Refusal::NotRun { reason: Why::NoReplica })?.shards;
    let shard = match &wishes.shard {
        Some(name) => shards
            .iter()
            .find(|s| s.name == *name)
            .ok_or_else(|| Refusal::BadRequest { detail: format!("x-shard: no shard `{name}`") })?,
        None => {
            let of = wishes.key.clone().unwrap_or_else(|| request.to_string());
            &shards[hash::digest(of.as_bytes()) as usize % shards.len()]
        }
    };
    let deadline = started + entry.policy.hard(wishes.deadline);
    let mut choices = NodeChoices::new(node, &catalog, key, entry);
    let mut tried = Vec::new();
    let mut last = Why::NoReplica;
    for attempt in 0..MOST_PLACINGS as u64 {
        let Some(upstream) = choices.pick(&shard.replicas, &tried, node.now()) else { break };
        tried.push(upstream);
        let label = Label { request, attempt, shard: shard.name.clone(), snapshot: None };
        match send_once(node, label, upstream, deadline, &body).await {
            Outcome::NotRun(refusal) if node.now() < deadline => last = refusal.why(),
            outcome => return Refusal::of(outcome).map(|body| (shard.name.clone(), body)),
        }
        if tried.len().is_multiple_of(shard.replicas.len()) {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
    Err(Refusal::NotRun { reason: last })
}

async fn send_once(
    node: &Arc<Node>,
    label: Label,
    upstream: UpstreamKey,
    deadline: Tick,
    body: &Bytes,
) -> Outcome {
    if node.now() >= deadline {
        return Attempt::new(label).refuse(Why::TooLate);
    }
    dispatch::send(node, Sub { label, upstream, idempotent: false, deadline, body: body.clone() })
        .await
}
