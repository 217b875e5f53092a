//! The entries of one kind as the store holds them, at a known point, and what of them may be published.
//!
//! The load pattern: instances that know more and instances that know less publish documents of the same kind, and the higher
//! version wins. A version claims that its document is what the store held at that point; whoever has listed or watched up
//! to there may claim it, and all who do claim the same. What an instance believes beside it is no part of the document
//! (see `state/beliefs.rs`). The pages of a list are read at different points, so that a list of several pages is no
//! such document before the changes between them are known.
//!
//! Pages may stay unread: a call fails, or other writers have chosen names that no call can ask on from. What a page has named is
//! true; what none has named is not therefore gone. An interrupted list is read again soon, and serves only those who know
//! nothing of the kind. A truncated list reads the same for everyone, however often; what is held beside it is asked
//! for by name, and the two together are published below the document that has all.

use indexmap::{IndexMap, IndexSet};

use crate::coordination::store_era::{
    ListUse, StoreCall, StorePoint, WatchCursor, WatchUse, interrupted_doc_version, is_interrupted,
};

/// Which part of the objects of a kind a list has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ListExtent {
    /// All of them.
    #[default]
    Whole,
    /// Those before a page for which the call failed.
    Interrupted,
    /// Those before a page for which there is no call.
    Truncated,
}

/// A list of a kind.
#[derive(Clone, Debug)]
pub struct StoreList<T> {
    /// Which part of the kind it has; of a truncated one, entries that are known otherwise are looked up by name.
    pub extent: ListExtent,
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
    extent: ListExtent,
    /// Interrupted lists in a row, and the entries of the last one.
    interruptions: u64,
    interrupted_entries: Option<IndexMap<String, T>>,
}

impl<T> Default for StoreMirror<T> {
    fn default() -> Self {
        Self {
            cursor: WatchCursor::default(),
            entries: IndexMap::new(),
            complete_from: 0,
            extent: ListExtent::Whole,
            interruptions: 0,
            interrupted_entries: None,
        }
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
        if !is_interrupted(doc_version) {
            self.cursor.adopt(doc_version);
        }
    }

    /// Returns the names that a truncated list may lack, since they are held or expected but not on any of its pages.
    ///
    /// Each of them is looked up by name, so that what is gone is not kept.
    pub fn missing_names<'a>(
        listed: &IndexMap<String, T>,
        held: impl IntoIterator<Item = &'a String>,
        expected: impl IntoIterator<Item = &'a String>,
    ) -> IndexSet<String> {
        let known = held.into_iter().chain(expected);
        known.filter(|name| !listed.contains_key(*name)).cloned().collect()
    }

    /// Records a list.
    pub fn record_list(&mut self, list: StoreList<T>) -> ListUse {
        if self.cursor.is_outdated(list.era) {
            return ListUse::Outdated;
        }
        // what peers hold may not have arrived when a process lists for the first time
        let is_first = self.interruptions == 0 && !self.cursor.knows_kind();
        if list.extent == ListExtent::Interrupted
            || (list.extent == ListExtent::Truncated && is_first)
        {
            self.interruptions += 1;
            self.interrupted_entries = Some(list.entries);
            return ListUse::Interrupted;
        }
        self.interruptions = 0;
        self.interrupted_entries = None;
        self.extent = list.extent;
        self.entries = list.entries;
        self.complete_from = list.last_revision;
        self.cursor.record_list(list.era, list.revision)
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

    /// Returns the version of the document to publish: that of its point, or a lower one if it may lack entries.
    pub fn doc_version(&self) -> u64 {
        match self.extent {
            ListExtent::Truncated => self.cursor.point().truncated_doc_version(),
            _ => self.cursor.point().doc_version(),
        }
    }

    /// Returns version and entries of an interrupted list, for those who know nothing of the kind: any other document is newer.
    pub fn interruption(&self) -> Option<(u64, &IndexMap<String, T>)> {
        let entries = self.interrupted_entries.as_ref()?;
        Some((interrupted_doc_version(self.interruptions), entries))
    }

    /// Returns whether the kind was listed without its last pages.
    pub fn is_truncated(&self) -> bool {
        self.extent == ListExtent::Truncated
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
