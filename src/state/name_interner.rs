//! Interning of names, so that a service or route keeps its key across versions.

use indexmap::IndexSet;
use parking_lot::Mutex;

use crate::state::arena::{Key, PoolKey, RouteKey};

/// Interned names of pools and routes; a key is the index of its name. Names are never removed.
#[derive(Debug, Default)]
pub struct NameInterner {
    pools: Mutex<IndexSet<String>>,
    routes: Mutex<IndexSet<String>>,
}

impl NameInterner {
    /// Returns the key of a server pool, interning its name.
    pub fn pool_key(&self, name: &str) -> PoolKey {
        PoolKey::new(intern(&mut self.pools.lock(), name), 0)
    }

    /// Returns the key of a route, interning its name.
    pub fn route_key(&self, name: &str) -> RouteKey {
        RouteKey::new(intern(&mut self.routes.lock(), name), 0)
    }

    /// Returns the key of a route if its name is already interned.
    pub fn existing_route_key(&self, name: &str) -> Option<RouteKey> {
        let index = self.routes.lock().get_index_of(name)?;
        Some(RouteKey::new(index as u32, 0))
    }

    /// Returns the name of a pool, for logs.
    pub fn pool_name(&self, key: PoolKey) -> String {
        self.pools.lock().get_index(key.index()).cloned().unwrap_or_default()
    }

    /// Returns the name of a route, for logs.
    pub fn route_name(&self, key: RouteKey) -> String {
        self.routes.lock().get_index(key.index()).cloned().unwrap_or_default()
    }
}

fn intern(names: &mut IndexSet<String>, name: &str) -> u32 {
    let index = names.get_index_of(name);
    index.unwrap_or_else(|| names.insert_full(name.to_owned()).0) as u32
}
