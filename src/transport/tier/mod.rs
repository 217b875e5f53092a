//! The tier that sends directly: the state that all requests of an instance share.

pub(crate) mod conns;
pub(crate) mod front;
pub(crate) mod meters;
pub(crate) mod scene;
pub(crate) mod send;
pub(crate) mod serve;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use parking_lot::{Mutex, RwLock};

use crate::coordination::darkness::Darkness;
use crate::coordination::extras::{ExtraOptions, Extras};
use crate::coordination::learned::Learned;
use crate::coordination::quantile::Quantile;
use crate::coordination::shares;
use crate::coordination::split::Draw;
use crate::protocol::wire::Wire;
use crate::state::arena::{PoolKey, RouteKey, ServerKey};
use crate::state::names::Names;
use crate::state::picture::{Picture, ServerReport, View};
use crate::state::routes::RouteTable;
use crate::state::sharded::Sharded;
use crate::state::time::Tick;
use crate::transport::clock::Clock;
use crate::transport::tier::conns::Conns;
use crate::transport::tier::meters::Meters;

/// Settings of the tier.
#[derive(Clone, Debug)]
pub struct TierOptions {
    /// The failure domain of this instance.
    pub domain: String,
    /// The budget of extra arrivals that all instances share.
    pub extras: ExtraOptions,
    /// Factor on the rate that a cold server bears, and requests a second beyond it.
    pub cold: (f64, f64),
    /// Instances that count before their number is known.
    pub instances: usize,
    /// Time that an answer takes back to the caller, and a request took to come.
    pub caller_trip: Duration,
    /// Times of a planned stop.
    pub stop: front::FrontStop,
}

impl Default for TierOptions {
    fn default() -> Self {
        Self {
            domain: String::new(),
            extras: ExtraOptions::default(),
            cold: (1.0, 0.0),
            instances: 16, // today's fleets have 8 or 9, and 4 to come
            caller_trip: Duration::from_millis(8),
            stop: front::FrontStop::default(),
        }
    }
}

/// What is known of a live server: answers, failures, connections.
#[derive(Default)]
pub(crate) struct Live {
    pub(crate) learned: Learned,
    pub(crate) conns: Conns,
}

/// What is known of a route.
#[derive(Default)]
pub(crate) struct RouteStats {
    pub(crate) times: Quantile,
    pub(crate) draw: Option<Draw>,
    pub(crate) longest_wait: Duration,
}

/// The shared state of the tier.
pub struct Tier {
    /// Settings.
    pub opts: TierOptions,
    /// Names of services and routes.
    pub names: Names,
    pub(crate) clock: Clock,
    pub(crate) wire: Box<dyn Wire>,
    pub(crate) live: Sharded<ServerKey, Live>,
    pub(crate) routes: Sharded<RouteKey, RouteStats>,
    pub(crate) extras: Sharded<PoolKey, Extras>,
    pub(crate) meters: Meters,
    domains: Mutex<IndexMap<String, Darkness>>,
    picture: Mutex<Picture>,
    view: RwLock<Arc<View>>,
    instances: AtomicUsize,
    leaving: AtomicBool,
}

impl Tier {
    /// Builds a tier that knows no routes yet.
    pub fn new(opts: TierOptions, wire: impl Wire) -> Self {
        Self {
            instances: AtomicUsize::new(opts.instances),
            opts,
            names: Names::default(),
            clock: Clock::default(),
            wire: Box::new(wire),
            live: Sharded::default(),
            routes: Sharded::default(),
            extras: Sharded::default(),
            meters: Meters::default(),
            domains: Mutex::default(),
            picture: Mutex::default(),
            view: RwLock::default(),
            leaving: AtomicBool::new(false),
        }
    }

    /// Returns the time now.
    pub fn now(&self) -> Tick {
        self.clock.now()
    }

    /// Returns routes and servers as they are now.
    pub fn view(&self) -> Arc<View> {
        self.view.read().clone()
    }

    /// Returns the number of instances that share limits with this one.
    pub fn instances(&self) -> usize {
        self.instances.load(Ordering::Relaxed)
    }

    /// Returns the connections that this instance may have to a server that takes `limit` of them.
    ///
    /// A server may still count those of this instance's former run, so a young process has one.
    pub(crate) fn connections(&self, limit: u32, now: Tick) -> u32 {
        let young = now.since(Tick::default()) < self.opts.extras.span;
        if young { 1 } else { shares::connections(limit, self.instances()) }
    }

    /// Sets the number of instances that share limits with this one, itself included.
    pub fn set_instances(&self, count: usize) {
        let before = self.instances.swap(count.max(1), Ordering::Relaxed);
        if before != count {
            log::info!(before, now = count; "instances that share limits");
        }
    }

    /// Says whether this instance takes requests: it knows routes and is not leaving.
    pub fn ready(&self) -> bool {
        !self.leaving() && self.view.read().table.is_some()
    }

    /// Says whether this instance is leaving.
    pub fn leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    pub(crate) fn leave(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Runs `f` on what is known of a failure domain, and logs it when that domain goes dark or back.
    pub(crate) fn domain<R>(&self, name: &str, f: impl FnOnce(&mut Darkness) -> R) -> R {
        let mut domains = self.domains.lock();
        if !domains.contains_key(name) {
            domains.insert(name.to_owned(), Darkness::default());
        }
        let domain = &mut domains[name];
        let before = domain.dark();
        let result = f(domain);
        let dark = domain.dark();
        drop(domains);
        if before != dark {
            log::info!(domain = name, dark; "failure domain");
        }
        result
    }

    /// Changes the picture; requests see it when `change` says that it did.
    fn change(&self, change: impl FnOnce(&mut Picture, Tick) -> bool) -> bool {
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
        if self.change(|p, _| p.take_table(table)) {
            log::info!(version, routes; "routes in force");
        }
    }

    /// Takes in what a server says of itself.
    pub fn take_server(&self, report: ServerReport) {
        let (id, draining) = (report.id.clone(), report.draining);
        if self.change(|p, now| p.take_server(report, now)) {
            log::info!(server = id.as_str(), draining; "server changed");
        }
    }

    /// Takes in that a server's entry is gone.
    pub fn server_gone(&self, id: &str) {
        if self.change(|p, now| p.server_gone(id, now)) {
            log::info!(server = id; "server gone");
        }
    }

    /// Takes in the whole list of servers.
    pub fn take_servers(&self, reports: Vec<ServerReport>) {
        let listed = reports.len();
        if self.change(|p, now| p.take_servers(reports, now)) {
            log::info!(listed; "servers listed");
        }
    }

    /// Sets the failure domains that are taken out.
    pub fn set_evacuated(&self, domains: IndexSet<String>) {
        let list = domains.iter().map(String::as_str).collect::<Vec<_>>().join(",");
        if self.change(|p, now| p.set_evacuated(domains, now)) {
            log::info!(domains = list.as_str(); "failure domains taken out");
        }
    }

    /// Notes that the platform answers again.
    pub fn platform_back(&self) {
        self.picture.lock().platform_back(self.now());
    }

    /// Gives up servers whose entries lapsed and did not come back; to be called now and then.
    pub fn give_up_lapsed(&self) {
        let mut gone = 0;
        self.change(|p, now| {
            gone = p.give_up_lapsed(now);
            gone > 0
        });
        if gone > 0 {
            log::info!(servers = gone; "servers not back after the platform's return");
        }
    }

    /// Returns the metrics as text.
    pub fn metrics(&self) -> String {
        self.meters.text()
    }
}
