//! Names that became keys, so that a service or a route keeps its key in all versions.

use indexmap::IndexSet;
use parking_lot::Mutex;

use crate::state::arena::{Key, PoolKey, RouteKey};

/// The names of services and routes seen so far; a key is the place of its name.
#[derive(Debug, Default)]
pub struct NameInterner {
    pools: Mutex<IndexSet<String>>,
    routes: Mutex<IndexSet<String>>,
}

impl NameInterner {
    /// Returns the key of a service's servers.
    pub fn pool_key(&self, name: &str) -> PoolKey {
        PoolKey::new(intern(&mut self.pools.lock(), name), 0)
    }

    /// Returns the key of a route.
    pub fn route_key(&self, name: &str) -> RouteKey {
        RouteKey::new(intern(&mut self.routes.lock(), name), 0)
    }

    /// Returns the key of a route that was seen.
    pub fn existing_route_key(&self, name: &str) -> Option<RouteKey> {
        let index = self.routes.lock().get_index_of(name)?;
        Some(RouteKey::new(index as u32, 0))
    }

    /// Returns the name of a service, for logs.
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
