//! What an instance believes of one kind of entries: the newest document, but for entries that it keeps as they were.
//!
//! A document is what the store held at one point, the same for all instances. What is kept beside it is an instance's own: it
//! never enters a document, so that no instance makes others believe what they have dropped, and it ends by this instance's
//! own clock.

use std::sync::Arc;

use bytes::Bytes;
use indexmap::{IndexMap, IndexSet};

use crate::state::docs::Doc;
use crate::state::time::Tick;

/// An entry that is kept as it was before the document changed it.
#[derive(Clone, Debug)]
struct Kept {
    until: Tick,
    /// The entry as it was; `None` if there was none.
    entry: Option<Bytes>,
}

/// Entries by name, as this instance believes them.
#[derive(Clone, Debug, Default)]
pub struct Beliefs {
    doc: Arc<Doc>,
    has_doc: bool,
    kept: IndexMap<String, Kept>,
}

impl Beliefs {
    /// Applies a newer document of the same era of the store; entries that it removes are kept until `kept_until`.
    ///
    /// An entry that it changes takes effect at once, as it was written since.
    pub fn apply(&mut self, doc: Arc<Doc>, kept_until: Tick, now: Tick) {
        self.has_doc = true;
        let previous = std::mem::replace(&mut self.doc, doc);
        let is_grace = now < kept_until;
        if !is_grace && self.kept.is_empty() {
            return;
        }
        if is_grace {
            let removed =
                previous.entries.iter().filter(|(name, _)| !self.doc.entries.contains_key(*name));
            for (name, entry) in removed {
                let kept = || Kept { until: kept_until, entry: Some(entry.clone()) };
                self.kept.entry(name.clone()).or_insert_with(kept);
            }
        }
        self.kept.retain(|name, kept| {
            let entry = self.doc.entries.get(name);
            let is_unchanged = entry == previous.entries.get(name);
            is_unchanged || (is_grace && entry.is_none() && kept.entry.is_some())
        });
    }

    /// Applies the first document of a later era of the store; whatever it has otherwise is kept until `kept_until`.
    ///
    /// Whether an entry that differs is of the older copy or was written since is not known before its writer has had the
    /// time to write again.
    pub fn apply_restored(&mut self, doc: Arc<Doc>, kept_until: Tick, now: Tick) {
        let believed = std::mem::replace(self, Self { doc, has_doc: true, kept: IndexMap::new() });
        if now >= kept_until {
            return;
        }
        let names: IndexSet<&String> = believed
            .kept
            .keys()
            .chain(believed.doc.entries.keys())
            .chain(self.doc.entries.keys())
            .collect();
        for name in names {
            let entry = believed.get(name);
            if entry != self.doc.entries.get(name) {
                let kept = Kept { until: kept_until, entry: entry.cloned() };
                self.kept.insert(name.clone(), kept);
            }
        }
    }

    /// Drops what is kept no longer; returns whether there was anything.
    pub fn expire(&mut self, now: Tick) -> bool {
        let before = self.kept.len();
        self.kept.retain(|_, kept| now < kept.until);
        self.kept.len() < before
    }

    /// Returns when something is kept no longer, if anything is kept.
    pub fn next_expiry(&self) -> Option<Tick> {
        self.kept.values().map(|kept| kept.until).min()
    }

    /// Returns an entry.
    pub fn get(&self, name: &str) -> Option<&Bytes> {
        match self.kept.get(name) {
            Some(kept) => kept.entry.as_ref(),
            None => self.doc.entries.get(name),
        }
    }

    /// Iterates over the entries.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &Bytes)> {
        let listed = self.doc.entries.iter().filter(|(name, _)| !self.kept.contains_key(*name));
        let kept = self.kept.iter().filter_map(|(name, kept)| Some((name, kept.entry.as_ref()?)));
        listed.chain(kept).map(|(name, entry)| (name.as_str(), entry))
    }

    /// Returns the version of the document; `None` before the first one.
    pub fn version(&self) -> Option<u64> {
        self.has_doc.then_some(self.doc.version)
    }

    /// Returns the number of entries that are kept as they were.
    pub fn kept_count(&self) -> usize {
        self.kept.len()
    }
}
