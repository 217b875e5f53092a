//! Documents that instances pass on to each other: what they hold of the platform, by topic.
//!
//! A document is a set of entries with a version. What changes is passed on as the change alone; one that
//! does not fit what an instance holds makes it fetch the whole.

use std::sync::Arc;

use bytes::Bytes;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::state::hash;

/// A version of a document.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Doc {
    /// Its version; a higher one replaces a lower one.
    pub version: u64,
    /// Its entries by name.
    pub entries: IndexMap<String, Bytes>,
}

/// What makes a version of a document out of an earlier one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DocDelta {
    /// The version that it makes.
    pub version: u64,
    /// Digest of the entries that it applies to.
    pub base: u64,
    /// Entries that are new or differ.
    pub put: IndexMap<String, Bytes>,
    /// Entries that are gone.
    pub gone: Vec<String>,
}

/// What came of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// It made this document.
    Updated(Arc<Doc>),
    /// The document held is not older.
    NotNewer,
    /// It applies to other entries than those held.
    BaseMismatch,
}

impl Doc {
    /// Returns a digest of the entries, whatever their order.
    fn digest(&self) -> u64 {
        self.entries.iter().fold(0, |sum, (name, entry)| sum ^ hash::entry_digest(name, entry))
    }

    /// Returns the change that makes this document out of `former`.
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

/// Documents by topic; versions only go forward.
#[derive(Clone, Debug, Default)]
pub struct DocStore(IndexMap<String, Arc<Doc>>);

impl DocStore {
    /// Takes a document in, unless it is not newer; returns the change from the one before.
    pub fn update(&mut self, topic: &str, doc: Arc<Doc>) -> Option<DocDelta> {
        let previous = self.0.get(topic).cloned().unwrap_or_default();
        if self.0.contains_key(topic) && previous.version >= doc.version {
            return None;
        }
        let delta = doc.delta_from(&previous);
        self.0.insert(topic.to_owned(), doc);
        Some(delta)
    }

    /// Takes a change in.
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

    /// Returns the document held of a topic.
    pub fn get(&self, topic: &str) -> Option<Arc<Doc>> {
        self.0.get(topic).cloned()
    }

    /// Returns the version held of each topic.
    pub fn versions(&self) -> IndexMap<String, u64> {
        self.0.iter().map(|(topic, doc)| (topic.clone(), doc.version)).collect()
    }

    /// Returns the documents that are newer than `have`.
    pub fn newer_than(&self, have: &IndexMap<String, u64>) -> IndexMap<String, Arc<Doc>> {
        let newer =
            |(topic, doc): &(&String, &Arc<Doc>)| have.get(*topic).is_none_or(|v| *v < doc.version);
        self.0.iter().filter(newer).map(|(t, d)| (t.clone(), d.clone())).collect()
    }

    /// Says whether `theirs` has a version that is newer than the one held.
    pub fn is_behind(&self, theirs: &IndexMap<String, u64>) -> bool {
        theirs.iter().any(|(topic, v)| self.0.get(topic).is_none_or(|d| d.version < *v))
    }
}
