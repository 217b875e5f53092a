//! The state of one instance that its listeners and loops share.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use indexmap::IndexMap;
use parking_lot::{Mutex, RwLock};
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::sync::Notify;

use crate::coordination::admission::Gate;
use crate::coordination::budget::Budget;
use crate::coordination::leases::{Lease, Leases, Share};
use crate::coordination::limiter::Limiter;
use crate::coordination::quantile::Quantile;
use crate::coordination::roster_change::Sightings;
use crate::coordination::tickets::{Head, moves_forward};
use crate::protocol::peer::{Hello, PeerClient, Ramped, VERSION};
use crate::protocol::platform::Platform;
use crate::protocol::upstream::{Target, Upstreams};
use crate::state::arena::{FlightKey, ServiceKey, UpstreamKey};
use crate::state::catalog::Catalog;
use crate::state::fleet::Snapshot;
use crate::state::members::Rosters;
use crate::state::news::{Heard, News};
use crate::state::roster::{Bucket, InstanceId, Member};
use crate::state::sharded::{Sharded, ShardedArena};
use crate::state::time::Tick;
use crate::transport::clock::Clock;
use crate::transport::faults::Faults;
use crate::transport::links::{Link, Links};
use crate::transport::metrics::Metrics;
use crate::transport::settings::{Mode, Settings};
use crate::transport::steward::Waiter;

/// Time for which the ramp of a handed over upstream may be resumed.
const RESUME: Duration = Duration::from_secs(5);

/// Phase of the instance's life, for probes and dumps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    Starting,
    Serving,
    Leaving,
}

/// Who owns the bucket that an upstream is in.
#[derive(Clone, Debug)]
pub(crate) struct Owner {
    pub(crate) bucket: Bucket,
    pub(crate) member: Member,
}

impl Owner {
    /// Returns the bucket with its failure domain.
    pub(crate) fn place(&self) -> (String, Bucket) {
        (self.member.domain.clone(), self.bucket)
    }
}

/// What this instance has learnt of a service.
#[derive(Default)]
pub(crate) struct ServiceStats {
    pub(crate) budget: Budget,
    pub(crate) limiter: Limiter,
    pub(crate) times: Quantile,
    pub(crate) chosen: Option<(u64, Snapshot)>,
    pub(crate) asked_news: Option<Tick>,
}

/// A caller's request in flight.
pub(crate) struct Flight;

/// The state of one instance.
pub(crate) struct Node {
    pub(crate) cfg: Settings,
    pub(crate) me: Member,
    pub(crate) clock: Clock,
    pub(crate) platform: Arc<dyn Platform>,
    pub(crate) upstreams: Arc<dyn Upstreams>,
    pub(crate) phase: RwLock<Phase>,
    head: Mutex<Head>,
    catalog: RwLock<Arc<Catalog>>,
    rosters: Mutex<Rosters>,
    owners: RwLock<Arc<IndexMap<UpstreamKey, Owner>>>,
    pub(crate) leases: Mutex<Leases>,
    pub(crate) gates: Sharded<UpstreamKey, Gate<Waiter>>,
    pub(crate) news: Sharded<UpstreamKey, Heard>,
    pub(crate) held_epoch: AtomicU64,
    pub(crate) stats: Sharded<ServiceKey, ServiceStats>,
    pub(crate) ramps: Mutex<IndexMap<String, (Ramped, Tick)>>,
    pub(crate) holders: Mutex<IndexMap<(String, Bucket), InstanceId>>,
    pub(crate) seen: Mutex<Sightings>,
    pub(crate) waiting: Mutex<IndexMap<InstanceId, (Member, Tick)>>,
    pub(crate) listed: Mutex<Vec<Member>>,
    pub(crate) platform_ok: Mutex<Option<Tick>>,
    pub(crate) links: Links,
    pub(crate) flights: ShardedArena<FlightKey, Flight>,
    pub(crate) metrics: Metrics,
    pub(crate) faults: Faults,
    pub(crate) head_changed: Notify,
    next: AtomicU64,
}

impl Node {
    pub(crate) fn new(
        cfg: Settings,
        me: Member,
        platform: Arc<dyn Platform>,
        upstreams: Arc<dyn Upstreams>,
    ) -> Self {
        let clock = Clock::default();
        let leases = Leases::new(me.id.clone(), cfg.lease, clock.now());
        Self {
            clock,
            platform,
            upstreams,
            phase: RwLock::new(Phase::Starting),
            head: Mutex::default(),
            catalog: RwLock::default(),
            rosters: Mutex::default(),
            owners: RwLock::default(),
            leases: Mutex::new(leases),
            gates: Sharded::default(),
            news: Sharded::default(),
            held_epoch: AtomicU64::new(0),
            stats: Sharded::default(),
            ramps: Mutex::default(),
            holders: Mutex::default(),
            seen: Mutex::default(),
            waiting: Mutex::default(),
            listed: Mutex::default(),
            platform_ok: Mutex::default(),
            links: Links::default(),
            flights: ShardedArena::default(),
            metrics: Metrics::default(),
            faults: Faults::default(),
            head_changed: Notify::new(),
            next: AtomicU64::new(rand::random::<u64>() >> 1),
            cfg,
            me,
        }
    }

    pub(crate) fn now(&self) -> Tick {
        self.clock.now()
    }

    /// Returns a number that no other request has.
    pub(crate) fn fresh(&self) -> u64 {
        self.next.fetch_add(1, Ordering::Relaxed)
    }

    pub(crate) fn rng(&self) -> StdRng {
        StdRng::seed_from_u64(rand::random())
    }

    pub(crate) fn catalog(&self) -> Arc<Catalog> {
        self.catalog.read().clone()
    }

    pub(crate) fn head(&self) -> Head {
        self.head.lock().clone()
    }

    /// Puts a configuration in force if it is newer; says whether it was.
    pub(crate) fn adopt(&self, next: Head) -> bool {
        let version = next.fleet.version;
        {
            let mut head = self.head.lock();
            if !moves_forward(&head.fleet, &next.fleet) {
                return false;
            }
            let catalog = Catalog::compile(next.fleet.clone(), &self.catalog());
            *head = next;
            let mut place = self.catalog.write();
            assert!(place.version() < catalog.version(), "the configuration went back");
            *place = Arc::new(catalog);
        }
        self.metrics.config_version.set(version as i64);
        self.refresh_owners();
        self.configure_gates();
        let mut phase = self.phase.write();
        if *phase == Phase::Starting {
            *phase = Phase::Serving;
        }
        log::info!("configuration {version} in force");
        self.head_changed.notify_waiters();
        true
    }

    fn configure_gates(&self) {
        let catalog = self.catalog();
        self.gates.for_each(|key, gate| match catalog.upstream(key) {
            Some(up) => gate.configure(self.bear(up.bear), up.open),
            None => gate.configure(self.bear(Default::default()), false),
        });
    }

    /// Returns what an upstream bears from this instance, in the mode that it runs in.
    pub(crate) fn bear(&self, mut bear: crate::state::fleet::Bear) -> crate::state::fleet::Bear {
        if self.cfg.mode == Mode::Baseline {
            bear.slots = (bear.slots / self.cfg.baseline_instances).max(1);
        }
        if self.cfg.mode == Mode::Baseline || !self.cfg.ramp {
            bear.cold_rate = bear.warm_rate;
        }
        bear
    }

    pub(crate) fn rosters(&self) -> Rosters {
        self.rosters.lock().clone()
    }

    /// Takes rosters in; owners and leases follow.
    pub(crate) fn take_rosters(&self, rosters: &Rosters) {
        let changed = {
            let mut mine = self.rosters.lock();
            rosters.0.iter().fold(false, |any, (domain, r)| mine.take(domain, r) | any)
        };
        if changed {
            let roster = self.rosters.lock().get(&self.cfg.domain).cloned().unwrap_or_default();
            self.leases.lock().set_roster(roster, self.now());
            self.refresh_owners();
        }
    }

    fn refresh_owners(&self) {
        let (catalog, rosters) = (self.catalog(), self.rosters());
        let owner = |(key, up): (UpstreamKey, &crate::state::catalog::UpstreamEntry)| {
            let roster = rosters.get(&up.domain)?;
            let bucket = Bucket::of(&up.name);
            let member = roster.owners(bucket).first()?.member.clone();
            Some((key, Owner { bucket, member }))
        };
        let owners = catalog.upstreams().filter_map(owner).collect();
        *self.owners.write() = Arc::new(owners);
    }

    pub(crate) fn owner(&self, key: UpstreamKey) -> Option<Owner> {
        self.owners.read().get(&key).cloned()
    }

    pub(crate) fn owners(&self) -> Arc<IndexMap<UpstreamKey, Owner>> {
        self.owners.read().clone()
    }

    /// Returns what this instance may do for an upstream now.
    pub(crate) fn lease(&self, key: UpstreamKey) -> Lease {
        let now = self.now();
        if self.cfg.mode == Mode::Baseline {
            return Lease {
                share: Share::All,
                until: now + Duration::from_secs(3_600),
                since: Tick(1),
            };
        }
        let owners = self.owners.read();
        owners
            .get(&key)
            .filter(|o| o.member.domain == self.cfg.domain)
            .map(|o| self.leases.lock().lease(o.bucket, now))
            .unwrap_or_default()
    }

    /// Brings a gate in line with the lease; a ramp that was handed over goes on.
    pub(crate) fn align(&self, gate: &mut Gate<Waiter>, name: &str, lease: Lease, now: Tick) {
        if !gate.set_lease(lease, now) {
            return;
        }
        let handed = self.ramps.lock().shift_remove(name);
        if let Some((ramp, at)) = handed
            && now.since(at) < RESUME
        {
            gate.resume(ramp.answered, ramp.boot, now);
        }
    }

    pub(crate) fn target(&self, key: UpstreamKey) -> Option<Target> {
        let catalog = self.catalog();
        let up = catalog.upstream(key)?;
        Some(Target { key, addr: up.addr, connections: up.bear.connections })
    }

    /// Takes in news of an upstream from its steward.
    pub(crate) fn hear(&self, key: UpstreamKey, news: News) {
        let now = self.now();
        let changed = self.news.with_or(key, Heard::default, |heard| {
            let changed = heard.news.held != news.held;
            heard.news = news;
            heard.at = now;
            changed
        });
        if changed {
            self.held_epoch.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn hello(&self) -> Hello {
        Hello {
            deployment: self.cfg.deployment.clone(),
            version: VERSION,
            from: self.me.id.clone(),
            domain: self.cfg.domain.clone(),
        }
    }

    /// Returns the link to a peer.
    pub(crate) async fn link(&self, addr: SocketAddr) -> anyhow::Result<Arc<Link>> {
        if self.faults.cuts_peer(addr) {
            anyhow::bail!("peer {addr} is cut off");
        }
        self.links.get(addr, &self.hello()).await
    }

    /// Returns a client for control calls to a peer.
    pub(crate) async fn peer(&self, addr: SocketAddr) -> Option<PeerClient> {
        Some(self.link(addr).await.ok()?.client.clone())
    }

    /// Sleeps as long as a message to `domain` takes, in measurements.
    pub(crate) async fn travel(&self, domain: &str) {
        if domain != self.cfg.domain && !self.cfg.peer_delay.is_zero() {
            tokio::time::sleep(self.cfg.peer_delay).await;
        }
    }

    /// Notes whether the platform answered.
    pub(crate) fn note_platform(&self, ok: bool) {
        let mut last = self.platform_ok.lock();
        if ok != last.is_some() {
            log::info!("platform {}", if ok { "answers" } else { "is away" });
        }
        *last = ok.then(|| self.now());
    }
}
