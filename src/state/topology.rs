//! What an instance believes of routes, servers and failure domains, from the platform or from peers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use crate::state::arena::{Arena, PoolKey, ServerKey};
use crate::state::routes::{PoolLimits, RouteTable};
use crate::state::time::Tick;

/// What a server says of itself.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerReport {
    /// Its identity, which a new run may take over.
    pub id: String,
    /// When this run started, in milliseconds since the epoch, if told.
    pub started_at_ms: Option<u64>,
    /// The services or shards that it belongs to; the first one's bounds hold.
    pub pools: Vec<PoolKey>,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its failure domain.
    pub domain: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// It is leaving.
    pub draining: bool,
    /// How much longer it is cold.
    pub cold_remaining: Duration,
}

/// A server as this instance believes it to be.
#[derive(Clone, Debug, PartialEq)]
pub struct Server {
    /// What it last said.
    pub report: ServerReport,
    /// Until when it is cold.
    pub cold_until: Tick,
}

/// The routes and servers that one request is answered from.
#[derive(Clone, Default)]
pub struct TopologyView {
    /// The routes; `None` until a version is known.
    pub route_table: Option<Arc<RouteTable>>,
    servers: Arena<ServerKey, Server>,
    pools: IndexMap<PoolKey, Vec<ServerKey>>,
    ids: IndexMap<String, ServerKey>,
    evacuated: IndexSet<String>,
}

impl TopologyView {
    /// Returns a server, unless this run of it is gone.
    pub fn server(&self, key: ServerKey) -> Option<&Server> {
        self.servers.get(key)
    }

    /// Walks over the servers of a service that new work may go to.
    pub fn available_servers(&self, pool: PoolKey) -> impl Iterator<Item = (ServerKey, &Server)> {
        let keys = self.pools.get(&pool).map_or(&[][..], Vec::as_slice);
        keys.iter().filter_map(|key| Some((*key, self.available_server(*key)?)))
    }

    /// Returns a server if new work may go to it.
    pub fn available_server(&self, key: ServerKey) -> Option<&Server> {
        let s = self.servers.get(key)?;
        (!s.report.draining && !self.evacuated.contains(&s.report.domain)).then_some(s)
    }

    /// Returns what a server of a service bears.
    pub fn pool_limits(&self, pool: PoolKey) -> PoolLimits {
        let table = self.route_table.as_ref();
        table.and_then(|t| t.pools.get(&pool)).copied().unwrap_or_default()
    }

    /// Returns what a server bears.
    pub fn server_limits(&self, server: &Server) -> PoolLimits {
        server.report.pools.first().map(|p| self.pool_limits(*p)).unwrap_or_default()
    }

    /// Returns the key of a server by its identity.
    pub fn key_by_id(&self, id: &str) -> Option<ServerKey> {
        self.ids.get(id).copied()
    }

    /// Walks over all servers.
    pub fn servers(&self) -> impl Iterator<Item = (ServerKey, &Server)> {
        self.servers.iter()
    }

    /// Returns the number of servers known.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Says whether no server is known.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }
}

/// The picture, changed as news comes in; requests use copies of its view.
#[derive(Default)]
pub struct Topology {
    view: TopologyView,
}

impl Topology {
    /// Returns the view as it is now.
    pub fn view(&self) -> &TopologyView {
        &self.view
    }

    /// Takes routes in, unless they are not newer; says whether it did.
    pub fn update_routes(&mut self, table: RouteTable) -> bool {
        if self.view.route_table.as_ref().is_some_and(|t| t.version >= table.version) {
            return false;
        }
        self.view.route_table = Some(Arc::new(table));
        true
    }

    /// Takes in what a server says; says whether that changed anything.
    pub fn update_server(&mut self, report: ServerReport, now: Tick) -> bool {
        let cold_until = now + report.cold_remaining;
        let known = self.view.ids.get(&report.id).copied();
        if let Some(key) = known
            && let Some(server) = self.view.servers.get_mut(key)
            && server.report.addr == report.addr
            && server.report.started_at_ms == report.started_at_ms
        {
            let changed = server.report != report;
            // a report that is read again is as old as before
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

    /// Takes in the whole list of servers; those that are not in it are gone.
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

    /// Sets the failure domains that are taken out; the servers of one that returns count as cold.
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

    /// Returns the failure domains that are taken out.
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
