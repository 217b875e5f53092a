//! Entries of a kind in the platform's store, with a grace for those that lapsed during an outage.
//!
//! An entry that its writer renews lapses while the store is away, though the writer lives. For a
//! while after the store's return a missing entry therefore stays.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use crate::state::time::Tick;

/// Time after the store's return in which writers register again.
const REREGISTRATION_GRACE: Duration = Duration::from_millis(2_000);

/// Entries by name.
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
    /// Notes that the store answers again after an outage.
    pub fn start_grace(&mut self, now: Tick) {
        self.grace_until = now + REREGISTRATION_GRACE;
    }

    /// Takes over what another one knew: entries that lapse and are not in it are gone.
    pub fn replace_with(&mut self, known: impl IntoIterator<Item = (String, T)>) {
        self.items = known.into_iter().collect();
        self.expiring.retain(|name, _| self.items.contains_key(name));
    }

    /// Takes in the whole list.
    pub fn apply_list(&mut self, list: impl IntoIterator<Item = (String, T)>, now: Tick) {
        let list: Vec<(String, T)> = list.into_iter().collect();
        let names: IndexSet<&String> = list.iter().map(|(name, _)| name).collect();
        let missing: Vec<String> =
            self.items.keys().filter(|n| !names.contains(*n)).cloned().collect();
        missing.iter().for_each(|name| self.remove(name, now));
        list.into_iter().for_each(|(name, item)| self.insert(name, item));
    }

    /// Takes in an entry.
    pub fn insert(&mut self, name: String, item: T) {
        self.expiring.shift_remove(&name);
        self.items.insert(name, item);
    }

    /// Takes in that an entry is gone.
    pub fn remove(&mut self, name: &str, now: Tick) {
        if now < self.grace_until && self.items.contains_key(name) {
            self.expiring.entry(name.to_owned()).or_insert(self.grace_until);
        } else {
            self.items.shift_remove(name);
        }
    }

    /// Drops the entries that did not come back in time; says whether there were any.
    pub fn remove_expired(&mut self, now: Tick) -> bool {
        let due: Vec<String> =
            self.expiring.iter().filter(|(_, at)| **at <= now).map(|(n, _)| n.clone()).collect();
        for name in &due {
            self.expiring.shift_remove(name);
            self.items.shift_remove(name);
        }
        !due.is_empty()
    }

    /// Walks over the entries, those that lapse included.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &T)> {
        self.items.iter().map(|(name, item)| (name.as_str(), item))
    }

    /// Says whether any entry lapses.
    pub fn has_expiring(&self) -> bool {
        !self.expiring.is_empty()
    }
}
