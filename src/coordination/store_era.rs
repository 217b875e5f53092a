//! Where a watch of one kind of objects in the platform's store goes on, and what a new era of the store means for it.
//!
//! The load pattern: the store is away for a moment and comes back from a copy some seconds old. Its revisions go back and are
//! given out again while servers and operators write anew. A watch from a revision of the lost time hears nothing of what
//! is written until the counter has passed that revision, and is not told so; and a document whose version is a
//! revision alone is older than the one that it replaces.

/// Distance between the versions of two revisions, as in the documents of instances of earlier releases.
const VERSIONS_PER_REVISION: u64 = 256;
/// Bits of a version below its era.
const REVISION_BITS: u32 = 48;
/// Highest era that is told apart from the next.
const MAX_ERA: u64 = u64::MAX >> REVISION_BITS;

/// A revision of the store, which is comparable within its era only.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct StorePoint {
    /// Era of the store; zero if its replies state none.
    pub era: u64,
    /// Revision within the era.
    pub revision: u64,
}

impl StorePoint {
    /// Returns the version of the document of this point; any version of a later era is higher.
    pub fn doc_version(self) -> u64 {
        let revision = self.revision.saturating_mul(VERSIONS_PER_REVISION);
        (self.era.min(MAX_ERA) << REVISION_BITS) | revision.min((1 << REVISION_BITS) - 1)
    }

    /// Returns the version of a document of this point that may lack entries; the one that has all is newer.
    pub fn truncated_doc_version(self) -> u64 {
        self.doc_version().saturating_sub(1).max(self.era.min(MAX_ERA) << REVISION_BITS)
    }
}

/// Returns the version of the document of an interrupted list, the `number`th in a row; any other document is newer.
pub fn interrupted_doc_version(number: u64) -> u64 {
    number.clamp(1, VERSIONS_PER_REVISION - 1)
}

/// Returns whether a document of this version is of an interrupted list, and so tells neither a point nor an era.
pub fn is_interrupted(version: u64) -> bool {
    version < VERSIONS_PER_REVISION
}

/// Returns the era of the store in which a document of this version was read.
pub fn doc_era(version: u64) -> u64 {
    version >> REVISION_BITS
}

/// The next call for a kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreCall {
    /// List all objects.
    List {
        /// The list may be seconds old: only the first one of a process, since documents must not revert.
        stale: bool,
    },
    /// Watch from this revision.
    Watch {
        /// The revision.
        from: u64,
    },
}

/// What to do with a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUse {
    /// It replaces what is known.
    Replace,
    /// It is of a new era: what it lacks was written in the lost time, and what it has again was removed there.
    Restored,
    /// It is of an era before the one that is known; it is not used.
    Outdated,
    /// It was interrupted, and serves only those who know nothing of the kind.
    Interrupted,
}

/// What to do with the answer to a watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchUse {
    /// Its events apply.
    Apply,
    /// It is of another era than the revision that it was asked from; the kind is listed again.
    ListAgain,
}

/// Where the watch of a kind goes on.
#[derive(Clone, Copy, Debug, Default)]
pub struct WatchCursor {
    /// Revision to watch from; `None` until the kind is listed, and while another instance watches.
    revision: Option<u64>,
    /// Revision reached when another instance took over.
    last_revision: u64,
    /// Era of what is known of the kind; `None` if nothing is.
    era: Option<u64>,
    has_listed: bool,
}

impl WatchCursor {
    /// Returns the next call.
    pub fn next_call(&self) -> StoreCall {
        match self.revision {
            Some(from) => StoreCall::Watch { from },
            None => StoreCall::List { stale: !self.has_listed },
        }
    }

    /// Returns whether the kind is listed and watched.
    pub fn is_watching(&self) -> bool {
        self.revision.is_some()
    }

    /// Returns the revision that was reached last.
    pub fn last_revision(&self) -> u64 {
        self.revision.unwrap_or(self.last_revision)
    }

    /// Stops watching, since another instance does.
    pub fn stop(&mut self) {
        self.last_revision = self.last_revision();
        self.revision = None;
    }

    /// Records that another instance has a document of this version.
    pub fn adopt(&mut self, doc_version: u64) {
        self.era = self.era.max(Some(doc_era(doc_version)));
    }

    /// Returns whether anything is known of the kind.
    pub fn knows_kind(&self) -> bool {
        self.era.is_some()
    }

    /// Returns whether a list of this era is of an earlier one than what is known of the kind.
    pub fn is_outdated(&self, era: Option<u64>) -> bool {
        self.era.is_some_and(|known| era.or(self.era).unwrap_or_default() < known)
    }

    /// Records a list; `era` is that of its reply, if it states one.
    pub fn record_list(&mut self, era: Option<u64>, revision: u64) -> ListUse {
        if self.is_outdated(era) {
            return ListUse::Outdated;
        }
        let (known, era) = (self.era, era.or(self.era).unwrap_or_default());
        self.has_listed = true;
        self.revision = Some(revision);
        self.era = Some(era);
        match known {
            Some(known) if known < era => ListUse::Restored,
            _ => ListUse::Replace,
        }
    }

    /// Records the answer to a watch, which states its era, if any, and the revision to go on from.
    pub fn record_watch(&mut self, era: Option<u64>, next: u64) -> WatchUse {
        if era.is_some_and(|era| Some(era) != self.era) {
            self.revision = None;
            return WatchUse::ListAgain;
        }
        self.revision = Some(next);
        WatchUse::Apply
    }

    /// Records that the store does not have the revision, or that it is in a later era.
    pub fn list_again(&mut self) {
        self.revision = None;
    }

    /// Returns whether the store is in a later era than what is known of the kind.
    pub fn is_before(&self, era: u64) -> bool {
        self.era.is_some_and(|known| known < era)
    }

    /// Returns the point of the store that is known.
    pub fn point(&self) -> StorePoint {
        StorePoint { era: self.era.unwrap_or_default(), revision: self.last_revision() }
    }
}
