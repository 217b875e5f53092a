//! Queries and non-idempotent requests of the product's own interface.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::future::join_all;
use hyper::{Method, Uri};

use crate::coordination::attempt::{Fault, Label, NotRunCode};
use crate::coordination::learned::RunReport;
use crate::coordination::query::{Answer, MissingReason};
use crate::coordination::scatter::ScatterOptions;
use crate::coordination::snapshot;
use crate::protocol::caller::{Refusal, RequestOptions};
use crate::protocol::upstream::{RUN_URI, STATUS_URI};
use crate::protocol::wire::OutgoingRequest;
use crate::state::arena::{ServerKey, UpstreamKey};
use crate::state::catalog::{Catalog, ServiceEntry, ShardEntry, ShardMapEntry};
use crate::state::fleet::{Preference, Snapshot};
use crate::state::hash;
use crate::state::snapshot_range::SnapshotRange;
use crate::state::time::Tick;
use crate::state::topology::TopologyView;
use crate::transport::http;
use crate::transport::node::Node;
use crate::transport::upstreams::run::{Gathered, GivenUp, Job, run};
use crate::transport::upstreams::tier::{RouteStats, ServerState};

/// Times that a query may begin again on a newer snapshot.
const MOST_RESTARTS: u64 = 2;
/// Attempts of one pass of a query are numbered from a multiple of this.
const PASS: u64 = 1 << 20;
/// Most upstreams that a shard's request is sent to.
const MOST_ATTEMPTS: usize = 4;
/// Age at which upstreams of a service in use are asked what they hold.
const STALE: Duration = Duration::from_millis(1_000);
/// Longest time to ask an upstream what it holds.
const STATUS_TIMEOUT: Duration = Duration::from_millis(300);

/// Answers a query.
pub(crate) async fn query(
    node: &Arc<Node>,
    service: &str,
    wishes: RequestOptions,
    body: Bytes,
) -> Result<Answer, Refusal> {
    let started = node.now();
    let catalog = node.catalog();
    let Some((_, entry)) = catalog.service(service) else {
        return Err(Refusal::NotRun { reason: NotRunCode::UnknownService });
    };
    let admit = |s: &mut RouteStats| s.limiter.try_admit(started);
    if !node.tier.route_stats.with_or_insert(entry.route, RouteStats::default, admit) {
        return Err(Refusal::NotRun { reason: NotRunCode::Overloaded });
    }
    ask_if_stale(node, &catalog, entry).await;
    let query = Query { node, catalog: &catalog, entry, wishes, body, started };
    let mut after = None;
    for pass in 0..=MOST_RESTARTS {
        let Some(snapshot) = query.choose(after) else {
            return Err(Refusal::NotRun { reason: NotRunCode::NoSnapshot });
        };
        let again = pass < MOST_RESTARTS && query.choose(Some(snapshot)).is_some();
        match query.pass(pass, snapshot).await {
            Some(result) if !(again && lost_snapshot(&result)) => {
                query.note_depth(snapshot);
                return result;
            }
            _ => after = Some(snapshot),
        }
        node.tier.meters.restarts.inc();
    }
    Err(Refusal::NotRun { reason: NotRunCode::NoSnapshot })
}

/// Says whether a shard is missing because no replica holds the snapshot any more.
fn lost_snapshot(result: &Result<Answer, Refusal>) -> bool {
    match result {
        Ok(answer) => {
            answer.missing.iter().any(|(_, m)| *m == MissingReason::Refused(NotRunCode::NotHeld))
        }
        Err(refusal) => matches!(refusal, Refusal::NotRun { reason: NotRunCode::NotHeld }),
    }
}

struct Query<'a> {
    node: &'a Arc<Node>,
    catalog: &'a Catalog,
    entry: &'a ServiceEntry,
    wishes: RequestOptions,
    body: Bytes,
    started: Tick,
}

impl Query<'_> {
    fn choose(&self, after: Option<Snapshot>) -> Option<Snapshot> {
        let view = self.node.tier.view();
        let held = |u: UpstreamKey| held(self.node, self.catalog, &view, u);
        snapshot::choose_snapshot(self.entry, held, after)
    }

    /// Runs one pass over all shards of a snapshot; `None` if the snapshot has no map.
    async fn pass(&self, pass: u64, snapshot: Snapshot) -> Option<Result<Answer, Refusal>> {
        let map = self.entry.shard_map(snapshot)?;
        let request = self.node.next_id();
        let label = |(n, shard): (usize, &ShardEntry)| {
            let attempt = pass * PASS + n as u64;
            Label { request, attempt, shard: shard.name.clone(), snapshot: Some(snapshot) }
        };
        let labels = map.shards.iter().enumerate().map(label).map(|l| l.to_string()).collect();
        let opts = self.options(map);
        let job = job(self.node, self.entry, request, labels, self.body.clone(), opts);
        let view = self.node.tier.view();
        Some(match run(&self.node.tier, &view, job).await {
            Ok(gathered) => Ok(answer(map, snapshot, gathered)),
            Err(given_up) => Err(refusal(given_up)),
        })
    }

    fn options(&self, map: &ShardMapEntry) -> ScatterOptions {
        let policy = self.entry.policy;
        let hard = self.started + policy.hard_deadline(self.wishes.deadline);
        let soft = match self.wishes.prefer.unwrap_or(policy.prefer) {
            Preference::Tail => hard.min(self.started + Duration::from_millis(policy.soft_ms)),
            Preference::Coverage => hard,
        };
        ScatterOptions {
            shards: map.shards.iter().map(|s| s.pool).collect(),
            max_attempts: MOST_ATTEMPTS,
            idempotent: true,
            min_share: 0.0,
            soft_deadline: soft,
            hard_deadline: hard,
        }
    }

    /// Tells the service's limiter how long its upstreams' queues are.
    fn note_depth(&self, snapshot: Snapshot) {
        let (view, now) = (self.node.tier.view(), self.node.now());
        let replicas = self.entry.shard_map(snapshot).into_iter().flat_map(|m| &m.shards);
        let depths: Vec<f64> = replicas
            .flat_map(|s| &s.replicas)
            .filter_map(|u| view.key_by_id(self.catalog.upstream_name(*u)?))
            .filter_map(|key| {
                self.node.tier.servers.with(key, |l| l.stats.queue_depth(now)).flatten()
            })
            .collect();
        if !depths.is_empty() {
            let mean = depths.iter().sum::<f64>() / depths.len() as f64;
            self.node
                .tier
                .route_stats
                .with(self.entry.route, |s| s.limiter.record_depth(mean, now));
        }
    }
}

fn job(
    node: &Node,
    entry: &ServiceEntry,
    request: u64,
    labels: Vec<String>,
    body: Bytes,
    opts: ScatterOptions,
) -> Job {
    let aim = Duration::from_millis(entry.policy.soft_ms);
    let out = OutgoingRequest {
        method: Method::POST,
        uri: Uri::from_static(RUN_URI),
        body,
        labels,
        ..Default::default()
    };
    let id = format!("{}-{request:x}", node.me.id.0);
    Job { id, route: entry.route, target_latency: aim, outgoing: out, opts }
}

fn answer(map: &ShardMapEntry, snapshot: Snapshot, gathered: Gathered) -> Answer {
    let name = |place: usize| map.shards[place].name.clone();
    Answer {
        snapshot,
        parts: gathered.parts.into_iter().map(|(n, a)| (name(n), a.body)).collect(),
        missing: gathered.missing.into_iter().map(|(n, why)| (name(n), why)).collect(),
        total: map.shards.len(),
    }
}

fn refusal(given_up: GivenUp) -> Refusal {
    let reason = given_up.missing.first().map(|(_, why)| *why);
    match (given_up.ran, reason) {
        (false, Some(MissingReason::Refused(reason))) => Refusal::NotRun { reason },
        (false, _) => Refusal::NotRun { reason: NotRunCode::TooLate },
        (true, Some(MissingReason::Failed(reason))) => Refusal::OutcomeUnknown { reason },
        (true, _) => Refusal::OutcomeUnknown { reason: Fault::Timeout },
    }
}

fn held(
    node: &Node,
    catalog: &Catalog,
    view: &TopologyView,
    upstream: UpstreamKey,
) -> Option<SnapshotRange> {
    let key = view.key_by_id(catalog.upstream_name(upstream)?)?;
    node.tier.servers.with(key, |l| l.stats.held()).flatten()
}

/// Asks upstreams of a service in use what they hold, if nothing was heard of them for a while.
///
/// The first query of a service waits for it, the others go on with what is known.
async fn ask_if_stale(node: &Arc<Node>, catalog: &Catalog, entry: &ServiceEntry) {
    let now = node.now();
    let last = node.snapshots_requested_at.with_or_insert(entry.route, Tick::default, |at| {
        let due = *at == Tick::default() || now.since(*at) > STALE;
        due.then(|| std::mem::replace(at, now))
    });
    let Some(last) = last else { return };
    let view = node.tier.view();
    let replicas = entry.maps.iter().flat_map(|m| &m.shards).flat_map(|s| &s.replicas);
    let mut keys: Vec<ServerKey> =
        replicas.filter_map(|u| view.key_by_id(catalog.upstream_name(*u)?)).collect();
    keys.sort_unstable();
    keys.dedup();
    let stale = |key: &ServerKey| {
        let heard = node.tier.servers.with(*key, |l| l.stats.run_reported_at()).unwrap_or_default();
        heard == Tick::default() || now.since(heard) > STALE
    };
    let asks = keys.into_iter().filter(stale).map(|key| ask(node.clone(), key));
    let asking = join_all(asks.collect::<Vec<_>>());
    if last == Tick::default() {
        asking.await;
    } else {
        tokio::spawn(asking);
    }
}

async fn ask(node: Arc<Node>, key: ServerKey) {
    let view = node.tier.view();
    let Some(server) = view.server(key) else { return };
    let Ok(reply) = http::get(server.report.addr, STATUS_URI, STATUS_TIMEOUT).await else { return };
    let mut res = hyper::Response::new(());
    *res.headers_mut() = reply.headers;
    let told = node.tier.wire.parse_response_head(&res.into_parts().0);
    let run = RunReport { boot_id: told.boot_id, held: told.held, draining: told.draining };
    let (cold_for, now) = (view.server_limits(server).cold_duration, node.now());
    node.tier
        .servers
        .with_or_insert(key, ServerState::default, |l| l.stats.record_run(run, cold_for, now));
}

/// Places a non-idempotent request at one upstream; it is placed again only while truly not run.
pub(crate) async fn place(
    node: &Arc<Node>,
    service: &str,
    wishes: &RequestOptions,
    body: Bytes,
) -> Result<(String, Bytes), Refusal> {
    let started = node.now();
    let catalog = node.catalog();
    let Some((_, entry)) = catalog.service(service) else {
        return Err(Refusal::NotRun { reason: NotRunCode::UnknownService });
    };
    let request = node.next_id();
    let shard = shard_of(entry, wishes, request)?;
    let hard = started + entry.policy.hard_deadline(wishes.deadline);
    let opts = ScatterOptions {
        shards: vec![shard.pool],
        max_attempts: MOST_ATTEMPTS,
        idempotent: false,
        min_share: 1.0,
        soft_deadline: hard,
        hard_deadline: hard,
    };
    let label = Label { request, attempt: 0, shard: shard.name.clone(), snapshot: None };
    let job = job(node, entry, request, vec![label.to_string()], body, opts);
    let view = node.tier.view();
    match run(&node.tier, &view, job).await {
        Ok(mut gathered) => Ok((shard.name.clone(), gathered.parts.swap_remove(0).1.body)),
        Err(given_up) => Err(refusal(given_up)),
    }
}

fn shard_of<'a>(
    entry: &'a ServiceEntry,
    wishes: &RequestOptions,
    request: u64,
) -> Result<&'a ShardEntry, Refusal> {
    let map = entry.maps.last().ok_or(Refusal::NotRun { reason: NotRunCode::NoReplica })?;
    match &wishes.shard {
        Some(name) => {
            let found = map.shards.iter().find(|s| s.name == *name);
            found.ok_or_else(|| Refusal::BadRequest {
                detail: format!("x-shard: no shard `{name}`"),
            })
        }
        None => {
            let of = wishes.key.clone().unwrap_or_else(|| request.to_string());
            Ok(&map.shards[hash::body_digest(of.as_bytes()) as usize % map.shards.len()])
        }
    }
}
