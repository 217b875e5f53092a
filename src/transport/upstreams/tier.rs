//! The state that all requests of an instance share: routes, servers, what was learnt of them, budgets.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use parking_lot::{Mutex, RwLock};

use crate::coordination::darkness::DomainHealth;
use crate::coordination::extras::{RetryBudget, RetryBudgetOptions};
use crate::coordination::lag::Lag;
use crate::coordination::learned::ServerStats;
use crate::coordination::lifecycle::StopOptions;
use crate::coordination::limiter::Limiter;
use crate::coordination::quantile::LatencyHistogram;
use crate::coordination::shares::{self, Role};
use crate::coordination::sliding_window::SlidingWindow;
use crate::coordination::split::WeightedRoundRobin;
use crate::protocol::wire::ServerCodec;
use crate::state::arena::{PoolKey, RouteKey, ServerKey};
use crate::state::names::NameInterner;
use crate::state::routes::RouteTable;
use crate::state::sharded_map::ShardedMap;
use crate::state::time::Tick;
use crate::state::topology::{Server, ServerReport, Topology, TopologyView};
use crate::transport::clock::Clock;
use crate::transport::metrics::Metrics;
use crate::transport::upstreams::conns::Conns;

/// Span over which a route's requests count as recent.
const RECENT: Duration = Duration::from_secs(10);

/// Settings of the tier.
#[derive(Clone, Debug)]
pub struct TierOptions {
    /// The failure domain of this instance.
    pub domain: String,
    /// The budget of extra arrivals that all instances share.
    pub extras: RetryBudgetOptions,
    /// Factor on the rate that a cold server bears, and requests a second beyond it.
    pub cold: (f64, f64),
    /// Instances that count before their number is known.
    pub instances: usize,
    /// Time that an answer takes back to the caller, and a request took to come.
    pub caller_trip: Duration,
    /// Times of a planned stop.
    pub stop: StopOptions,
}

impl Default for TierOptions {
    fn default() -> Self {
        Self {
            domain: String::new(),
            extras: RetryBudgetOptions::default(),
            cold: (1.0, 0.0),
            instances: 16, // today's fleets have 8 or 9, and 4 to come
            caller_trip: Duration::from_millis(8),
            stop: StopOptions::default(),
        }
    }
}

/// A caller's request that is under way.
pub(crate) struct InFlight(Arc<Tier>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.flights.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A peer's request that is under way.
pub(crate) struct ForPeer(Arc<Tier>);

impl Drop for ForPeer {
    fn drop(&mut self) {
        self.0.gathered.fetch_sub(1, Ordering::Relaxed);
    }
}

/// What is known of a live server: answers, failures, connections.
#[derive(Default)]
pub(crate) struct Live {
    pub(crate) learned: ServerStats,
    pub(crate) conns: Conns,
}

/// What is known of a route.
pub(crate) struct RouteStats {
    pub(crate) times: LatencyHistogram,
    pub(crate) draw: Option<WeightedRoundRobin>,
    pub(crate) longest_wait: Duration,
    pub(crate) limiter: Limiter,
    pub(crate) recent: SlidingWindow,
}

impl Default for RouteStats {
    fn default() -> Self {
        Self {
            times: LatencyHistogram::default(),
            draw: None,
            longest_wait: Duration::ZERO,
            limiter: Limiter::default(),
            recent: SlidingWindow::new(RECENT),
        }
    }
}

/// The shared state of the tier.
pub struct Tier {
    /// Settings.
    pub opts: TierOptions,
    /// Names of services and routes.
    pub names: NameInterner,
    pub(crate) clock: Clock,
    pub(crate) wire: Box<dyn ServerCodec>,
    pub(crate) live: ShardedMap<ServerKey, Live>,
    pub(crate) routes: ShardedMap<RouteKey, RouteStats>,
    pub(crate) extras: ShardedMap<PoolKey, RetryBudget>,
    pub(crate) meters: Metrics,
    domains: Mutex<IndexMap<String, DomainHealth>>,
    picture: Mutex<Topology>,
    view: RwLock<Arc<TopologyView>>,
    instances: AtomicUsize,
    leaving: AtomicBool,
    able: AtomicBool,
    flights: AtomicUsize,
    gathered: AtomicUsize,
    role: Mutex<Role>,
    asked: Mutex<SlidingWindow>,
    pub(crate) lag: Mutex<Lag>,
}

impl Tier {
    /// Builds a tier that knows no routes yet.
    pub fn new(opts: TierOptions, wire: impl ServerCodec) -> Self {
        Self {
            instances: AtomicUsize::new(opts.instances),
            opts,
            names: NameInterner::default(),
            clock: Clock::default(),
            wire: Box::new(wire),
            live: ShardedMap::default(),
            routes: ShardedMap::default(),
            extras: ShardedMap::default(),
            meters: Metrics::default(),
            domains: Mutex::default(),
            picture: Mutex::default(),
            view: RwLock::default(),
            leaving: AtomicBool::new(false),
            able: AtomicBool::new(true),
            flights: AtomicUsize::new(0),
            gathered: AtomicUsize::new(0),
            role: Mutex::default(),
            asked: Mutex::new(SlidingWindow::new(RECENT)),
            lag: Mutex::default(),
        }
    }

    /// Returns the time now.
    pub fn now(&self) -> Tick {
        self.clock.now()
    }

    /// Returns routes and servers as they are now.
    pub fn view(&self) -> Arc<TopologyView> {
        self.view.read().clone()
    }

    /// Returns the number of instances that share limits with this one.
    pub fn instances(&self) -> usize {
        self.instances.load(Ordering::Relaxed)
    }

    /// Returns the connections that this instance may have to a server that takes `limit` of them.
    ///
    /// A server may still count those of this instance's former run, so a young process has half.
    pub(crate) fn connections(&self, limit: u32, now: Tick) -> u32 {
        let young = now.since(Tick::default()) < self.opts.extras.window;
        let share = shares::connection_share(limit, self.instances(), self.role());
        if young { (share / 2).max(1) } else { share }
    }

    /// Returns what this instance does for requests over shards.
    pub(crate) fn role(&self) -> Role {
        *self.role.lock()
    }

    /// Sets what this instance does for requests over shards.
    pub fn set_role(&self, role: Role) {
        let before = std::mem::replace(&mut *self.role.lock(), role);
        if before != role {
            log::info!(before:? = before, now:? = role; "role for requests over shards");
        }
    }

    /// Sets the number of instances that share limits with this one, itself included.
    pub fn set_instances(&self, count: usize) {
        let before = self.instances.swap(count.max(1), Ordering::Relaxed);
        if before != count {
            log::info!(before, now = count; "instances that share limits");
        }
    }

    /// Says whether this instance takes requests: it knows routes, reaches enough servers and is not
    /// leaving.
    pub fn ready(&self) -> bool {
        !self.leaving() && self.able() && self.view.read().route_table.is_some()
    }

    /// Says whether this instance reaches enough servers to answer.
    pub fn able(&self) -> bool {
        self.able.load(Ordering::Relaxed)
    }

    /// Sets whether this instance reaches enough servers; returns what was so before.
    pub(crate) fn set_able(&self, able: bool) -> bool {
        self.able.swap(able, Ordering::Relaxed)
    }

    /// Returns the failure domains that are dark.
    pub(crate) fn dark_domains(&self) -> Vec<String> {
        let domains = self.domains.lock();
        domains.iter().filter(|(_, d)| d.is_unresponsive()).map(|(name, _)| name.clone()).collect()
    }

    /// Says whether this instance is leaving.
    pub fn leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Counts a caller's request as under way until the guard is dropped.
    pub(crate) fn flight(self: &Arc<Self>) -> InFlight {
        self.flights.fetch_add(1, Ordering::Relaxed);
        InFlight(self.clone())
    }

    /// Returns the callers' requests that are under way.
    pub fn flights(&self) -> usize {
        self.flights.load(Ordering::Relaxed)
    }

    /// Counts a peer's request as under way until the guard is dropped.
    pub(crate) fn gathered(self: &Arc<Self>) -> ForPeer {
        self.gathered.fetch_add(1, Ordering::Relaxed);
        ForPeer(self.clone())
    }

    /// Returns the peers' requests that are under way.
    pub(crate) fn gathered_now(&self) -> usize {
        self.gathered.load(Ordering::Relaxed)
    }

    /// Counts a caller's request over shards.
    pub(crate) fn note_gather(&self, now: Tick) {
        self.asked.lock().add(now);
    }

    /// Returns the callers' requests over shards in a second, lately.
    pub(crate) fn gather_rate(&self) -> f64 {
        f64::from(self.asked.lock().count(self.now())) / RECENT.as_secs_f64()
    }

    pub(crate) fn leave(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Runs `f` on what is known of a failure domain, and logs it when that domain goes dark or back.
    pub(crate) fn domain<R>(&self, name: &str, f: impl FnOnce(&mut DomainHealth) -> R) -> R {
        let mut domains = self.domains.lock();
        if !domains.contains_key(name) {
            domains.insert(name.to_owned(), DomainHealth::default());
        }
        let domain = &mut domains[name];
        let before = domain.is_unresponsive();
        let result = f(domain);
        let dark = domain.is_unresponsive();
        drop(domains);
        if before != dark {
            log::info!(domain = name, dark; "failure domain");
        }
        result
    }

    /// Changes the picture; requests see it when `change` says that it did.
    fn change(&self, change: impl FnOnce(&mut Topology, Tick) -> bool) -> bool {
        let mut picture = self.picture.lock();
        let changed = change(&mut picture, self.now());
        if changed {
            let view = Arc::new(picture.view().clone());
            *self.view.write() = view.clone();
            drop(picture);
            self.live.retain(|key| view.server(key).is_some());
        }
        changed
    }

    /// Takes routes in, unless they are not newer.
    pub fn take_table(&self, table: RouteTable) {
        let (version, routes) = (table.version, table.routes.len());
        if self.change(|p, _| p.update_routes(table)) {
            log::info!(version, routes; "routes in force");
        }
    }

    /// Takes in the whole list of servers.
    pub fn take_servers(&self, reports: Vec<ServerReport>) {
        let listed = reports.len();
        let before = self.view();
        if self.change(|p, now| p.replace_servers(reports, now)) {
            log_changes(&before, &self.view(), listed);
        }
    }

    /// Sets the failure domains that are taken out.
    pub fn set_evacuated(&self, domains: IndexSet<String>) {
        let list = domains.iter().map(String::as_str).collect::<Vec<_>>().join(",");
        if self.change(|p, now| p.set_evacuated(domains, now)) {
            log::info!(domains = list.as_str(); "failure domains taken out");
        }
    }

    /// Returns the metrics as text.
    pub fn metrics(&self) -> String {
        self.meters.render()
    }
}

/// Logs which servers came, went or began to leave.
fn log_changes(before: &TopologyView, after: &TopologyView, listed: usize) {
    let name = |(_, s): (ServerKey, &Server)| s.report.id.clone();
    let gone = |(key, _): &(ServerKey, &Server)| after.server(*key).is_none();
    let came = |(key, _): &(ServerKey, &Server)| before.server(*key).is_none();
    let leaves = |(key, s): &(ServerKey, &Server)| {
        s.report.draining && before.server(*key).is_none_or(|b| !b.report.draining)
    };
    let names = |list: Vec<String>| list.join(",");
    let came = names(after.servers().filter(came).map(name).collect());
    let gone = names(before.servers().filter(gone).map(name).collect());
    let leaving = names(after.servers().filter(leaves).map(name).collect());
    log::info!(listed, came = came.as_str(), gone = gone.as_str(), leaving = leaving.as_str(); "servers changed");
}
