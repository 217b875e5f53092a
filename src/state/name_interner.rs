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
    pub fn pool(&self, name: &str) -> PoolKey {
        PoolKey::new(place(&mut self.pools.lock(), name), 0)
    }

    /// Returns the key of a route.
    pub fn route(&self, name: &str) -> RouteKey {
        RouteKey::new(place(&mut self.routes.lock(), name), 0)
    }

    /// Returns the key of a route that was seen.
    pub fn known_route(&self, name: &str) -> Option<RouteKey> {
        let place = self.routes.lock().get_index_of(name)?;
        Some(RouteKey::new(place as u32, 0))
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

fn place(names: &mut IndexSet<String>, name: &str) -> u32 {
    let place = names.get_index_of(name);
    place.unwrap_or_else(|| names.insert_full(name.to_owned()).0) as u32
}
