//! Queries and non-idempotent requests of the HTTP API.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::future::join_all;
use hyper::{Method, StatusCode, Uri};

use crate::coordination::attempt::{Fault, Label, NotRunCode};
use crate::coordination::query::{Answer, MissingReason};
use crate::coordination::scatter::ScatterOptions;
use crate::coordination::server_notices::Availability;
use crate::coordination::snapshot;
use crate::protocol::caller::{Refusal, RequestOptions};
use crate::protocol::codec::OutgoingRequest;
use crate::protocol::upstream::{RUN_URI, STATUS_URI};
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
use crate::transport::upstreams::tier::{RouteStats, ServerRun, ServerState};

/// Maximum number of times that a query restarts on a newer snapshot.
const MAX_RESTARTS: u64 = 2;
/// Attempt numbers reserved for each pass of a query, so that those of different passes are distinct.
const ATTEMPTS_PER_PASS: u64 = 1 << 20;
/// Maximum number of attempts per shard.
const MAX_ATTEMPTS: usize = 4;
/// Age from which the status of an upstream is refreshed when its service is queried.
const MAX_STATUS_AGE: Duration = Duration::from_millis(1_000);
/// Timeout of a status request to an upstream.
const STATUS_TIMEOUT: Duration = Duration::from_millis(300);

/// Runs a query; restarts it on a newer snapshot if upstreams have dropped the chosen one.
pub(crate) async fn run_query(
    node: &Arc<Node>,
    service: &str,
    options: RequestOptions,
    body: Bytes,
) -> Result<Answer, Refusal> {
    let started = node.now();
    let catalog = node.catalog();
    let Some((_, entry)) = catalog.service(service) else {
        return Err(Refusal::not_run(NotRunCode::UnknownService));
    };
    let admit = |s: &mut RouteStats| s.limiter.try_admit(started);
    if !node.tier.route_stats.with_or_insert(entry.route, RouteStats::default, admit) {
        return Err(Refusal::not_run(NotRunCode::Overloaded));
    }
    refresh_if_stale(node, &catalog, entry).await;
    let query = Query { node, catalog: &catalog, entry, options, body, started };
    let mut after = None;
    for pass in 0..=MAX_RESTARTS {
        let Some(snapshot) = query.choose_snapshot(after) else {
            return Err(Refusal::not_run(NotRunCode::NoSnapshot));
        };
        let can_restart = pass < MAX_RESTARTS && query.choose_snapshot(Some(snapshot)).is_some();
        match query.run_pass(pass, snapshot).await {
            Some(result) if !(can_restart && is_snapshot_lost(&result)) => {
                query.record_queue_depth(snapshot);
                return result;
            }
            _ => after = Some(snapshot),
        }
        node.tier.metrics.restarts.inc();
    }
    Err(Refusal::not_run(NotRunCode::NoSnapshot))
}

/// Returns whether a shard is missing because no replica holds the snapshot any more.
fn is_snapshot_lost(result: &Result<Answer, Refusal>) -> bool {
    match result {
        Ok(answer) => {
            answer.missing.iter().any(|(_, m)| *m == MissingReason::Refused(NotRunCode::NotHeld))
        }
        Err(refusal) => matches!(refusal, Refusal::NotRun { reason: NotRunCode::NotHeld, .. }),
    }
}

struct Query<'a> {
    node: &'a Arc<Node>,
    catalog: &'a Catalog,
    entry: &'a ServiceEntry,
    options: RequestOptions,
    body: Bytes,
    started: Tick,
}

impl Query<'_> {
    fn choose_snapshot(&self, after: Option<Snapshot>) -> Option<Snapshot> {
        let view = self.node.tier.view();
        let held = |u: UpstreamKey| held_snapshots(self.node, self.catalog, &view, u);
        snapshot::choose_snapshot(self.entry, held, after)
    }

    /// Runs one pass over all shards of a snapshot; `None` if the snapshot has no shard map.
    async fn run_pass(&self, pass: u64, snapshot: Snapshot) -> Option<Result<Answer, Refusal>> {
        let map = self.entry.shard_map(snapshot)?;
        let request = self.node.next_id();
        let label = |(n, shard): (usize, &ShardEntry)| {
            let attempt = pass * ATTEMPTS_PER_PASS + n as u64;
            Label { request, attempt, shard: shard.name.clone(), snapshot: Some(snapshot) }
        };
        let labels = map.shards.iter().enumerate().map(label).map(|l| l.to_string()).collect();
        let opts = self.scatter_options(map);
        let job = new_job(self.node, self.entry, request, labels, self.body.clone(), opts);
        let view = self.node.tier.view();
        Some(match run(&self.node.tier, &view, job).await {
            Ok(gathered) => Ok(into_answer(map, snapshot, gathered)),
            Err(given_up) => Err(into_refusal(given_up)),
        })
    }

    fn scatter_options(&self, map: &ShardMapEntry) -> ScatterOptions {
        let policy = self.entry.policy;
        let hard = self.started + policy.hard_deadline(self.options.deadline);
        let soft = match self.options.prefer.unwrap_or(policy.prefer) {
            Preference::Tail => hard.min(self.started + Duration::from_millis(policy.soft_ms)),
            Preference::Coverage => hard,
        };
        ScatterOptions {
            shards: map.shards.iter().map(|s| s.pool).collect(),
            max_attempts: MAX_ATTEMPTS,
            idempotent: true,
            soft_deadline: soft,
            hard_deadline: hard,
            ..ScatterOptions::default()
        }
    }

    /// Feeds the mean queue depth of the upstreams to the admission limiter of the service.
    fn record_queue_depth(&self, snapshot: Snapshot) {
        let (view, now) = (self.node.tier.view(), self.node.now());
        let replicas = self.entry.shard_map(snapshot).into_iter().flat_map(|m| &m.shards);
        let depths: Vec<f64> = replicas
            .flat_map(|s| &s.replicas)
            .filter_map(|u| view.key_by_id(self.catalog.upstream_name(*u)?))
            .filter_map(|key| {
                self.node.tier.servers.with(key, |s| s.stats.queue_depth(now)).flatten()
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

fn new_job(
    node: &Node,
    entry: &ServiceEntry,
    request: u64,
    labels: Vec<String>,
    body: Bytes,
    opts: ScatterOptions,
) -> Job {
    let target_latency = Duration::from_millis(entry.policy.soft_ms);
    let out = OutgoingRequest {
        method: Method::POST,
        uri: Uri::from_static(RUN_URI),
        body,
        labels,
        ..Default::default()
    };
    let id = format!("{}-{request:x}", node.me.id.0);
    Job { id, route: entry.route, target_latency, outgoing: out, opts, hold: None }
}

fn into_answer(map: &ShardMapEntry, snapshot: Snapshot, gathered: Gathered) -> Answer {
    let shard_name = |index: usize| map.shards[index].name.clone();
    Answer {
        snapshot,
        parts: gathered
            .parts
            .into_iter()
            .map(|(n, a)| (shard_name(n), a.body.to_bytes()))
            .collect(),
        missing: gathered.missing.into_iter().map(|(n, reason)| (shard_name(n), reason)).collect(),
        total: map.shards.len(),
    }
}

fn into_refusal(given_up: GivenUp) -> Refusal {
    let reason = given_up.missing.first().map(|(_, why)| *why);
    // rounded up, so that the caller does not return before
    let retry_after_ms = given_up.retry_after.map(|d| d.as_micros().div_ceil(1_000) as u64);
    match (given_up.ran, reason) {
        (false, Some(MissingReason::Refused(reason))) => Refusal::NotRun { reason, retry_after_ms },
        (false, _) => Refusal::NotRun { reason: NotRunCode::TooLate, retry_after_ms },
        (true, Some(MissingReason::Failed(reason))) => Refusal::OutcomeUnknown { reason },
        (true, _) => Refusal::OutcomeUnknown { reason: Fault::Timeout },
    }
}

fn held_snapshots(
    node: &Node,
    catalog: &Catalog,
    view: &TopologyView,
    upstream: UpstreamKey,
) -> Option<SnapshotRange> {
    let key = view.key_by_id(catalog.upstream_name(upstream)?)?;
    node.tier.servers.with(key, |s| s.stats.held()).flatten()
}

/// Refreshes the status of a service's upstreams, such as their snapshots, if it is out of date.
///
/// The first query of a service waits for the refresh; later ones use the last known status.
async fn refresh_if_stale(node: &Arc<Node>, catalog: &Catalog, entry: &ServiceEntry) {
    let now = node.now();
    let last_refresh =
        node.snapshots_requested_at.with_or_insert(entry.route, Tick::default, |at| {
            let is_due = *at == Tick::default() || now.since(*at) > MAX_STATUS_AGE;
            is_due.then(|| std::mem::replace(at, now))
        });
    let Some(last_refresh) = last_refresh else { return };
    let view = node.tier.view();
    let replicas = entry.maps.iter().flat_map(|m| &m.shards).flat_map(|s| &s.replicas);
    let mut keys: Vec<ServerKey> =
        replicas.filter_map(|u| view.key_by_id(catalog.upstream_name(*u)?)).collect();
    keys.sort_unstable();
    keys.dedup();
    let is_stale = |key: &ServerKey| {
        let of_server = |s: &mut ServerState| {
            let is_backing_off = matches!(s.stats.notices.availability(now), Availability::From(_));
            (s.stats.run_reported_at(), is_backing_off)
        };
        let (reported_at, is_backing_off) =
            node.tier.servers.with(*key, of_server).unwrap_or_default();
        let is_old = reported_at == Tick::default() || now.since(reported_at) > MAX_STATUS_AGE;
        is_old && !is_backing_off
    };
    let requests = keys.into_iter().filter(is_stale).map(|key| refresh_status(node.clone(), key));
    let refresh = join_all(requests.collect::<Vec<_>>());
    if last_refresh == Tick::default() {
        refresh.await;
    } else {
        tokio::spawn(refresh);
    }
}

async fn refresh_status(node: Arc<Node>, key: ServerKey) {
    let view = node.tier.view();
    let Some(server) = view.server(key) else { return };
    let reserve = |s: &mut ServerState| s.stats.notices.reserve(node.now());
    if node.tier.servers.with_or_insert(key, ServerState::default, reserve).is_none() {
        return;
    }
    let listener = node.tier.servers.with(key, |s| s.stats.listener()).unwrap_or_default();
    let sent_at = node.now();
    let Ok(reply) = http::get(server.report.addr, STATUS_URI, STATUS_TIMEOUT).await else { return };
    let mut res = hyper::Response::new(());
    *res.status_mut() = StatusCode::from_u16(reply.status).unwrap_or_default();
    *res.headers_mut() = reply.headers;
    let head = node.tier.codec.parse_response_head(&res.into_parts().0);
    node.tier.record_run(key, ServerRun { server, listener, sent_at }, &head, node.now());
}

/// Sends a non-idempotent request to one upstream, and to another only if the first did not run it.
pub(crate) async fn send_non_idempotent(
    node: &Arc<Node>,
    service: &str,
    options: &RequestOptions,
    body: Bytes,
) -> Result<(String, Bytes), Refusal> {
    let started = node.now();
    let catalog = node.catalog();
    let Some((_, entry)) = catalog.service(service) else {
        return Err(Refusal::not_run(NotRunCode::UnknownService));
    };
    let request = node.next_id();
    let shard = select_shard(entry, options, request)?;
    let hard = started + entry.policy.hard_deadline(options.deadline);
    let opts = ScatterOptions {
        shards: vec![shard.pool],
        max_attempts: MAX_ATTEMPTS,
        idempotent: false,
        min_shard_ratio: 1.0,
        soft_deadline: hard,
        hard_deadline: hard,
        ..ScatterOptions::default()
    };
    let label = Label { request, attempt: 0, shard: shard.name.clone(), snapshot: None };
    let job = new_job(node, entry, request, vec![label.to_string()], body, opts);
    let view = node.tier.view();
    match run(&node.tier, &view, job).await {
        Ok(mut gathered) => {
            Ok((shard.name.clone(), gathered.parts.swap_remove(0).1.body.to_bytes()))
        }
        Err(given_up) => Err(into_refusal(given_up)),
    }
}

fn select_shard<'a>(
    entry: &'a ServiceEntry,
    options: &RequestOptions,
    request: u64,
) -> Result<&'a ShardEntry, Refusal> {
    let map = entry.maps.last().ok_or(Refusal::not_run(NotRunCode::NoReplica))?;
    match &options.shard {
        Some(name) => {
            let found = map.shards.iter().find(|s| s.name == *name);
            found.ok_or_else(|| Refusal::BadRequest {
                detail: format!("x-shard: no shard `{name}`"),
            })
        }
        None => {
            let hashed = options.key.clone().unwrap_or_else(|| request.to_string());
            Ok(&map.shards[hash::body_digest(hashed.as_bytes()) as usize % map.shards.len()])
        }
    }
}
