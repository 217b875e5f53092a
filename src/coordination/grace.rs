//! From when, and for how long, an instance keeps entries as they were although the store has changed them.
//!
//! The load pattern: the store is away, and the entries that their writers must renew lapse although the writers live; it comes
//! back from an older copy, and lacks what was written since; or only this instance does not reach it, while entries go for
//! good as all others know. An instance cannot tell the last from the first. Its grace period therefore concerns only what
//! the one who keeps it still believes, for as long after the return as writers need, and a period that a peer
//! states is never longer than what is left of the peer's own.

use std::time::Duration;

use crate::state::time::Tick;

/// Time that writers have to register again after the store's return.
pub const REREGISTRATION_GRACE: Duration = Duration::from_millis(2_000);

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

    /// Returns what is left of the grace period for entries that lapse.
    pub fn left(&self, now: Tick) -> Duration {
        self.lapsed_until.since(now)
    }

    /// Returns until when entries that are removed are kept.
    pub fn lapsed_until(&self) -> Tick {
        self.lapsed_until.max(self.restored_until)
    }

    /// Returns until when entries are kept as they were before the store came back from an older copy.
    pub fn restored_until(&self) -> Tick {
        self.restored_until
    }
}
