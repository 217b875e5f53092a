//! The state of a `tamarackd` instance that its listeners and background tasks share.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use anyhow::Result;
use bytes::Bytes;
use indexmap::{IndexMap, IndexSet};
use parking_lot::{Mutex, RwLock};

use crate::coordination::caller_budget::Machine;
use crate::coordination::once::{Expected, RecentClaims, WriteOutcome};
use crate::coordination::tickets::{Head, is_newer};
use crate::protocol::platform::{HEAD_KEY, Platform, encode_head};
use crate::protocol::upstream::UpstreamCodec;
use crate::state::arena::RouteKey;
use crate::state::catalog::Catalog;
use crate::state::docs::Doc;
use crate::state::members::Member;
use crate::state::sharded_map::ShardedMap;
use crate::state::time::Tick;
use crate::transport::peers::{PeerOptions, Peers};
use crate::transport::settings::Settings;
use crate::transport::upstreams::tier::{Tier, TierOptions};

/// Topic of the configuration document that instances replicate to each other.
pub(crate) const CONFIG_TOPIC: &str = "config";
/// Number of members of each other failure domain to which a new configuration is pushed.
const PUSH_MEMBERS_PER_DOMAIN: usize = 2;

/// The state that the tasks of an instance share.
pub(crate) struct Node {
    pub(crate) cfg: Settings,
    pub(crate) me: Member,
    pub(crate) tier: Arc<Tier>,
    pub(crate) platform: Arc<dyn Platform>,
    pub(crate) peers: Arc<Peers>,
    config: Arc<ConfigState>,
    /// Time of the last request to the upstreams of a service for the snapshots they hold.
    pub(crate) snapshots_requested_at: ShardedMap<RouteKey, Tick>,
    platform_answered_at: Mutex<Option<Tick>>,
    /// The claims on idempotency keys that this instance made, for a platform that loses them.
    pub(crate) recent_claims: Mutex<RecentClaims>,
    next_id: AtomicU64,
}

/// The configuration in force.
struct ConfigState {
    tier: Arc<Tier>,
    head: Mutex<Head>,
    catalog: RwLock<Arc<Catalog>>,
}

impl ConfigState {
    /// Applies a configuration if it is newer than the current one; returns whether it did.
    fn apply(&self, next: Head) -> bool {
        let mut head = self.head.lock();
        if !is_newer(&head.fleet, &next.fleet) {
            return false;
        }
        let prev = self.catalog.read().clone();
        let catalog = Catalog::compile(next.fleet.clone(), &prev, &self.tier.names);
        assert!(prev.version() < catalog.version(), "the configuration version must increase");
        let routes = catalog.route_table(&self.tier.names);
        let reports = catalog.server_reports(&prev.fleet, &self.tier.names);
        let evacuated: IndexSet<String> = next
            .fleet
            .domains
            .iter()
            .filter(|(_, d)| d.value.evacuated)
            .map(|(name, _)| name.clone())
            .collect();
        *head = next;
        *self.catalog.write() = Arc::new(catalog);
        self.tier.replace_servers(reports);
        self.tier.set_evacuated(evacuated);
        self.tier.update_routes(routes);
        true
    }

    fn apply_document(&self, topic: &str, doc: &Doc) {
        if topic != CONFIG_TOPIC {
            return;
        }
        let Some(text) = doc.entries.get(CONFIG_TOPIC) else {
            log::error!("configuration document {} has no configuration", doc.version);
            return;
        };
        match serde_json::from_slice(text) {
            Ok(head) => {
                self.apply(head);
            }
            Err(e) => log::error!("cannot decode configuration {}: {e}", doc.version),
        }
    }
}

impl Node {
    pub(crate) fn new(cfg: Settings, me: Member, platform: Arc<dyn Platform>) -> Self {
        let opts = TierOptions {
            domain: cfg.domain.clone(),
            stop: cfg.stop,
            cold_rate: (1.0, 0.0),
            ..TierOptions::for_machine(Machine::from_settings(cfg.memory_mb, cfg.max_fds))
        };
        let tier = Arc::new(Tier::new(opts, UpstreamCodec));
        let config =
            ConfigState { tier: tier.clone(), head: Mutex::default(), catalog: RwLock::default() };
        let config = Arc::new(config);
        let opts = PeerOptions {
            deployment: cfg.deployment.clone(),
            me: me.clone(),
            seeds: cfg.seed_peers.clone(),
            remote_push_fanout: PUSH_MEMBERS_PER_DOMAIN,
        };
        let receiver = config.clone();
        let peers =
            Peers::new(opts, Box::new(move |topic, doc| receiver.apply_document(topic, &doc)));
        Self {
            tier,
            platform,
            peers: Arc::new(peers),
            config,
            snapshots_requested_at: ShardedMap::default(),
            platform_answered_at: Mutex::default(),
            recent_claims: Mutex::default(),
            next_id: AtomicU64::new(rand::random::<u64>() >> 1),
            cfg,
            me,
        }
    }

    pub(crate) fn now(&self) -> Tick {
        self.tier.now()
    }

    /// Returns an identifier that no other request or token of this process has.
    pub(crate) fn next_id(&self) -> u64 {
        self.next_id.fetch_add(1, Ordering::Relaxed)
    }

    pub(crate) fn catalog(&self) -> Arc<Catalog> {
        self.config.catalog.read().clone()
    }

    /// Publishes a configuration from the platform to this instance and its peers.
    pub(crate) fn publish(&self, head: &Head) {
        match serde_json::to_vec(head) {
            Ok(text) => {
                let entries = IndexMap::from([(CONFIG_TOPIC.to_owned(), Bytes::from(text))]);
                let doc = Doc { version: head.fleet.version, entries };
                self.peers.publish(CONFIG_TOPIC, doc);
            }
            Err(e) => log::error!("cannot encode configuration {}: {e}", head.fleet.version),
        }
    }

    /// Returns the configuration in force if the platform has lost it, that is, holds the older one `found`.
    pub(crate) fn lost_head(&self, found: &Head) -> Option<Head> {
        let in_force = self.config.head.lock();
        is_newer(&found.fleet, &in_force.fleet).then(|| in_force.clone())
    }

    /// Writes the configuration in force again to a platform that came back without it.
    ///
    /// Returns the new version of the head object, or `None` if the object was changed meanwhile or the reply was lost.
    pub(crate) async fn write_lost_head(&self, lost: &Head, version: u64) -> Result<Option<u64>> {
        log::warn!(version = lost.fleet.version; "the platform has lost the configuration in force; writing it again");
        self.tier.metrics.platform_calls.with_label_values(&["head"]).inc();
        let expected = Expected::version(version);
        let (outcome, version) = self.platform.put(HEAD_KEY, encode_head(lost)?, expected).await?;
        Ok((outcome == WriteOutcome::Applied).then_some(version))
    }

    /// Records whether the last call to the platform succeeded.
    pub(crate) fn record_platform_result(&self, ok: bool) {
        self.peers.set_can_watch(ok);
        let mut last = self.platform_answered_at.lock();
        if ok != last.is_some() {
            log::info!("platform {}", if ok { "answers" } else { "does not answer" });
        }
        *last = ok.then(|| self.now());
    }

    pub(crate) fn is_platform_reachable(&self) -> bool {
        self.platform_answered_at.lock().is_some()
    }
}
