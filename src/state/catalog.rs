//! A configuration compiled into arenas, so that a query works with small keys.

use std::net::SocketAddr;

use indexmap::IndexMap;

use crate::state::arena::{Arena, Key, ServiceKey, UpstreamKey};
use crate::state::fleet::{Bear, Fleet, Policy, Service, Snapshot};

/// An upstream in a catalog.
#[derive(Clone, Debug)]
pub struct UpstreamEntry {
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its failure domain.
    pub domain: String,
    /// What it bears.
    pub bear: Bear,
    /// New work may go there, as far as the configuration says.
    pub open: bool,
}

/// A shard with the keys of its replicas.
#[derive(Clone, Debug)]
pub struct ShardEntry {
    /// Its name.
    pub name: String,
    /// Its replicas.
    pub replicas: Vec<UpstreamKey>,
}

/// A shard map with keys.
#[derive(Clone, Debug)]
pub struct MapEntry {
    /// First snapshot that the map belongs to.
    pub from: Snapshot,
    /// Its shards.
    pub shards: Vec<ShardEntry>,
}

/// A service with keys.
#[derive(Clone, Debug)]
pub struct ServiceEntry {
    /// Its name.
    pub name: String,
    /// The policy of its answers.
    pub policy: Policy,
    /// Its shard maps, oldest first.
    pub maps: Vec<MapEntry>,
}

impl ServiceEntry {
    /// Returns the map that belongs to `snapshot`.
    pub fn map_of(&self, snapshot: Snapshot) -> Option<&MapEntry> {
        self.maps.iter().rev().find(|m| m.from <= snapshot)
    }
}

/// Keys by name; names never leave, so that a key keeps its meaning across versions.
#[derive(Clone)]
struct Names<K>(Arena<K, String>, IndexMap<String, K>);

impl<K: Key> Default for Names<K> {
    fn default() -> Self {
        Self(Arena::default(), IndexMap::new())
    }
}

impl<K: Key> Names<K> {
    fn key(&mut self, name: &str) -> K {
        if let Some(key) = self.get(name) {
            return key;
        }
        let key = self.0.insert(name.to_owned());
        self.1.insert(name.to_owned(), key);
        key
    }

    fn get(&self, name: &str) -> Option<K> {
        self.1.get(name).copied()
    }
}

/// A configuration in force, compiled; queries hold on to the one that they began with.
#[derive(Default)]
pub struct Catalog {
    /// The configuration.
    pub fleet: Fleet,
    services: IndexMap<ServiceKey, ServiceEntry>,
    upstreams: IndexMap<UpstreamKey, UpstreamEntry>,
    service_names: Names<ServiceKey>,
    upstream_names: Names<UpstreamKey>,
}

impl Catalog {
    /// Compiles a configuration; upstreams keep the keys that `prev` gave them.
    pub fn compile(fleet: Fleet, prev: &Catalog) -> Self {
        let mut catalog = Catalog {
            service_names: prev.service_names.clone(),
            upstream_names: prev.upstream_names.clone(),
            ..Default::default()
        };
        for (name, item) in fleet.upstreams.iter() {
            let up = &item.value;
            let out = fleet.domains.get(&up.domain).is_some_and(|d| d.value.out);
            let bear = fleet.services.get(&up.service).map(|s| s.value.bear).unwrap_or_default();
            let entry = UpstreamEntry {
                name: name.clone(),
                addr: up.addr,
                domain: up.domain.clone(),
                bear,
                open: !up.leaving && !out,
            };
            catalog.upstreams.insert(catalog.upstream_names.key(name), entry);
        }
        for (name, item) in fleet.services.iter() {
            let entry = catalog.service_entry(name, &item.value);
            catalog.services.insert(catalog.service_names.key(name), entry);
        }
        catalog.fleet = fleet;
        catalog
    }

    fn service_entry(&self, name: &str, service: &Service) -> ServiceEntry {
        let map = |m: &crate::state::fleet::ShardMap| MapEntry {
            from: m.from,
            shards: m.shards.iter().map(|(name, ups)| self.shard_entry(name, ups)).collect(),
        };
        ServiceEntry {
            name: name.into(),
            policy: service.policy,
            maps: service.maps.iter().map(map).collect(),
        }
    }

    fn shard_entry(&self, name: &str, upstreams: &[String]) -> ShardEntry {
        let replicas = upstreams.iter().filter_map(|u| self.upstream_names.get(u)).collect();
        ShardEntry { name: name.into(), replicas }
    }

    /// Returns the version of the configuration.
    pub fn version(&self) -> u64 {
        self.fleet.version
    }

    /// Finds a service by name.
    pub fn service(&self, name: &str) -> Option<(ServiceKey, &ServiceEntry)> {
        let key = self.service_names.get(name)?;
        Some((key, self.services.get(&key)?))
    }

    /// Returns an upstream.
    pub fn upstream(&self, key: UpstreamKey) -> Option<&UpstreamEntry> {
        self.upstreams.get(&key)
    }

    /// Finds an upstream by name.
    pub fn upstream_key(&self, name: &str) -> Option<UpstreamKey> {
        self.upstream_names.get(name)
    }

    /// Walks over all upstreams.
    pub fn upstreams(&self) -> impl Iterator<Item = (UpstreamKey, &UpstreamEntry)> {
        self.upstreams.iter().map(|(k, u)| (*k, u))
    }
}
