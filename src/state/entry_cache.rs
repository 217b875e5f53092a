//! Cache of one kind of entries in the platform's store, with a grace period after a store outage.
//!
//! Entries that their writers must renew expire while the store is unavailable, although the writers are
//! alive. After the store recovers, a missing entry is therefore kept until the grace period ends.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use crate::state::time::Tick;

/// Time that writers have to register again after the store recovers.
const REREGISTRATION_GRACE: Duration = Duration::from_millis(2_000);

/// Cached entries by name.
#[derive(Clone, Debug)]
pub struct EntryCache<T> {
    items: IndexMap<String, T>,
    expiring: IndexMap<String, Tick>,
    grace_until: Tick,
}

impl<T> Default for EntryCache<T> {
    fn default() -> Self {
        let grace_until = Tick::default();
        Self { items: IndexMap::new(), expiring: IndexMap::new(), grace_until }
    }
}

impl<T> EntryCache<T> {
    /// Starts the grace period; called when the store recovers from an outage.
    pub fn start_grace(&mut self, now: Tick) {
        self.grace_until = now + REREGISTRATION_GRACE;
    }

    /// Replaces all entries with those known to another instance; expiring entries that it lacks are dropped.
    pub fn replace_with(&mut self, known: impl IntoIterator<Item = (String, T)>) {
        self.items = known.into_iter().collect();
        self.expiring.retain(|name, _| self.items.contains_key(name));
    }

    /// Applies a full list from the store; cached entries that it lacks are removed.
    pub fn apply_list(&mut self, list: impl IntoIterator<Item = (String, T)>, now: Tick) {
        let list: Vec<(String, T)> = list.into_iter().collect();
        let names: IndexSet<&String> = list.iter().map(|(name, _)| name).collect();
        let missing: Vec<String> =
            self.items.keys().filter(|n| !names.contains(*n)).cloned().collect();
        missing.iter().for_each(|name| self.remove(name, now));
        list.into_iter().for_each(|(name, item)| self.insert(name, item));
    }

    /// Inserts an entry, or replaces it; it no longer expires.
    pub fn insert(&mut self, name: String, item: T) {
        self.expiring.shift_remove(&name);
        self.items.insert(name, item);
    }

    /// Removes an entry; during the grace period it is kept until the period ends.
    pub fn remove(&mut self, name: &str, now: Tick) {
        if now < self.grace_until && self.items.contains_key(name) {
            self.expiring.entry(name.to_owned()).or_insert(self.grace_until);
        } else {
            self.items.shift_remove(name);
        }
    }

    /// Removes the entries whose grace period is over; returns whether there were any.
    pub fn remove_expired(&mut self, now: Tick) -> bool {
        let due: Vec<String> =
            self.expiring.iter().filter(|(_, at)| **at <= now).map(|(n, _)| n.clone()).collect();
        for name in &due {
            self.expiring.shift_remove(name);
            self.items.shift_remove(name);
        }
        !due.is_empty()
    }

    /// Iterates over the entries, including those that are expiring.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &T)> {
        self.items.iter().map(|(name, item)| (name.as_str(), item))
    }

    /// Returns whether any entry is expiring.
    pub fn has_expiring(&self) -> bool {
        !self.expiring.is_empty()
    }
}
