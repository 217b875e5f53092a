//! The state that all requests of an instance share: routes, servers, their statistics, retry budgets.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use parking_lot::{Mutex, RwLock};

use crate::coordination::caller_budget::{CallerBudgetOptions, Machine};
use crate::coordination::domain_health::DomainHealth;
use crate::coordination::gatherers::Spread;
use crate::coordination::lag::Lag;
use crate::coordination::latency_histogram::LatencyHistogram;
use crate::coordination::lifecycle::{StopOptions, StopTimes, Unfinished};
use crate::coordination::limiter::Limiter;
use crate::coordination::rate_limit::{LimitPart, LimitReport, RateLimit};
use crate::coordination::reachability::{self, CutReport};
use crate::coordination::retry_budget::{RetryBudget, RetryBudgetOptions};
use crate::coordination::return_times::ReturnTimes;
use crate::coordination::round_robin::WeightedRoundRobin;
use crate::coordination::server_notices::{
    Availability, ListenerNumber, Notice, NoticeMemory, RunId, ServerNotices,
};
use crate::coordination::server_stats::{RunReport, ServerStats};
use crate::coordination::shares::{self, Places, Role};
use crate::coordination::sliding_window::SlidingWindow;
use crate::coordination::store_mirror::ListExtent;
use crate::coordination::warming::Warming;
use crate::protocol::codec::{ResponseHead, ServerCodec};
use crate::state::arena::{PoolKey, RouteKey, ServerKey};
use crate::state::hash;
use crate::state::name_interner::NameInterner;
use crate::state::routes::RouteTable;
use crate::state::sharded_map::ShardedMap;
use crate::state::time::Tick;
use crate::state::topology::{Server, ServerReport, Topology, TopologyView};
use crate::transport::admission::Admission;
use crate::transport::clock::Clock;
use crate::transport::http::SharedMemory;
use crate::transport::metrics::Metrics;
use crate::transport::upstreams::connection_pool::{Connection, ConnectionPool};

/// Window over which requests count as recent.
const RECENT_WINDOW: Duration = Duration::from_secs(10);

/// Settings of the tier.
#[derive(Clone, Debug)]
pub struct TierOptions {
    /// The failure domain of this instance.
    pub domain: String,
    /// Limits of the retry budget that all instances share.
    pub retry_budget: RetryBudgetOptions,
    /// Factor applied to the configured rate limit of a cold server, and requests per second added to it.
    pub cold_rate: (f64, f64),
    /// Number of instances that is assumed until it is known.
    pub initial_instances: usize,
    /// One-way network delay between a caller and this instance.
    pub caller_delay: Duration,
    /// Maximum size of a server's answer to a sharded request, in bytes.
    pub max_part_bytes: usize,
    /// Maximum size of a server's answer to any other request, in bytes.
    pub max_answer_bytes: usize,
    /// Maximum size of all answers together that are being received, in bytes.
    pub max_buffered_bytes: usize,
    /// Durations of a planned stop.
    pub stop: StopOptions,
    /// What the machine grants to this process.
    pub machine: Machine,
}

impl Default for TierOptions {
    fn default() -> Self {
        Self {
            domain: String::new(),
            retry_budget: RetryBudgetOptions::default(),
            cold_rate: (1.0, 0.0),
            initial_instances: 16, // current fleets have 8 or 9 instances, with 4 more to come
            caller_delay: Duration::from_millis(8),
            max_part_bytes: 8 << 20,
            max_answer_bytes: 8 << 20,
            max_buffered_bytes: 32 << 20, // a fifth of the memory of the smallest instances
            stop: StopOptions::default(),
            machine: Machine::default(),
        }
    }
}

/// Part of a machine's memory that the bodies of requests have which are gathered for peers.
const GATHER_MEMORY_DIVISOR: usize = 16;
/// Part of a machine's memory that replies of servers have while they are being received.
const REPLY_MEMORY_DIVISOR: usize = 5;

impl TierOptions {
    /// Returns the defaults for a machine.
    pub fn for_machine(machine: Machine) -> Self {
        let defaults = Self::default();
        let max_buffered_bytes =
            defaults.max_buffered_bytes.min(machine.memory_bytes / REPLY_MEMORY_DIVISOR);
        Self { machine, max_buffered_bytes, ..defaults }
    }
}

/// Counts a caller's request as in flight until dropped.
pub(crate) struct RequestGuard(Arc<Tier>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.requests_in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Counts a request gathered for a peer as in flight until dropped.
pub(crate) struct GatherGuard(Arc<Tier>);

impl Drop for GatherGuard {
    fn drop(&mut self) {
        self.0.gathers_in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Counts a change that an operator has sent as in progress until dropped.
pub(crate) struct ChangeGuard(Arc<Tier>);

impl Drop for ChangeGuard {
    fn drop(&mut self) {
        self.0.changes_in_progress.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Counts the shards of a gathered request as in flight until dropped.
pub(crate) struct ShardsGuard(Arc<Tier>, usize);

impl Drop for ShardsGuard {
    fn drop(&mut self) {
        self.0.shards_in_flight.fetch_sub(self.1, Ordering::Relaxed);
    }
}

/// The run of a server that sent a reply.
#[derive(Clone, Copy)]
pub(crate) struct ServerRun<'a> {
    /// The server as it was listed when the request was sent.
    pub(crate) server: &'a Server,
    /// The listener that accepted the connection.
    pub(crate) listener: ListenerNumber,
    /// When the request was sent.
    pub(crate) sent_at: Tick,
}

/// What changed with the head of a reply.
#[derive(Clone, Copy)]
pub(crate) struct RunChange {
    /// What the run asks for now.
    pub(crate) notices: ServerNotices,
    /// Whether it asks for no requests, or for none for some time, since this reply.
    pub(crate) asked: bool,
    /// The limit before, if it has changed.
    pub(crate) previous_limit: Option<Option<RateLimit>>,
}

/// The statistics and connections of a server.
#[derive(Default)]
pub(crate) struct ServerState {
    pub(crate) stats: ServerStats,
    pub(crate) connections: ConnectionPool,
    /// Whether an invalid header of its replies was logged.
    pub(crate) logged_invalid_header: bool,
}

impl ServerState {
    /// Returns a connection to the pool, or closes it if the server is draining.
    pub(crate) fn check_in(&mut self, conn: Connection, now: Tick) {
        if !self.stats.notices.is_draining() {
            self.connections.check_in(conn, now);
        }
    }
}

/// The statistics and limits of a route.
pub(crate) struct RouteStats {
    pub(crate) latencies: LatencyHistogram,
    pub(crate) round_robin: Option<WeightedRoundRobin>,
    pub(crate) longest_wait: Duration,
    pub(crate) limiter: Limiter,
    pub(crate) recent_requests: SlidingWindow,
    pub(crate) return_times: ReturnTimes,
    pub(crate) cut_report: CutReport,
}

impl Default for RouteStats {
    fn default() -> Self {
        Self {
            latencies: LatencyHistogram::default(),
            round_robin: None,
            longest_wait: Duration::ZERO,
            limiter: Limiter::default(),
            recent_requests: SlidingWindow::new(RECENT_WINDOW),
            return_times: ReturnTimes::default(),
            cut_report: CutReport::default(),
        }
    }
}

/// The shared state of the tier.
pub struct Tier {
    /// Settings of the tier.
    pub opts: TierOptions,
    /// Interned names of services and routes.
    pub names: NameInterner,
    pub(crate) clock: Clock,
    pub(crate) codec: Box<dyn ServerCodec>,
    pub(crate) servers: ShardedMap<ServerKey, ServerState>,
    pub(crate) route_stats: ShardedMap<RouteKey, RouteStats>,
    pub(crate) retry_budgets: ShardedMap<PoolKey, RetryBudget>,
    pub(crate) metrics: Metrics,
    pub(crate) reply_buffers: SharedMemory,
    /// Bodies of requests that are gathered for peers.
    pub(crate) gathered_bodies: SharedMemory,
    /// What is held for callers.
    pub(crate) admission: Arc<Admission>,
    domains: Mutex<IndexMap<String, DomainHealth>>,
    topology: Mutex<Topology>,
    view: RwLock<Arc<TopologyView>>,
    instances: AtomicUsize,
    /// The times of the planned stop, once it has begun.
    stop_times: OnceLock<StopTimes>,
    can_serve: AtomicBool,
    /// Number of tasks that end again and again.
    failing_tasks: AtomicUsize,
    requests_in_flight: AtomicUsize,
    gathers_in_flight: AtomicUsize,
    changes_in_progress: AtomicUsize,
    role: Mutex<Role>,
    places: Mutex<Places>,
    sharded_requests: Mutex<SlidingWindow>,
    pub(crate) lag: Mutex<Lag>,
    warming: Mutex<Warming>,
    pub(crate) spread: Mutex<Spread>,
    shards_in_flight: AtomicUsize,
    notices: Mutex<NoticeMemory>,
    /// Whether any server has asked for anything since the start.
    has_notices: AtomicBool,
}

impl Tier {
    /// Creates a tier without routes.
    pub fn new(opts: TierOptions, codec: impl ServerCodec) -> Self {
        let (clock, metrics) = (Clock::default(), Metrics::default());
        let budget = CallerBudgetOptions::for_machine(opts.machine);
        let admission = Admission::new(budget, clock, metrics.callers_given_up.clone());
        Self {
            instances: AtomicUsize::new(opts.initial_instances),
            reply_buffers: SharedMemory::new(opts.max_buffered_bytes),
            gathered_bodies: SharedMemory::new(opts.machine.memory_bytes / GATHER_MEMORY_DIVISOR),
            admission: Arc::new(admission),
            opts,
            names: NameInterner::default(),
            clock,
            codec: Box::new(codec),
            servers: ShardedMap::default(),
            route_stats: ShardedMap::default(),
            retry_budgets: ShardedMap::default(),
            metrics,
            domains: Mutex::default(),
            topology: Mutex::default(),
            view: RwLock::default(),
            stop_times: OnceLock::new(),
            can_serve: AtomicBool::new(true),
            failing_tasks: AtomicUsize::new(0),
            requests_in_flight: AtomicUsize::new(0),
            gathers_in_flight: AtomicUsize::new(0),
            changes_in_progress: AtomicUsize::new(0),
            role: Mutex::default(),
            places: Mutex::new(Places { among_all: rand::random(), in_role: rand::random() }),
            sharded_requests: Mutex::new(SlidingWindow::new(RECENT_WINDOW)),
            lag: Mutex::default(),
            warming: Mutex::default(),
            spread: Mutex::default(),
            shards_in_flight: AtomicUsize::new(0),
            notices: Mutex::default(),
            has_notices: AtomicBool::new(false),
        }
    }

    /// Returns the current time.
    pub fn now(&self) -> Tick {
        self.clock.now()
    }

    pub(crate) fn clock(&self) -> Clock {
        self.clock
    }

    /// Returns the admission to another listener than that of callers.
    pub(crate) fn new_admission(&self, opts: CallerBudgetOptions) -> Admission {
        Admission::new(opts, self.clock, self.metrics.callers_given_up.clone())
    }

    /// Returns the current routes and servers.
    pub fn view(&self) -> Arc<TopologyView> {
        self.view.read().clone()
    }

    /// Returns the number of instances that share limits with this one.
    pub fn instances(&self) -> usize {
        self.instances.load(Ordering::Relaxed)
    }

    /// Returns the number of connections that this instance may have to a server with the given `limit`.
    ///
    /// A server may still count connections of this instance's previous run, so a recently started process
    /// uses half of its share.
    pub(crate) fn connection_limit(&self, limit: u32, now: Tick) -> u32 {
        let is_young = now.since(Tick::default()) < self.opts.retry_budget.window;
        let share = shares::connection_share(limit, self.instances(), self.role());
        if is_young { (share / 2).max(1) } else { share }
    }

    /// Returns the role of this instance for sharded requests.
    pub(crate) fn role(&self) -> Role {
        *self.role.lock()
    }

    /// Sets the role of this instance for sharded requests.
    pub fn set_role(&self, role: Role) {
        let before = std::mem::replace(&mut *self.role.lock(), role);
        if before != role {
            log::info!(before:? = before, now:? = role; "role for sharded requests changed");
        }
    }

    /// Sets the number of instances that share limits with this one, itself included.
    pub fn set_instances(&self, count: usize) {
        let before = self.instances.swap(count.max(1), Ordering::Relaxed);
        if before != count {
            log::info!(before, now = count; "number of instances that share limits changed");
        }
    }

    /// Returns whether this instance accepts requests: it has routes, reaches enough servers, keeps its tasks running and is
    /// not leaving.
    pub fn is_ready(&self) -> bool {
        !self.is_leaving()
            && self.can_serve()
            && !self.has_failing_tasks()
            && self.view.read().route_table.is_some()
    }

    /// Returns whether a task of this instance ends again and again, so that what the instance knows may be old.
    pub fn has_failing_tasks(&self) -> bool {
        self.failing_tasks.load(Ordering::Relaxed) > 0
    }

    /// Counts a list of the platform's store, by which part of its objects could be read.
    pub fn record_store_list(&self, extent: ListExtent) {
        let extent = match extent {
            ListExtent::Whole => "whole",
            ListExtent::Interrupted => "interrupted",
            ListExtent::Truncated => "truncated",
        };
        self.metrics.store_lists.with_label_values(&[extent]).inc();
    }

    /// Records that a task has begun to fail, or that it runs again.
    pub(crate) fn record_failing_task(&self, is_failing: bool) {
        if is_failing {
            self.failing_tasks.fetch_add(1, Ordering::Relaxed);
        } else {
            self.failing_tasks.fetch_sub(1, Ordering::Relaxed);
        }
    }

    /// Returns whether this instance reaches enough servers to answer.
    pub fn can_serve(&self) -> bool {
        self.can_serve.load(Ordering::Relaxed)
    }

    /// Sets whether this instance reaches enough servers and returns the previous value.
    pub(crate) fn set_can_serve(&self, can_serve: bool) -> bool {
        self.can_serve.swap(can_serve, Ordering::Relaxed)
    }

    /// Returns the unresponsive failure domains.
    pub(crate) fn unresponsive_domains(&self) -> Vec<String> {
        self.domains_that(DomainHealth::is_unresponsive)
    }

    /// Returns the unresponsive failure domains that a probe did not reach either.
    pub(crate) fn unreachable_domains(&self) -> Vec<String> {
        self.domains_that(DomainHealth::is_unreachable)
    }

    fn domains_that(&self, holds: impl Fn(&DomainHealth) -> bool) -> Vec<String> {
        let domains = self.domains.lock();
        domains.iter().filter(|(_, d)| holds(d)).map(|(name, _)| name.clone()).collect()
    }

    /// Returns whether this instance is leaving.
    pub fn is_leaving(&self) -> bool {
        self.stop_times.get().is_some()
    }

    /// Returns whether a request that is complete now may run, if it usually takes `usual`; only a planned stop refuses some.
    pub(crate) fn admits(&self, usual: Duration) -> bool {
        self.stop_times.get().is_none_or(|times| times.admits(usual, self.now()))
    }

    /// Counts a caller's request as in flight until the guard is dropped.
    pub(crate) fn track_request(self: &Arc<Self>) -> RequestGuard {
        self.requests_in_flight.fetch_add(1, Ordering::Relaxed);
        RequestGuard(self.clone())
    }

    /// Returns the number of callers' requests in flight.
    pub fn requests_in_flight(&self) -> usize {
        self.requests_in_flight.load(Ordering::Relaxed)
    }

    /// Counts a request gathered for a peer as in flight until the guard is dropped.
    pub(crate) fn track_gather(self: &Arc<Self>) -> GatherGuard {
        self.gathers_in_flight.fetch_add(1, Ordering::Relaxed);
        GatherGuard(self.clone())
    }

    /// Counts the shards of a gathered request as in flight until the guard is dropped.
    pub(crate) fn track_shards(self: &Arc<Self>, count: usize) -> ShardsGuard {
        self.shards_in_flight.fetch_add(count, Ordering::Relaxed);
        ShardsGuard(self.clone(), count)
    }

    /// Returns the number of shards of the requests that this instance gathers.
    pub(crate) fn shards_in_flight(&self) -> usize {
        self.shards_in_flight.load(Ordering::Relaxed)
    }

    /// Counts a change that an operator has sent as in progress until the guard is dropped.
    pub(crate) fn track_change(self: &Arc<Self>) -> ChangeGuard {
        self.changes_in_progress.fetch_add(1, Ordering::Relaxed);
        ChangeGuard(self.clone())
    }

    /// Returns the work of this instance beside the connections of its callers that a planned stop waits for.
    pub(crate) fn unfinished(&self) -> Unfinished {
        Unfinished {
            connections: 0,
            requests: self.requests_in_flight(),
            gathers: self.gathers_in_flight.load(Ordering::Relaxed),
            changes: self.changes_in_progress.load(Ordering::Relaxed),
        }
    }

    /// Records a caller's sharded request.
    pub(crate) fn record_sharded_request(&self, now: Tick) {
        self.sharded_requests.lock().add(now);
    }

    /// Returns the recent rate of callers' sharded requests, per second.
    pub(crate) fn sharded_request_rate(&self) -> f64 {
        f64::from(self.sharded_requests.lock().count(self.now())) / RECENT_WINDOW.as_secs_f64()
    }

    /// Runs `update` on the warming of connections.
    pub(crate) fn with_warming<R>(&self, update: impl FnOnce(&mut Warming) -> R) -> R {
        update(&mut self.warming.lock())
    }

    /// Begins the planned stop of this instance.
    pub(crate) fn leave(&self) -> StopTimes {
        *self.stop_times.get_or_init(|| StopTimes::new(&self.opts.stop, self.now()))
    }

    /// Runs `update` on the health of a failure domain and logs whether the domain became unresponsive or
    /// responsive.
    pub(crate) fn with_domain<R>(
        &self,
        name: &str,
        update: impl FnOnce(&mut DomainHealth) -> R,
    ) -> R {
        let mut domains = self.domains.lock();
        if !domains.contains_key(name) {
            domains.insert(name.to_owned(), DomainHealth::default());
        }
        let domain = &mut domains[name];
        let before = domain.is_unresponsive();
        let result = update(domain);
        let unresponsive = domain.is_unresponsive();
        drop(domains);
        if before != unresponsive {
            log::info!(domain = name, dark = unresponsive; "responsiveness of a failure domain changed");
        }
        result
    }

    /// Updates the topology and publishes a new view if `update` returns that something changed.
    fn update_topology(&self, update: impl FnOnce(&mut Topology, Tick) -> bool) -> bool {
        let mut topology = self.topology.lock();
        let changed = update(&mut topology, self.now());
        if changed {
            let view = Arc::new(topology.view().clone());
            self.restore_notices(&self.view(), &view);
            *self.view.write() = view.clone();
            drop(topology);
            self.servers.for_each(|key, s| {
                if view.available_server(key).is_none() {
                    s.connections.wake_waiter();
                }
            });
            self.servers.retain(|key| view.server(key).is_some());
        }
        changed
    }

    /// Restores what runs asked for before they were listed, or listed again.
    fn restore_notices(&self, before: &TopologyView, view: &TopologyView) {
        if !self.has_notices.load(Ordering::Relaxed) {
            return;
        }
        let (mut notices, now) = (self.notices.lock(), self.now());
        notices.forget(now);
        for (key, server) in view.servers().filter(|(key, _)| before.server(*key).is_none()) {
            let Some(run) = RunId::of(&server.report) else { continue };
            let heard = self.notices_before_listing(before, &run, now);
            if let Some(heard) = heard {
                notices.record(run.clone(), heard, now);
            }
            if let Some(known) = heard.or_else(|| notices.get(&run)) {
                self.servers.with_or_insert(key, ServerState::default, |s| s.stats.notices = known);
            }
        }
    }

    /// Returns what a run asked for while an earlier run of the server was listed.
    fn notices_before_listing(
        &self,
        before: &TopologyView,
        run: &RunId,
        now: Tick,
    ) -> Option<ServerNotices> {
        let key = before.key_by_id(run.server_id())?;
        let former = RunId::of(&before.server(key)?.report)?;
        let heard = self.servers.with(key, |s| s.stats.unlisted_notices().once_listed(now))?;
        let is_asking = heard.availability(now) != Availability::Now;
        (is_asking && run.is_later_than(&former)).then_some(heard)
    }

    /// Returns this instance's part of what a server takes from all instances together.
    pub(crate) fn limit_part(&self, view: &TopologyView, server: &Server) -> LimitPart {
        let (role, places) = (self.role(), *self.places.lock());
        let is_only_gathered = view.is_only_gathered(server);
        let (share, place) = shares::limit_share(role, places, self.instances(), is_only_gathered);
        LimitPart {
            share,
            // points at different servers are not at one moment
            place: place + hash::unit_digest(&server.report.id),
            time_of_day: self.clock.time_of_day(),
        }
    }

    /// Sets this instance's places among those that share limits.
    pub fn set_places(&self, places: Places) {
        *self.places.lock() = places;
    }

    /// Records what the head of a server's reply reports about its run; returns what it asks for, if that is new.
    ///
    /// The run may have been removed since the request was sent, or listed again under another key.
    pub(crate) fn record_run(
        &self,
        key: ServerKey,
        run: ServerRun<'_>,
        head: &ResponseHead,
        now: Tick,
    ) -> Option<RunChange> {
        let ServerRun { server, listener, sent_at } = run;
        let view = self.view();
        let cold_duration = view.server_limits(server).cold_duration;
        let notice = Notice { draining: head.draining, backoff: head.backoff };
        let listed = listed_key(&view, key, server);
        // listeners are counted from the listing of a run
        let listener = if listed == Some(key) { listener } else { ListenerNumber::default() };
        let report = RunReport { boot_id: head.boot_id, held: head.held, notice, listener };
        // the limit of a run that is not listed is not that of the listed one
        let has_limit = head.invalid_rate_limit.is_none() && !listener.is_unlisted();
        let limit = has_limit.then(|| LimitReport {
            named: head.rate_limit.map(|limit| (limit, self.limit_part(&view, server))),
            sent_at,
        });
        let update = |s: &mut ServerState| {
            let asked = s.stats.record_run(report, cold_duration, now);
            let change = record_change(&mut s.stats.notices, asked, limit, now);
            if asked && s.stats.notices.is_draining() {
                s.connections.close_idle();
            }
            if change.is_some() {
                s.connections.wake_waiter();
            }
            change
        };
        let run_id = RunId::of(&server.report);
        let change = match listed {
            Some(key) => self.servers.with_or_insert(key, ServerState::default, update),
            None => {
                let known = run_id.as_ref().and_then(|run| self.notices.lock().get(run));
                let mut notices = known.unwrap_or_default();
                let asked = notices.record(notice, now);
                record_change(&mut notices, asked, limit, now)
            }
        }?;
        self.has_notices.store(true, Ordering::Relaxed);
        if change.asked
            && let Some(why) = change.notices.refusal(now)
        {
            self.metrics.notices.with_label_values(&[why.as_str()]).inc();
        }
        if change.previous_limit.is_some() {
            let is_named = change.notices.rate().limit().is_some();
            let label = if is_named { "limit" } else { "limit-ended" };
            self.metrics.notices.with_label_values(&[label]).inc();
        }
        if let Some(run) = run_id {
            self.notices.lock().record(run, change.notices, now);
        }
        Some(change)
    }

    /// Returns when a request to one server of each of `pools` can be answered at the earliest.
    pub(crate) fn available_from(
        &self,
        pools: &[PoolKey],
        min_shard_ratio: f64,
        view: &TopologyView,
        now: Tick,
    ) -> Availability {
        self.available_by(pools, min_shard_ratio, view, |notices| notices.availability(now))
    }

    /// Returns the same without the limits of the servers.
    pub(crate) fn available_beside_limits(
        &self,
        pools: &[PoolKey],
        min_shard_ratio: f64,
        view: &TopologyView,
        now: Tick,
    ) -> Availability {
        let beside_limit = |notices: &ServerNotices| notices.availability_beside_limit(now);
        self.available_by(pools, min_shard_ratio, view, beside_limit)
    }

    fn available_by(
        &self,
        pools: &[PoolKey],
        min_shard_ratio: f64,
        view: &TopologyView,
        availability: impl Fn(&ServerNotices) -> Availability,
    ) -> Availability {
        let has_notices = self.has_notices.load(Ordering::Relaxed);
        reachability::available_from(pools, min_shard_ratio, view, |key| {
            let of_server = |s: &mut ServerState| availability(&s.stats.notices);
            let known = has_notices.then(|| self.servers.with(key, of_server)).flatten();
            known.unwrap_or(Availability::Now)
        })
    }

    /// Returns how many requests a second this instance may send to one server of each of `pools`, by the rates that the
    /// servers name.
    pub(crate) fn limited_rate(
        &self,
        pools: &[PoolKey],
        min_shard_ratio: f64,
        view: &TopologyView,
    ) -> Option<f64> {
        reachability::limited_rate(pools, min_shard_ratio, view, |key| {
            self.servers.with(key, |s| s.stats.notices.rate().rate_per_s()).flatten()
        })
    }

    /// Replaces the routes if the table is newer.
    pub fn update_routes(&self, table: RouteTable) {
        let (version, routes) = (table.version, table.routes.len());
        if self.update_topology(|t, _| t.update_routes(table)) {
            log::info!(version, routes; "routes in force");
        }
    }

    /// Replaces the list of servers.
    pub fn replace_servers(&self, reports: Vec<ServerReport>) {
        let listed = reports.len();
        let before = self.view();
        if self.update_topology(|t, now| t.replace_servers(reports, now)) {
            log_server_changes(&before, &self.view(), listed);
        }
    }

    /// Sets the evacuated failure domains.
    pub fn set_evacuated(&self, domains: IndexSet<String>) {
        let list = domains.iter().map(String::as_str).collect::<Vec<_>>().join(",");
        if self.update_topology(|t, now| t.set_evacuated(domains, now)) {
            log::info!(domains = list.as_str(); "evacuated failure domains changed");
        }
    }

    /// Returns the metrics in the Prometheus text format.
    pub fn metrics(&self) -> String {
        self.metrics.caller_bytes.set(self.admission.bytes() as i64);
        self.metrics.caller_connections.set(self.admission.connections() as i64);
        self.metrics.render()
    }
}

/// Records what a reply says of the limit; returns what changed with the reply, if anything did.
fn record_change(
    notices: &mut ServerNotices,
    asked: bool,
    limit: Option<LimitReport>,
    now: Tick,
) -> Option<RunChange> {
    let before = notices.rate().limit();
    let limit_changed = limit.is_some_and(|report| notices.record_limit(report, now));
    let previous_limit = limit_changed.then_some(before);
    (asked || limit_changed).then_some(RunChange { notices: *notices, asked, previous_limit })
}

/// Returns the key under which a server's run is listed now; `key` is the one that it had.
fn listed_key(view: &TopologyView, key: ServerKey, server: &Server) -> Option<ServerKey> {
    if view.server(key).is_some() {
        return Some(key);
    }
    let listed = view.key_by_id(&server.report.id)?;
    let run = RunId::of(&server.report)?;
    (RunId::of(&view.server(listed)?.report)? == run).then_some(listed)
}

/// Logs which servers were added, were removed or started draining.
fn log_server_changes(before: &TopologyView, after: &TopologyView, listed: usize) {
    let id = |(_, s): (ServerKey, &Server)| s.report.id.clone();
    let is_removed = |(key, _): &(ServerKey, &Server)| after.server(*key).is_none();
    let is_added = |(key, _): &(ServerKey, &Server)| before.server(*key).is_none();
    let starts_draining = |(key, s): &(ServerKey, &Server)| {
        s.report.draining && before.server(*key).is_none_or(|b| !b.report.draining)
    };
    let join = |list: Vec<String>| list.join(",");
    let added = join(after.servers().filter(is_added).map(id).collect());
    let removed = join(before.servers().filter(is_removed).map(id).collect());
    let draining = join(after.servers().filter(starts_draining).map(id).collect());
    log::info!(listed, came = added.as_str(), gone = removed.as_str(), leaving = draining.as_str(); "servers changed");
}
