//! Versioned documents that replicate platform state between instances, one per topic.
//!
//! A document is a set of named entries with a version. Instances exchange deltas; an instance whose
//! entries do not match the base of a delta fetches the full document.

use std::sync::Arc;

use bytes::Bytes;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::state::hash;

/// One version of a document.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Doc {
    /// Version; a higher one replaces a lower one.
    pub version: u64,
    /// Entries by name.
    pub entries: IndexMap<String, Bytes>,
}

/// The difference between two versions of a document.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DocDelta {
    /// Version of the resulting document.
    pub version: u64,
    /// Digest of the entries that the delta applies to.
    pub base: u64,
    /// Entries that were added or changed.
    pub put: IndexMap<String, Bytes>,
    /// Names of removed entries.
    pub gone: Vec<String>,
}

/// Result of applying a delta.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The delta was applied and produced this document.
    Updated(Arc<Doc>),
    /// The delta is not newer than the stored document.
    NotNewer,
    /// The stored entries differ from the base of the delta.
    BaseMismatch,
}

impl DocDelta {
    /// Returns the size of its entries, in bytes.
    pub fn bytes(&self) -> usize {
        let put: usize = self.put.iter().map(|(name, entry)| name.len() + entry.len()).sum();
        put + self.gone.iter().map(String::len).sum::<usize>()
    }
}

impl Doc {
    /// Returns the size of its entries, in bytes.
    pub fn bytes(&self) -> usize {
        self.entries.iter().map(|(name, entry)| name.len() + entry.len()).sum()
    }

    /// Returns a digest of the entries that does not depend on their order.
    fn digest(&self) -> u64 {
        self.entries.iter().fold(0, |sum, (name, entry)| sum ^ hash::entry_digest(name, entry))
    }

    /// Returns the delta from `previous` to this document.
    fn delta_from(&self, previous: &Doc) -> DocDelta {
        let differs =
            |(name, entry): &(&String, &Bytes)| previous.entries.get(*name) != Some(*entry);
        let put = self.entries.iter().filter(differs);
        let gone = previous.entries.keys().filter(|name| !self.entries.contains_key(*name));
        DocDelta {
            version: self.version,
            base: previous.digest(),
            put: put.map(|(name, entry)| (name.clone(), entry.clone())).collect(),
            gone: gone.cloned().collect(),
        }
    }

    fn with_delta(&self, delta: &DocDelta) -> Doc {
        let mut entries = self.entries.clone();
        entries.retain(|name, _| !delta.gone.contains(name));
        entries.extend(delta.put.iter().map(|(name, entry)| (name.clone(), entry.clone())));
        Doc { version: delta.version, entries }
    }
}

/// Documents by topic; the version of a topic never decreases.
#[derive(Clone, Debug, Default)]
pub struct DocStore(IndexMap<String, Arc<Doc>>);

impl DocStore {
    /// Stores a document and returns the delta from the previous one, or `None` if it is not newer.
    pub fn update(&mut self, topic: &str, doc: Arc<Doc>) -> Option<DocDelta> {
        let previous = self.0.get(topic).cloned().unwrap_or_default();
        if self.0.contains_key(topic) && previous.version >= doc.version {
            return None;
        }
        let delta = doc.delta_from(&previous);
        self.0.insert(topic.to_owned(), doc);
        Some(delta)
    }

    /// Applies a delta to the stored document.
    pub fn apply_delta(&mut self, topic: &str, delta: &DocDelta) -> ApplyOutcome {
        let previous = self.0.get(topic).cloned().unwrap_or_default();
        if previous.version >= delta.version {
            return ApplyOutcome::NotNewer;
        }
        if previous.digest() != delta.base {
            return ApplyOutcome::BaseMismatch;
        }
        let doc = Arc::new(previous.with_delta(delta));
        self.0.insert(topic.to_owned(), doc.clone());
        ApplyOutcome::Updated(doc)
    }

    /// Returns the stored document of a topic.
    pub fn get(&self, topic: &str) -> Option<Arc<Doc>> {
        self.0.get(topic).cloned()
    }

    /// Returns the stored version of each topic.
    pub fn versions(&self) -> IndexMap<String, u64> {
        self.0.iter().map(|(topic, doc)| (topic.clone(), doc.version)).collect()
    }

    /// Returns the documents that are newer than the versions in `have`.
    pub fn newer_than(&self, have: &IndexMap<String, u64>) -> IndexMap<String, Arc<Doc>> {
        let newer =
            |(topic, doc): &(&String, &Arc<Doc>)| have.get(*topic).is_none_or(|v| *v < doc.version);
        self.0.iter().filter(newer).map(|(t, d)| (t.clone(), d.clone())).collect()
    }

    /// Returns whether any version in `theirs` is newer than the stored one.
    pub fn is_behind(&self, theirs: &IndexMap<String, u64>) -> bool {
        theirs.iter().any(|(topic, v)| self.0.get(topic).is_none_or(|d| d.version < *v))
    }
}
