//! Cache of one kind of entries in the platform's store, with a grace period after a store outage.
//!
//! Entries that their writers must renew expire while the store is unavailable, although the writers are
//! alive. After the store recovers, a missing entry is therefore kept until the grace period ends. A store that comes back
//! from an older copy lacks what was written since, and has again what was changed or removed since: until the writers have
//! written again, what was known counts.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use crate::state::time::Tick;

/// Time that writers have to register again after the store recovers.
const REREGISTRATION_GRACE: Duration = Duration::from_millis(2_000);

/// Cached entries by name.
#[derive(Clone, Debug)]
pub struct EntryCache<T> {
    items: IndexMap<String, T>,
    /// Changes that take effect at the end of the grace period: the new entry, or `None` for a removal.
    pending: IndexMap<String, (Tick, Option<T>)>,
    grace_until: Tick,
}

impl<T> Default for EntryCache<T> {
    fn default() -> Self {
        let grace_until = Tick::default();
        Self { items: IndexMap::new(), pending: IndexMap::new(), grace_until }
    }
}

impl<T: Clone + PartialEq> EntryCache<T> {
    /// Starts the grace period; called when the store recovers from an outage.
    pub fn start_grace(&mut self, now: Tick) {
        self.grace_until = now + REREGISTRATION_GRACE;
    }

    /// Replaces all entries with those known to another instance; pending changes of entries that it lacks are dropped.
    pub fn replace_with(&mut self, known: impl IntoIterator<Item = (String, T)>) {
        self.items = known.into_iter().collect();
        self.pending.retain(|name, _| self.items.contains_key(name));
    }

    /// Applies a full list from the store; cached entries that it lacks are removed.
    pub fn apply_list(&mut self, list: impl IntoIterator<Item = (String, T)>, now: Tick) {
        let list: Vec<(String, T)> = list.into_iter().collect();
        self.remove_missing(&list, now);
        list.into_iter().for_each(|(name, item)| self.insert(name, item));
    }

    /// Applies a full list from a store that came back from an older copy, and starts the grace period.
    ///
    /// Whether an entry that differs is of the copy or was written since is not known before its writer has had the time to
    /// write again.
    pub fn apply_restored_list(&mut self, list: impl IntoIterator<Item = (String, T)>, now: Tick) {
        self.start_grace(now);
        let list: Vec<(String, T)> = list.into_iter().collect();
        self.remove_missing(&list, now);
        for (name, item) in list {
            if self.items.get(&name) == Some(&item) {
                self.pending.shift_remove(&name);
            } else {
                self.pending.insert(name, (self.grace_until, Some(item)));
            }
        }
    }

    fn remove_missing(&mut self, list: &[(String, T)], now: Tick) {
        let names: IndexSet<&str> = list.iter().map(|(name, _)| name.as_str()).collect();
        let known = self.items.keys().chain(self.pending.keys());
        let missing: Vec<String> =
            known.filter(|name| !names.contains(name.as_str())).cloned().collect();
        missing.iter().for_each(|name| self.remove(name, now));
    }

    /// Returns an entry.
    pub fn get(&self, name: &str) -> Option<&T> {
        self.items.get(name)
    }

    /// Inserts an entry, or replaces it; no change of it is pending any more.
    pub fn insert(&mut self, name: String, item: T) {
        self.pending.shift_remove(&name);
        self.items.insert(name, item);
    }

    /// Removes an entry; during the grace period it is kept until the period ends.
    pub fn remove(&mut self, name: &str, now: Tick) {
        if now < self.grace_until && self.items.contains_key(name) {
            let (_, change) =
                self.pending.entry(name.to_owned()).or_insert((self.grace_until, None));
            *change = None;
        } else {
            self.items.shift_remove(name);
            self.pending.shift_remove(name);
        }
    }

    /// Makes the changes whose grace period is over; returns whether there were any.
    pub fn apply_pending(&mut self, now: Tick) -> bool {
        let due: Vec<String> =
            self.pending.iter().filter(|(_, (at, _))| *at <= now).map(|(n, _)| n.clone()).collect();
        for name in &due {
            match self.pending.shift_remove(name) {
                Some((_, Some(item))) => {
                    self.items.insert(name.clone(), item);
                }
                _ => {
                    self.items.shift_remove(name);
                }
            }
        }
        !due.is_empty()
    }

    /// Iterates over the entries, those with a pending change as they were.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &T)> {
        self.items.iter().map(|(name, item)| (name.as_str(), item))
    }

    /// Returns whether the change of any entry is pending.
    pub fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Returns the number of entries whose change is pending.
    pub fn pending_count(&self) -> usize {
        self.pending.len()
    }

    /// Returns the number of entries, those with a pending change included.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Returns whether there is no entry.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }
}
