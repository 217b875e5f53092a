//! The entries of one kind as the store holds them, at a known point, and what of them may be published.
//!
//! The load pattern: instances that know more and instances that know less publish documents of the same kind, and the higher
//! version wins. A version claims that its document is what the store held at that point; whoever has listed or watched up
//! to there may claim it, and all who do claim the same. What an instance believes beside it is no part of the document
//! (see `state/beliefs.rs`). The pages of a list are read at different points, so that a list of several pages is no
//! such document before the changes between them are known.

use indexmap::IndexMap;

use crate::coordination::store_era::{ListUse, StoreCall, StorePoint, WatchCursor, WatchUse};

/// A list of a kind.
#[derive(Clone, Debug)]
pub struct StoreList<T> {
    /// Era of the store, if its replies state it.
    pub era: Option<u64>,
    /// Revision of the first page, from which a watch goes on.
    pub revision: u64,
    /// Revision of the last page.
    pub last_revision: u64,
    /// Entries by name.
    pub entries: IndexMap<String, T>,
}

/// The answer to a watch.
#[derive(Clone, Debug)]
pub struct StoreChanges<T> {
    /// Era of the store, if the reply states it.
    pub era: Option<u64>,
    /// Revision from which the watch goes on.
    pub revision: u64,
    /// Changes in order: the new entry of a name, or `None` if it was removed.
    pub changes: Vec<(String, Option<T>)>,
}

/// The entries of a kind as the store holds them.
#[derive(Clone, Debug)]
pub struct StoreMirror<T> {
    cursor: WatchCursor,
    entries: IndexMap<String, T>,
    /// Revision from which on the entries are those of one point.
    complete_from: u64,
}

impl<T> Default for StoreMirror<T> {
    fn default() -> Self {
        Self { cursor: WatchCursor::default(), entries: IndexMap::new(), complete_from: 0 }
    }
}

impl<T> StoreMirror<T> {
    /// Returns the next call.
    pub fn next_call(&self) -> StoreCall {
        self.cursor.next_call()
    }

    /// Returns where the watch goes on.
    pub fn cursor(&self) -> &WatchCursor {
        &self.cursor
    }

    /// Stops watching, since another instance does.
    pub fn stop(&mut self) {
        self.cursor.stop();
    }

    /// Records that the store does not have the revision, or that it is in a later era.
    pub fn list_again(&mut self) {
        self.cursor.list_again();
    }

    /// Records the version of a peer's document; a list of an earlier era is not used then.
    pub fn record_peer_version(&mut self, doc_version: u64) {
        self.cursor.adopt(doc_version);
    }

    /// Records a list.
    pub fn record_list(&mut self, list: StoreList<T>) -> ListUse {
        let use_of_list = self.cursor.record_list(list.era, list.revision);
        if use_of_list != ListUse::Outdated {
            self.entries = list.entries;
            self.complete_from = list.last_revision;
        }
        use_of_list
    }

    /// Records the answer to a watch.
    pub fn record_watch(&mut self, reply: StoreChanges<T>) -> WatchUse {
        let use_of_reply = self.cursor.record_watch(reply.era, reply.revision);
        if use_of_reply == WatchUse::Apply {
            for (name, entry) in reply.changes {
                match entry {
                    Some(entry) => {
                        self.entries.insert(name, entry);
                    }
                    None => {
                        self.entries.shift_remove(&name);
                    }
                }
            }
        }
        use_of_reply
    }

    /// Returns whether the entries are those that the store held at the point that is known.
    pub fn is_complete(&self) -> bool {
        self.cursor.is_watching() && self.cursor.last_revision() >= self.complete_from
    }

    /// Returns the point and the entries that the store held there, if they may be published.
    pub fn published(&self) -> Option<(StorePoint, &IndexMap<String, T>)> {
        self.is_complete().then(|| (self.cursor.point(), &self.entries))
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there is no entry.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns an entry.
    pub fn get(&self, name: &str) -> Option<&T> {
        self.entries.get(name)
    }
}
