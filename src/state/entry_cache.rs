//! Entries of a kind in the platform's store, with a grace for those that lapsed during an outage.
//!
//! An entry that its writer renews lapses while the store is away, though the writer lives. For a
//! while after the store's return a missing entry therefore stays.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use crate::state::time::Tick;

/// Time after the store's return in which writers register again.
const REGISTER_TIME: Duration = Duration::from_millis(2_000);

/// Entries by name.
#[derive(Clone, Debug)]
pub struct EntryCache<T> {
    items: IndexMap<String, T>,
    lapsing: IndexMap<String, Tick>,
    grace_until: Tick,
}

impl<T> Default for EntryCache<T> {
    fn default() -> Self {
        let grace_until = Tick::default();
        Self { items: IndexMap::new(), lapsing: IndexMap::new(), grace_until }
    }
}

impl<T> EntryCache<T> {
    /// Notes that the store answers again after an outage.
    pub fn store_back(&mut self, now: Tick) {
        self.grace_until = now + REGISTER_TIME;
    }

    /// Takes over what another one knew: entries that lapse and are not in it are gone.
    pub fn adopt(&mut self, known: impl IntoIterator<Item = (String, T)>) {
        self.items = known.into_iter().collect();
        self.lapsing.retain(|name, _| self.items.contains_key(name));
    }

    /// Takes in the whole list.
    pub fn listed(&mut self, list: impl IntoIterator<Item = (String, T)>, now: Tick) {
        let list: Vec<(String, T)> = list.into_iter().collect();
        let names: IndexSet<&String> = list.iter().map(|(name, _)| name).collect();
        let missing: Vec<String> =
            self.items.keys().filter(|n| !names.contains(*n)).cloned().collect();
        missing.iter().for_each(|name| self.gone(name, now));
        list.into_iter().for_each(|(name, item)| self.put(name, item));
    }

    /// Takes in an entry.
    pub fn put(&mut self, name: String, item: T) {
        self.lapsing.shift_remove(&name);
        self.items.insert(name, item);
    }

    /// Takes in that an entry is gone.
    pub fn gone(&mut self, name: &str, now: Tick) {
        if now < self.grace_until && self.items.contains_key(name) {
            self.lapsing.entry(name.to_owned()).or_insert(self.grace_until);
        } else {
            self.items.shift_remove(name);
        }
    }

    /// Drops the entries that did not come back in time; says whether there were any.
    pub fn expire(&mut self, now: Tick) -> bool {
        let due: Vec<String> =
            self.lapsing.iter().filter(|(_, at)| **at <= now).map(|(n, _)| n.clone()).collect();
        for name in &due {
            self.lapsing.shift_remove(name);
            self.items.shift_remove(name);
        }
        !due.is_empty()
    }

    /// Walks over the entries, those that lapse included.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &T)> {
        self.items.iter().map(|(name, item)| (name.as_str(), item))
    }

    /// Says whether any entry lapses.
    pub fn lapsing(&self) -> bool {
        !self.lapsing.is_empty()
    }
}
