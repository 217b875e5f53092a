//! The state of one instance with the product's own interface, which its listeners and loops share.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use bytes::Bytes;
use indexmap::{IndexMap, IndexSet};
use parking_lot::{Mutex, RwLock};

use crate::coordination::tickets::{Head, is_newer};
use crate::protocol::platform::Platform;
use crate::protocol::upstream::UpstreamWire;
use crate::state::arena::RouteKey;
use crate::state::catalog::Catalog;
use crate::state::docs::Doc;
use crate::state::members::Member;
use crate::state::sharded_map::ShardedMap;
use crate::state::time::Tick;
use crate::transport::peers::{PeerOptions, Peers};
use crate::transport::settings::Settings;
use crate::transport::upstreams::tier::{Tier, TierOptions};

/// Topic of the configuration among the documents that instances pass on.
pub(crate) const CONFIG: &str = "config";
/// Members of each other failure domain that an accepted configuration is pushed to.
const PUSH_FAR: usize = 2;

/// Everything that an instance's tasks share.
pub(crate) struct Node {
    pub(crate) cfg: Settings,
    pub(crate) me: Member,
    pub(crate) tier: Arc<Tier>,
    pub(crate) platform: Arc<dyn Platform>,
    pub(crate) peers: Arc<Peers>,
    config: Arc<Config>,
    /// When upstreams of a service were last asked for their snapshots.
    pub(crate) asked: ShardedMap<RouteKey, Tick>,
    platform_ok: Mutex<Option<Tick>>,
    next: AtomicU64,
}

/// The configuration in force.
struct Config {
    tier: Arc<Tier>,
    head: Mutex<Head>,
    catalog: RwLock<Arc<Catalog>>,
}

impl Config {
    /// Takes a configuration in, unless it is not newer; says whether it did.
    fn adopt(&self, next: Head) -> bool {
        let mut head = self.head.lock();
        if !is_newer(&head.fleet, &next.fleet) {
            return false;
        }
        let prev = self.catalog.read().clone();
        let catalog = Catalog::compile(next.fleet.clone(), &prev, &self.tier.names);
        assert!(prev.version() < catalog.version(), "the configuration went back");
        let table = catalog.route_table(&self.tier.names);
        let reports = catalog.server_reports(&prev.fleet, &self.tier.names);
        let out: IndexSet<String> = next
            .fleet
            .domains
            .iter()
            .filter(|(_, d)| d.value.evacuated)
            .map(|(name, _)| name.clone())
            .collect();
        *head = next;
        *self.catalog.write() = Arc::new(catalog);
        self.tier.take_servers(reports);
        self.tier.set_evacuated(out);
        self.tier.take_table(table);
        true
    }

    fn take(&self, topic: &str, doc: &Doc) {
        if topic != CONFIG {
            return;
        }
        let Some(text) = doc.entries.get(CONFIG) else {
            log::error!("document {} without a configuration", doc.version);
            return;
        };
        match serde_json::from_slice(text) {
            Ok(head) => {
                self.adopt(head);
            }
            Err(e) => log::error!("configuration {} can not be read: {e}", doc.version),
        }
    }
}

impl Node {
    pub(crate) fn new(cfg: Settings, me: Member, platform: Arc<dyn Platform>) -> Self {
        let opts = TierOptions {
            domain: cfg.domain.clone(),
            stop: cfg.stop,
            cold: (1.0, 0.0),
            ..Default::default()
        };
        let tier = Arc::new(Tier::new(opts, UpstreamWire));
        let config =
            Config { tier: tier.clone(), head: Mutex::default(), catalog: RwLock::default() };
        let config = Arc::new(config);
        let opts = PeerOptions {
            deployment: cfg.deployment.clone(),
            me: me.clone(),
            seeds: cfg.seeds.clone(),
            remote_push_fanout: PUSH_FAR,
        };
        let taker = config.clone();
        let peers = Peers::new(opts, Box::new(move |topic, doc| taker.take(topic, &doc)));
        Self {
            tier,
            platform,
            peers: Arc::new(peers),
            config,
            asked: ShardedMap::default(),
            platform_ok: Mutex::default(),
            next: AtomicU64::new(rand::random::<u64>() >> 1),
            cfg,
            me,
        }
    }

    pub(crate) fn now(&self) -> Tick {
        self.tier.now()
    }

    /// Returns a number that no other request or token has.
    pub(crate) fn fresh(&self) -> u64 {
        self.next.fetch_add(1, Ordering::Relaxed)
    }

    pub(crate) fn catalog(&self) -> Arc<Catalog> {
        self.config.catalog.read().clone()
    }

    /// Takes in a configuration from the platform and passes it on to peers.
    pub(crate) fn publish(&self, head: &Head) {
        match serde_json::to_vec(head) {
            Ok(text) => {
                let entries = IndexMap::from([(CONFIG.to_owned(), Bytes::from(text))]);
                let doc = Doc { version: head.fleet.version, entries };
                self.peers.publish(CONFIG, doc);
            }
            Err(e) => log::error!("configuration {}: {e}", head.fleet.version),
        }
    }

    /// Notes whether the platform answered.
    pub(crate) fn note_platform(&self, ok: bool) {
        self.peers.set_can_watch(ok);
        let mut last = self.platform_ok.lock();
        if ok != last.is_some() {
            log::info!("platform {}", if ok { "answers" } else { "is away" });
        }
        *last = ok.then(|| self.now());
    }

    pub(crate) fn platform_answers(&self) -> bool {
        self.platform_ok.lock().is_some()
    }
}
