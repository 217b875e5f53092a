//! A configuration compiled into arenas, so that queries use small keys instead of names.

use std::time::Duration;

use indexmap::IndexMap;

use crate::state::arena::{Arena, Key, PoolKey, RouteKey, ServiceKey, UpstreamKey};
use crate::state::fleet::{Capacity, FleetConfig, Policy, Service, ShardMap, Snapshot};
use crate::state::name_interner::NameInterner;
use crate::state::routes::{PoolLimits, RouteTable};
use crate::state::topology::ServerReport;

/// A compiled shard with its replicas.
#[derive(Clone, Debug)]
pub struct ShardEntry {
    /// Shard name.
    pub name: String,
    /// Key of the server pool that its replicas form.
    pub pool: PoolKey,
    /// Upstreams that hold a replica.
    pub replicas: Vec<UpstreamKey>,
}

/// A compiled shard map.
#[derive(Clone, Debug)]
pub struct ShardMapEntry {
    /// First snapshot that the map applies to.
    pub from: Snapshot,
    /// Shards in configuration order.
    pub shards: Vec<ShardEntry>,
}

/// A compiled service.
#[derive(Clone, Debug)]
pub struct ServiceEntry {
    /// Service name.
    pub name: String,
    /// Key of the route under which response times are recorded.
    pub route: RouteKey,
    /// Response policy.
    pub policy: Policy,
    /// Shard maps, oldest first.
    pub maps: Vec<ShardMapEntry>,
}

impl ServiceEntry {
    /// Returns the shard map that applies to a snapshot.
    pub fn shard_map(&self, snapshot: Snapshot) -> Option<&ShardMapEntry> {
        self.maps.iter().rev().find(|m| m.from <= snapshot)
    }
}

#[derive(Clone)]
struct ArenaInterner<K>(Arena<K, String>, IndexMap<String, K>);

impl<K: Key> Default for ArenaInterner<K> {
    fn default() -> Self {
        Self(Arena::default(), IndexMap::new())
    }
}

impl<K: Key> ArenaInterner<K> {
    fn intern(&mut self, name: &str) -> K {
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

/// A configuration compiled to keys.
#[derive(Default)]
pub struct Catalog {
    /// Configuration that the catalog was compiled from.
    pub fleet: FleetConfig,
    services: IndexMap<ServiceKey, ServiceEntry>,
    service_names: ArenaInterner<ServiceKey>,
    upstream_names: ArenaInterner<UpstreamKey>,
}

impl Catalog {
    /// Compiles a configuration; names keep the keys that they have in `previous`.
    pub fn compile(fleet: FleetConfig, previous: &Catalog, names: &NameInterner) -> Self {
        let mut catalog = Catalog {
            service_names: previous.service_names.clone(),
            upstream_names: previous.upstream_names.clone(),
            ..Default::default()
        };
        for name in fleet.upstreams.keys() {
            catalog.upstream_names.intern(name);
        }
        for (name, item) in fleet.services.iter() {
            let entry = catalog.service_entry(name, &item.value, names);
            catalog.services.insert(catalog.service_names.intern(name), entry);
        }
        catalog.fleet = fleet;
        catalog
    }

    fn service_entry(&self, name: &str, service: &Service, names: &NameInterner) -> ServiceEntry {
        let shard = |map: &ShardMap, shard: &str, upstreams: &[String]| ShardEntry {
            name: shard.to_owned(),
            pool: names.pool_key(&pool_name(name, map.from, shard)),
            replicas: upstreams.iter().filter_map(|u| self.upstream_names.get(u)).collect(),
        };
        let map = |m: &ShardMap| ShardMapEntry {
            from: m.from,
            shards: m.shards.iter().map(|(n, ups)| shard(m, n, ups)).collect(),
        };
        ServiceEntry {
            name: name.into(),
            route: names.route_key(name),
            policy: service.policy,
            maps: service.maps.iter().map(map).collect(),
        }
    }

    /// Returns the version of the configuration.
    pub fn version(&self) -> u64 {
        self.fleet.version
    }

    /// Returns a service by name.
    pub fn service(&self, name: &str) -> Option<(ServiceKey, &ServiceEntry)> {
        let key = self.service_names.get(name)?;
        Some((key, self.services.get(&key)?))
    }

    /// Returns the key of an upstream by name.
    pub fn upstream_key(&self, name: &str) -> Option<UpstreamKey> {
        self.upstream_names.get(name)
    }

    /// Returns the name of an upstream.
    pub fn upstream_name(&self, key: UpstreamKey) -> Option<&str> {
        self.upstream_names.0.get(key).map(String::as_str)
    }

    /// Returns a route table with the limits of each service and shard pool, and no routes.
    pub fn route_table(&self, names: &NameInterner) -> RouteTable {
        let mut pools = IndexMap::new();
        for (name, item) in self.fleet.services.iter() {
            let limits = pool_limits(&item.value);
            pools.insert(names.pool_key(name), limits);
            for map in &item.value.maps {
                let shards =
                    map.shards.keys().map(|s| names.pool_key(&pool_name(name, map.from, s)));
                pools.extend(shards.map(|pool| (pool, limits)));
            }
        }
        RouteTable { version: self.version(), pools, ..Default::default() }
    }

    /// Returns a report for each upstream; those added since `previous` may start cold.
    pub fn server_reports(
        &self,
        previous: &FleetConfig,
        names: &NameInterner,
    ) -> Vec<ServerReport> {
        let mut pools: IndexMap<&str, Vec<PoolKey>> = IndexMap::new();
        for (name, item) in self.fleet.services.iter() {
            for map in &item.value.maps {
                for (shard, upstreams) in map.shards.iter() {
                    let pool = names.pool_key(&pool_name(name, map.from, shard));
                    upstreams.iter().for_each(|u| pools.entry(u).or_default().push(pool));
                }
            }
        }
        let report = |(name, item): (&String, &crate::state::fleet::Versioned<_>)| {
            let up: &crate::state::fleet::Upstream = &item.value;
            let service = self.fleet.services.get(&up.service).map(|s| &s.value);
            let capacity = service.map(|s| s.capacity).unwrap_or_default();
            let new = previous.version > 0 && !previous.upstreams.contains_key(name);
            let shards = pools.get(name.as_str()).cloned().unwrap_or_default();
            ServerReport {
                id: name.clone(),
                started_at_ms: None,
                pools: std::iter::once(names.pool_key(&up.service)).chain(shards).collect(),
                addr: up.addr,
                domain: up.domain.clone(),
                slots: capacity.slots,
                draining: up.leaving,
                cold_remaining: if new { cold_duration(&capacity) } else { Duration::ZERO },
            }
        };
        self.fleet.upstreams.iter().map(report).collect()
    }
}

fn pool_name(service: &str, from: Snapshot, shard: &str) -> String {
    format!("{service}/{}/{shard}", from.0)
}

fn cold_duration(capacity: &Capacity) -> Duration {
    Duration::from_millis(capacity.cold_ms)
}

fn pool_limits(service: &Service) -> PoolLimits {
    PoolLimits {
        connections: service.capacity.connections,
        cold_duration: cold_duration(&service.capacity),
        cold_rate: service.capacity.cold_rate,
        extra_ratio: Some(service.policy.extra_share),
    }
}
