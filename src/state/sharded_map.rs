//! A concurrent map split into shards, each under its own lock.
//!
//! A lock is held only while a closure runs: never across an `.await`, and never two at once.

use indexmap::IndexMap;
use parking_lot::Mutex;

use crate::state::arena::Key;

/// Number of shards; a power of two well above the worker threads of one process.
const SHARD_COUNT: usize = 16;

/// A sharded map from arena keys to items, such as per-server state.
pub struct ShardedMap<K, T> {
    shards: Vec<Mutex<IndexMap<K, T>>>,
}

impl<K: Key, T> Default for ShardedMap<K, T> {
    fn default() -> Self {
        Self { shards: (0..SHARD_COUNT).map(|_| Mutex::default()).collect() }
    }
}

impl<K: Key, T> ShardedMap<K, T> {
    fn shard(&self, key: K) -> &Mutex<IndexMap<K, T>> {
        &self.shards[key.index() % SHARD_COUNT]
    }

    /// Runs `f` on the item under its shard's lock, if it exists.
    pub fn with<R>(&self, key: K, f: impl FnOnce(&mut T) -> R) -> Option<R> {
        self.shard(key).lock().get_mut(&key).map(f)
    }

    /// Runs `f` on the item under its shard's lock, inserting the result of `make` if it is missing.
    pub fn with_or_insert<R>(
        &self,
        key: K,
        make: impl FnOnce() -> T,
        f: impl FnOnce(&mut T) -> R,
    ) -> R {
        f(self.shard(key).lock().entry(key).or_insert_with(make))
    }

    /// Removes an item.
    pub fn remove(&self, key: K) -> Option<T> {
        self.shard(key).lock().swap_remove(&key)
    }

    /// Keeps only the items whose keys `keep` accepts.
    pub fn retain(&self, mut keep: impl FnMut(K) -> bool) {
        for shard in &self.shards {
            shard.lock().retain(|key, _| keep(*key));
        }
    }

    /// Runs `f` on every item, one shard's lock at a time.
    pub fn for_each(&self, mut f: impl FnMut(K, &mut T)) {
        for shard in &self.shards {
            for (key, item) in shard.lock().iter_mut() {
                f(*key, item);
            }
        }
    }
}
