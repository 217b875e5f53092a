//! Routes, servers and evacuated failure domains as known to this instance, from the platform or peers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use crate::state::arena::{Arena, PoolKey, ServerKey};
use crate::state::routes::{PoolLimits, RouteTable};
use crate::state::time::Tick;

/// The state that a server reports.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerReport {
    /// Server identity, which a new run may reuse.
    pub id: String,
    /// Start time of this run in milliseconds since the Unix epoch, if reported.
    pub started_at_ms: Option<u64>,
    /// Pools that the server belongs to; the limits of the first one apply.
    pub pools: Vec<PoolKey>,
    /// Address that the server listens on.
    pub addr: SocketAddr,
    /// Failure domain of the server.
    pub domain: String,
    /// Maximum concurrent requests.
    pub slots: u32,
    /// Whether the server is draining; it gets no new requests.
    pub draining: bool,
    /// Remaining time that the server is cold.
    pub cold_remaining: Duration,
}

/// A server as known to this instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Server {
    /// Last report of the server.
    pub report: ServerReport,
    /// Time at which the server stops being cold.
    pub cold_until: Tick,
}

/// The routes and servers that one request uses.
#[derive(Clone, Default)]
pub struct TopologyView {
    /// Route table; `None` until a version is known.
    pub route_table: Option<Arc<RouteTable>>,
    servers: Arena<ServerKey, Server>,
    pools: IndexMap<PoolKey, Vec<ServerKey>>,
    ids: IndexMap<String, ServerKey>,
    evacuated: IndexSet<String>,
    /// Pools that are shards of routes and that no other route sends to.
    only_gathered: IndexSet<PoolKey>,
}

impl TopologyView {
    /// Returns a server, unless this run of it was removed.
    pub fn server(&self, key: ServerKey) -> Option<&Server> {
        self.servers.get(key)
    }

    /// Iterates over the servers of a pool that accept new requests.
    pub fn available_servers(&self, pool: PoolKey) -> impl Iterator<Item = (ServerKey, &Server)> {
        let keys = self.pools.get(&pool).map_or(&[][..], Vec::as_slice);
        keys.iter().filter_map(|key| Some((*key, self.available_server(*key)?)))
    }

    /// Returns a server if it accepts new requests: not draining, and its failure domain not evacuated.
    pub fn available_server(&self, key: ServerKey) -> Option<&Server> {
        let s = self.servers.get(key)?;
        (!s.report.draining && !self.evacuated.contains(&s.report.domain)).then_some(s)
    }

    /// Returns the limits of a server in a pool.
    pub fn pool_limits(&self, pool: PoolKey) -> PoolLimits {
        let table = self.route_table.as_ref();
        table.and_then(|t| t.pools.get(&pool)).copied().unwrap_or_default()
    }

    /// Returns the limits of a server.
    pub fn server_limits(&self, server: &Server) -> PoolLimits {
        server.report.pools.first().map(|p| self.pool_limits(*p)).unwrap_or_default()
    }

    /// Returns whether a server gets requests of sharded routes only.
    pub fn is_only_gathered(&self, server: &Server) -> bool {
        server.report.pools.iter().all(|pool| self.only_gathered.contains(pool))
    }

    /// Returns the key of a server by its identity.
    pub fn key_by_id(&self, id: &str) -> Option<ServerKey> {
        self.ids.get(id).copied()
    }

    /// Iterates over all servers.
    pub fn servers(&self) -> impl Iterator<Item = (ServerKey, &Server)> {
        self.servers.iter()
    }

    /// Returns the number of servers known.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Returns whether no server is known.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }
}

/// The current topology, changed by updates; requests use copies of its view.
#[derive(Default)]
pub struct Topology {
    view: TopologyView,
}

impl Topology {
    /// Returns the current view.
    pub fn view(&self) -> &TopologyView {
        &self.view
    }

    /// Replaces the route table if `table` is newer; returns whether it did.
    pub fn update_routes(&mut self, table: RouteTable) -> bool {
        if self.view.route_table.as_ref().is_some_and(|t| t.version >= table.version) {
            return false;
        }
        self.view.only_gathered = table.only_gathered_pools();
        self.view.route_table = Some(Arc::new(table));
        true
    }

    /// Applies a server report; returns whether anything changed.
    pub fn update_server(&mut self, report: ServerReport, now: Tick) -> bool {
        let cold_until = now + report.cold_remaining;
        let known = self.view.ids.get(&report.id).copied();
        if let Some(key) = known
            && let Some(server) = self.view.servers.get_mut(key)
            && server.report.addr == report.addr
            && server.report.started_at_ms == report.started_at_ms
        {
            let changed = server.report != report;
            // The same report read again does not extend the cold period.
            let is_repeat = server.report.cold_remaining == report.cold_remaining;
            let cold_until = if is_repeat { server.cold_until } else { cold_until };
            let previous = std::mem::replace(server, Server { report, cold_until });
            let pools = server.report.pools.clone();
            if previous.report.pools != pools {
                self.remove_from_pools(&previous.report.pools, key);
                self.add_to_pools(&pools, key);
            }
            return changed;
        }
        self.remove_server(&report.id);
        let (id, pools) = (report.id.clone(), report.pools.clone());
        let key = self.view.servers.insert(Server { report, cold_until });
        self.view.ids.insert(id, key);
        self.add_to_pools(&pools, key);
        true
    }

    /// Applies a full list of server reports and removes servers not in it; returns whether anything changed.
    pub fn replace_servers(&mut self, reports: Vec<ServerReport>, now: Tick) -> bool {
        let listed: IndexSet<String> = reports.iter().map(|r| r.id.clone()).collect();
        let missing: Vec<String> =
            self.view.ids.keys().filter(|id| !listed.contains(*id)).cloned().collect();
        let mut changed = false;
        for id in missing {
            changed |= self.remove_server(&id);
        }
        for report in reports {
            changed |= self.update_server(report, now);
        }
        changed
    }

    /// Sets the evacuated failure domains; servers of a restored domain count as cold. Returns whether
    /// the set changed.
    pub fn set_evacuated(&mut self, domains: IndexSet<String>, now: Tick) -> bool {
        if domains == self.view.evacuated {
            return false;
        }
        let returned: Vec<String> = self.view.evacuated.difference(&domains).cloned().collect();
        let keys: Vec<ServerKey> = self.view.ids.values().copied().collect();
        for key in keys {
            let Some(server) = self.view.servers.get(key) else { continue };
            if returned.contains(&server.report.domain) {
                let cold_until = now + self.view.server_limits(server).cold_duration;
                if let Some(server) = self.view.servers.get_mut(key) {
                    server.cold_until = server.cold_until.max(cold_until);
                }
            }
        }
        self.view.evacuated = domains;
        true
    }

    /// Returns the evacuated failure domains.
    pub fn evacuated(&self) -> &IndexSet<String> {
        &self.view.evacuated
    }

    fn remove_server(&mut self, id: &str) -> bool {
        let Some(key) = self.view.ids.swap_remove(id) else { return false };
        if let Some(server) = self.view.servers.remove(key) {
            self.remove_from_pools(&server.report.pools, key);
        }
        true
    }

    fn add_to_pools(&mut self, pools: &[PoolKey], key: ServerKey) {
        for pool in pools {
            self.view.pools.entry(*pool).or_default().push(key);
        }
    }

    fn remove_from_pools(&mut self, pools: &[PoolKey], key: ServerKey) {
        for pool in pools {
            if let Some(keys) = self.view.pools.get_mut(pool) {
                keys.retain(|k| *k != key);
            }
        }
    }
}
