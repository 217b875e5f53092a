//! From when, and for how long, an instance keeps entries as they were although the store has changed them.
//!
//! The load pattern: the store is away, and the entries that their writers must renew lapse although the writers live; it comes
//! back from an older copy, and lacks what was written since; or only this instance does not reach it, while entries go for
//! good as all others know. An instance cannot tell the last from the first. Its grace period therefore concerns only what
//! the one who keeps it still believes, for as long after the return as writers need, and a period that a peer
//! states is never longer than what is left of the peer's own.

use std::sync::Arc;
use std::time::Duration;

use crate::coordination::store_era::{doc_era, is_interrupted};
use crate::state::beliefs::Beliefs;
use crate::state::docs::Doc;
use crate::state::time::Tick;

/// Time that writers have to register again after the store's return.
pub const REREGISTRATION_GRACE: Duration = Duration::from_millis(2_000);

/// Which changes of a kind of entries a grace period holds back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeldBack {
    /// None: documents have versions that no restore of the store takes back.
    Nothing,
    /// Those that a restore of the store brings.
    Restored,
    /// These, and removals of entries that their writers could not renew.
    RestoredAndLapsed,
}

/// The grace periods of an instance.
#[derive(Clone, Copy, Debug, Default)]
pub struct GracePeriods {
    /// The latest era of the store that the instance has heard of.
    era: Option<u64>,
    restored_until: Tick,
    lapsed_until: Tick,
}

impl GracePeriods {
    /// Records an era of the store; if it is a later one than that known, its grace period begins.
    pub fn record_era(&mut self, era: u64, now: Tick) {
        if self.era.is_some_and(|known| known < era) {
            self.restored_until = now + REREGISTRATION_GRACE;
        }
        self.era = self.era.max(Some(era));
    }

    /// Records that the store answers this instance again.
    pub fn record_return(&mut self, now: Tick) {
        self.lapsed_until = now + REREGISTRATION_GRACE;
    }

    /// Records what is left of a peer's grace period, which it states beside changes of its documents.
    pub fn record_peer(&mut self, left: Duration, now: Tick) {
        self.lapsed_until = self.lapsed_until.max(now + left.min(REREGISTRATION_GRACE));
    }

    /// Takes a newer document into what is believed.
    pub fn believe(&self, beliefs: &mut Beliefs, doc: Arc<Doc>, held_back: HeldBack, now: Tick) {
        // the document of an interrupted list is no point from which the store could have come back
        let known = beliefs.version().filter(|known| !is_interrupted(*known));
        match held_back {
            HeldBack::Restored | HeldBack::RestoredAndLapsed
                if known.is_some_and(|known| doc_era(known) < doc_era(doc.version)) =>
            {
                beliefs.apply_restored(doc, self.restored_until, now);
            }
            // nothing is known that could be kept
            _ if known.is_none() => beliefs.apply(doc, Tick::default(), now),
            HeldBack::Nothing => beliefs.apply(doc, Tick::default(), now),
            HeldBack::Restored => beliefs.apply(doc, self.restored_until, now),
            HeldBack::RestoredAndLapsed => {
                beliefs.apply(doc, self.lapsed_until.max(self.restored_until), now)
            }
        }
    }

    /// Returns what is left of the grace period for entries that lapse.
    pub fn left(&self, now: Tick) -> Duration {
        self.lapsed_until.since(now)
    }

    /// Returns until when entries are kept as they were before the store came back from an older copy.
    pub fn restored_until(&self) -> Tick {
        self.restored_until
    }
}
